package decide

import (
	"slices"
	"time"
)

const (
	// primaryDiscoveryInterval is the interval between the requests that look
	// for a primary: elections take seconds.
	primaryDiscoveryInterval = 100 * time.Millisecond
	// readDiscoveryDelay is for how long no write must have looked for the
	// primary before a fresh read does.
	readDiscoveryDelay = 3 * time.Second
	// reservedAttempts is how many attempts of a request primary discovery may
	// not use up.
	reservedAttempts = 3
	// primaryFailureThreshold is the number of failures in a row after which
	// another primary is looked for.
	primaryFailureThreshold = 2
)

// primaryUnknown reports whether the group has no primary that answers.
func (g *replicaGroup) primaryUnknown() bool {
	return g.primary == nil || g.primary.breaker.open ||
		g.primary.consecutiveFailures >= primaryFailureThreshold
}

// recordRole takes an endpoint's own report of its role.
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

// discoverPrimary sends one queued request to look for the primary: an
// Ineligible answer is cheap and reports the role. The endpoint announced last
// goes first, then the one that was not tried for the longest time.
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

// discoveryCandidate is the endpoint that primary discovery tries next, nil if
// none can be tried now.
func (r *Router) discoveryCandidate(group *replicaGroup, now time.Duration) *trackedEndpoint {
	var best *trackedEndpoint
	for _, endpoint := range group.endpoints {
		if r.discoverable(endpoint, now) && (best == nil || r.triedBefore(endpoint, best, now)) {
			best = endpoint
		}
	}
	return best
}

// discoverable reports whether primary discovery may try the endpoint.
func (r *Router) discoverable(endpoint *trackedEndpoint, now time.Duration) bool {
	waiting := endpoint.breaker.open && !endpoint.breaker.overdue(now)
	return endpoint.State == Ready && !waiting && now >= endpoint.backoffUntil &&
		r.hasCapacity(endpoint, 1, now)
}

// triedBefore reports whether primary discovery prefers one endpoint to the
// best one so far: as suggested by the fleet, then the one not tried for
// longer, then the one that is further ahead.
func (r *Router) triedBefore(endpoint, best *trackedEndpoint, now time.Duration) bool {
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

// discoveryRequest is the first queued request that may look for the primary at
// the endpoint, nil if there is none. Where no write came for a while and
// replicas check for themselves, a fresh read may: nothing else might ever find
// the primary. Where few attempts are allowed, only a first one may.
func (r *Router) discoveryRequest(
	group *replicaGroup, endpoint *trackedEndpoint, now time.Duration,
) *trackedRequest {
	readsDueAt := max(group.primaryKnownAt, group.nextDiscoveryAt) + readDiscoveryDelay
	readsMayLook := r.cfg.StaleReadPolicy != ServeStale && now >= readsDueAt
	maxAttempts := max(r.cfg.MaxAttempts-reservedAttempts, 1)
	index := slices.IndexFunc(group.queue, func(request *trackedRequest) bool {
		mayLook := request.class.Consistency == Write || readsMayLook && request.class.Consistency == Fresh
		return request.queued && mayLook && len(request.attempts) < maxAttempts &&
			r.attemptAllowed(request, endpoint, now)
	})
	if index < 0 {
		return nil
	}
	return group.queue[index]
}
