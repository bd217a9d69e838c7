package decide

import "time"

const (
	// busyLatencyMultiple is how long an endpoint counts as busy after a failure,
	// as a multiple of its latency. In that time its queue turns over.
	busyLatencyMultiple = 10
	// silentBusyDuration is how long an endpoint that gave no answer counts as busy,
	// unless it answers earlier. It is long because a router that rarely sends to
	// the endpoint finds out late whether it answers again.
	silentBusyDuration = 10 * time.Second
	// maxBackoffDoublings is how often the backoff doubles at most.
	maxBackoffDoublings = 6
	// closeIdleDuration is how long idle connections to an endpoint are closed
	// after it has refused a connection. Its connections may be used up, and an
	// idle one would keep another router out.
	closeIdleDuration = 10 * time.Second
	// refusalLatencyDivisor divides an endpoint's latency to give the time within
	// which a failed connection attempt was refused. A later failure means that
	// the endpoint did not respond.
	refusalLatencyDivisor = 4
	// minServiceTime is the shortest latency recorded for a served attempt, so
	// that a recorded latency is never 0.
	minServiceTime = time.Microsecond
)

// AttemptEnded handles the end of an attempt. If the attempt is unknown or has
// already ended, only the reported status of its endpoint is used.
func (r *Router) AttemptEnded(now time.Duration, result AttemptResult) {
	request := r.requests[result.Request]
	current := request.attemptInFlight(result.Attempt)
	if current == nil {
		if endpoint := r.endpoints[result.Endpoint]; endpoint != nil {
			r.recordStatus(endpoint, nil, result, now)
		}
		return
	}
	r.recordStatus(current.endpoint, request, result, now)
	r.recordOutcome(request, current, result, now)
	r.detachAttempt(request, current, now)
	switch {
	case request.answered:
	case result.ClientAnswered:
		r.finish(request)
	default:
		r.retry(request, current.endpoint, result.Outcome, now-current.sentAt, now)
	}
	r.drainQueue(request.group, now)
}

// attemptInFlight returns the attempt with the given number, nil if there is none
// or it has ended. The request may be nil.
func (request *trackedRequest) attemptInFlight(number int) *attempt {
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil
	}
	if request.attempts[number].endedAt != 0 {
		return nil
	}
	return &request.attempts[number]
}

// detachAttempt marks an attempt as ended and removes it from the counts of its
// endpoint and request.
func (r *Router) detachAttempt(request *trackedRequest, ended *attempt, now time.Duration) {
	endpoint := ended.endpoint
	ended.endedAt = max(now, 1)
	r.rememberCommit(request, -1, 0)
	request.inFlight--
	endpoint.attemptEnded(ended.sentAt)
	if endpoint.inFlight == 0 && now < endpoint.closeIdleUntil {
		r.actions.CloseIdle(endpoint.ID)
	}
	if request.answered {
		r.finish(request)
	}
}

// recordStatus records the role and position that an endpoint reports with an
// outcome, and the commit of a write. The request is nil if the attempt is unknown
// or had already ended.
func (r *Router) recordStatus(
	endpoint *trackedEndpoint, request *trackedRequest, result AttemptResult, now time.Duration,
) {
	isWrite := request != nil && request.class.Consistency == Write
	servedWrite := isWrite && result.Outcome == OK
	if result.Outcome.fromEndpoint() {
		r.recordAnswer(endpoint, now)
		if result.Status.Role != RoleUnknown {
			r.recordRole(endpoint, result.Status.Role, now)
		}
		// Without the request, the position may be that of a write's commit.
		servedUnknown := result.Outcome == OK && request == nil
		if !servedWrite && !servedUnknown {
			r.recordPosition(endpoint, result.Status.Position, now)
		}
	}
	if !isWrite || result.Outcome.NotExecuted() {
		return
	}
	commit := now // the write may have committed at any time until now
	if servedWrite && result.Status.Position > 0 {
		commit = result.Status.Position
	}
	r.rememberCommit(request, 0, commit)
}

// recordPosition records a position that an endpoint has reported.
func (r *Router) recordPosition(endpoint *trackedEndpoint, position, now time.Duration) {
	endpoint.record(position, now)
}

// recordOutcome updates the health of an endpoint by the outcome of an attempt.
func (r *Router) recordOutcome(
	request *trackedRequest, ended *attempt, result AttemptResult, now time.Duration,
) {
	endpoint := ended.endpoint
	switch result.Outcome {
	case NotSent, Cancelled, InvalidRequest: // not a fault of the endpoint
	case OK:
		r.recordServed(request, ended, now)
	case Ineligible:
		if request.class.Consistency != Write && result.Status.Position == 0 {
			r.assumeLag(request, endpoint, now)
		}
	case Malformed, Reset:
		if endpoint.consecutiveFailures == 0 {
			endpoint.consecutiveFailures = 1 // a single one is more likely a fault of the network
			return
		}
		r.recordFailure(ended, result, now)
	default:
		r.recordFailure(ended, result, now)
	}
}

// recordServed records a served attempt: its latency, and its effect on the
// concurrency limit and on admission.
func (r *Router) recordServed(request *trackedRequest, ended *attempt, now time.Duration) {
	endpoint := ended.endpoint
	serviceTime := max(now-ended.sentAt, minServiceTime)
	endpoint.consecutiveFailures = 0
	endpoint.lastAnsweredSentAt = max(endpoint.lastAnsweredSentAt, ended.sentAt)
	r.answers.record(now, r.readyEndpoints)
	endpoint.latency = smooth(endpoint.latency, serviceTime, latencySmoothing)
	r.latency = smooth(r.latency, serviceTime, latencySmoothing)
	r.adaptConcurrency(ended, float64(serviceTime)/float64(request.class.LatencyObjective), now)
	r.admission.served()
}

// assumeLag raises the lag of a replica that rejected a read as too far behind
// without reporting its position, to the lag that follows from the rejection.
func (r *Router) assumeLag(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) {
	behind := now - r.requiredPosition(request, now) + r.cfg.StaleReadWait
	endpoint.lag = max(endpoint.lag, behind)
	endpoint.lagMeasuredAt = now
}

// recordFailure records a failed attempt. The endpoint is put in backoff, twice as
// long after each consecutive failure, because an endpoint that fails fast has
// few attempts in flight and would attract more requests. A timeout causes no
// backoff, as it takes long by itself. A failure that suggests overload also lowers
// the concurrency limit, as an answer that used its whole latency objective does.
func (r *Router) recordFailure(ended *attempt, result AttemptResult, now time.Duration) {
	endpoint, outcome := ended.endpoint, result.Outcome
	latency := r.latencyOf(endpoint)
	endpoint.unreachable = outcome == ConnectFailed
	refused := outcome == ConnectFailed && result.Latency < latency/refusalLatencyDivisor
	if refused {
		endpoint.closeIdleUntil = now + closeIdleDuration
	}
	if outcome != TimedOut {
		backoff := latency << min(endpoint.consecutiveFailures, maxBackoffDoublings)
		endpoint.backoffUntil = now + min(backoff, maxTrialBackoff)
		endpoint.consecutiveFailures++
	}
	endpoint.busyUntil = now + busyLatencyMultiple*latency
	silent := (outcome == TimedOut || outcome == ConnectFailed) && !refused
	if silent && ended.sentAt >= endpoint.lastAnswerAt {
		endpoint.busyUntil = now + silentBusyDuration
	}
	if outcome == Overloaded {
		r.admission.overloaded()
	}
	if outcome != Error && outcome != Malformed && !refused {
		r.adaptConcurrency(ended, 1, now)
	}
}
