// Package faultinjection disables single guards of the membership protocol, for
// drills and tests that must see the check fail which the guard protects. No
// router in service sets one. Package membership's FaultInjection interface is
// implemented by [Fault].
package faultinjection

import "fmt"

// Fault names the guard that is disabled. The zero Fault disables none. It is
// immutable and safe for concurrent use.
type Fault string

// The faults, by the names that settings files and drills use.
const (
	None         Fault = ""
	NoRefutation Fault = "no-refute"    // suspicions and deaths of the member itself are not refuted
	NoPushPull   Fault = "no-pushpull"  // no periodic push-pull
	NoSuspicion  Fault = "no-suspicion" // a failed probe is declared a death at once
)

// Names lists the faults that may be selected by name.
func Names() []string {
	return []string{string(NoRefutation), string(NoPushPull), string(NoSuspicion)}
}

// UnknownFaultError is returned by Parse for a name that no fault has.
type UnknownFaultError struct {
	Name string
}

// Error implements error.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("membership: sabotage %q, want no-refute, no-pushpull or no-suspicion", e.Name)
}

// Parse returns the fault of a name, None for "". Its error is an
// *UnknownFaultError.
func Parse(name string) (Fault, error) {
	switch fault := Fault(name); fault {
	case None, NoRefutation, NoPushPull, NoSuspicion:
		return fault, nil
	}
	return None, &UnknownFaultError{Name: name}
}

// SkipsRefutation implements membership.FaultInjection.
func (f Fault) SkipsRefutation() bool { return f == NoRefutation }

// SkipsPushPull implements membership.FaultInjection.
func (f Fault) SkipsPushPull() bool { return f == NoPushPull }

// SkipsSuspicion implements membership.FaultInjection.
func (f Fault) SkipsSuspicion() bool { return f == NoSuspicion }
