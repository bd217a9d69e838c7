// Package timers is a heap of deadlines for modules without a clock: the owner
// polls Next and calls Tick with the time. Times are Unix milliseconds. A Heap is
// not safe for concurrent use.
package timers

import "container/heap"

// Timer is one deadline. A nil Timer is none.
type Timer struct {
	at       float64 // ms
	sequence uint64  // orders deadlines of the same time
	index    int     // in the heap, -1 once it has run or was cancelled
	do       func(now float64)
}

// Heap is a set of deadlines. The zero Heap is empty and ready to use.
type Heap struct {
	timers   timers
	sequence uint64 // of the last deadline
}

// At runs do in the first Tick at or after the given time.
func (h *Heap) At(at float64, do func(now float64)) *Timer {
	h.sequence++
	added := &Timer{at: at, sequence: h.sequence, do: do}
	heap.Push(&h.timers, added)
	return added
}

// Cancel cancels a deadline that has not run. A nil timer, or one that has run, is
// left as it is.
func (h *Heap) Cancel(t *Timer) {
	if t != nil && t.do != nil && t.index >= 0 {
		heap.Remove(&h.timers, t.index)
		t.do = nil
	}
}

// Len returns the number of scheduled deadlines.
func (h *Heap) Len() int { return len(h.timers) }

// Next returns the time of the first deadline, if there is one.
func (h *Heap) Next() (float64, bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].at, true
}

// Tick runs the deadlines that are due, in order.
func (h *Heap) Tick(now float64) {
	for len(h.timers) > 0 && h.timers[0].at <= now {
		due := heap.Pop(&h.timers).(*Timer)
		do := due.do
		due.do = nil
		do(now)
	}
}

// timers implements heap.Interface.
type timers []*Timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timers) Push(x any) {
	pushed := x.(*Timer)
	pushed.index = len(*h)
	*h = append(*h, pushed)
}
func (h *timers) Pop() any {
	old := *h
	popped := old[len(old)-1]
	old[len(old)-1] = nil // so that it can be garbage-collected
	*h = old[:len(old)-1]
	popped.index = -1
	return popped
}
