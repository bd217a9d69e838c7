package fleetstate

// FaultInjection disables individual guards, so that drills and tests can show
// that their checks detect the resulting failure. It is nil in production;
// package faultinjection implements it. Each method must always return the same
// value.
type FaultInjection interface {
	// SkipLeaseWait lets a lender use a quota that it lent, and lend it again.
	SkipLeaseWait() bool
	// TrustSingleReporter lets one report eject an endpoint, whatever this
	// router observed.
	TrustSingleReporter() bool
	// SumCounters merges counters by addition instead of by maximum.
	SumCounters() bool
	// NeverExpire keeps borrowed leases and reports forever.
	NeverExpire() bool
	// UnlimitedGossipEjection removes the limit on how long gossip alone ejects.
	UnlimitedGossipEjection() bool
	// ReportAllUnresponsive makes this router byzantine: it reports every
	// endpoint as unresponsive.
	ReportAllUnresponsive() bool
	// ReportAllHealthy makes this router byzantine: it reports every endpoint as
	// healthy.
	ReportAllHealthy() bool
}

// noFaults is a FaultInjection that disables nothing.
type noFaults struct{}

func (noFaults) SkipLeaseWait() bool { return false }

func (noFaults) TrustSingleReporter() bool { return false }

func (noFaults) SumCounters() bool { return false }

func (noFaults) NeverExpire() bool { return false }

func (noFaults) UnlimitedGossipEjection() bool { return false }

func (noFaults) ReportAllUnresponsive() bool { return false }

func (noFaults) ReportAllHealthy() bool { return false }

// faults returns the injected faults, or noFaults if none are configured.
func (c Config) faults() FaultInjection {
	if c.FaultInjection == nil {
		return noFaults{}
	}
	return c.FaultInjection
}
