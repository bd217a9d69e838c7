package fleetstate

import "time"

// Guide is Advice in the module's terms: it implements decide.Fleet. Its
// times are those of the router's clock, in Unix milliseconds as Advice has
// them, told by the module as a duration.
//
// The router's loop owns it. Whatever it was told ends by itself: a borrowed
// share at its lease's end, a judgement at its own, without another call.
type Guide struct {
	routers int
	stake   float64
	rest    float64
	shares  map[uint32]Share
	repeats Share
	last    map[uint32]int64
	leads   map[uint32]int64
}

// leadFor is how long, in milliseconds, a heard leader is asked first.
const leadFor = 1000

// Count takes the view's number of routers alone, without shared state.
func (g *Guide) Count(routers int) { g.routers = routers }

// Set takes advice given at now; id translates a host's name into the
// module's number.
func (g *Guide) Set(a Advice, id func(name string) (uint32, bool), now int64) {
	*g = Guide{routers: a.Routers, stake: 1 / float64(max(a.Routers, 1)), rest: a.Rest, repeats: a.Repeats,
		shares: make(map[uint32]Share, len(a.Shares)), last: make(map[uint32]int64, len(a.Judged)), leads: make(map[uint32]int64, len(a.Leaders))}
	for name, s := range a.Shares {
		if n, ok := id(name); ok {
			g.shares[n] = s
		}
	}
	for _, j := range a.Judged {
		if n, ok := id(j.Host); ok {
			g.last[n] = j.Until
		}
	}
	for _, name := range a.Leaders {
		if n, ok := id(name); ok {
			g.leads[n] = now + leadFor
		}
	}
}

// Routers implements decide.Fleet.
func (g *Guide) Routers() int { return g.routers }

// Cold implements decide.Fleet: what was lent is taken off this router's own
// rate in proportion, and what was borrowed is added as parts of a member
// that bears one request at a time. A lender's own rate is at least its stake
// in such a member, so what it gives up is at least what the borrower gains.
func (g *Guide) SlowStartRate(member uint32, own, one float64, now time.Duration) float64 {
	s, ok := g.shares[member]
	switch {
	case g.stake <= 0: // told nothing, or the number of routers alone
		return own
	case !ok:
		return own * g.rest
	}
	rate := own * min(1, s.Own/g.stake)
	if now.Milliseconds() < s.Until {
		rate += one * s.Held / g.stake
	}
	return rate
}

// Repeats implements decide.Fleet.
func (g *Guide) RetryRate(now time.Duration) float64 { return g.repeats.At(now.Milliseconds()) }

// Last implements decide.Fleet.
func (g *Guide) Deprioritized(member uint32, now time.Duration) bool {
	return now.Milliseconds() < g.last[member]
}

// Leads implements decide.Fleet.
func (g *Guide) SuggestedPrimary(member uint32, now time.Duration) bool {
	return now.Milliseconds() < g.leads[member]
}
