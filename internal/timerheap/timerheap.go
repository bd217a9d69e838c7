// Package timerheap provides a heap of functions ordered by the time at which they
// are due. It reads no clock and runs no function: its owner calls Next for the
// earliest time and PopDue for the functions that are due. Times are Unix
// milliseconds. A Heap is not safe for concurrent use.
package timerheap

import "container/heap"

// Timer is a scheduled function of type F.
type Timer[F any] struct {
	at       float64 // due time in ms
	sequence uint64  // orders timers with the same due time
	function F
	index    int // position in the heap, -1 once the timer is popped or cancelled
}

// Heap is a set of timers. The zero Heap is empty and ready to use.
type Heap[F any] struct {
	timers   timers[F]
	sequence uint64 // sequence number of the last timer added
}

// Schedule adds a function that is due at a time in milliseconds. first reports
// whether the new timer is the earliest in the heap.
func (h *Heap[F]) Schedule(at float64, function F) (added *Timer[F], first bool) {
	h.sequence++
	added = &Timer[F]{at: at, sequence: h.sequence, function: function}
	heap.Push(&h.timers, added)
	return added, added.index == 0
}

// Cancel removes a timer from the heap and drops its function. It does nothing if
// t is nil or the timer has been popped or cancelled.
func (h *Heap[F]) Cancel(t *Timer[F]) {
	if t == nil || t.index < 0 {
		return
	}
	heap.Remove(&h.timers, t.index)
	t.release()
}

// Len returns the number of timers in the heap.
func (h *Heap[F]) Len() int { return len(h.timers) }

// Next returns the due time of the earliest timer, and whether there is one.
func (h *Heap[F]) Next() (at float64, ok bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].at, true
}

// PopDue removes the earliest timer and returns its function if the timer is due
// at now; otherwise ok is false. Timers with the same due time are returned in
// the order in which they were scheduled.
func (h *Heap[F]) PopDue(now float64) (function F, ok bool) {
	if len(h.timers) == 0 || h.timers[0].at > now {
		return function, false
	}
	due := heap.Pop(&h.timers).(*Timer[F])
	function = due.function
	due.release()
	return function, true
}

// release drops the function, so that the memory it refers to can be freed even
// while the caller keeps the timer.
func (t *Timer[F]) release() {
	var zero F
	t.function = zero
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
	old[len(old)-1] = nil // so that the timer can be garbage-collected
	*t = old[:len(old)-1]
	popped.index = -1
	return popped
}
