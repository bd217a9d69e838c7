package router

import (
	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// Statement is the client's statement as it is sent to an endpoint. The digits
// Text[WaitFrom:WaitTo] are the time in milliseconds for which the sender waits
// for an answer.
type Statement struct {
	Text     []byte
	WaitFrom int  // index of the first digit in Text
	WaitTo   int  // index after the last digit in Text
	Write    bool // the position in the answer is that of the statement's commit; set by Submit
}

// Request is a client's request, independent of the client's protocol. Its
// Statement must not change until the last attempt of the request has ended.
type Request struct {
	Statement       Statement
	Class           int     // index in decide.Config.Classes
	Group           int     // replica group
	Session         uint64  // 0 if none
	SessionCommitAt float64 // Unix milliseconds of the session's last commit, 0 if none
	TimeLeft        float64 // milliseconds until the client stops waiting
}

// Row is the single row of an endpoint's answer, with one column.
type Row struct {
	Column []byte
	Type   uint32 // OID of the column's PostgreSQL type
	Size   int16  // size of the type in bytes, negative for a variable-length type
	Binary bool   // Value is in binary format, otherwise in text format
	Value  []byte
	Tag    []byte // command tag of the endpoint's CommandComplete message
}

// Verdict is how a request ended.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota // executed, with an answer
	Rejected                // not executed, so it is safe to retry
	Failed                  // may have been executed
)

// Answer is the final answer to a request. Row and the memory that it refers to
// are valid only during the call that delivers the answer.
type Answer struct {
	Verdict    Verdict
	Row        *Row    // nil unless Served
	RetryAfter float64 // milliseconds to wait before a retry if Rejected, 0 for no advice
}

// Client receives the final answer to each request that it has submitted.
type Client interface {
	// Answer delivers the final answer, once for each request. clientHandle is
	// the handle that was passed to Submit.
	Answer(clientHandle slotmap.Handle, answer Answer)
}

// trackedRequest is a request from its submission until it is answered and its
// last attempt has ended.
type trackedRequest struct {
	Request
	id            uint64 // identifies the request to the decision module
	client        Client
	clientHandle  slotmap.Handle // identifies the request to client
	deadline      float64        // Unix milliseconds
	deadlineTimer *clock.Deadline
	attempts      []attempt
	inFlight      int  // number of attempts in flight
	answered      bool // the client has its final answer, or has cancelled the request
}

// PendingRequests returns the number of requests without a final answer.
func (r *Router) PendingRequests() int { return r.pending }

// Submit routes a request. Its final answer is delivered to client with
// clientHandle, possibly before Submit returns. The returned handle identifies the
// request to ClientCancelled.
func (r *Router) Submit(submitted Request, client Client, clientHandle slotmap.Handle) slotmap.Handle {
	consistency := r.cfg.Classes[submitted.Class].Consistency
	submitted.Statement.Write = consistency == decide.Write
	request := &trackedRequest{
		Request:      submitted,
		client:       client,
		clientHandle: clientHandle,
		deadline:     r.loop.Now() + submitted.TimeLeft,
	}
	handle := r.requests.Add(request)
	request.id = handle.ID()
	r.pending++
	r.observer.requestArrived(submitted.Class)
	request.deadlineTimer = r.loop.At(request.deadline, func() { r.expire(handle) })

	arrived := decide.Request{
		ID:       request.id,
		Group:    submitted.Group,
		Class:    submitted.Class,
		TimeLeft: clock.Duration(submitted.TimeLeft),
	}
	if submitted.SessionCommitAt > 0 {
		// At least 1 ns, as 0 would mean that the session has no commit.
		arrived.SinceCommit = max(r.now()-clock.Duration(submitted.SessionCommitAt), 1)
	}
	if consistency == decide.Write || consistency == decide.Session {
		arrived.Session = submitted.Session
	}
	r.decider.RequestArrived(r.now(), arrived)
	return handle
}

// ClientCancelled ends a request that its client no longer waits for, without an
// answer. It ignores a request that has been answered.
func (r *Router) ClientCancelled(handle slotmap.Handle) {
	request := r.requests.Get(handle)
	if request == nil || request.answered {
		return
	}
	request.answered = true
	r.pending--
	r.decider.ClientCancelled(r.now(), request.id)
	r.endAttempts(request, decide.Cancelled)
	r.release(handle, request)
}

// GiveUp answers a request before its deadline, without waiting for its attempts any
// longer. It ignores a request that has been answered.
func (r *Router) GiveUp(handle slotmap.Handle) {
	request := r.requests.Get(handle)
	if request != nil && !request.answered {
		r.decider.GiveUp(r.now(), request.id)
	}
}

// ExpireAll ends every request as if its deadline had passed.
func (r *Router) ExpireAll() {
	r.requests.Each(func(handle slotmap.Handle, _ *trackedRequest) { r.expire(handle) })
}

// expire ends a request at its client's deadline. Its attempts time out, and the
// decision module may answer it. The module checks its own deadlines slightly
// later, so a request that it still queues is failed here.
func (r *Router) expire(handle slotmap.Handle) {
	request := r.requests.Get(handle)
	if request == nil {
		return
	}
	r.endAttempts(request, decide.TimedOut)
	if !request.answered {
		r.answer(request, Answer{Verdict: Failed})
		r.decider.ClientCancelled(r.now(), request.id)
	}
	r.release(handle, request)
}

// answer delivers a request's final answer unless it already has one.
func (r *Router) answer(request *trackedRequest, answer Answer) {
	if request.answered {
		return
	}
	request.answered = true
	r.pending--
	if answer.Verdict == Rejected {
		r.observer.requestRejected(request.Class)
	}
	request.client.Answer(request.clientHandle, answer)
}

// release frees the slot of a request that is answered and has no attempt in
// flight.
func (r *Router) release(handle slotmap.Handle, request *trackedRequest) {
	if request.answered && request.inFlight == 0 {
		r.loop.Cancel(request.deadlineTimer)
		r.requests.Remove(handle)
	}
}
