package decide

import "time"

// Fleet provides the information of the other routers of the fleet that decisions
// use; internal/fleetstate implements it. It can only make the router more
// cautious, except for quotas that other routers have lent to it. A router without
// a Fleet uses its own rates and prefers no endpoint.
type Fleet interface {
	// Routers returns an upper bound of the number of routers in the fleet, 0 if
	// it is unknown. A number less than Config.Routers has no effect.
	Routers() int
	// SlowStartRate returns the rate at which this router may send to a warming
	// endpoint, in requests a second and as if the endpoint were warm. ownRate is
	// the rate that the router would use without a Fleet. singleRequestRate is
	// the router's share of the rate of an endpoint that serves one request at a
	// time.
	SlowStartRate(endpoint uint32, ownRate, singleRequestRate float64, now time.Duration) float64
	// RetryRate returns the retries a second that are added to the router's retry
	// budget, negative if the router has lent some of its own.
	RetryRate(now time.Duration) float64
	// Deprioritized reports whether other replicas that are fresh enough are
	// preferred to the endpoint, and the trial of its open circuit breaker is
	// postponed.
	Deprioritized(endpoint uint32, now time.Duration) bool
	// SuggestedPrimary reports whether primary discovery in the endpoint's group
	// tries this endpoint next.
	SuggestedPrimary(endpoint uint32, now time.Duration) bool
}

// JoinFleet sets the Fleet to use. Before the first call the router is standalone.
func (r *Router) JoinFleet(fleet Fleet) { r.fleet = fleet }

// standalone is the Fleet of a router without peers.
type standalone struct{}

func (standalone) Routers() int { return 0 }

func (standalone) SlowStartRate(_ uint32, ownRate, _ float64, _ time.Duration) float64 {
	return ownRate
}

func (standalone) RetryRate(time.Duration) float64 { return 0 }

func (standalone) Deprioritized(uint32, time.Duration) bool { return false }

func (standalone) SuggestedPrimary(uint32, time.Duration) bool { return false }
