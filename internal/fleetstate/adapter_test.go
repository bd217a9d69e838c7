package fleetstate

import (
	"math"
	"testing"
	"time"
)

func at(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Advice ends by itself: a router that was paused acts on nothing that has
// expired, before new advice comes.
func TestAdapterForgetsExpiredAdvice(t *testing.T) {
	var g FleetAdapter
	advised := g.Deprioritized(1, at(0)) || g.SuggestedPrimary(1, at(0))
	if g.SlowStartRate(1, 5, 2, at(0)) != 5 || advised || g.RetryRate(at(0)) != 0 {
		t.Fatal("an adapter without advice changes something")
	}
	id := func(name string) (uint32, bool) { return uint32(len(name)), name != "unknown" }
	g.Set(Advice{
		Routers:            4,
		RemainingStake:     0.5,
		SlowStart:          map[string]Quota{"h": {Own: 0.125, Borrowed: 0.5, Until: 1000}, "unknown": {}},
		RetryQuota:         Quota{Own: -0.2, Borrowed: 1, Until: 1000},
		Ejections:          []Ejection{{Endpoint: "hh", Until: 700}},
		SuggestedPrimaries: map[int]string{1: "hhh"},
	}, id, 100)
	// Half of the stake of a quarter is left, and two stakes are borrowed.
	if got := g.SlowStartRate(1, 6, 2, at(999)); got != 6*0.5+2*2 {
		t.Errorf("the rate is %g, want half of its own and two stakes", got)
	}
	if got := g.SlowStartRate(1, 6, 2, at(1000)); got != 3 {
		t.Errorf("past the lease the rate is %g, want half of its own", got)
	}
	if got := g.SlowStartRate(9, 6, 2, at(500)); got != 3 {
		t.Errorf("of an endpoint without a quota the rate is %g, want what is left of every stake", got)
	}
	if a, b := g.RetryRate(at(999)), g.RetryRate(at(1000)); a != 0.8 || b != -0.2 {
		t.Errorf("retries %g within the lease and %g past it, want 0.8 and -0.2", a, b)
	}
	if !g.Deprioritized(2, at(699)) || g.Deprioritized(2, at(700)) {
		t.Error("an ejection must hold until its end, and no longer")
	}
	if !g.SuggestedPrimary(3, at(1099)) || g.SuggestedPrimary(3, at(1100)) {
		t.Error("a suggested primary is tried first for a while, and no longer")
	}
}

// A lender gives up at least what the borrower gains, whatever their own rates.
func TestLendingNeverRaisesTheRateOfAWarmingEndpoint(t *testing.T) {
	id := func(string) (uint32, bool) { return 1, true }
	for _, own := range []float64{2, 3, 10, 100} { // at least the stake's rate, which is 2
		for _, lent := range []float64{0, 0.05, 0.125, 0.25} {
			const stake, one = 0.25, 2.0
			var lender, borrower FleetAdapter
			lender.Set(Advice{Routers: 4, SlowStart: map[string]Quota{"h": {Own: stake - lent, Until: math.MaxInt64}}}, id, 0)
			borrower.Set(Advice{Routers: 4, SlowStart: map[string]Quota{"h": {Own: stake, Borrowed: lent, Until: 1000}}}, id, 0)
			sum := lender.SlowStartRate(1, own, one, at(1)) + borrower.SlowStartRate(1, own, one, at(1))
			if sum > 2*own+1e-9 {
				t.Errorf("own rate %g, lent %g: together %g, standalone %g", own, lent, sum, 2*own)
			}
		}
	}
}

// Advice and observations cross between two clocks without moving in time.
func TestShiftedByMovesTimes(t *testing.T) {
	a := Advice{
		SlowStart:  map[string]Quota{"h": {Own: 1, Borrowed: 1, Until: 500}, "i": {Own: 1, Until: math.MaxInt64}},
		RetryQuota: Quota{Until: 90},
		Ejections:  []Ejection{{Endpoint: "h", Until: 70}},
	}
	b := a.ShiftedBy(2000)
	quotasShifted := b.SlowStart["h"].Until == 2500 && b.SlowStart["i"].Until == math.MaxInt64 && b.RetryQuota.Until == 2090
	if !quotasShifted || b.Ejections[0].Until != 2070 || a.Ejections[0].Until != 70 {
		t.Errorf("shifted %+v from %+v", b, a)
	}
	s := Observation{Endpoints: []EndpointHealth{{Name: "h", AnsweredSentAt: 10, FaultAt: 0, LastSentAt: 30}}}
	got := s.ShiftedBy(5).Endpoints[0]
	if got.AnsweredSentAt != 15 || got.FaultAt != 0 || got.LastSentAt != 35 || s.Endpoints[0].AnsweredSentAt != 10 {
		t.Errorf("shifted %+v", got)
	}
}
