package fleetstate

import "slices"

// Observation is what the router observed since the last one: what it counted,
// and every endpoint as it knows it now.
type Observation struct {
	Counters    Counters // raised since the last observation
	Endpoints   []EndpointHealth
	RetryBudget RetryBudget
}

// RetryBudget is the state of the router's retry budget: what it earns, and
// whether it has more than it uses or less.
type RetryBudget struct {
	EarnedPerSecond float64 // retries a second
	Surplus         bool
	Depleted        bool
}

// ShiftedBy is the observation on a clock that is ms ahead of the router's.
// It shares no endpoints with o.
func (o Observation) ShiftedBy(ms int64) Observation {
	o.Endpoints = slices.Clone(o.Endpoints)
	for i := range o.Endpoints {
		o.Endpoints[i].shiftTimes(ms)
	}
	return o
}

// shiftTimes adds ms to every time that is not 0 (never).
func (h *EndpointHealth) shiftTimes(ms int64) {
	times := []*int64{&h.PrimaryReportedAt, &h.FaultAt, &h.AnsweredSentAt, &h.FreshAt, &h.LastSentAt}
	for _, time := range times {
		if *time > 0 {
			*time += ms
		}
	}
}
