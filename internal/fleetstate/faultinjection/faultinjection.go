// Package faultinjection names the faults that drills and tests inject into the
// shared state. Each takes one guard out, so that the check which relies on the
// guard must fail. Nothing of it runs in service.
package faultinjection

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one guard taken out. It implements fleetstate.FaultInjection; its
// text is the value of the key sabotage in the operators' file.
type Fault string

// The faults.
const (
	NoLeaseWait     Fault = "no-lease-wait" // a lender goes on using what it lent, and lends it again
	TrustOne        Fault = "trust-one"     // one report ejects, whatever was observed here
	CountsBySum     Fault = "counts-by-sum" // counters are merged by addition
	NeverExpire     Fault = "never-expire"  // borrowed leases and reports do not end
	AllUnresponsive Fault = "liar"          // every endpoint is reported as unresponsive
	AllHealthy      Fault = "liar-well"     // every endpoint is reported as healthy
)

var all = []Fault{NoLeaseWait, TrustOne, CountsBySum, NeverExpire, AllUnresponsive, AllHealthy}

// UnknownFaultError is returned by Parse for a name that no fault has.
type UnknownFaultError struct{ Name string }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	names := strings.Join(Names(), ", ")
	return fmt.Sprintf("faultinjection: unknown fault %q, want one of %s", e.Name, names)
}

// Names are the faults' names.
func Names() []string {
	names := make([]string, 0, len(all))
	for _, fault := range all {
		names = append(names, string(fault))
	}
	return names
}

// Parse returns the fault of that name, or an UnknownFaultError.
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

// UnlimitedGossipEjection implements fleetstate.FaultInjection: every fault
// lifts this bound as well, so that it cannot hide the guard taken out.
func (f Fault) UnlimitedGossipEjection() bool { return f != "" }

// ReportAllUnresponsive implements fleetstate.FaultInjection.
func (f Fault) ReportAllUnresponsive() bool { return f == AllUnresponsive }

// ReportAllHealthy implements fleetstate.FaultInjection.
func (f Fault) ReportAllHealthy() bool { return f == AllHealthy }
