// Package timers schedules functions for modules without a clock: the owner polls
// Next and calls Tick with the time. Times are Unix milliseconds. A Heap is not
// safe for concurrent use.
package timers

import "lotusbend/internal/timerheap"

// Timer is one deadline. A nil Timer is none.
type Timer = timerheap.Timer[func(now float64)]

// Heap is a set of deadlines. The zero Heap is empty and ready to use.
type Heap struct {
	timerheap.Heap[func(now float64)]
}

// At runs do in the first Tick at or after the given time.
func (h *Heap) At(at float64, do func(now float64)) *Timer {
	timer, _ := h.Schedule(at, do)
	return timer
}

// Tick runs the deadlines that are due, in order.
func (h *Heap) Tick(now float64) {
	for {
		do, ok := h.PopDue(now)
		if !ok {
			return
		}
		do(now)
	}
}
