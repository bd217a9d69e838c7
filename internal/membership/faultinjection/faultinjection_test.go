package faultinjection_test

import (
	"errors"
	"testing"

	"lotusbend/internal/membership"
	"lotusbend/internal/membership/faultinjection"
)

// TestEachNameDisablesItsGuardAlone parses each name, none and an unknown one.
func TestEachNameDisablesItsGuardAlone(t *testing.T) {
	guards := []func(membership.FaultInjection) bool{
		membership.FaultInjection.SkipsRefutation,
		membership.FaultInjection.SkipsPushPull,
		membership.FaultInjection.SkipsSuspicion,
	}
	for i, name := range append(faultinjection.Names(), "") {
		fault, err := faultinjection.Parse(name)
		if err != nil || string(fault) != name {
			t.Errorf("%q: parsed as %q, %v", name, fault, err)
		}
		for j, skips := range guards {
			if skips(fault) != (i == j) {
				t.Errorf("%q: guard %d disabled %v", name, j, skips(fault))
			}
		}
	}
	var unknown *faultinjection.UnknownFaultError
	if _, err := faultinjection.Parse("no-ping"); !errors.As(err, &unknown) || unknown.Name != "no-ping" {
		t.Errorf("an unknown name: %v", err)
	}
}
