package timerheap

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestPopDueReturnsTimersByTimeThenByScheduling(t *testing.T) {
	var h Heap[int]
	for i, at := range []float64{30, 10, 20, 10} {
		if _, first := h.Schedule(at, i); first != (i < 2) {
			t.Errorf("Schedule(%g) of timer %d: first = %v, want %v", at, i, first, i < 2)
		}
	}
	var order []int
	for now := range 40 {
		for {
			n, ok := h.PopDue(float64(now))
			if !ok {
				break
			}
			order = append(order, n)
		}
	}
	if want := []int{1, 3, 2, 0}; !slices.Equal(order, want) {
		t.Errorf("popped %v, want %v", order, want)
	}
	if at, ok := h.Next(); ok {
		t.Errorf("Next() of an empty heap = %g, true, want false", at)
	}
}

func TestPopDueSkipsCancelledTimers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var h Heap[int]
	var timers []*Timer[int]
	for i := range 1000 {
		timer, _ := h.Schedule(float64(random.IntN(100)), i)
		timers = append(timers, timer)
	}
	cancelled := map[int]bool{}
	for range 500 {
		i := random.IntN(len(timers))
		cancelled[i] = true
		h.Cancel(timers[i])
		h.Cancel(timers[i]) // a second Cancel has no effect
	}
	h.Cancel(nil)
	if h.Len() != len(timers)-len(cancelled) {
		t.Errorf("Len() = %d after %d of %d timers were cancelled, want the rest", h.Len(), len(cancelled), len(timers))
	}
	count := 0
	for {
		n, ok := h.PopDue(100)
		if !ok {
			break
		}
		count++
		if cancelled[n] {
			t.Errorf("PopDue returned timer %d, which was cancelled", n)
		}
		h.Cancel(timers[n]) // cancelling a popped timer has no effect
	}
	if count != len(timers)-len(cancelled) {
		t.Errorf("PopDue returned %d timers, want %d", count, len(timers)-len(cancelled))
	}
}
