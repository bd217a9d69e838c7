package router

import (
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// actions is the Router as the decision module sees it. No method calls back
// into the module: what must be reported at once is posted to the loop.
type actions Router

var _ decide.Actions = (*actions)(nil)

// Send implements decide.Actions.
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
	name := AttemptID{Request: handle, Number: number}
	request.attempts = append(request.attempts, attempt{
		endpoint: endpoint,
		sentAt:   now,
		inFlight: true,
		begun:    true,
	})
	request.inFlight++
	r.observer.attemptSent(request.Class, number, endpoint, now)
	attemptsSpent := r.cfg.MaxAttempts > 0 && number >= r.cfg.MaxAttempts
	if request.answered || wait <= 0 || attemptsSpent {
		r.loop.Post(func() { r.AttemptEnded(name, AttemptReport{Outcome: decide.NotSent}) })
		return
	}
	request.attempts[number].sent = r.transport.Send(endpoint, name, request.Statement, wait)
	if now+wait < request.deadline {
		request.attempts[number].timeout = r.loop.At(now+wait, func() { r.attemptTimedOut(name) })
	}
}

// Cancel implements decide.Actions.
func (a *actions) Cancel(id uint64, number int) {
	r := (*Router)(a)
	name := AttemptID{Request: slotmap.FromID(id), Number: number}
	request := r.attemptInFlight(name)
	if request == nil {
		return
	}
	cancelled := &request.attempts[number]
	cancelled.begun = r.transport.Cancel(cancelled.sent)
	r.loop.Post(func() { r.AttemptEnded(name, AttemptReport{Outcome: decide.Cancelled}) })
}

// Reject implements decide.Actions.
func (a *actions) Reject(id uint64, retryAfter time.Duration) {
	a.answer(id, Answer{Verdict: Rejected, RetryAfter: clock.Millis(retryAfter)})
}

// Fail implements decide.Actions.
func (a *actions) Fail(id uint64) { a.answer(id, Answer{Verdict: Failed}) }

// answer gives a request its final answer. Its slot is freed later: the module
// may still be at the request.
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

// WatchEndpoints implements decide.Actions. Discovery keeps its watch without
// it.
func (a *actions) WatchEndpoints() {}

// SetTimer implements decide.Actions.
func (a *actions) SetTimer(after time.Duration, token uint32) {
	r := (*Router)(a)
	r.loop.At(r.loop.Now()+clock.Millis(after), func() { r.decider.TimerFired(r.now(), token) })
}
