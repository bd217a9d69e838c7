package decide

import "time"

// EndpointView is a snapshot of a router's state of an endpoint, which can be
// shared with other routers. It has no effect on decisions.
type EndpointView struct {
	ID                uint32
	Group             int
	Ready             bool
	Primary           bool          // the router takes it for its group's primary
	PrimaryReportedAt time.Duration // when it last reported to be the primary, 0 if it did not
	CircuitOpen       bool
	Failing           bool          // unreachable, or failed more than once in a row
	Latency           time.Duration // smoothed; the router's average if it never served an attempt
	TypicalLatency    time.Duration // the router's average over all endpoints
	Lag               time.Duration // smoothed replication lag, 0 if none was reported
	LagMeasuredAt     time.Duration // 0 if no lag was reported
	WarmingUp         bool          // in slow start
	RequestsQueued    bool          // its group has queued requests
	PrimaryUnknown    bool          // its group has no primary that answers
}

// View calls visit with every endpoint that is not removed, in the order in
// which they first appeared in the endpoint list.
func (r *Router) View(now time.Duration, visit func(EndpointView)) {
	for _, endpoint := range r.ordered {
		if endpoint.State != Removed {
			visit(r.viewOf(endpoint, now))
		}
	}
}

// viewOf returns the snapshot of one endpoint.
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

// RetryBudget returns the retries that the budget holds (negative if it is
// overdrawn), the most that it can hold, and the fraction of a retry that each
// client request adds.
func (r *Router) RetryBudget() (saved, limit, earned float64) {
	return r.retries.tokens, maxRetryTokens, retryTokensPerRequest
}
