package clock

import (
	"runtime"
	"slices"
	"testing"
)

// A cancelled deadline does not fire and leaves the heap at once. Otherwise the
// deadlines of answered requests would accumulate in memory.
func TestCancelledDeadlinesAreRemoved(t *testing.T) {
	c := Manual(1000)
	l := NewLoop(c)
	var got []int
	var all []*Deadline
	l.Do(func() {
		for n := range 5 {
			all = append(all, l.At(1010+float64(n), func() { got = append(got, n) }))
		}
		for _, n := range []int{0, 2, 4, 2} {
			l.Cancel(all[n])
		}
		l.Cancel(nil)
		if l.Pending() != 2 {
			t.Errorf("Pending() = %d, want 2", l.Pending())
		}
	})
	c.Set(1100)
	l.Fire()
	l.Do(func() { l.Cancel(all[1]) }) // it has run, so this has no effect
	if !slices.Equal(got, []int{1, 3}) {
		t.Errorf("fired %v, want [1 3]", got)
	}
}

// Deadlines fire in the order of their times, and a function posted by one runs
// before the next one fires.
func TestDeadlinesFireInOrder(t *testing.T) {
	c := Manual(1000)
	l := NewLoop(c)
	var got []int
	record := func(n int) func() { return func() { got = append(got, n) } }
	l.Do(func() {
		l.At(1030, record(4))
		l.At(1010, func() { l.Post(record(2)); record(1)() })
		l.At(1010, record(3))
		l.At(1040, record(9))
	})
	c.Set(1030)
	l.Fire()
	if !slices.Equal(got, []int{1, 2, 3, 4}) {
		t.Errorf("fired %v, want [1 2 3 4]", got)
	}
	if at, ok := l.Next(); !ok || at != 1040 {
		t.Errorf("Next() = %v, %v, want 1040, true", at, ok)
	}
	c.Set(900) // the loop's time must not go back with the clock
	l.Do(func() {
		if l.Now() != 1030 {
			t.Errorf("Now() = %v after the clock went back, want 1030", l.Now())
		}
	})
}

// Thousands of deadlines may be due at once, as when the statements of one client
// expire. Other events must run between them.
func TestOtherEventsRunBetweenDueDeadlines(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const deadlines = 1000
	c := Manual(1000)
	l := NewLoop(c)
	fired, firedBefore := 0, -1
	l.Do(func() {
		for range deadlines {
			l.At(1010, func() { fired++ })
		}
	})
	c.Set(1010)
	other := make(chan struct{})
	go func() {
		l.Do(func() { firedBefore = fired })
		close(other)
	}()
	l.Fire()
	if fired != deadlines {
		t.Errorf("Fire() ran %d deadlines, want %d", fired, deadlines)
	}
	<-other
	if firedBefore == deadlines {
		t.Errorf("another event ran after all %d deadlines, want between them", deadlines)
	}
}
