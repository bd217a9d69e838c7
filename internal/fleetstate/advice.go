package fleetstate

import "slices"

// RetryBudgetKey is the lease key of the fleet's retry budget, which is measured
// in retries per second. Every other key is the name of an endpoint in slow
// start, whose budget is measured as a fraction of the whole. The text is part of
// the protocol.
const RetryBudgetKey = "\x00repeats"

// Advice holds the limits and hints that the router applies until the next
// Advice.
type Advice struct {
	Routers            int              // size of the fleet; a stake is 1/Routers
	SlowStart          map[string]Quota // fraction of each warming endpoint's budget, by endpoint name
	RemainingStake     float64          // usable fraction of the stake in endpoints not in SlowStart
	RetryQuota         Quota            // retries per second; Own is minus what is or may be lent
	Ejections          []Ejection
	SuggestedPrimaries map[int]string // endpoint name by replica group, where the router knows no primary
}

// ShiftedBy returns the advice with its times converted to a clock that is ms
// ahead. The quotas and ejections of a are not modified.
func (a Advice) ShiftedBy(ms int64) Advice {
	slowStart := make(map[string]Quota, len(a.SlowStart))
	for name, quota := range a.SlowStart {
		slowStart[name] = quota.shiftedBy(ms)
	}
	a.SlowStart = slowStart
	a.RetryQuota = a.RetryQuota.shiftedBy(ms)
	a.Ejections = slices.Clone(a.Ejections)
	for i := range a.Ejections {
		a.Ejections[i].Until += ms
	}
	return a
}

// Advice computes the advice that holds at now, in ms. It evaluates the reports
// on every endpoint, which is too costly for each request: call it periodically
// and after each event that changed a lease. Leases that have expired at now are
// left out. The others end at Quota.Until without another call, so that a router
// resuming from a pause does not use an expired lease.
func (n *Node) Advice(now int64) Advice {
	advice := Advice{
		Routers:            n.routers,
		Ejections:          n.outliers.eject(now),
		SuggestedPrimaries: n.outliers.suggestedPrimaries(),
		SlowStart:          map[string]Quota{},
		RemainingStake:     n.leases.quota("", 1, now).Own,
		RetryQuota:         n.leases.quota(RetryBudgetKey, n.retryBudget.EarnedPerSecond, now),
	}
	advice.RetryQuota.Own -= n.retryBudget.EarnedPerSecond
	stake := n.endpointStake()
	for i := range n.outliers.endpoints {
		endpoint := &n.outliers.endpoints[i]
		// A peer may learn of the slow start, and borrow, before this router
		// sees the endpoint warming up.
		if endpoint.WarmingUp || n.leases.has(endpoint.Name) {
			advice.SlowStart[endpoint.Name] = n.leases.quota(endpoint.Name, stake, now)
		}
	}
	n.advice = advice
	return advice
}
