package intake

import (
	"container/heap"
	"container/list"
)

// finished is a reading that is recorded.
type finished struct {
	epoch, seq uint64
	digest     uint64 // of the value that is recorded
}

// device is what is remembered of one device.
type device struct {
	name  string
	epoch uint64 // the highest seen
	// sure tells that a reading of this epoch was found or recorded here, past
	// doubt; doubted that another value stood under one of its identities.
	sure, doubted bool
	floor         uint64 // the first sequence of the epoch above all that were forgotten
	open          map[number]*entry
	recent        []finished // a ring; at is its next place
	at            int
	lines         []*line // one for each group that it has readings for
	held          int     // readings that may be evicted: queued, never sent, not stored
	index         int     // in holders, -1 if it holds none
	idle          *list.Element
}

func (d *device) recall(n number) (digest uint64, ok bool) {
	for _, f := range d.recent {
		if f.epoch == n.epoch && f.seq == n.seq {
			return f.digest, true
		}
	}
	return 0, false
}

func (d *device) remember(n number, sum uint64, most int) {
	f := finished{n.epoch, n.seq, sum}
	if len(d.recent) < most {
		d.recent = append(d.recent, f)
		return
	}
	if old := d.recent[d.at]; old.epoch == d.epoch {
		d.floor = max(d.floor, old.seq+1)
	}
	d.recent[d.at] = f
	d.at = (d.at + 1) % most
}

// begin takes note of an epoch. A new one starts without trust.
func (d *device) begin(epoch uint64) {
	if epoch > d.epoch {
		d.epoch, d.sure, d.doubted, d.floor = epoch, false, false, 0
	}
}

// trusts tells whether the claim that a reading was never sent before may be
// believed. A device that lost its counter, or a second one of the same name,
// claims it of what is long recorded: so not of the first reading of an epoch
// that is seen here, of none at or below what was forgotten, and of nothing
// once another value was found.
func (d *device) trusts(n number) bool {
	return n.epoch == d.epoch && d.sure && !d.doubted && n.seq >= d.floor
}

// lru lists the devices without readings, the longest idle first.
type lru struct{ list.List }

// device returns a device by its name, a new one if it is not known and there
// is room: the longest idle one is forgotten for it, whose next reading will
// be checked rather than recalled.
func (in *Intake) device(name string) *device {
	if d := in.devices[name]; d != nil {
		return d
	}
	if len(in.devices) >= in.cfg.MaxDevices {
		oldest := in.idle.Front()
		if oldest == nil {
			return nil
		}
		in.idle.Remove(oldest)
		delete(in.devices, oldest.Value.(*device).name)
	}
	return in.newDevice(name)
}

func (in *Intake) newDevice(name string) *device {
	d := &device{name: name, index: -1}
	in.devices[name] = d
	return d
}

// settle files a device among the idle ones if it has nothing under way.
func (in *Intake) settle(d *device) {
	if len(d.open) > 0 || in.devices[d.name] != d {
		return
	}
	d.open, d.lines = nil, nil
	if d.idle == nil {
		d.idle = in.idle.PushBack(d)
	} else {
		in.idle.MoveToBack(d.idle)
	}
}

// busy takes a device off the idle ones.
func (in *Intake) busy(d *device) {
	if d.idle != nil {
		in.idle.Remove(d.idle)
		d.idle = nil
	}
}

// holders orders devices by how many readings they hold that may be evicted.
type holders []*device

// hold counts e into or out of what its device holds.
func (in *Intake) holds(d *device, by int) {
	d.held += by
	switch {
	case d.index < 0 && d.held > 0:
		heap.Push(&in.holders, d)
	case d.index >= 0 && d.held == 0:
		heap.Remove(&in.holders, d.index)
	case d.index >= 0:
		heap.Fix(&in.holders, d.index)
	}
}

func (h holders) Len() int { return len(h) }
func (h holders) Less(i, j int) bool {
	return h[i].held > h[j].held || h[i].held == h[j].held && h[i].name < h[j].name
}
func (h holders) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *holders) Push(x any) {
	d := x.(*device)
	d.index = len(*h)
	*h = append(*h, d)
}
func (h *holders) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.index = -1
	return d
}
