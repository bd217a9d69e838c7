package fleetstate

import "slices"

// RetryBudgetKey names the fleet's retry budget among the leases, in retries a
// second; every other key is the name of a warming endpoint, whose budget is
// counted in parts of the whole. The text is part of the protocol.
const RetryBudgetKey = "\x00repeats"

// Advice is what the router may act on until the next one.
type Advice struct {
	Routers            int              // size of the fleet: 1/Routers is a stake
	SlowStart          map[string]Quota // of warming endpoints' budgets, in parts of the whole, by name
	RemainingStake     float64          // what is left of the stake in every other endpoint, 1 for all
	RetryQuota         Quota            // retries a second; Own is negative by what is lent
	Ejections          []Ejection
	SuggestedPrimaries map[int]string // by group, where the router knows no primary
}

// ShiftedBy is the advice on a clock that is ms ahead of the one that it was
// made on. It shares no memory that it changes with a.
func (a Advice) ShiftedBy(ms int64) Advice {
	slowStart := make(map[string]Quota, len(a.SlowStart))
	for name, quota := range a.SlowStart {
		slowStart[name] = quota.onClockAhead(ms)
	}
	a.SlowStart = slowStart
	a.RetryQuota = a.RetryQuota.onClockAhead(ms)
	a.Ejections = slices.Clone(a.Ejections)
	for i := range a.Ejections {
		a.Ejections[i].Until += ms
	}
	return a
}

// Advice returns what holds at now, in ms. It weighs the reports on every
// endpoint, so the caller calls it at its own pace, and after each event
// that changed a lease. An expired lease is not part of it: a router that was
// paused must call it again before it sends.
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
		// This router may learn that an endpoint warms up later than the
		// borrower of its lease.
		if endpoint.WarmingUp || n.leases.has(endpoint.Name) {
			advice.SlowStart[endpoint.Name] = n.leases.quota(endpoint.Name, stake, now)
		}
	}
	n.advice = advice
	return advice
}
