package decide

import (
	"slices"
	"time"
)

const (
	// primaryDiscoveryInterval is the interval between the requests that primary
	// discovery sends to a group. It is short compared with an election, which
	// takes seconds.
	primaryDiscoveryInterval = 100 * time.Millisecond
	// readDiscoveryDelay is how long primary discovery waits for a write before it
	// sends a fresh read. It counts from when the primary was last known, or from
	// the last discovery attempt.
	readDiscoveryDelay = 3 * time.Second
	// reservedAttempts is the number of attempts of a request that primary
	// discovery leaves for the primary that it finds.
	reservedAttempts = 3
	// primaryFailureThreshold is the number of consecutive failures of the primary
	// that starts primary discovery.
	primaryFailureThreshold = 2
)

// primaryUnknown reports whether the group has no primary that answers.
func (g *replicaGroup) primaryUnknown() bool {
	return g.primary == nil || g.primary.breaker.open ||
		g.primary.consecutiveFailures >= primaryFailureThreshold
}

// recordRole records the role that an endpoint has reported, and updates the
// assumed primary of its group.
func (r *Router) recordRole(endpoint *trackedEndpoint, role Role, now time.Duration) {
	group := endpoint.group
	endpoint.role = role
	endpoint.roleReportedAt = now
	endpoint.discoveryAttemptAt = now
	switch {
	case role == RolePrimary && group.primary != endpoint:
		if group.primary != nil {
			group.primary.role = RoleUnknown
		}
		group.primary = endpoint
	case role == RoleReplica && group.primary == endpoint:
		group.primary = nil
	}
}

// discoverPrimary sends one queued request to an endpoint that may be the primary,
// if the group's primary is unknown: an Ineligible answer is cheap and reports the
// endpoint's role. discoveryPrefers gives the order in which endpoints are tried; a
// newly announced primary counts as one that was never tried.
func (r *Router) discoverPrimary(group *replicaGroup, now time.Duration) {
	if !group.primaryUnknown() {
		group.primaryKnownAt = now
		return
	}
	if now < group.nextDiscoveryAt || len(group.queue) == 0 {
		return
	}
	endpoint := r.discoveryCandidate(group, now)
	if endpoint == nil {
		return
	}
	request := r.discoveryRequest(group, endpoint, now)
	if request == nil {
		return
	}
	r.send(request, endpoint, now)
	group.nextDiscoveryAt = now + primaryDiscoveryInterval
	endpoint.discoveryAttemptAt = now
}

// discoveryCandidate returns the endpoint that primary discovery tries next, nil
// if none can be tried now.
func (r *Router) discoveryCandidate(group *replicaGroup, now time.Duration) *trackedEndpoint {
	var best *trackedEndpoint
	for _, endpoint := range group.endpoints {
		if r.discoveryAllowed(endpoint, now) && (best == nil || r.discoveryPrefers(endpoint, best, now)) {
			best = endpoint
		}
	}
	return best
}

// discoveryAllowed reports whether primary discovery may try the endpoint. The due
// trial of an open circuit breaker is left to idempotent requests until it is
// overdue.
func (r *Router) discoveryAllowed(endpoint *trackedEndpoint, now time.Duration) bool {
	waiting := endpoint.breaker.open && !endpoint.breaker.overdue(now)
	return endpoint.State == Ready && !waiting && now >= endpoint.backoffUntil &&
		r.hasCapacity(endpoint, 1, now)
}

// discoveryPrefers reports whether primary discovery prefers an endpoint to the
// best one so far: an endpoint suggested by the fleet, then the one whose last try
// is longer ago, then the one with the greater position.
func (r *Router) discoveryPrefers(endpoint, best *trackedEndpoint, now time.Duration) bool {
	if r.fleet.SuggestedPrimary(endpoint.ID, now) {
		return true
	}
	if r.fleet.SuggestedPrimary(best.ID, now) {
		return false
	}
	if endpoint.discoveryAttemptAt != best.discoveryAttemptAt {
		return endpoint.discoveryAttemptAt < best.discoveryAttemptAt
	}
	return endpoint.position > best.position
}

// discoveryRequest returns the first queued request that primary discovery may
// send to the endpoint, nil if there is none. After readDiscoveryDelay without a
// write a fresh read may be sent where replicas reject stale reads: without
// writes, nothing else finds the primary. Where Config.MaxAttempts is small, only
// a first attempt is used.
func (r *Router) discoveryRequest(
	group *replicaGroup, endpoint *trackedEndpoint, now time.Duration,
) *trackedRequest {
	readsDueAt := max(group.primaryKnownAt, group.nextDiscoveryAt) + readDiscoveryDelay
	readsMayDiscover := r.cfg.StaleReadPolicy != ServeStale && now >= readsDueAt
	maxAttempts := max(r.cfg.MaxAttempts-reservedAttempts, 1)
	index := slices.IndexFunc(group.queue, func(request *trackedRequest) bool {
		mayDiscover := request.class.Consistency == Write ||
			readsMayDiscover && request.class.Consistency == Fresh
		return request.queued && mayDiscover && len(request.attempts) < maxAttempts &&
			r.attemptAllowed(request, endpoint, now)
	})
	if index < 0 {
		return nil
	}
	return group.queue[index]
}
