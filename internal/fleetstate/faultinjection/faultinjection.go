// Package faultinjection defines the faults that drills and tests inject into the
// shared state. Each fault disables one guard, so that the check that relies on
// the guard must fail. No fault is injected in production.
package faultinjection

import (
	"fmt"
	"slices"
	"strings"
)

// Fault names an injected fault and implements fleetstate.FaultInjection. Its text
// is the value of the key sabotage in the settings file. The empty Fault disables
// nothing.
type Fault string

// The faults, by their effect.
const (
	NoLeaseWait     Fault = "no-lease-wait" // a lender uses a quota that it lent, and lends it again
	TrustOne        Fault = "trust-one"     // one report ejects an endpoint, whatever the router observed
	CountsBySum     Fault = "counts-by-sum" // counters are merged by addition
	NeverExpire     Fault = "never-expire"  // borrowed leases and reports do not expire
	AllUnresponsive Fault = "liar"          // the router reports every endpoint as unresponsive
	AllHealthy      Fault = "liar-well"     // the router reports every endpoint as healthy
)

var all = []Fault{NoLeaseWait, TrustOne, CountsBySum, NeverExpire, AllUnresponsive, AllHealthy}

// UnknownFaultError reports a name that no fault has. Parse returns it.
type UnknownFaultError struct{ Name string }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	names := strings.Join(Names(), ", ")
	return fmt.Sprintf("faultinjection: unknown fault %q, want one of %s", e.Name, names)
}

// Names returns the names of all faults.
func Names() []string {
	names := make([]string, 0, len(all))
	for _, fault := range all {
		names = append(names, string(fault))
	}
	return names
}

// Parse returns the fault with the given name, or an *UnknownFaultError.
func Parse(name string) (Fault, error) {
	if !slices.Contains(all, Fault(name)) {
		return "", &UnknownFaultError{Name: name}
	}
	return Fault(name), nil
}

// SkipLeaseWait implements fleetstate.FaultInjection.
func (f Fault) SkipLeaseWait() bool { return f == NoLeaseWait }

// TrustSingleReporter implements fleetstate.FaultInjection.
func (f Fault) TrustSingleReporter() bool { return f == TrustOne }

// SumCounters implements fleetstate.FaultInjection.
func (f Fault) SumCounters() bool { return f == CountsBySum }

// NeverExpire implements fleetstate.FaultInjection.
func (f Fault) NeverExpire() bool { return f == NeverExpire }

// UnlimitedGossipEjection implements fleetstate.FaultInjection. Every fault removes
// this limit as well, so that the limit cannot mask the disabled guard.
func (f Fault) UnlimitedGossipEjection() bool { return f != "" }

// ReportAllUnresponsive implements fleetstate.FaultInjection.
func (f Fault) ReportAllUnresponsive() bool { return f == AllUnresponsive }

// ReportAllHealthy implements fleetstate.FaultInjection.
func (f Fault) ReportAllHealthy() bool { return f == AllHealthy }
