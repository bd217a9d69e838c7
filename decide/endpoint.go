package decide

import (
	"slices"
	"time"
)

// trackedEndpoint is the router's state of one endpoint.
type trackedEndpoint struct {
	Endpoint // entry in the endpoint list
	group    *replicaGroup
	local    bool // in the router's own zone

	replication
	lastAnswerAt time.Duration
	latency      time.Duration // smoothed, 0 if it never served an attempt

	inFlight           int           // number of attempts in flight
	unanswered         int           // number of those that were sent since the last answer
	oldestUnansweredAt time.Duration // send time of the first of those, which may have ended since
	lastAnsweredSentAt time.Duration // latest send time of a served attempt

	consecutiveFailures int           // since the last served attempt; timeouts are not counted
	busyUntil           time.Duration // until then other replicas are preferred
	backoffUntil        time.Duration // until then it is not selected
	unreachable         bool          // the last failed attempt could not connect, and no answer followed
	closeIdleUntil      time.Duration // until then idle connections to it are closed

	limit     concurrencyLimit
	breaker   circuitBreaker
	slowStart slowStart

	healthCheckInFlight bool
	healthCheckWanted   bool          // a health check starts as soon as the budget and interval allow it
	healthCheckedAt     time.Duration // start of the last health check

	// When primary discovery last tried it, or it last reported its role; 0 if
	// never, or if it is newly announced as the primary.
	discoveryAttemptAt time.Duration
	removedAt          time.Duration // when the list removed it
	selectionWeight    float64       // in the current weighted draw
}

// replicaGroup is the state of a primary and its replicas.
type replicaGroup struct {
	number           int
	listed           bool // the endpoint list has named an endpoint of it
	requests         int  // number of tracked requests to it
	endpoints        []*trackedEndpoint
	primary          *trackedEndpoint // assumed primary, nil if unknown
	announcedPrimary *trackedEndpoint // primary named by the endpoint list
	queue            []*trackedRequest
	nextDiscoveryAt  time.Duration // earliest time of the next primary discovery attempt
	primaryKnownAt   time.Duration // when the primary was last known
	sessions         sessionCommits
}

// group returns the replica group with the given number and creates it on first
// use.
func (r *Router) group(number int) *replicaGroup {
	group := r.groups[number]
	if group == nil {
		group = &replicaGroup{
			number:   number,
			sessions: sessionCommits{commits: map[uint64]sessionCommit{}},
		}
		r.groups[number] = group
		r.orderedGroups = append(r.orderedGroups, group)
	}
	return group
}

// dropUnlistedGroups drops the groups that the endpoint list has never named and that no
// request is for. Clients can name any group.
func (r *Router) dropUnlistedGroups() {
	r.orderedGroups = slices.DeleteFunc(r.orderedGroups, func(group *replicaGroup) bool {
		unused := !group.listed && group.requests == 0
		if unused {
			delete(r.groups, group.number)
		}
		return unused
	})
}

// isPrimary reports whether the endpoint is the assumed primary of its group.
func (e *trackedEndpoint) isPrimary() bool { return e.group.primary == e }

// attemptSent counts an attempt that is sent to the endpoint now.
func (e *trackedEndpoint) attemptSent(now time.Duration) {
	if e.unanswered == 0 {
		e.oldestUnansweredAt = now
	}
	e.unanswered++
	e.inFlight++
	e.slowStart.spend()
}

// attemptEnded removes an ended attempt from the counts.
func (e *trackedEndpoint) attemptEnded(sentAt time.Duration) {
	e.inFlight--
	if sentAt >= e.lastAnswerAt && e.unanswered > 0 {
		e.unanswered--
	}
}

// recordAnswer records that the endpoint has answered, and closes its circuit
// breaker. An answer that carries a position makes a health check unnecessary.
func (r *Router) recordAnswer(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.lastAnswerAt = now
	endpoint.unanswered = 0
	if r.cfg.AnswersCarryPosition {
		endpoint.healthCheckWanted = false
	}
	endpoint.unreachable = false
	endpoint.busyUntil = min(endpoint.busyUntil, now+busyLatencyMultiple*r.latencyOf(endpoint))
	if endpoint.breaker.close() {
		endpoint.limit.capAt(recoveryConcurrency)
	}
}
