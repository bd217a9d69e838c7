package membership

// FaultInjection disables guards of the protocol, so that drills and tests see
// the checks fail that depend on them. Package faultinjection implements it; a
// router in service has none.
type FaultInjection interface {
	// SkipsRefutation reports whether the member does not refute suspicions and
	// deaths of itself.
	SkipsRefutation() bool
	// SkipsPushPull reports whether the member starts no periodic push-pull.
	SkipsPushPull() bool
	// SkipsSuspicion reports whether a failed probe is declared a death at once.
	SkipsSuspicion() bool
}

// noFaults is the FaultInjection in service: every guard works.
type noFaults struct{}

func (noFaults) SkipsRefutation() bool { return false }
func (noFaults) SkipsPushPull() bool   { return false }
func (noFaults) SkipsSuspicion() bool  { return false }
