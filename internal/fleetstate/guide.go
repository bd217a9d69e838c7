package fleetstate

import "time"

// Guide is Advice in the module's terms: it implements decide.Fleet. Its
// times are those of the router's clock, in Unix milliseconds as Advice has
// them, told by the module as a duration.
//
// The router's loop owns it. Whatever it was told ends by itself: a borrowed
// share at its lease's end, a judgement at its own, without another call.
type FleetAdapter struct {
	routers int
	stake   float64
	rest    float64
	shares  map[uint32]Quota
	repeats Quota
	last    map[uint32]int64
	leads   map[uint32]int64
}

// leadFor is how long, in milliseconds, a heard leader is asked first.
const suggestionMs = 1000

// Count takes the view's number of routers alone, without shared state.
func (g *FleetAdapter) SetRouters(routers int) { g.routers = routers }

// Set takes advice given at now; id translates a host's name into the
// module's number.
func (g *FleetAdapter) Set(a Advice, id func(name string) (uint32, bool), now int64) {
	*g = FleetAdapter{routers: a.Routers, stake: 1 / float64(max(a.Routers, 1)), rest: a.RemainingStake, repeats: a.RetryQuota,
		shares: make(map[uint32]Quota, len(a.SlowStart)), last: make(map[uint32]int64, len(a.Ejections)), leads: make(map[uint32]int64, len(a.SuggestedPrimaries))}
	for name, s := range a.SlowStart {
		if n, ok := id(name); ok {
			g.shares[n] = s
		}
	}
	for _, j := range a.Ejections {
		if n, ok := id(j.Endpoint); ok {
			g.last[n] = j.Until
		}
	}
	for _, name := range a.SuggestedPrimaries {
		if n, ok := id(name); ok {
			g.leads[n] = now + suggestionMs
		}
	}
}

// Routers implements decide.Fleet.
func (g *FleetAdapter) Routers() int { return g.routers }

// Cold implements decide.Fleet: what was lent is taken off this router's own
// rate in proportion, and what was borrowed is added as parts of a member
// that bears one request at a time. A lender's own rate is at least its stake
// in such a member, so what it gives up is at least what the borrower gains.
func (g *FleetAdapter) SlowStartRate(member uint32, own, one float64, now time.Duration) float64 {
	s, ok := g.shares[member]
	switch {
	case g.stake <= 0: // told nothing, or the number of routers alone
		return own
	case !ok:
		return own * g.rest
	}
	rate := own * min(1, s.Own/g.stake)
	if now.Milliseconds() < s.Until {
		rate += one * s.Borrowed / g.stake
	}
	return rate
}

// Repeats implements decide.Fleet.
func (g *FleetAdapter) RetryRate(now time.Duration) float64 { return g.repeats.At(now.Milliseconds()) }

// Last implements decide.Fleet.
func (g *FleetAdapter) Deprioritized(member uint32, now time.Duration) bool {
	return now.Milliseconds() < g.last[member]
}

// Leads implements decide.Fleet.
func (g *FleetAdapter) SuggestedPrimary(member uint32, now time.Duration) bool {
	return now.Milliseconds() < g.leads[member]
}
