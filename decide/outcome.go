package decide

import "time"

const (
	// busyLatencies is for how many latencies a failure makes an endpoint busy:
	// its queue turns over meanwhile.
	busyLatencies = 10
	// silentDuration is for how long silence does, until the endpoint answers: a
	// router that meets it seldom learns late.
	silentDuration = 10 * time.Second
	// maxBackoffDoublings bounds the backoff after failures in a row.
	maxBackoffDoublings = 6
	// connectionsScarceDuration is for how long no connection is kept idle to an
	// endpoint that refused one.
	connectionsScarceDuration = 10 * time.Second
	// refusalDivisor: a connection attempt that fails within this part of the
	// endpoint's latency was refused; a later failure is silence.
	refusalDivisor = 4
	// minServiceTime is the least time that an answer is taken to have needed.
	minServiceTime = time.Microsecond
)

// AttemptEnded takes the end of an attempt. One that this router does not know
// any more is evidence on its endpoint only.
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

// attemptInFlight returns an attempt by its number, nil if there is none in
// flight. The request may be nil.
func (request *trackedRequest) attemptInFlight(number int) *attempt {
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil
	}
	if request.attempts[number].endedAt != 0 {
		return nil
	}
	return &request.attempts[number]
}

// detachAttempt takes an ended attempt off its endpoint and request.
func (r *Router) detachAttempt(request *trackedRequest, ended *attempt, now time.Duration) {
	endpoint := ended.endpoint
	ended.endedAt = max(now, 1)
	r.rememberCommit(request, -1, 0)
	request.inFlight--
	endpoint.attemptEnded(ended.sentAt)
	if endpoint.inFlight == 0 && now < endpoint.connectionsScarceUntil {
		r.actions.CloseIdle(endpoint.ID)
	}
	if request.answered {
		r.finish(request)
	}
}

// recordStatus takes what an outcome reports of its endpoint's role, position
// and commits. The request is nil if it is not known any more.
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
		servedUnknown := result.Outcome == OK && request == nil // its position may be a commit
		if !servedWrite && !servedUnknown {
			r.recordPosition(endpoint, result.Status.Position, now)
		}
	}
	if !isWrite || result.Outcome.NotExecuted() {
		return
	}
	commit := now // the answer may have been lost on the way
	if servedWrite && result.Status.Position > 0 {
		commit = result.Status.Position
	}
	r.rememberCommit(request, 0, commit)
}

// recordPosition takes an endpoint's reported position.
func (r *Router) recordPosition(endpoint *trackedEndpoint, position, now time.Duration) {
	endpoint.record(position, now)
}

// recordOutcome takes the evidence that the end of an attempt gives of its endpoint's health.
func (r *Router) recordOutcome(
	request *trackedRequest, ended *attempt, result AttemptResult, now time.Duration,
) {
	endpoint := ended.endpoint
	switch result.Outcome {
	case NotSent, Cancelled, InvalidRequest: // not caused by the endpoint
	case OK:
		r.recordServed(request, ended, now)
	case Ineligible:
		if request.class.Consistency != Write && result.Status.Position == 0 {
			r.assumeLag(request, endpoint, now)
		}
	case Malformed, Reset:
		if endpoint.consecutiveFailures == 0 {
			endpoint.consecutiveFailures = 1 // a single one says more of the network than of the endpoint
			return
		}
		r.recordFailure(ended, result, now)
	default:
		r.recordFailure(ended, result, now)
	}
}

// recordServed takes a served attempt.
func (r *Router) recordServed(request *trackedRequest, ended *attempt, now time.Duration) {
	endpoint := ended.endpoint
	took := max(now-ended.sentAt, minServiceTime)
	endpoint.consecutiveFailures = 0
	endpoint.lastAnsweredSentAt = max(endpoint.lastAnsweredSentAt, ended.sentAt)
	r.answers.record(now, r.readyEndpoints)
	endpoint.latency = smooth(endpoint.latency, took, latencySmoothing)
	r.latency = smooth(r.latency, took, latencySmoothing)
	r.adaptConcurrency(ended, float64(took)/float64(request.class.LatencyObjective), now)
	r.admission.served()
}

// assumeLag raises the lag of a replica that rejected a read as too far behind
// without reporting its position.
func (r *Router) assumeLag(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) {
	behind := now - r.requiredPosition(request, now) + r.cfg.StaleReadWait
	endpoint.lag = max(endpoint.lag, behind)
	endpoint.lagMeasuredAt = now
}

// recordFailure takes a failed attempt: its endpoint backs off, twice as long
// after each failure in a row, since fast failures would look idle and attract
// more requests. A timeout is slow by itself and causes no backoff.
func (r *Router) recordFailure(ended *attempt, result AttemptResult, now time.Duration) {
	endpoint, outcome := ended.endpoint, result.Outcome
	latency := r.latencyOf(endpoint)
	endpoint.unreachable = outcome == ConnectFailed
	refused := outcome == ConnectFailed && result.Latency < latency/refusalDivisor
	if refused {
		endpoint.connectionsScarceUntil = now + connectionsScarceDuration
	}
	if outcome != TimedOut {
		backoff := latency << min(endpoint.consecutiveFailures, maxBackoffDoublings)
		endpoint.backoffUntil = now + min(backoff, maxTrialBackoff)
		endpoint.consecutiveFailures++
	}
	endpoint.busyUntil = now + busyLatencies*latency
	silent := (outcome == TimedOut || outcome == ConnectFailed) && !refused
	if silent && ended.sentAt >= endpoint.lastAnswerAt {
		endpoint.busyUntil = now + silentDuration
	}
	if outcome == Overloaded {
		r.admission.overloaded()
	}
	if outcome != Error && outcome != Malformed && !refused {
		r.adaptConcurrency(ended, 1, now)
	}
}
