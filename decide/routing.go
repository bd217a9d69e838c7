package decide

import "time"

// minAttemptTimeout is the shortest timeout that an attempt is sent with.
const minAttemptTimeout = tickInterval

// earlyErrorDivisor: an error within this part of the endpoint's latency cost
// the endpoint little work.
const earlyErrorDivisor = 4

// route sends the request where it may go now, or queues it in its group.
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
		r.openCircuit(endpoint, now) // this is its trial
	}
	r.actions.Send(request.ID, endpoint.ID, request.attemptTimeout(now))
}

// attemptTimeout is the timeout of an attempt sent now, 0 for the client's: an
// idempotent request that earns nothing late may be dropped at its objective.
func (request *trackedRequest) attemptTimeout(now time.Duration) time.Duration {
	if request.class.Idempotency != Idempotent || !request.class.lateIsWorthless() {
		return 0
	}
	return max(request.objectiveAt-now, minAttemptTimeout)
}

// attemptAllowed is the one place that decides whether an attempt of the request
// may be sent (again) to the endpoint, or to any endpoint if it is nil.
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
// dropped. The window counts from the first attempt.
func (request *trackedRequest) withinIdempotencyWindow(now time.Duration) bool {
	return now+tickInterval < request.firstSentAt+request.class.IdempotencyWindow
}

// withinIdempotencyScope reports whether the endpoint drops duplicates of the
// request's first attempt.
func (request *trackedRequest) withinIdempotencyScope(endpoint *trackedEndpoint) bool {
	return request.class.IdempotencyScope != ScopeZone || endpoint.Zone == request.firstZone
}

// MaySend reports whether an attempt that has waited for its connection may
// still be written: what allowed it may no longer hold.
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

// stillFresh reports whether the endpoint may serve the request as far as the
// router must see to the freshness of its data. A write needs no check: another
// endpoint than the primary refuses it.
func (r *Router) stillFresh(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) bool {
	if r.cfg.StaleReadPolicy != ServeStale || request.class.Consistency == Write || endpoint.isPrimary() {
		return true
	}
	return !request.class.Consistency.needsPrimary() && r.freshEnough(request, endpoint, now)
}

// retry decides what follows an attempt that did not serve the request.
func (r *Router) retry(
	request *trackedRequest, endpoint *trackedEndpoint, outcome Outcome, took, now time.Duration,
) {
	if !outcome.NotExecuted() {
		request.mayHaveExecuted = true
	}
	if request.inFlight > 0 {
		return
	}
	if outcome == InvalidRequest { // it would fare no better elsewhere
		r.actions.Fail(request.ID)
		r.finish(request)
		return
	}
	cost := r.retryCost(endpoint, outcome, took)
	if !r.retries.covers(cost) || !r.attemptAllowed(request, nil, now) || r.cannotFinishInTime(request, now) {
		r.failEarly(request)
		return
	}
	r.retries.spend(cost)
	r.route(request, now)
}

// retryCost is what a retry after the outcome takes from the retry budget: by
// how much work is repeated.
func (r *Router) retryCost(endpoint *trackedEndpoint, outcome Outcome, took time.Duration) float64 {
	singleReset := outcome == Reset && endpoint.consecutiveFailures == 1
	earlyError := outcome == Error && took < r.latencyOf(endpoint)/earlyErrorDivisor
	switch {
	case outcome.NotExecuted():
		return 0
	case outcome == Malformed, singleReset, earlyError:
		return brokenRetryCost
	}
	return repeatedWorkCost
}
