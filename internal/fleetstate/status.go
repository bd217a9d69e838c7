package fleetstate

import "maps"

// StatusPage is a node's state for the admin page.
type StatusPage struct {
	Routers          int                // size of the fleet that stakes are computed from
	SlowStart        map[string]Quota   // of warming endpoints' budgets, in parts of the whole
	Stake            float64            // in an endpoint's budget
	Lent             map[string]float64 // by budget
	Borrowed         map[string]float64 // by budget
	RetryQuota       Quota              // retries a second
	Totals           Counters
	Counters         []CounterEntry // of each router and incarnation kept apart, this one first
	Ejections        []Ejection
	Reputation       map[string]float64 // of peers whose reports were refuted
	RejectedCounters uint64             // entries that were too old or too many
	UnknownSenders   uint64             // messages of routers outside the view
}

// StatusPage copies the node's state at now, in ms, with the last advice.
func (n *Node) StatusPage(now int64) StatusPage {
	return StatusPage{
		Routers:          n.routers,
		SlowStart:        n.advice.SlowStart,
		Stake:            n.endpointStake(),
		Lent:             activeAmounts(n.leases.lent, now),
		Borrowed:         activeAmounts(n.leases.borrowed, now),
		RetryQuota:       n.advice.RetryQuota,
		Totals:           n.Totals(),
		Counters:         n.counters.snapshot(),
		Ejections:        n.advice.Ejections,
		Reputation:       maps.Clone(n.outliers.reputation.byPeer),
		RejectedCounters: n.counters.rejected,
		UnknownSenders:   n.unknownSenders,
	}
}

// activeAmounts is the active amount of each budget.
func activeAmounts(leases map[string][]lease, now int64) map[string]float64 {
	amounts := make(map[string]float64, len(leases))
	for key, ofBudget := range leases {
		amounts[key] = activeAmount(ofBudget, now)
	}
	return amounts
}
