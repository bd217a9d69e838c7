package decide

import (
	"slices"
	"time"
)

const (
	// initialWatchBackoff is the backoff after the first failed poll of the
	// endpoint list. It doubles after each further failure, and jitter is applied.
	initialWatchBackoff = 200 * time.Millisecond
	// pollBackoffDivisor divides the poll interval to give the longest backoff,
	// which is at least initialWatchBackoff.
	pollBackoffDivisor = 4
	// neverStarted is the start time of an endpoint before its first list entry
	// is applied.
	neverStarted = -1
)

// endpointWatch is the state of the polls of the endpoint list, with
// Config.PollOnly.
type endpointWatch struct {
	active     bool // from WatchEndpoints until WatchFailed
	nextPollAt time.Duration
	backoff    time.Duration
}

// failed schedules the next poll after a failed one. The backoff is multiplied by
// jitter, which is in [0.5, 1.5).
func (w *endpointWatch) failed(jitter float64, pollInterval, now time.Duration) {
	w.active = false
	w.nextPollAt = now + time.Duration(float64(w.backoff)*jitter)
	w.backoff = min(2*w.backoff, max(pollInterval/pollBackoffDivisor, initialWatchBackoff))
}

// pollEndpointList starts polling the endpoint list if it is not being polled and
// the backoff has passed.
func (r *Router) pollEndpointList(now time.Duration) {
	if r.cfg.PollOnly && !r.watch.active && now >= r.watch.nextPollAt {
		r.watch.active = true
		r.actions.WatchEndpoints()
	}
}

// EndpointsUpdated applies an update of the endpoint list. With WatchFailed the
// endpoints are ignored and the next poll is scheduled.
func (r *Router) EndpointsUpdated(now time.Duration, kind EndpointUpdateKind, endpoints []Endpoint) {
	if kind == WatchFailed {
		r.watch.failed(0.5+r.rng.Float64(), r.cfg.PollInterval, now)
		return
	}
	if kind != UpdateCachedSnapshot { // a cached one does not prove that polling works again
		r.watch.backoff = initialWatchBackoff
	}
	if kind != UpdateDelta {
		r.removeUnlisted(endpoints, now)
	}
	for _, entry := range endpoints {
		r.updateEndpoint(r.trackEndpoint(entry, now), entry, now)
	}
	r.forgetRemoved(now)
	r.countReady()
	r.drainQueues(now)
}

// removeUnlisted removes the endpoints that are missing in a snapshot.
func (r *Router) removeUnlisted(snapshot []Endpoint, now time.Duration) {
	listed := make(map[uint32]bool, len(snapshot))
	for _, endpoint := range snapshot {
		listed[endpoint.ID] = true
	}
	for _, endpoint := range r.ordered {
		if listed[endpoint.ID] {
			continue
		}
		removed := endpoint.Endpoint
		removed.State = Removed
		r.updateEndpoint(endpoint, removed, now)
	}
}

// trackEndpoint returns the state of an entry's endpoint and creates it for a new
// endpoint.
func (r *Router) trackEndpoint(entry Endpoint, now time.Duration) *trackedEndpoint {
	if endpoint := r.endpoints[entry.ID]; endpoint != nil {
		return endpoint
	}
	endpoint := &trackedEndpoint{
		Endpoint:  entry,
		group:     r.group(entry.Group),
		limit:     concurrencyLimit{value: initialConcurrency},
		slowStart: slowStart{refilledAt: now},
	}
	endpoint.StartedAt = neverStarted
	r.endpoints[entry.ID] = endpoint
	r.ordered = append(r.ordered, endpoint)
	endpoint.group.listed = true
	endpoint.group.endpoints = append(endpoint.group.endpoints, endpoint)
	return endpoint
}

// updateEndpoint applies one entry of the endpoint list. An endpoint that is new,
// has restarted or has returned to the list may be warming up, and a health check
// of it is requested. A restart also clears its role and closes its circuit breaker.
func (r *Router) updateEndpoint(endpoint *trackedEndpoint, entry Endpoint, now time.Duration) {
	previous := endpoint.Endpoint
	isNew := previous.StartedAt == neverStarted
	restarted := !isNew && entry.StartedAt > previous.StartedAt
	if entry.State == Removed && !isNew {
		entry.State = r.removedState(endpoint, now)
	}
	endpoint.Endpoint = entry
	endpoint.local = entry.Zone == r.cfg.Zone
	returned := previous.State == Removed && entry.State == Ready
	if isNew || restarted || returned {
		r.beginSlowStart(endpoint, now)
		endpoint.healthCheckWanted = r.cfg.HealthChecks
	}
	if restarted {
		endpoint.role = RoleUnknown
		endpoint.breaker.reset()
	}
	if endpoint.isPrimary() && (restarted || entry.State != Ready) {
		endpoint.group.primary = nil
	}
	if entry.Primary && entry.State == Ready {
		endpoint.group.announce(endpoint)
	}
}

// removedState returns the new state of an endpoint that the list removes. Where
// removal is not enforced, a missing entry does not prove that the endpoint is
// down: an endpoint that was ready stays ready, and its backoff and circuit
// breaker keep requests away if it fails.
func (r *Router) removedState(endpoint *trackedEndpoint, now time.Duration) EndpointState {
	if !r.cfg.RemovalEnforced && endpoint.State == Ready {
		return Ready
	}
	if endpoint.State != Removed {
		endpoint.removedAt = now
	}
	return Removed
}

// beginSlowStart starts the slow start of an endpoint that started less than
// Config.SlowStartDuration ago. An endpoint that is only new to the list is warm.
func (r *Router) beginSlowStart(endpoint *trackedEndpoint, now time.Duration) {
	startedAt := endpoint.StartedAt
	if startedAt > 0 && now-startedAt < r.cfg.SlowStartDuration {
		endpoint.slowStart.begin(startedAt, r.rng.Float64(), now)
		endpoint.limit.capAt(initialConcurrency)
	}
}

// announce handles an endpoint that the list names as the group's primary. It is
// assumed to be the primary if the group has none and the endpoint itself has not
// reported to be a replica. A repeated announcement has no effect, so that it
// does not override what the endpoints have reported since the first.
func (g *replicaGroup) announce(endpoint *trackedEndpoint) {
	if g.announcedPrimary == endpoint {
		return
	}
	g.announcedPrimary = endpoint
	endpoint.discoveryAttemptAt = 0
	if g.primary == nil && endpoint.role != RoleReplica {
		g.primary = endpoint
	}
}

// forgetRemoved drops the state of endpoints that were removed more than
// retentionPeriod ago and have no attempt in flight.
func (r *Router) forgetRemoved(now time.Duration) {
	forgotten := func(endpoint *trackedEndpoint) bool {
		return endpoint.State == Removed && endpoint.inFlight == 0 && now > endpoint.removedAt+retentionPeriod
	}
	for _, endpoint := range r.ordered {
		if forgotten(endpoint) {
			delete(r.endpoints, endpoint.ID)
			endpoint.group.endpoints = slices.DeleteFunc(endpoint.group.endpoints, forgotten)
		}
	}
	r.ordered = slices.DeleteFunc(r.ordered, forgotten)
}

// countReady updates the number of ready endpoints.
func (r *Router) countReady() {
	r.readyEndpoints = 0
	for _, endpoint := range r.ordered {
		if endpoint.State == Ready {
			r.readyEndpoints++
		}
	}
}
