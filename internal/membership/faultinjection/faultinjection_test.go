package faultinjection_test

import (
	"errors"
	"testing"

	"lotusbend/internal/membership"
	"lotusbend/internal/membership/faultinjection"
)

// TestEachNameDisablesItsGuardAlone checks that each fault disables exactly the
// guard it names, the empty name disables none, and an unknown name is rejected.
func TestEachNameDisablesItsGuardAlone(t *testing.T) {
	guards := []func(membership.FaultInjection) bool{
		membership.FaultInjection.SkipsRefutation,
		membership.FaultInjection.SkipsPushPull,
		membership.FaultInjection.SkipsSuspicion,
	}
	for i, name := range append(faultinjection.Names(), "") {
		fault, err := faultinjection.Parse(name)
		if err != nil || string(fault) != name {
			t.Errorf("Parse(%q) = %q, %v, want the fault of that name", name, fault, err)
		}
		for j, skips := range guards {
			if skips(fault) != (i == j) {
				t.Errorf("fault %q: guard %d disabled = %v, want %v", name, j, skips(fault), i == j)
			}
		}
	}
	var unknown *faultinjection.UnknownFaultError
	if _, err := faultinjection.Parse("no-ping"); !errors.As(err, &unknown) || unknown.Name != "no-ping" {
		t.Errorf(`Parse("no-ping") returned error %v, want an *UnknownFaultError`, err)
	}
}
