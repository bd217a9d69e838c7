package decide

import (
	"slices"
	"time"
)

// stuckLatencies is the number of latencies after which an attempt may be stuck:
// rare by chance.
const stuckLatencies = 8.0

// expiryMargin is how long before its deadline a request without an attempt is
// answered.
const expiryMargin = 2 * tickInterval

// enforceDeadline answers a request at its deadline, and replaces an attempt
// that is stuck.
func (r *Router) enforceDeadline(request *trackedRequest, now time.Duration) {
	if request.answered && now > request.expiresAt+retentionPeriod {
		r.forgetAttempts(request, now)
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

// forgetAttempts ends the attempts of an answered request whose outcome never
// came.
func (r *Router) forgetAttempts(request *trackedRequest, now time.Duration) {
	for number := range request.attempts {
		if request.attempts[number].endedAt == 0 {
			r.detachAttempt(request, &request.attempts[number], now)
		}
	}
}

// replaceStuckAttempt cancels the only attempt of a request if it is stuck, and
// sends another: to any endpoint that the request may go to, or to the same
// primary where only that will do. It serves against lost answers and silent
// connections; the retry budget bounds what it costs where the attempt was only
// slow.
func (r *Router) replaceStuckAttempt(request *trackedRequest, now time.Duration) {
	number := slices.IndexFunc(request.attempts, func(a attempt) bool { return a.endedAt == 0 })
	current := &request.attempts[number]
	if !r.cfg.CancelAttempts || !r.retries.covers(repeatedWorkCost) {
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
	r.retries.spend(repeatedWorkCost)
	r.actions.Cancel(request.ID, number)
	r.send(request, endpoint, now)
}

// stuck reports whether an attempt is long overdue while its endpoint has
// answered what was sent a latency later: a queue alone is not overtaken.
func (r *Router) stuck(current *attempt, now time.Duration) bool {
	expected := max(current.endpoint.latency, r.latency)
	overdue := float64(now-current.sentAt) > stuckLatencies*float64(expected)
	return overdue && current.endpoint.lastAnsweredSentAt > current.sentAt+expected
}

// mayRepeatAtPrimary reports whether an attempt at the primary may be replaced
// by another one there.
func (r *Router) mayRepeatAtPrimary(request *trackedRequest, current *attempt, now time.Duration) bool {
	primary := request.group.primary
	return current.endpoint == primary && !primary.breaker.open && primary.State == Ready &&
		now >= primary.backoffUntil && r.attemptAllowed(request, primary, now) &&
		r.hasCapacity(primary, 1, now)
}
