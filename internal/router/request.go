package router

import (
	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// Statement is what an endpoint is sent: the client's text. The digits
// Text[WaitFrom:WaitTo] state how long the sender waits, in milliseconds.
type Statement struct {
	Text     []byte
	WaitFrom int
	WaitTo   int
	Write    bool // the position in its answer is a commit
}

// Request is a client's request, independent of its protocol. Its Statement
// must not change until the last attempt of the request has ended.
type Request struct {
	Statement       Statement
	Class           int
	Group           int
	Session         uint64  // 0 if none
	SessionCommitAt float64 // Unix milliseconds of the session's last commit, 0 if none
	TimeLeft        float64 // milliseconds until the client gives up
}

// Row is an endpoint's answer: one value of one column.
type Row struct {
	Column []byte
	Type   uint32 // PostgreSQL's object identifier of the column's type
	Size   int16  // of the type, in bytes; negative if it varies
	Binary bool
	Value  []byte
	Tag    []byte // the endpoint's CommandComplete tag
}

// Verdict is how a request ended.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota
	Rejected         // not executed: a retry is harmless
	Failed           // it may have been executed
)

// Answer is the final answer to a request. Row and what it refers to are valid
// only during the call that delivers it.
type Answer struct {
	Verdict    Verdict
	Row        *Row    // if Served
	RetryAfter float64 // if Rejected: milliseconds, 0 for no advice
}

// Client receives the final answer to each of its requests, once.
type Client interface {
	Answer(client slotmap.Handle, answer Answer)
}

// trackedRequest is a request from its submission until its last attempt ends.
type trackedRequest struct {
	Request
	id            uint64 // to the decision module
	from          Client
	client        slotmap.Handle // from's name for the request
	deadline      float64        // Unix milliseconds
	deadlineTimer *clock.Deadline
	attempts      []attempt
	inFlight      int  // attempts
	answered      bool // the client has its final answer, or has cancelled
}

// PendingRequests returns how many requests wait for their final answer.
func (r *Router) PendingRequests() int { return r.pending }

// Submit takes a request. Its final answer goes to from, with client as the
// name of the request there. The returned handle names the request to
// ClientCancelled.
func (r *Router) Submit(submitted Request, from Client, client slotmap.Handle) slotmap.Handle {
	consistency := r.cfg.Classes[submitted.Class].Consistency
	submitted.Statement.Write = consistency == decide.Write
	request := &trackedRequest{
		Request:  submitted,
		from:     from,
		client:   client,
		deadline: r.loop.Now() + submitted.TimeLeft,
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
		arrived.SinceCommit = max(r.now()-clock.Duration(submitted.SessionCommitAt), 1)
	}
	if consistency == decide.Write || consistency == decide.Session {
		arrived.Session = submitted.Session
	}
	r.decider.RequestArrived(r.now(), arrived)
	return handle
}

// ClientCancelled ends a request whose client does not wait any more. It gets
// no answer.
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

// ExpireAll ends every request as its deadline would.
func (r *Router) ExpireAll() {
	r.requests.Each(func(handle slotmap.Handle, _ *trackedRequest) { r.expire(handle) })
}

// expire ends a request at its client's deadline: its attempts time out, and
// the decision module answers. The module itself looks at its deadlines a
// little later, so that a request which it still queues is failed here.
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

// answer gives a request its final answer, once.
func (r *Router) answer(request *trackedRequest, answer Answer) {
	if request.answered {
		return
	}
	request.answered = true
	r.pending--
	if answer.Verdict == Rejected {
		r.observer.requestRejected(request.Class)
	}
	request.from.Answer(request.client, answer)
}

// release frees the slot of a request that is answered and has no attempt in
// flight.
func (r *Router) release(handle slotmap.Handle, request *trackedRequest) {
	if request.answered && request.inFlight == 0 {
		r.loop.Cancel(request.deadlineTimer)
		r.requests.Remove(handle)
	}
}
