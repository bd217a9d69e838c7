package clock

import (
	"slices"
	"testing"
)

// Deadlines fire in order, and what they post runs before the next: an action
// of one must not be overtaken.
func TestDeadlinesFireInOrder(t *testing.T) {
	c := Manual(1000)
	l := NewLoop(c)
	var got []int
	note := func(n int) func() { return func() { got = append(got, n) } }
	l.Do(func() {
		l.At(1030, note(4))
		l.At(1010, func() { l.Post(note(2)); note(1)() })
		l.At(1010, note(3))
		l.At(1040, note(9))
	})
	c.Set(1030)
	l.Fire()
	if !slices.Equal(got, []int{1, 2, 3, 4}) {
		t.Errorf("fired %v", got)
	}
	if at, ok := l.Next(); !ok || at != 1040 {
		t.Errorf("next at %v, %v", at, ok)
	}
	c.Set(900) // a clock set back must not take the loop with it
	l.Do(func() {
		if l.Now() != 1030 {
			t.Errorf("time went back to %v", l.Now())
		}
	})
}
