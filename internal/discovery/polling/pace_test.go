package polling

import (
	"slices"
	"testing"
)

// service is the list's service of a fleet: one at a time, in turn, each for
// cost milliseconds; a call that has waited for patience fails, and its turn
// is taken all the same.
type service struct {
	cost, patience, free float64
}

// call returns when the call ends, and whether it was answered.
func (s *service) call(now float64) (end float64, ok bool) {
	begin := max(s.free, now)
	s.free = begin + s.cost
	if begin-now > s.patience {
		return now + s.patience, false
	}
	return s.free, true
}

// settle plays the calls of a fleet that starts together and returns when the
// last router was answered, in milliseconds, and how many calls that took.
func settle(routers int, cost float64, within float64) (last float64, calls int) {
	s := service{cost: cost, patience: 2000}
	type call struct {
		at float64
		p  *Backoff
	}
	var due []call
	for i := range routers {
		p := NewBackoff(Config{Routers: routers, PollOnly: true, PollInterval: within}, uint64(i))
		due = append(due, call{p.InitialDelay(true), p})
	}
	for len(due) > 0 && calls < 100*routers {
		slices.SortFunc(due, func(a, b call) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		c := due[0]
		due = due[1:]
		calls++
		if end, ok := s.call(c.at); ok {
			c.p.Succeeded()
			last = max(last, end)
		} else {
			due = append(due, call{end + c.p.Failed(true), c.p})
		}
	}
	return last, calls
}

// A fleet that starts together is answered in a few times what its calls
// cost, also where the service is slower than expected.
func TestAFleetThatStartsTogetherIsAnswered(t *testing.T) {
	for _, routers := range []int{1, 3, 20, 80, 100} {
		for _, cost := range []float64{1, 25, 60, 120} {
			last, calls := settle(routers, cost, 10000)
			room := 2000 + 5*float64(routers)*max(cost, aCall)
			if last > room || calls > 4*routers {
				t.Errorf("%d routers, %.0f ms a call: all answered after %.0f ms of %.0f, in %d calls",
					routers, cost, last, room, calls)
			}
		}
	}
}

// Waits stay within what the settings allow, and so short that a change is
// heard before it counts as told, whatever the settings say.
func TestWaitsStayWithinTheSettings(t *testing.T) {
	for _, c := range []Config{
		{Routers: 80, PollOnly: true, PollInterval: 10000}, {Routers: 5000, PollOnly: true, PollInterval: 10000},
		{Routers: -3, PollOnly: true}, {Routers: 80, PollInterval: 10000}, {},
		{Routers: 6, PollOnly: true, PollInterval: 10000}, {Routers: 15, PollOnly: true, PollInterval: 10000},
	} {
		p := NewBackoff(c, 7)
		if w := p.InitialDelay(true); w < 0 || w > 3000 || (c.PollInterval > 0 && w > c.PollInterval/2) || (!c.PollOnly && w != 0) {
			t.Errorf("%+v: first call after %.0f ms", c, w)
		}
		if p.InitialDelay(false) != 0 {
			t.Errorf("%+v: a router without a list waits", c)
		}
		most, busyMost := 1.5*pushMost, 1.5*pushMost
		if c.PollOnly { // 200 ms of the service for each router, or what is allowed after a failure if that is less
			most, busyMost = 3000, max(3000, min(200*float64(c.Routers), 4*c.PollInterval))
		}
		for range 40 {
			if w := p.Failed(true); w <= 0 || w > busyMost {
				t.Errorf("%+v: %.0f ms after a busy service", c, w)
			}
			if w := p.Failed(false); w <= 0 || w > most {
				t.Errorf("%+v: %.0f ms after a failure", c, w)
			}
		}
		p.Succeeded()
		if w := p.Failed(true); w > 1.5*p.first {
			t.Errorf("%+v: %.0f ms after the first failure since an answer", c, w)
		}
	}
}

// Routers draw their moments: those that fail together do not return together.
func TestFailuresTogetherReturnApart(t *testing.T) {
	var waits []float64
	for i := range 50 {
		waits = append(waits, NewBackoff(Config{Routers: 50}, uint64(i)).Failed(false))
	}
	slices.Sort(waits)
	if spread := waits[45] - waits[5]; spread < aCall/2 {
		t.Errorf("eight in ten of 50 routers return within %.1f ms", spread)
	}
}
