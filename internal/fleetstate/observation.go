package fleetstate

import "slices"

// Observation holds what the router counted since the previous observation, and
// the current state of every endpoint.
type Observation struct {
	Counters    Counters // counts since the previous observation
	Endpoints   []EndpointHealth
	RetryBudget RetryBudget
}

// RetryBudget is the state of the router's own retry budget.
type RetryBudget struct {
	EarnedPerSecond float64 // retries per second
	Surplus         bool    // the router can lend retries
	Depleted        bool    // the router needs more retries
}

// ShiftedBy returns the observation with its times converted to a clock that is
// ms ahead. The endpoints of o are not modified.
func (o Observation) ShiftedBy(ms int64) Observation {
	o.Endpoints = slices.Clone(o.Endpoints)
	for i := range o.Endpoints {
		o.Endpoints[i].shiftTimes(ms)
	}
	return o
}

// shiftTimes adds ms to every time except 0, which means never.
func (h *EndpointHealth) shiftTimes(ms int64) {
	times := []*int64{&h.PrimaryReportedAt, &h.FaultAt, &h.AnsweredSentAt, &h.FreshAt, &h.LastSentAt}
	for _, time := range times {
		if *time > 0 {
			*time += ms
		}
	}
}
