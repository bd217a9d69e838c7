package decide

import (
	"math"
	"slices"
	"time"
)

// sameEndpointLatencyMultiple is how long a request avoids an endpoint after its
// attempt there has ended, as a multiple of the endpoint's latency.
const sameEndpointLatencyMultiple = 2

// tier is the preference of a replica for reads: a replica of a lower tier is
// always preferred to one of a higher tier.
type tier int

// The tiers. Local replicas are in the router's zone, and busy ones have recently
// failed or are deprioritized by the fleet.
const (
	idleLocal tier = iota
	idleRemote
	busyLocal
	busyRemote
)

// worstTier is higher than the tier of any replica.
const worstTier = tier(math.MaxInt)

// selectEndpoint returns the endpoint to send the request to now, nil if the
// request must wait. Writes and fresh reads go to the primary. Other reads go to
// a replica of the best tier, or to the primary if no replica can serve them.
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
		return nil // the result may show that a replica is fresh enough
	}
	return r.selectPrimary(request, primaryReadLimitFraction, now)
}

// selectPrimary returns the primary of the request's group if it can take the
// request within the given fraction of its concurrency limit, nil otherwise. A
// fresh read also waits for a required health check of the primary, as otherwise an
// endpoint that the list wrongly names as the primary might answer with old data.
func (r *Router) selectPrimary(
	request *trackedRequest, limitFraction float64, now time.Duration,
) *trackedEndpoint {
	primary := request.group.primary
	if primary == nil || !r.usable(request, primary, now) || !r.hasCapacity(primary, limitFraction, now) {
		return nil
	}
	if request.class.Consistency == Fresh && primary.healthCheckWanted && r.healthChecksRequired() {
		return nil
	}
	return primary
}

// bestReplicas returns the replicas of the best tier that can take the request,
// and whether the request should wait for a replica's health check. The slice is
// only valid until the next call.
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

// tierOf returns the tier of a replica.
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

// selectWeighted draws one of the endpoints at random, with the weight
// 1 / (smoothed latency x (attempts in flight + 1)). An endpoint that never served
// an attempt counts with the average latency of the others.
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

// averageLatency returns the mean latency of those endpoints that have served an
// attempt, or the router's average if none has.
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

// usable reports whether the request may be sent to the endpoint: the request's own
// limits allow it, and the endpoint is ready, not in backoff, not blocked by its
// circuit breaker, and was not recently tried by this request.
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
	avoidFor := sameEndpointLatencyMultiple * r.latencyOf(endpoint)
	return !slices.ContainsFunc(request.attempts, func(a attempt) bool {
		return a.endpoint == endpoint && (a.endedAt == 0 || now-a.endedAt < avoidFor)
	})
}

// mayBeTrial reports whether the request may be sent now as the trial of the
// endpoint's open circuit breaker. Only idempotent requests may, and only while
// the fleet does not deprioritize the endpoint.
func (r *Router) mayBeTrial(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) bool {
	return request.class.Idempotency == Idempotent && endpoint.breaker.allowsTrial(now) &&
		!r.fleet.Deprioritized(endpoint.ID, now)
}
