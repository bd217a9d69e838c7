// Package timerheap is a heap of functions by the time at which they are due. It
// reads no clock and runs nothing: its owner asks Next and takes what is due with
// PopDue. Times are Unix milliseconds. A Heap is not safe for concurrent use.
package timerheap

import "container/heap"

// Timer is one scheduled function of type F. A nil Timer is none.
type Timer[F any] struct {
	at       float64 // ms
	sequence uint64  // orders timers of the same time
	function F
	index    int // in the heap, -1 once it was taken or cancelled
}

// Heap is a set of timers. The zero Heap is empty and ready to use.
type Heap[F any] struct {
	timers   timers[F]
	sequence uint64 // of the last timer
}

// Schedule adds a function that is due at a time. It reports whether the new
// timer is the first of all.
func (h *Heap[F]) Schedule(at float64, function F) (added *Timer[F], first bool) {
	h.sequence++
	added = &Timer[F]{at: at, sequence: h.sequence, function: function}
	heap.Push(&h.timers, added)
	return added, added.index == 0
}

// Cancel removes a timer that has not been taken, and releases its function. A
// nil timer, or one that is gone, is left as it is.
func (h *Heap[F]) Cancel(t *Timer[F]) {
	if t == nil || t.index < 0 {
		return
	}
	heap.Remove(&h.timers, t.index)
	t.release()
}

// Len returns the number of timers.
func (h *Heap[F]) Len() int { return len(h.timers) }

// Next returns the time of the first timer, if there is one.
func (h *Heap[F]) Next() (at float64, ok bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].at, true
}

// PopDue takes the first timer that is due at now, and returns its function. Of
// timers with the same time the one that was scheduled first comes first.
func (h *Heap[F]) PopDue(now float64) (function F, ok bool) {
	if len(h.timers) == 0 || h.timers[0].at > now {
		return function, false
	}
	due := heap.Pop(&h.timers).(*Timer[F])
	function = due.function
	due.release()
	return function, true
}

// release drops what the function refers to.
func (t *Timer[F]) release() {
	var none F
	t.function = none
}

// timers implements heap.Interface.
type timers[F any] []*Timer[F]

func (t timers[F]) Len() int { return len(t) }

func (t timers[F]) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}

func (t timers[F]) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index = i
	t[j].index = j
}

func (t *timers[F]) Push(x any) {
	pushed := x.(*Timer[F])
	pushed.index = len(*t)
	*t = append(*t, pushed)
}

func (t *timers[F]) Pop() any {
	old := *t
	popped := old[len(old)-1]
	old[len(old)-1] = nil // so that it can be garbage-collected
	*t = old[:len(old)-1]
	popped.index = -1
	return popped
}
