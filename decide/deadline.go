package decide

import (
	"slices"
	"time"
)

// stuckLatencyMultiple is the time after which an attempt may be stuck, as a
// multiple of the expected latency. A healthy attempt rarely takes this long.
const stuckLatencyMultiple = 8.0

// expiryMargin is how long before its deadline a request without an attempt in
// flight is answered.
const expiryMargin = 2 * tickInterval

// enforceDeadline answers a request at its deadline, and replaces its attempt if
// that is stuck. It abandons the attempts of an answered request at the end of the
// retention period.
func (r *Router) enforceDeadline(request *trackedRequest, now time.Duration) {
	if request.answered && now > request.expiresAt+retentionPeriod {
		r.abandonAttempts(request, now)
	}
	if request.answered || request.answerStarted {
		return
	}
	expiring := request.inFlight == 0 && now+expiryMargin >= request.expiresAt
	if expiring || now >= request.expiresAt {
		r.failEarly(request)
		return
	}
	if request.inFlight == 1 {
		r.replaceStuckAttempt(request, now)
	}
}

// abandonAttempts ends the attempts of an answered request whose outcome was never
// reported.
func (r *Router) abandonAttempts(request *trackedRequest, now time.Duration) {
	for number := range request.attempts {
		if request.attempts[number].endedAt == 0 {
			r.detachAttempt(request, &request.attempts[number], now)
		}
	}
}

// replaceStuckAttempt cancels the only attempt in flight of a request if it is
// stuck, and sends another one to an endpoint that selectEndpoint returns, or to
// the same primary if there is none. This recovers from lost answers and from
// connections that stopped transmitting. The retry budget limits the cost where
// the attempt was merely slow. Without Config.ParallelAttempts nothing is replaced,
// because a cancelled attempt is in flight until its end is reported.
func (r *Router) replaceStuckAttempt(request *trackedRequest, now time.Duration) {
	number := slices.IndexFunc(request.attempts, func(a attempt) bool { return a.endedAt == 0 })
	current := &request.attempts[number]
	if !r.cfg.CancelAttempts || !r.retries.covers(fullRetryCost) {
		return
	}
	if !r.stuck(current, now) || r.cannotFinishInTime(request, now) {
		return
	}
	endpoint := r.selectEndpoint(request, now)
	if endpoint == nil && r.mayRepeatAtPrimary(request, current, now) {
		endpoint = current.endpoint
	}
	if endpoint == nil {
		return
	}
	r.retries.spend(fullRetryCost)
	r.actions.Cancel(request.ID, number)
	r.send(request, endpoint, now)
}

// stuck reports whether an attempt is long overdue although its endpoint has served
// another one that was sent more than the expected latency later. A long queue
// alone does not let a later attempt overtake an earlier one.
func (r *Router) stuck(current *attempt, now time.Duration) bool {
	expected := max(current.endpoint.latency, r.latency)
	overdue := float64(now-current.sentAt) > stuckLatencyMultiple*float64(expected)
	return overdue && current.endpoint.lastAnsweredSentAt > current.sentAt+expected
}

// mayRepeatAtPrimary reports whether an attempt at the primary may be replaced by
// another attempt there.
func (r *Router) mayRepeatAtPrimary(request *trackedRequest, current *attempt, now time.Duration) bool {
	primary := request.group.primary
	return current.endpoint == primary && !primary.breaker.open && primary.State == Ready &&
		now >= primary.backoffUntil && r.attemptAllowed(request, primary, now) &&
		r.hasCapacity(primary, 1, now)
}
