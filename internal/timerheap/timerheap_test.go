package timerheap

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestTimersComeInOrderOfTimeThenOfScheduling(t *testing.T) {
	var h Heap[int]
	for i, at := range []float64{30, 10, 20, 10} {
		if _, first := h.Schedule(at, i); first != (i < 2) {
			t.Errorf("timer %d is the first: %v", i, first)
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
		t.Errorf("order %v, want %v", order, want)
	}
	if at, ok := h.Next(); ok {
		t.Errorf("an empty heap has a timer at %g", at)
	}
}

func TestCancelledTimersDoNotCome(t *testing.T) {
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
		h.Cancel(timers[i]) // again, which changes nothing
	}
	h.Cancel(nil)
	if h.Len() != len(timers)-len(cancelled) {
		t.Errorf("%d timers left of %d with %d cancelled", h.Len(), len(timers), len(cancelled))
	}
	count := 0
	for {
		n, ok := h.PopDue(100)
		if !ok {
			break
		}
		count++
		if cancelled[n] {
			t.Errorf("timer %d was cancelled and came", n)
		}
		h.Cancel(timers[n]) // taken already, which changes nothing
	}
	if count != len(timers)-len(cancelled) {
		t.Errorf("%d timers came", count)
	}
}
