package faultinjection

import (
	"errors"
	"testing"

	"lotusbend/internal/fleetstate"
)

// Parse finds each fault by its name. Each fault disables its own guard and the
// limit on ejection by gossip alone, and no other guard. Parse of an unknown name
// returns an error.
func TestEachFaultDisablesOnlyItsGuard(t *testing.T) {
	guards := map[Fault]func(fleetstate.FaultInjection) bool{
		NoLeaseWait:     fleetstate.FaultInjection.SkipLeaseWait,
		TrustOne:        fleetstate.FaultInjection.TrustSingleReporter,
		CountsBySum:     fleetstate.FaultInjection.SumCounters,
		NeverExpire:     fleetstate.FaultInjection.NeverExpire,
		AllUnresponsive: fleetstate.FaultInjection.ReportAllUnresponsive,
		AllHealthy:      fleetstate.FaultInjection.ReportAllHealthy,
	}
	if len(Names()) != len(guards) {
		t.Errorf("Names() has %d names, want %d", len(Names()), len(guards))
	}
	for _, name := range Names() {
		fault, err := Parse(name)
		if err != nil {
			t.Errorf("Parse(%q): %v", name, err)
		}
		for other, disables := range guards {
			if got, want := disables(fault), other == fault; got != want {
				t.Errorf("%s disables the guard of %s: %v, want %v", fault, other, got, want)
			}
		}
		if !fault.UnlimitedGossipEjection() {
			t.Errorf("UnlimitedGossipEjection() of %s = false, want true", fault)
		}
	}
	var unknown *UnknownFaultError
	if _, err := Parse("unknown"); !errors.As(err, &unknown) || unknown.Name != "unknown" {
		t.Errorf("Parse(unknown name) = %v, want an UnknownFaultError with that name", err)
	}
}
