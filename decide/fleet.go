package decide

import "time"

// Fleet is what the other routers of the fleet contribute to the decisions; it
// is implemented by internal/fleetstate. It can only make the router more
// careful, except for quotas that other routers gave up. Without one the router
// acts as if every method returned what it was given.
type Fleet interface {
	// Routers is how many routers there may be, 0 if that is not known. Fewer
	// than Config.Routers change nothing.
	Routers() int
	// SlowStartRate returns the rate, in requests a second of a warm endpoint,
	// that this router may send to a warming endpoint. own is the router's own
	// rate; one is its stake in an endpoint that serves one request at a time.
	SlowStartRate(endpoint uint32, own, one float64, now time.Duration) float64
	// RetryRate returns the retries a second that this router has besides the
	// ones that it earns, negative if it gave some up.
	RetryRate(now time.Duration) float64
	// Deprioritized reports that an endpoint is selected last among those that
	// are fresh enough, and is not tried yet if its circuit breaker is open.
	Deprioritized(endpoint uint32, now time.Duration) bool
	// SuggestedPrimary reports that primary discovery in the endpoint's group
	// tries this endpoint next.
	SuggestedPrimary(endpoint uint32, now time.Duration) bool
}

// JoinFleet sets the Fleet to consult; before that the router
// is standalone.
func (r *Router) JoinFleet(fleet Fleet) { r.fleet = fleet }

// standalone is the Fleet of a router without peers.
type standalone struct{}

func (standalone) Routers() int { return 0 }

func (standalone) SlowStartRate(_ uint32, own, _ float64, _ time.Duration) float64 { return own }

func (standalone) RetryRate(time.Duration) float64 { return 0 }

func (standalone) Deprioritized(uint32, time.Duration) bool { return false }

func (standalone) SuggestedPrimary(uint32, time.Duration) bool { return false }
