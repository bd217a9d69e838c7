package fleetstate

// FaultInjection switches single guards off, for drills and tests that must
// see their checks fail. It is nil in service; package faultinjection
// implements it. Its methods must always return the same.
type FaultInjection interface {
	// SkipLeaseWait lets a lender go on using what it lent, and lend it again.
	SkipLeaseWait() bool
	// TrustSingleReporter lets one report eject an endpoint, whatever was
	// observed here.
	TrustSingleReporter() bool
	// SumCounters merges counters by addition instead of by maximum.
	SumCounters() bool
	// NeverExpire keeps borrowed leases and reports without end.
	NeverExpire() bool
	// UnlimitedGossipEjection lifts the bound on how long gossip alone ejects.
	UnlimitedGossipEjection() bool
	// ReportAllUnresponsive makes the router report every endpoint as
	// unresponsive, ReportAllHealthy as healthy: a byzantine peer.
	ReportAllUnresponsive() bool
	ReportAllHealthy() bool
}

// noFaults is the FaultInjection in service.
type noFaults struct{}

func (noFaults) SkipLeaseWait() bool { return false }

func (noFaults) TrustSingleReporter() bool { return false }

func (noFaults) SumCounters() bool { return false }

func (noFaults) NeverExpire() bool { return false }

func (noFaults) UnlimitedGossipEjection() bool { return false }

func (noFaults) ReportAllUnresponsive() bool { return false }

func (noFaults) ReportAllHealthy() bool { return false }

// faults returns the injected faults, none where nothing is set.
func (c Config) faults() FaultInjection {
	if c.FaultInjection == nil {
		return noFaults{}
	}
	return c.FaultInjection
}
