package fleetstate

import "maps"

// StatusPage is a node's state for the admin page.
type StatusPage struct {
	Routers          int                // size of the fleet, from which stakes are computed
	SlowStart        map[string]Quota   // fraction of each warming endpoint's budget, by endpoint name
	Stake            float64            // fraction of an endpoint's budget
	Lent             map[string]float64 // amount by budget
	Borrowed         map[string]float64 // amount by budget
	RetryQuota       Quota              // retries per second
	Totals           Counters
	Counters         []CounterEntry // entries that are not compacted, this router's own first
	Ejections        []Ejection
	Reputation       map[string]float64 // of peers below full reputation, by name
	RejectedCounters uint64             // number of received entries that were too old or too many
	UnknownSenders   uint64             // number of messages from routers outside the view
}

// StatusPage returns the node's state at now, in ms, with the latest advice.
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

// activeAmounts returns the sum of the leases of each budget that have not
// expired.
func activeAmounts(leases map[string][]lease, now int64) map[string]float64 {
	amounts := make(map[string]float64, len(leases))
	for key, budgetLeases := range leases {
		amounts[key] = activeAmount(budgetLeases, now)
	}
	return amounts
}
