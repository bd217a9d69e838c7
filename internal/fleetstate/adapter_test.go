package fleetstate

import (
	"math"
	"testing"
	"time"
)

// at returns a time in the form in which the decision module passes it.
func at(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Every part of the advice expires without new advice, so that a router resuming
// from a pause does not apply anything that has expired.
func TestAdapterForgetsExpiredAdvice(t *testing.T) {
	var adapter FleetAdapter
	advised := adapter.Deprioritized(1, at(0)) || adapter.SuggestedPrimary(1, at(0))
	if adapter.SlowStartRate(1, 5, 2, at(0)) != 5 || advised || adapter.RetryRate(at(0)) != 0 {
		t.Fatal("an adapter without advice changes a rate or the order of endpoints, want no effect")
	}
	id := func(name string) (uint32, bool) { return uint32(len(name)), name != "unknown" }
	adapter.Set(Advice{
		Routers:            4,
		RemainingStake:     0.5,
		SlowStart:          map[string]Quota{"h": {Own: 0.125, Borrowed: 0.5, Until: 1000}, "unknown": {}},
		RetryQuota:         Quota{Own: -0.2, Borrowed: 1, Until: 1000},
		Ejections:          []Ejection{{Endpoint: "hh", Until: 700}},
		SuggestedPrimaries: map[int]string{1: "hhh"},
	}, id, 100)
	// The stake is 0.25. Half of it is left, and two stakes are borrowed.
	if got := adapter.SlowStartRate(1, 6, 2, at(999)); got != 6*0.5+2*2 {
		t.Errorf("SlowStartRate within the lease = %g, want 7 (half the own rate and two stakes)", got)
	}
	if got := adapter.SlowStartRate(1, 6, 2, at(1000)); got != 3 {
		t.Errorf("SlowStartRate past the lease = %g, want 3 (half the own rate)", got)
	}
	if got := adapter.SlowStartRate(9, 6, 2, at(500)); got != 3 {
		t.Errorf("SlowStartRate of an endpoint without a quota = %g, want 3 (the remaining stake)", got)
	}
	if a, b := adapter.RetryRate(at(999)), adapter.RetryRate(at(1000)); a != 0.8 || b != -0.2 {
		t.Errorf("RetryRate = %g within the lease and %g past it, want 0.8 and -0.2", a, b)
	}
	if !adapter.Deprioritized(2, at(699)) || adapter.Deprioritized(2, at(700)) {
		t.Error("Deprioritized must be true before the ejection's end at 700 ms and false from then on")
	}
	if !adapter.SuggestedPrimary(3, at(1099)) || adapter.SuggestedPrimary(3, at(1100)) {
		t.Error("SuggestedPrimary must be true for 1000 ms after the advice and false from then on")
	}
}

// A lender gives up at least as much as the borrower gains, whatever their own
// rates are.
func TestLendingNeverRaisesTheRateOfAWarmingEndpoint(t *testing.T) {
	id := func(string) (uint32, bool) { return 1, true }
	for _, own := range []float64{2, 3, 10, 100} { // at least the rate of one stake, which is 2
		for _, lent := range []float64{0, 0.05, 0.125, 0.25} {
			const stake, one = 0.25, 2.0
			var lender, borrower FleetAdapter
			lender.Set(Advice{Routers: 4, SlowStart: map[string]Quota{"h": {Own: stake - lent, Until: math.MaxInt64}}}, id, 0)
			borrower.Set(Advice{Routers: 4, SlowStart: map[string]Quota{"h": {Own: stake, Borrowed: lent, Until: 1000}}}, id, 0)
			sum := lender.SlowStartRate(1, own, one, at(1)) + borrower.SlowStartRate(1, own, one, at(1))
			if sum > 2*own+1e-9 {
				t.Errorf("own rate %g, lent %g: sum of both rates %g, want at most %g", own, lent, sum, 2*own)
			}
		}
	}
}

// Converting advice and observations to another clock shifts every time except
// those that mean never, and leaves the original unchanged.
func TestShiftedByMovesTimes(t *testing.T) {
	advice := Advice{
		SlowStart:  map[string]Quota{"h": {Own: 1, Borrowed: 1, Until: 500}, "i": {Own: 1, Until: math.MaxInt64}},
		RetryQuota: Quota{Until: 90},
		Ejections:  []Ejection{{Endpoint: "h", Until: 70}},
	}
	shifted := advice.ShiftedBy(2000)
	quotasShifted := shifted.SlowStart["h"].Until == 2500 && shifted.SlowStart["i"].Until == math.MaxInt64 && shifted.RetryQuota.Until == 2090
	if !quotasShifted || shifted.Ejections[0].Until != 2070 || advice.Ejections[0].Until != 70 {
		t.Errorf("ShiftedBy(2000) = %+v of %+v, want times 2000 ms later except math.MaxInt64, and the original unchanged",
			shifted, advice)
	}
	observation := Observation{Endpoints: []EndpointHealth{{Name: "h", AnsweredSentAt: 10, FaultAt: 0, LastSentAt: 30}}}
	got := observation.ShiftedBy(5).Endpoints[0]
	if got.AnsweredSentAt != 15 || got.FaultAt != 0 || got.LastSentAt != 35 || observation.Endpoints[0].AnsweredSentAt != 10 {
		t.Errorf("ShiftedBy(5) = %+v, want times 15, 0 and 35, and the original unchanged", got)
	}
}
