package intake

import (
	"container/heap"
	"container/list"
)

// recordedReading is a reading that is known to be recorded.
type recordedReading struct {
	epoch  uint64
	seq    uint64
	digest uint64 // of the recorded value
}

// device is what is remembered of one device.
type device struct {
	name  string
	epoch uint64 // the highest seen
	// confirmed is set once a reading of this epoch was recorded or found
	// recorded here, conflicted once another value was found under an ID of it.
	confirmed   bool
	conflicted  bool
	trustedFrom uint64 // the first sequence number of the epoch above all forgotten ones

	inProgress  map[localID]*entry
	recent      []recordedReading // a ring
	recentNext  int               // the place in it that is overwritten next
	queues      []*deviceQueue    // one for each replica group that it has readings for
	evictable   int               // readings that may be evicted: queued, never submitted, not stored
	heapIndex   int               // in Intake.evictable, -1 if evictable is 0
	idleElement *list.Element     // in Intake.idleDevices, nil while readings are in progress
}

// recall returns the digest of the recorded value, if the reading is remembered.
func (d *device) recall(id localID) (digest uint64, ok bool) {
	for _, recorded := range d.recent {
		if recorded.epoch == id.epoch && recorded.seq == id.seq {
			return recorded.digest, true
		}
	}
	return 0, false
}

// remember adds a recorded reading, in place of the oldest beyond limit.
func (d *device) remember(id localID, sum uint64, limit int) {
	recorded := recordedReading{epoch: id.epoch, seq: id.seq, digest: sum}
	if len(d.recent) < limit {
		d.recent = append(d.recent, recorded)
		return
	}
	if oldest := d.recent[d.recentNext]; oldest.epoch == d.epoch {
		d.trustedFrom = max(d.trustedFrom, oldest.seq+1)
	}
	d.recent[d.recentNext] = recorded
	d.recentNext = (d.recentNext + 1) % limit
}

// observeEpoch takes note of an epoch. Declarations of a new one are not
// trusted at first.
func (d *device) observeEpoch(epoch uint64) {
	if epoch <= d.epoch {
		return
	}
	d.epoch = epoch
	d.confirmed = false
	d.conflicted = false
	d.trustedFrom = 0
}

// trustsFirstCopy reports whether a device's declaration that a reading was
// never sent before may be trusted. A device that lost its counter, or a second
// one of the same name, declares it of readings that are long recorded. It is
// therefore not trusted for the first reading of an epoch seen here, nor at or
// below a forgotten sequence number, nor after a conflict.
func (d *device) trustsFirstCopy(id localID) bool {
	return id.epoch == d.epoch && d.confirmed && !d.conflicted && id.seq >= d.trustedFrom
}

// lru lists devices without readings in progress, least recently used first.
type lru struct{ list.List }

// device returns a device by its name. An unknown one is added; at MaxDevices
// it replaces the one idle for longest, whose next reading will be checked
// rather than recalled. It returns nil if no device is idle.
func (in *Intake) device(name string) *device {
	if d := in.devices[name]; d != nil {
		return d
	}
	if len(in.devices) >= in.cfg.MaxDevices {
		oldest := in.idleDevices.Front()
		if oldest == nil {
			return nil
		}
		in.idleDevices.Remove(oldest)
		delete(in.devices, oldest.Value.(*device).name)
	}
	return in.newDevice(name)
}

func (in *Intake) newDevice(name string) *device {
	d := &device{name: name, heapIndex: -1}
	in.devices[name] = d
	return d
}

// markIdle lists a device as idle if it has no readings in progress.
func (in *Intake) markIdle(d *device) {
	if len(d.inProgress) > 0 || in.devices[d.name] != d {
		return
	}
	d.inProgress = nil
	d.queues = nil
	if d.idleElement == nil {
		d.idleElement = in.idleDevices.PushBack(d)
	} else {
		in.idleDevices.MoveToBack(d.idleElement)
	}
}

// markBusy takes a device off the idle ones.
func (in *Intake) markBusy(d *device) {
	if d.idleElement != nil {
		in.idleDevices.Remove(d.idleElement)
		d.idleElement = nil
	}
}

// evictionHeap orders devices by their number of evictable readings, the
// largest first. It implements heap.Interface.
type evictionHeap []*device

// countEvictable changes a device's number of evictable readings.
func (in *Intake) countEvictable(d *device, change int) {
	d.evictable += change
	listed := d.heapIndex >= 0
	switch {
	case !listed && d.evictable > 0:
		heap.Push(&in.evictable, d)
	case listed && d.evictable == 0:
		heap.Remove(&in.evictable, d.heapIndex)
	case listed:
		heap.Fix(&in.evictable, d.heapIndex)
	}
}

func (h evictionHeap) Len() int { return len(h) }

func (h evictionHeap) Less(i, j int) bool {
	if h[i].evictable != h[j].evictable {
		return h[i].evictable > h[j].evictable
	}
	return h[i].name < h[j].name
}

func (h evictionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *evictionHeap) Push(x any) {
	d := x.(*device)
	d.heapIndex = len(*h)
	*h = append(*h, d)
}

func (h *evictionHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	(*h)[last] = nil // for the garbage collector
	*h = (*h)[:last]
	d.heapIndex = -1
	return d
}
