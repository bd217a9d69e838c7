package membership

// FaultInjection disables guards of the protocol, so that drills and tests can
// show that their checks fail without them. Package faultinjection implements it.
// A router in production has none.
type FaultInjection interface {
	// SkipsRefutation reports whether the member leaves suspicions and deaths of
	// itself unrefuted.
	SkipsRefutation() bool
	// SkipsPushPull reports whether the member starts no periodic push-pulls.
	SkipsPushPull() bool
	// SkipsSuspicion reports whether the target of a failed probe is declared dead
	// at once instead of suspect.
	SkipsSuspicion() bool
}

// noFaults is the FaultInjection of production: every guard is enabled.
type noFaults struct{}

func (noFaults) SkipsRefutation() bool { return false }
func (noFaults) SkipsPushPull() bool   { return false }
func (noFaults) SkipsSuspicion() bool  { return false }
