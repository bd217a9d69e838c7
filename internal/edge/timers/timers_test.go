package timers

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestFunctionsRunInOrderUnlessCancelled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap
		var ran, want []float64
		deadlines := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 40).Draw(t, "at")
		for i, at := range deadlines {
			timer := h.At(at, func(float64) { ran = append(ran, at) })
			if i%3 == 0 {
				h.Cancel(timer)
				h.Cancel(timer) // a second time, which has no effect
			} else {
				want = append(want, at)
			}
		}
		h.Cancel(nil)
		for at, ok := h.Next(); ok; at, ok = h.Next() {
			h.Tick(at)
		}
		if slices.Sort(want); !slices.Equal(ran, want) || h.Len() != 0 {
			t.Fatalf("ran functions of %v, want %v; Len() = %d, want 0", ran, want, h.Len())
		}
	})
}
