package faultinjection

import (
	"errors"
	"testing"

	"lotusbend/internal/fleetstate"
)

// Each fault is found by its name and takes out its own guard, besides the
// bound that every fault lifts; an unknown name is an error.
func TestEachFaultTakesOutItsOwnGuard(t *testing.T) {
	guards := map[Fault]func(fleetstate.FaultInjection) bool{
		NoLeaseWait:     fleetstate.FaultInjection.SkipLeaseWait,
		TrustOne:        fleetstate.FaultInjection.TrustSingleReporter,
		CountsBySum:     fleetstate.FaultInjection.SumCounters,
		NeverExpire:     fleetstate.FaultInjection.NeverExpire,
		AllUnresponsive: fleetstate.FaultInjection.ReportAllUnresponsive,
		AllHealthy:      fleetstate.FaultInjection.ReportAllHealthy,
	}
	if len(Names()) != len(guards) {
		t.Errorf("%d names, want %d", len(Names()), len(guards))
	}
	for _, name := range Names() {
		fault, err := Parse(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for other, takenOut := range guards {
			if got, want := takenOut(fault), other == fault; got != want {
				t.Errorf("%s takes out the guard of %s: %v, want %v", fault, other, got, want)
			}
		}
		if !fault.UnlimitedGossipEjection() {
			t.Errorf("%s keeps the bound on ejections by gossip", fault)
		}
	}
	var unknown *UnknownFaultError
	if _, err := Parse("unknown"); !errors.As(err, &unknown) || unknown.Name != "unknown" {
		t.Errorf("an unknown fault: %v", err)
	}
}
