package router

import (
	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// unknownAttempt is the number of an attempt that the decision module does not
// know any more.
const unknownAttempt = -1

// AttemptID names one attempt at a request.
type AttemptID struct {
	Request slotmap.Handle
	Number  int
}

// AttemptReport is how an attempt or a health check ended.
type AttemptReport struct {
	Outcome decide.Outcome
	Status  decide.ReplicationStatus
	Row     *Row // if it was served; valid only during the call
}

// attempt is one attempt, in flight or ended.
type attempt struct {
	endpoint uint32
	sent     slotmap.Handle  // the transport's name for it
	sentAt   float64         // Unix milliseconds
	timeout  *clock.Deadline // nil if the request's deadline comes first
	inFlight bool
	begun    bool // false if it was cancelled and surely no byte of it was written
}

// attemptInFlight returns the request of an attempt, nil if the attempt is not
// in flight.
func (r *Router) attemptInFlight(of AttemptID) *trackedRequest {
	request := r.requests.Get(of.Request)
	if request == nil || of.Number >= len(request.attempts) || !request.attempts[of.Number].inFlight {
		return nil
	}
	return request
}

// AttemptEnded takes the end of an attempt. It ignores one that has ended
// otherwise before.
func (r *Router) AttemptEnded(ended AttemptID, report AttemptReport) {
	request := r.attemptInFlight(ended)
	if request == nil {
		return
	}
	r.endAttempt(request, ended.Number, report)
	r.release(ended.Request, request)
}

// LateAnswer takes what an endpoint answered to an attempt that was cancelled:
// evidence on the endpoint alone.
func (r *Router) LateAnswer(endpoint uint32, report AttemptReport) {
	r.decider.AttemptEnded(r.now(), decide.AttemptResult{
		Attempt:  unknownAttempt,
		Endpoint: endpoint,
		Outcome:  report.Outcome,
		Status:   report.Status,
	})
}

// MaySend reports whether an attempt that waited for its connection may still
// be written. One that may not must be reported as NotSent.
func (r *Router) MaySend(waited AttemptID) bool {
	request := r.attemptInFlight(waited)
	return request != nil && r.decider.MaySend(r.now(), request.id, waited.Number)
}

// endAttempt reports the end of an attempt in flight to the client, if that
// serves the request, and to the decision module.
func (r *Router) endAttempt(request *trackedRequest, number int, report AttemptReport) {
	ended := &request.attempts[number]
	ended.inFlight = false
	r.loop.Cancel(ended.timeout)
	request.inFlight--
	r.observer.attemptEnded(request.Class, ended, report.Outcome)
	if report.Outcome == decide.OK {
		r.answer(request, Answer{Verdict: Served, Row: report.Row})
	}
	r.decider.AttemptEnded(r.now(), decide.AttemptResult{
		Request:        request.id,
		Attempt:        number,
		Endpoint:       ended.endpoint,
		Outcome:        report.Outcome,
		Latency:        clock.Duration(r.loop.Now() - ended.sentAt),
		ClientAnswered: request.answered,
		Status:         report.Status,
	})
}

// cancelAttempt has the transport give an attempt up and returns its outcome.
// One that timed out while it waited for its connection was never executed.
func (r *Router) cancelAttempt(request *trackedRequest, number int, outcome decide.Outcome) decide.Outcome {
	cancelled := &request.attempts[number]
	cancelled.begun = r.transport.Cancel(cancelled.sent)
	if !cancelled.begun && outcome == decide.TimedOut {
		return decide.ConnectFailed
	}
	return outcome
}

// endAttempts cancels the attempts of a request that are in flight.
func (r *Router) endAttempts(request *trackedRequest, outcome decide.Outcome) {
	for number := range request.attempts {
		if request.attempts[number].inFlight {
			r.endAttempt(request, number, AttemptReport{Outcome: r.cancelAttempt(request, number, outcome)})
		}
	}
}

// attemptTimedOut ends an attempt at its own timeout, which comes before its
// request's deadline.
func (r *Router) attemptTimedOut(timedOut AttemptID) {
	request := r.requests.Get(timedOut.Request)
	if request == nil || !request.attempts[timedOut.Number].inFlight {
		return
	}
	outcome := r.cancelAttempt(request, timedOut.Number, decide.TimedOut)
	r.endAttempt(request, timedOut.Number, AttemptReport{Outcome: outcome})
	r.release(timedOut.Request, request)
}
