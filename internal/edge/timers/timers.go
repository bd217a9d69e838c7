// Package timers schedules functions for modules that have no clock: the caller
// asks Next for the earliest deadline and calls Tick with the current time. Times
// are Unix milliseconds. A Heap is not safe for concurrent use.
package timers

import "lotusbend/internal/timerheap"

// Timer is a scheduled function. Cancel accepts a nil Timer and ignores it.
type Timer = timerheap.Timer[func(now float64)]

// Heap holds the scheduled functions. The zero Heap is empty and ready to use.
type Heap struct {
	timerheap.Heap[func(now float64)]
}

// At schedules run for the first Tick at or after the given time.
func (h *Heap) At(at float64, run func(now float64)) *Timer {
	timer, _ := h.Schedule(at, run)
	return timer
}

// Tick runs the functions that are due at now, in the order of their times,
// including those that they schedule for now or earlier.
func (h *Heap) Tick(now float64) {
	for {
		run, ok := h.PopDue(now)
		if !ok {
			return
		}
		run(now)
	}
}
