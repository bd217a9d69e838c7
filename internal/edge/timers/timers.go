// Package timers is a heap of deadlines for rules that have no clock: whoever
// holds them asks for the next and tells the time. Times are Unix milliseconds.
package timers

import "container/heap"

// Timer is one deadline. The zero Timer and nil are none.
type Timer struct {
	at    float64
	seq   uint64
	index int // in the heap, -1 once it has run or was taken back
	do    func(now float64)
}

// Heap holds deadlines. The zero Heap is empty and ready.
type Heap struct {
	timers timers
	seq    uint64
}

// At runs do in the first Tick at or after the given time.
func (h *Heap) At(at float64, do func(now float64)) *Timer {
	h.seq++
	t := &Timer{at: at, seq: h.seq, do: do}
	heap.Push(&h.timers, t)
	return t
}

// Cancel takes a deadline back, if it has not run.
func (h *Heap) Cancel(t *Timer) {
	if t != nil && t.do != nil && t.index >= 0 {
		heap.Remove(&h.timers, t.index)
		t.do = nil
	}
}

// Len returns how many there are.
func (h *Heap) Len() int { return len(h.timers) }

// Next returns when Tick is due, if it is.
func (h *Heap) Next() (float64, bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].at, true
}

// Tick runs what is due, in order.
func (h *Heap) Tick(now float64) {
	for len(h.timers) > 0 && h.timers[0].at <= now {
		t := heap.Pop(&h.timers).(*Timer)
		do := t.do
		t.do = nil
		do(now)
	}
}

type timers []*Timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timers) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil // let go of what it refers to
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
