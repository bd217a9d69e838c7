package router

import (
	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// unknownAttempt is the attempt number in a report about an attempt that the
// decision module no longer tracks.
const unknownAttempt = -1

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request slotmap.Handle
	Number  int // counted from 0 for each request
}

// AttemptReport is the result of an attempt or a health check.
type AttemptReport struct {
	Outcome decide.Outcome
	Status  decide.ReplicationStatus
	Row     *Row // the answer of a served attempt; valid only during the call
}

// attempt is the state of one attempt, in flight or ended.
type attempt struct {
	endpoint        uint32
	transportHandle slotmap.Handle  // identifies the attempt to Transport.Cancel
	sentAt          float64         // Unix milliseconds
	timeout         *clock.Deadline // nil if the request's deadline comes first
	inFlight        bool
	maybeWritten    bool // false only if it was cancelled before any byte was written
}

// attemptInFlight returns the request of an attempt, or nil if the attempt is
// not in flight.
func (r *Router) attemptInFlight(id AttemptID) *trackedRequest {
	request := r.requests.Get(id.Request)
	if request == nil || id.Number >= len(request.attempts) || !request.attempts[id.Number].inFlight {
		return nil
	}
	return request
}

// AttemptEnded handles the end of an attempt, as reported by the transport. It
// ignores an attempt that has already ended, for example by its timeout.
func (r *Router) AttemptEnded(attemptID AttemptID, report AttemptReport) {
	request := r.attemptInFlight(attemptID)
	if request == nil {
		return
	}
	r.endAttempt(request, attemptID.Number, report)
	r.release(attemptID.Request, request)
}

// LateAnswer handles an endpoint's answer to an attempt that was cancelled. It
// updates the endpoint's health and replication status; the request is not
// affected.
func (r *Router) LateAnswer(endpoint uint32, report AttemptReport) {
	r.decider.AttemptEnded(r.now(), decide.AttemptResult{
		Attempt:  unknownAttempt,
		Endpoint: endpoint,
		Outcome:  report.Outcome,
		Status:   report.Status,
	})
}

// MaySend reports whether an attempt that waited for a connection may still be
// written. If not, the transport must report it as NotSent.
func (r *Router) MaySend(attemptID AttemptID) bool {
	request := r.attemptInFlight(attemptID)
	return request != nil && r.decider.MaySend(r.now(), request.id, attemptID.Number)
}

// endAttempt ends an attempt in flight. It answers the client if the attempt
// was served, and reports the result to the decision module.
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

// cancelAttempt cancels an attempt at the transport and returns the outcome to
// report. An attempt that timed out before anything was written was not
// executed, so its outcome is ConnectFailed instead of TimedOut.
func (r *Router) cancelAttempt(request *trackedRequest, number int, outcome decide.Outcome) decide.Outcome {
	cancelled := &request.attempts[number]
	cancelled.maybeWritten = r.transport.Cancel(cancelled.transportHandle)
	if !cancelled.maybeWritten && outcome == decide.TimedOut {
		return decide.ConnectFailed
	}
	return outcome
}

// endAttempts cancels all attempts of a request that are in flight.
func (r *Router) endAttempts(request *trackedRequest, outcome decide.Outcome) {
	for number := range request.attempts {
		if request.attempts[number].inFlight {
			r.endAttempt(request, number, AttemptReport{Outcome: r.cancelAttempt(request, number, outcome)})
		}
	}
}

// attemptTimedOut ends an attempt at its own timeout, which is earlier than its
// request's deadline.
func (r *Router) attemptTimedOut(attemptID AttemptID) {
	request := r.requests.Get(attemptID.Request)
	if request == nil || !request.attempts[attemptID.Number].inFlight {
		return
	}
	outcome := r.cancelAttempt(request, attemptID.Number, decide.TimedOut)
	r.endAttempt(request, attemptID.Number, AttemptReport{Outcome: outcome})
	r.release(attemptID.Request, request)
}
