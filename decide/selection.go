package decide

import (
	"math"
	"slices"
	"time"
)

// retrySameEndpointLatencies is for how many latencies after its last attempt
// there a request avoids an endpoint.
const retrySameEndpointLatencies = 2

// tier ranks replicas: all of a lower tier are preferred to any of a higher one.
type tier int

const (
	idleLocal tier = iota
	idleRemote
	busyLocal
	busyRemote
)

// worstTier is worse than the tier of any replica.
const worstTier = tier(math.MaxInt)

// selectEndpoint chooses the endpoint that the request goes to now, nil if it
// must wait. Writes and fresh reads go to the primary. Other reads go to a
// replica of the best tier (idle local, idle remote, busy local, busy remote),
// else to the primary.
func (r *Router) selectEndpoint(request *trackedRequest, now time.Duration) *trackedEndpoint {
	if !r.attemptAllowed(request, nil, now) {
		return nil
	}
	if request.class.Consistency.needsPrimary() {
		return r.selectPrimary(request, 1, now)
	}
	if request.admissionDraw > r.admission.readFraction {
		return nil
	}
	replicas, healthCheckPending := r.bestReplicas(request, now)
	if len(replicas) > 0 {
		return r.selectWeighted(replicas)
	}
	if request.admissionDraw > r.admission.primaryReadFraction {
		return nil
	}
	if healthCheckPending && r.cfg.StaleReadPolicy == ServeStale {
		return nil // a replica may soon prove to be fresh enough
	}
	return r.selectPrimary(request, replicaReadFraction, now)
}

// selectPrimary returns the primary of the request's group if it may be used,
// with at most the given fraction of its concurrency limit.
func (r *Router) selectPrimary(
	request *trackedRequest, limitFraction float64, now time.Duration,
) *trackedEndpoint {
	primary := request.group.primary
	if primary == nil || !r.usable(request, primary, now) || !r.hasCapacity(primary, limitFraction, now) {
		return nil
	}
	if request.class.Consistency == Fresh && primary.awaitsHealthCheck && r.healthCheckBeforeUse() {
		return nil
	}
	return primary
}

// bestReplicas returns the usable replicas of the best tier, and whether the
// result of some replica's health check is worth waiting for. The slice is
// valid until the next call.
func (r *Router) bestReplicas(
	request *trackedRequest, now time.Duration,
) (best []*trackedEndpoint, healthCheckPending bool) {
	best = r.candidates[:0]
	bestTier := worstTier
	for _, replica := range request.group.endpoints {
		if replica.isPrimary() || replica.role == RolePrimary || !r.usable(request, replica, now) {
			continue
		}
		fresh := r.freshEnough(request, replica, now)
		if r.requestHealthCheck(replica, fresh, now) {
			healthCheckPending = true
		}
		if !fresh || !r.hasCapacity(replica, 1, now) {
			continue
		}
		switch rank := r.tierOf(replica, now); {
		case rank < bestTier:
			bestTier = rank
			best = append(best[:0], replica)
		case rank == bestTier:
			best = append(best, replica)
		}
	}
	r.candidates = best
	return best, healthCheckPending
}

// tierOf ranks a replica.
func (r *Router) tierOf(replica *trackedEndpoint, now time.Duration) tier {
	busy := now < replica.busyUntil || r.fleet.Deprioritized(replica.ID, now)
	switch {
	case !busy && replica.local:
		return idleLocal
	case !busy:
		return idleRemote
	case replica.local:
		return busyLocal
	}
	return busyRemote
}

// selectWeighted draws an endpoint with weight 1 / (smoothed latency x (in
// flight + 1)). Endpoints that never answered take the average of the others.
func (r *Router) selectWeighted(endpoints []*trackedEndpoint) *trackedEndpoint {
	unmeasured := r.averageLatency(endpoints)
	total := 0.0
	for _, endpoint := range endpoints {
		latency := endpoint.latency
		if latency == 0 {
			latency = unmeasured
		}
		endpoint.selectionWeight = 1 / (latency.Seconds() * float64(endpoint.inFlight+1))
		total += endpoint.selectionWeight
	}
	draw := r.rng.Float64() * total
	for _, endpoint := range endpoints {
		draw -= endpoint.selectionWeight
		if draw < 0 {
			return endpoint
		}
	}
	return endpoints[len(endpoints)-1]
}

// averageLatency is the mean latency of the endpoints that have answered, the
// router's average if none has.
func (r *Router) averageLatency(endpoints []*trackedEndpoint) time.Duration {
	var sum, measured time.Duration
	for _, endpoint := range endpoints {
		if endpoint.latency > 0 {
			sum += endpoint.latency
			measured++
		}
	}
	if sum == 0 {
		return r.latency
	}
	return sum / measured
}

// usable reports whether the request may be sent to the endpoint: the list
// has it as ready, neither backing off nor cut off by its circuit breaker, and was not
// just tried by this request.
func (r *Router) usable(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) bool {
	if endpoint.State != Ready || now < endpoint.backoffUntil {
		return false
	}
	if !r.attemptAllowed(request, endpoint, now) {
		return false
	}
	if endpoint.breaker.open && !r.mayBeTrial(request, endpoint, now) {
		return false
	}
	avoidFor := retrySameEndpointLatencies * r.latencyOf(endpoint)
	return !slices.ContainsFunc(request.attempts, func(a attempt) bool {
		return a.endpoint == endpoint && (a.endedAt == 0 || now-a.endedAt < avoidFor)
	})
}

// mayBeTrial reports whether the request may be the trial of an open circuit
// breaker.
func (r *Router) mayBeTrial(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) bool {
	return request.class.Idempotency == Idempotent && endpoint.breaker.allowsTrial(now) &&
		!r.fleet.Deprioritized(endpoint.ID, now)
}
