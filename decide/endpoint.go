package decide

import "time"

// trackedEndpoint is what this router knows of one endpoint.
type trackedEndpoint struct {
	Endpoint // its entry in the endpoint list
	group    *replicaGroup
	local    bool // in the router's own zone

	replication
	lastAnswerAt time.Duration
	latency      time.Duration // smoothed, 0 if it never answered

	inFlight           int           // attempts
	unanswered         int           // attempts in flight that were sent since the last answer
	oldestUnansweredAt time.Duration // when the first of those was sent
	lastAnsweredSentAt time.Duration // when the last attempt that was answered was sent

	consecutiveFailures    int
	busyUntil              time.Duration // selected after others until then
	backoffUntil           time.Duration // not selected until then
	unreachable            bool          // the last connection attempt failed
	connectionsScarceUntil time.Duration // until then no idle connection to it is kept

	limit     concurrencyLimit
	breaker   circuitBreaker
	slowStart slowStart

	healthCheckInFlight bool
	awaitsHealthCheck   bool // one is wanted
	healthCheckedAt     time.Duration

	discoveryAttemptAt time.Duration // when primary discovery last tried it, or learnt its role
	removedAt          time.Duration
	selectionWeight    float64 // in the current draw
}

// replicaGroup is one primary and its replicas.
type replicaGroup struct {
	endpoints        []*trackedEndpoint
	primary          *trackedEndpoint // as believed, nil while it is not known
	announcedPrimary *trackedEndpoint // by the endpoint list
	queue            []*trackedRequest
	nextDiscoveryAt  time.Duration // earliest next attempt to find the primary
	primaryKnownAt   time.Duration // when the primary was last known
	sessions         sessionCommits
}

// group returns the replica group with the given number, made on first use.
func (r *Router) group(number int) *replicaGroup {
	group := r.groups[number]
	if group == nil {
		group = &replicaGroup{sessions: sessionCommits{commits: map[uint64]sessionCommit{}}}
		r.groups[number] = group
		r.orderedGroups = append(r.orderedGroups, group)
	}
	return group
}

// isPrimary reports whether the endpoint is believed to be its group's primary.
func (e *trackedEndpoint) isPrimary() bool { return e.group.primary == e }

// attemptSent counts an attempt that is sent now.
func (e *trackedEndpoint) attemptSent(now time.Duration) {
	if e.unanswered == 0 {
		e.oldestUnansweredAt = now
	}
	e.unanswered++
	e.inFlight++
	e.slowStart.spend()
}

// attemptEnded takes an attempt off the counts.
func (e *trackedEndpoint) attemptEnded(sentAt time.Duration) {
	e.inFlight--
	if sentAt >= e.lastAnswerAt && e.unanswered > 0 {
		e.unanswered--
	}
}

// recordAnswer notes that the endpoint runs and answers, which closes its
// circuit breaker.
func (r *Router) recordAnswer(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.lastAnswerAt = now
	endpoint.unanswered = 0
	if r.cfg.AnswersCarryPosition {
		endpoint.awaitsHealthCheck = false
	}
	endpoint.unreachable = false
	endpoint.busyUntil = min(endpoint.busyUntil, now+busyLatencies*r.latencyOf(endpoint))
	if endpoint.breaker.close() {
		endpoint.limit.capAt(recoveryConcurrency)
	}
}
