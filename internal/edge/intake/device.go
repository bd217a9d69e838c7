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
type trackedDevice struct {
	name  string
	epoch uint64 // the highest seen
	// epochConfirmed is set once a reading of this epoch was recorded or found
	// recorded here, conflicted once another value was found under an ID of it.
	epochConfirmed  bool
	epochConflicted bool
	trustedFromSeq  uint64 // the first sequence number of the epoch above all forgotten ones

	inProgress  map[localID]*trackedReading
	recent      []recordedReading // a ring
	nextRecent  int               // the place in it that is overwritten next
	queues      []*deviceQueue    // one for each replica group that it has readings for
	evictable   int               // readings that may be evicted: queued, never submitted, not stored
	heapIndex   int               // in Intake.evictable, -1 if evictable is 0
	idleElement *list.Element     // in Intake.idleDevices, nil while readings are in progress
}

// recordedDigest returns the digest of the recorded value, if the reading is remembered.
func (device *trackedDevice) recordedDigest(id localID) (digest uint64, ok bool) {
	for _, recorded := range device.recent {
		if recorded.epoch == id.epoch && recorded.seq == id.seq {
			return recorded.digest, true
		}
	}
	return 0, false
}

// addRecorded adds a recorded reading, in place of the oldest beyond limit.
func (device *trackedDevice) addRecorded(id localID, sum uint64, limit int) {
	recorded := recordedReading{epoch: id.epoch, seq: id.seq, digest: sum}
	if len(device.recent) < limit {
		device.recent = append(device.recent, recorded)
		return
	}
	if oldest := device.recent[device.nextRecent]; oldest.epoch == device.epoch {
		device.trustedFromSeq = max(device.trustedFromSeq, oldest.seq+1)
	}
	device.recent[device.nextRecent] = recorded
	device.nextRecent = (device.nextRecent + 1) % limit
}

// advanceEpoch takes note of an epoch. Declarations of a new one are not
// trusted at first.
func (device *trackedDevice) advanceEpoch(epoch uint64) {
	if epoch <= device.epoch {
		return
	}
	device.epoch = epoch
	device.epochConfirmed = false
	device.epochConflicted = false
	device.trustedFromSeq = 0
}

// trustsFirstCopy reports whether a device's declaration that a reading was
// never sent before may be trusted. A device that lost its counter, or a second
// one of the same name, declares it of readings that are long recorded. It is
// therefore not trusted for the first reading of an epoch seen here, nor at or
// below a forgotten sequence number, nor after a conflict.
func (device *trackedDevice) trustsFirstCopy(id localID) bool {
	return id.epoch == device.epoch && device.epochConfirmed && !device.epochConflicted && id.seq >= device.trustedFromSeq
}

// lruList lists devices without readings in progress, least recently used first.
type lruList struct{ list.List }

// device returns a device by its name. An unknown one is added; at MaxDevices
// it replaces the one idle for longest, whose next reading will be checked
// rather than recalled. It returns nil if no device is idle.
func (in *Intake) device(name string) *trackedDevice {
	if device := in.devices[name]; device != nil {
		return device
	}
	if len(in.devices) >= in.cfg.MaxDevices {
		oldest := in.idleDevices.Front()
		if oldest == nil {
			return nil
		}
		in.idleDevices.Remove(oldest)
		delete(in.devices, oldest.Value.(*trackedDevice).name)
	}
	return in.newDevice(name)
}

func (in *Intake) newDevice(name string) *trackedDevice {
	device := &trackedDevice{name: name, heapIndex: -1}
	in.devices[name] = device
	return device
}

// markIdle lists a device as idle if it has no readings in progress.
func (in *Intake) markIdle(device *trackedDevice) {
	if len(device.inProgress) > 0 || in.devices[device.name] != device {
		return
	}
	device.inProgress = nil
	device.queues = nil
	if device.idleElement == nil {
		device.idleElement = in.idleDevices.PushBack(device)
	} else {
		in.idleDevices.MoveToBack(device.idleElement)
	}
}

// markBusy takes a device off the idle ones.
func (in *Intake) markBusy(device *trackedDevice) {
	if device.idleElement != nil {
		in.idleDevices.Remove(device.idleElement)
		device.idleElement = nil
	}
}

// evictionHeap orders devices by their number of evictable readings, the
// largest first. It implements heap.Interface.
type evictionHeap []*trackedDevice

// countEvictable changes a device's number of evictable readings.
func (in *Intake) countEvictable(device *trackedDevice, change int) {
	device.evictable += change
	listed := device.heapIndex >= 0
	switch {
	case !listed && device.evictable > 0:
		heap.Push(&in.evictable, device)
	case listed && device.evictable == 0:
		heap.Remove(&in.evictable, device.heapIndex)
	case listed:
		heap.Fix(&in.evictable, device.heapIndex)
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
	device := x.(*trackedDevice)
	device.heapIndex = len(*h)
	*h = append(*h, device)
}

func (h *evictionHeap) Pop() any {
	last := len(*h) - 1
	device := (*h)[last]
	(*h)[last] = nil // for the garbage collector
	*h = (*h)[:last]
	device.heapIndex = -1
	return device
}
