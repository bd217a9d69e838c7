// Package faultinjection disables single guards of the membership protocol, so
// that drills and tests can show that their checks fail without them. Routers in
// production have no fault set. [Fault] implements the FaultInjection interface of
// package membership.
package faultinjection

import "fmt"

// Fault selects the guard that is disabled. It is safe for concurrent use.
type Fault string

// The faults. Their values are the names in settings files and drill flags.
const (
	None         Fault = ""             // all guards are enabled
	NoRefutation Fault = "no-refute"    // the member leaves suspicions and deaths of itself unrefuted
	NoPushPull   Fault = "no-pushpull"  // the member starts no periodic push-pulls
	NoSuspicion  Fault = "no-suspicion" // the target of a failed probe is declared dead at once
)

// Names returns the names of all faults but None.
func Names() []string {
	return []string{string(NoRefutation), string(NoPushPull), string(NoSuspicion)}
}

// UnknownFaultError is the error of Parse for a name that is not that of a fault.
type UnknownFaultError struct {
	Name string
}

// Error implements error.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("unknown membership fault %q: want no-refute, no-pushpull or no-suspicion", e.Name)
}

// Parse returns the fault with the given name, None for "". It returns an
// *UnknownFaultError for an unknown name.
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
