package decide

import "time"

// EndpointView is the router's knowledge of an endpoint at one moment, for
// whoever shares it with other routers. It has no effect on decisions.
type EndpointView struct {
	ID                uint32
	Group             int
	Ready             bool
	Primary           bool          // as believed
	PrimaryReportedAt time.Duration // when it last reported itself as the primary, 0 if it did not
	CircuitOpen       bool
	Failing           bool          // unreachable, or failed more than once in a row
	Latency           time.Duration // smoothed; the router's average if it never answered
	TypicalLatency    time.Duration // the router's average over all endpoints
	Lag               time.Duration // replication lag as last reported, 0 if none was
	LagMeasuredAt     time.Duration
	WarmingUp         bool // in slow start
	RequestsQueued    bool // its group has queued requests
	PrimaryUnknown    bool // its group has no primary that answers
}

// View calls visit with every endpoint of the list, in the order in which they
// first appeared there.
func (r *Router) View(now time.Duration, visit func(EndpointView)) {
	for _, endpoint := range r.ordered {
		if endpoint.State != Removed {
			visit(r.viewOf(endpoint, now))
		}
	}
}

func (r *Router) viewOf(endpoint *trackedEndpoint, now time.Duration) EndpointView {
	view := EndpointView{
		ID:             endpoint.ID,
		Group:          endpoint.Group,
		Ready:          endpoint.State == Ready,
		Primary:        endpoint.isPrimary(),
		CircuitOpen:    endpoint.breaker.open,
		Failing:        endpoint.unreachable || endpoint.consecutiveFailures >= primaryFailureThreshold,
		Latency:        r.latencyOf(endpoint),
		TypicalLatency: r.latency,
		Lag:            endpoint.lag,
		LagMeasuredAt:  endpoint.lagMeasuredAt,
		WarmingUp:      r.slowStartFraction(endpoint, now) < 1,
		RequestsQueued: len(endpoint.group.queue) > 0,
		PrimaryUnknown: endpoint.group.primaryUnknown(),
	}
	if endpoint.role == RolePrimary {
		view.PrimaryReportedAt = endpoint.roleReportedAt
	}
	return view
}

// RetryBudget returns the retries saved up, the most that can be saved, and
// the fraction of a retry that each request earns.
func (r *Router) RetryBudget() (saved, limit, earned float64) {
	return r.retries.tokens, maxRetryTokens, retryTokensPerRequest
}
