package intake

import (
	"container/heap"
	"container/list"
)

// recordedReading is a reading that is known to be recorded.
type recordedReading struct {
	epoch  uint64
	seq    uint64
	digest uint64 // digest of the recorded value
}

// trackedDevice is the state that the router keeps of one device.
type trackedDevice struct {
	name  string
	epoch uint64 // the highest epoch received
	// epochConfirmed is set once this router has recorded a reading of this epoch
	// or found a value recorded under its ID, epochConflicted once that was another
	// value.
	epochConfirmed  bool
	epochConflicted bool
	// trustedFromSeq is above every sequence number of the epoch that was dropped
	// from recent.
	trustedFromSeq uint64

	inProgress  map[localID]*trackedReading
	recent      []recordedReading // ring buffer of the latest recorded readings
	nextRecent  int               // index in recent that is overwritten next
	queues      []*deviceQueue    // one for each replica group that the device has readings for
	evictable   int               // number of readings for which trackedReading.evictable holds
	heapIndex   int               // index in Intake.evictable, -1 if evictable is 0
	idleElement *list.Element     // element of Intake.idleDevices, nil while readings are in progress
}

// recordedDigest returns the digest of a reading's recorded value; ok is false
// if the reading is not among the recent ones.
func (device *trackedDevice) recordedDigest(id localID) (digest uint64, ok bool) {
	for _, recorded := range device.recent {
		if recorded.epoch == id.epoch && recorded.seq == id.seq {
			return recorded.digest, true
		}
	}
	return 0, false
}

// addRecorded adds a recorded reading to the recent ones. At limit readings it
// replaces the oldest, up to whose sequence number first copies are no longer
// trusted.
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

// advanceEpoch moves the device to an epoch if that is higher than its present
// one. Declarations in the new epoch are not trusted until a reading of it is
// recorded.
func (device *trackedDevice) advanceEpoch(epoch uint64) {
	if epoch <= device.epoch {
		return
	}
	device.epoch = epoch
	device.epochConfirmed = false
	device.epochConflicted = false
	device.trustedFromSeq = 0
}

// trustsFirstCopy reports whether to trust a device's declaration that a reading
// was never sent before. A device that lost its counter, or a second device of
// the same name, declares this wrongly of readings that are already recorded.
// The declaration is therefore not trusted for the first reading of an epoch at
// this router, nor at or below a sequence number that was dropped from the
// recent ones, nor after a conflict.
func (device *trackedDevice) trustsFirstCopy(id localID) bool {
	return id.epoch == device.epoch && device.epochConfirmed && !device.epochConflicted &&
		id.seq >= device.trustedFromSeq
}

// lruList lists devices without readings in progress, least recently used first.
type lruList struct{ list.List }

// device returns the state of the named device, adding it if it is unknown. At
// MaxDevices the new device replaces the least recently used idle one, whose
// next reading will be checked because its recorded ones are forgotten. It
// returns nil if no device is idle.
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

// newDevice adds a device, regardless of MaxDevices.
func (in *Intake) newDevice(name string) *trackedDevice {
	device := &trackedDevice{name: name, heapIndex: -1}
	in.devices[name] = device
	return device
}

// markIdle lists a device as the most recently used idle one, if it has no
// readings in progress and was not replaced by another device.
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

// markBusy takes a device off the list of idle ones, so that it is not replaced.
func (in *Intake) markBusy(device *trackedDevice) {
	if device.idleElement != nil {
		in.idleDevices.Remove(device.idleElement)
		device.idleElement = nil
	}
}

// evictionHeap orders devices by their number of evictable readings, largest
// first, and equal ones by name. It implements heap.Interface.
type evictionHeap []*trackedDevice

// adjustEvictable adds change to a device's number of evictable readings and
// updates its position in the heap.
func (in *Intake) adjustEvictable(device *trackedDevice, change int) {
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
	(*h)[last] = nil // so that the garbage collector can free the device
	*h = (*h)[:last]
	device.heapIndex = -1
	return device
}
