package decide

import "time"

// minAttemptTimeout is the shortest timeout of an attempt.
const minAttemptTimeout = tickInterval

// earlyErrorLatencyDivisor divides an endpoint's latency to give the time within
// which an error answer is early: it took the endpoint little work.
const earlyErrorLatencyDivisor = 4

// route sends the request to an endpoint that can take it now, or queues it in
// its group.
func (r *Router) route(request *trackedRequest, now time.Duration) {
	if endpoint := r.selectEndpoint(request, now); endpoint != nil {
		r.send(request, endpoint, now)
		return
	}
	if request.inFlight == 0 && !request.queued {
		request.queued = true
		request.group.queue = append(request.group.queue, request)
	}
}

// send starts an attempt of the request at the endpoint.
func (r *Router) send(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) {
	if request.inFlight == 0 && !request.mayHaveExecuted {
		request.firstSentAt = now
		request.firstZone = endpoint.Zone
	}
	request.queued = false
	request.inFlight++
	request.attempts = append(request.attempts, attempt{endpoint: endpoint, sentAt: now})
	endpoint.attemptSent(now)
	r.rememberCommit(request, 1, 0)
	if endpoint.breaker.open {
		r.openCircuit(endpoint, now) // this attempt is the trial; the next one waits twice as long
	}
	r.actions.Send(request.ID, endpoint.ID, request.attemptTimeout(now))
}

// attemptTimeout returns the timeout of an attempt sent now, 0 for the client's
// deadline. An attempt of an idempotent request whose late answer has no value
// ends when the latency objective does.
func (request *trackedRequest) attemptTimeout(now time.Duration) time.Duration {
	if request.class.Idempotency != Idempotent || !request.class.lateIsWorthless() {
		return 0
	}
	return max(request.objectiveAt-now, minAttemptTimeout)
}

// attemptAllowed reports whether the request's limits on attempts, its deadline
// and its idempotency allow an attempt at the endpoint, or at any endpoint if it
// is nil. Every first attempt and every retry passes this check.
func (r *Router) attemptAllowed(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) bool {
	if request.answered || request.answerStarted || now >= request.expiresAt {
		return false
	}
	if len(request.attempts) >= r.cfg.MaxAttempts {
		return false
	}
	if request.inFlight > 0 && !r.cfg.ParallelAttempts {
		return false
	}
	neverExecuted := !request.mayHaveExecuted && request.inFlight == 0
	if neverExecuted || request.class.Idempotency == Idempotent {
		return true
	}
	return request.class.Idempotency == IdempotencyKey && request.withinIdempotencyWindow(now) &&
		(endpoint == nil || request.withinIdempotencyScope(endpoint))
}

// withinIdempotencyWindow reports whether a duplicate sent now would still be
// dropped when it arrives. The window starts when the first attempt that may have
// been executed is sent; one tick is left for the transmission to the endpoint.
func (request *trackedRequest) withinIdempotencyWindow(now time.Duration) bool {
	return now+tickInterval < request.firstSentAt+request.class.IdempotencyWindow
}

// withinIdempotencyScope reports whether the endpoint drops duplicates of the
// request's first attempt that may have been executed. All attempts go to the
// request's own group, so only ScopeZone excludes endpoints.
func (request *trackedRequest) withinIdempotencyScope(endpoint *trackedEndpoint) bool {
	return request.class.IdempotencyScope != ScopeZone || endpoint.Zone == request.firstZone
}

// MaySend reports whether an attempt that has waited for a connection may still be
// written: meanwhile the request or the idempotency window may have ended, or the
// endpoint may no longer be ready or fresh enough. number is the attempt's number
// within request id.
func (r *Router) MaySend(now time.Duration, id uint64, number int) bool {
	request := r.requests[id]
	if request == nil || request.answered || now >= request.expiresAt {
		return false
	}
	endpoint := request.attempts[number].endpoint
	if endpoint.State != Ready {
		return false
	}
	duplicate := request.mayHaveExecuted || request.inFlight > 1
	if duplicate && request.class.Idempotency != Idempotent && !request.withinIdempotencyWindow(now) {
		return false
	}
	return r.stillFresh(request, endpoint, now)
}

// stillFresh reports whether the endpoint's data is still fresh enough for the
// request. The router must check that only where replicas serve stale reads. A
// write needs no check, as every endpoint but the primary rejects it.
func (r *Router) stillFresh(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) bool {
	if r.cfg.StaleReadPolicy != ServeStale || request.class.Consistency == Write || endpoint.isPrimary() {
		return true
	}
	return !request.class.Consistency.needsPrimary() && r.freshEnough(request, endpoint, now)
}

// retry handles the end of an attempt after which the client has no answer. Unless
// another attempt is in flight, it retries the request or answers it with an error.
// elapsed is the time from sending the attempt to its end.
func (r *Router) retry(
	request *trackedRequest, endpoint *trackedEndpoint, outcome Outcome, elapsed, now time.Duration,
) {
	if !outcome.NotExecuted() {
		request.mayHaveExecuted = true
	}
	if request.inFlight > 0 {
		return
	}
	if outcome == InvalidRequest { // every endpoint would reject it
		r.actions.Fail(request.ID)
		r.finish(request)
		return
	}
	cost := r.retryCost(endpoint, outcome, elapsed)
	if !r.retries.covers(cost) || !r.attemptAllowed(request, nil, now) || r.cannotFinishInTime(request, now) {
		r.failEarly(request)
		return
	}
	r.retries.spend(cost)
	r.route(request, now)
}

// retryCost returns the retry tokens that a retry after the outcome costs. The
// cost depends on how much work of the endpoint was wasted.
func (r *Router) retryCost(endpoint *trackedEndpoint, outcome Outcome, elapsed time.Duration) float64 {
	singleReset := outcome == Reset && endpoint.consecutiveFailures == 1
	earlyError := outcome == Error && elapsed < r.latencyOf(endpoint)/earlyErrorLatencyDivisor
	switch {
	case outcome.NotExecuted():
		return 0
	case outcome == Malformed, singleReset, earlyError:
		return reducedRetryCost
	}
	return fullRetryCost
}
