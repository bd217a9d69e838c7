package router

import (
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// actions implements decide.Actions for a Router. Its methods are called from
// within the decision module and must not call back into it, so events that
// result from an action are posted to the loop.
type actions Router

var _ decide.Actions = (*actions)(nil)

// Send implements decide.Actions. It reports the attempt as NotSent, without
// starting it, if the request is answered, its time is up or the limit on
// attempts is reached.
func (a *actions) Send(id uint64, endpoint uint32, timeout time.Duration) {
	r := (*Router)(a)
	handle := slotmap.FromID(id)
	request := r.requests.Get(handle)
	if request == nil {
		return
	}
	number := len(request.attempts)
	now := r.loop.Now()
	wait := request.deadline - now
	if timeout > 0 {
		wait = min(wait, clock.Millis(timeout))
	}
	attemptID := AttemptID{Request: handle, Number: number}
	request.attempts = append(request.attempts, attempt{
		endpoint:     endpoint,
		sentAt:       now,
		inFlight:     true,
		maybeWritten: true,
	})
	request.inFlight++
	r.observer.attemptSent(request.Class, number, endpoint, now)
	attemptsSpent := r.cfg.MaxAttempts > 0 && number >= r.cfg.MaxAttempts
	if request.answered || wait <= 0 || attemptsSpent {
		r.loop.Post(func() { r.AttemptEnded(attemptID, AttemptReport{Outcome: decide.NotSent}) })
		return
	}
	request.attempts[number].transportHandle = r.transport.Send(endpoint, attemptID, request.Statement, wait)
	if now+wait < request.deadline {
		request.attempts[number].timeout = r.loop.At(now+wait, func() { r.attemptTimedOut(attemptID) })
	}
}

// Cancel implements decide.Actions. It ignores an attempt that is not in flight.
func (a *actions) Cancel(id uint64, number int) {
	r := (*Router)(a)
	attemptID := AttemptID{Request: slotmap.FromID(id), Number: number}
	request := r.attemptInFlight(attemptID)
	if request == nil {
		return
	}
	cancelled := &request.attempts[number]
	cancelled.maybeWritten = r.transport.Cancel(cancelled.transportHandle)
	r.loop.Post(func() { r.AttemptEnded(attemptID, AttemptReport{Outcome: decide.Cancelled}) })
}

// Reject implements decide.Actions.
func (a *actions) Reject(id uint64, retryAfter time.Duration) {
	a.answer(id, Answer{Verdict: Rejected, RetryAfter: clock.Millis(retryAfter)})
}

// Fail implements decide.Actions.
func (a *actions) Fail(id uint64) { a.answer(id, Answer{Verdict: Failed}) }

// answer delivers a request's final answer. The request's slot is freed only after
// the event in progress, because the decision module may still use the request's
// ID.
func (a *actions) answer(id uint64, answer Answer) {
	r := (*Router)(a)
	handle := slotmap.FromID(id)
	if request := r.requests.Get(handle); request != nil {
		r.answer(request, answer)
		r.loop.Post(func() { r.release(handle, request) })
	}
}

// CheckHealth implements decide.Actions.
func (a *actions) CheckHealth(endpoint uint32) { a.transport.CheckHealth(endpoint) }

// CloseIdle implements decide.Actions.
func (a *actions) CloseIdle(endpoint uint32) { a.transport.CloseIdle(endpoint) }

// WatchEndpoints implements decide.Actions. It does nothing: the discovery
// watcher polls on its own schedule.
func (a *actions) WatchEndpoints() {}

// SetTimer implements decide.Actions.
func (a *actions) SetTimer(after time.Duration, token uint32) {
	r := (*Router)(a)
	r.loop.At(r.loop.Now()+clock.Millis(after), func() { r.decider.TimerFired(r.now(), token) })
}
