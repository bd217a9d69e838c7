// Package router carries events to the decision module and its actions to
// whoever can carry them out. It knows requests, attempts and deadlines, and
// no protocol.
package router

import (
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// Statement is what a database host is sent: the client's text, in which the
// digits From to To tell how long the sender waits, in milliseconds.
type Statement struct {
	Text             []byte
	WaitFrom, WaitTo int
	Write            bool // its answer's position is a commit
}

// Request is a client's request in no protocol's terms. Its Statement must
// stay as it is until the request has no attempt left.
type Request struct {
	Statement       Statement
	Class           int
	Group           int
	Session         uint64  // 0 if none
	SessionCommitAt float64 // Unix milliseconds of the session's last commit, 0 if none
	TimeLeft        float64 // milliseconds until the client gives up
}

// Row is a database host's answer: one value of one column.
type Row struct {
	Column []byte
	Type   uint32 // PostgreSQL's number of the column's type
	Size   int16
	Binary bool
	Value  []byte
	Tag    []byte // of the command, as the database host worded it
}

// Verdict says how a request ended.
type Verdict uint8

// The final answers.
const (
	Served   Verdict = iota
	Rejected         // trying again is harmless
	Failed           // no promise about the effect
)

// Answer is the one final answer to a request. What Row refers to is valid
// only during the call that brings it.
type Answer struct {
	Verdict    Verdict
	Row        *Row    // of a served request
	RetryAfter float64 // of a refused one, milliseconds, 0 for no advice
}

// Client takes final answers, each once.
type Client interface {
	Answer(client slotmap.Handle, a Answer)
}

// Attempt names one attempt at a request.
type Attempt struct {
	Request slotmap.Handle
	Number  int
}

// Hosts carries out attempts and probes. Its methods do not block and do not
// call back before they have returned; each attempt that was not cancelled
// and each probe is reported once.
type Hosts interface {
	Send(host uint32, a Attempt, s Statement, wait float64) slotmap.Handle
	Cancel(sent slotmap.Handle) (begun bool) // false: surely not a byte was written
	CheckHealth(host uint32)
	CloseIdle(host uint32)
}

// Report is how an attempt or a probe ended.
type AttemptReport struct {
	Outcome decide.Outcome
	Status  decide.ReplicationStatus
	Row     *Row // of one that was served; valid during the call
}

type attempt struct {
	host uint32
	sent slotmap.Handle // what the hosts call it
	at   float64
	end  *clock.Deadline // if it comes before the request's
	out  bool
	// begun is false where the attempt was called off and surely not a byte
	// of it had left.
	begun bool
}

type request struct {
	Request
	id       uint64
	from     Client
	client   slotmap.Handle
	deadline float64
	end      *clock.Deadline
	attempts []attempt
	out      int
	done     bool
}

// Router is the module's embedding. All its methods are called inside the
// loop's Do.
type Router struct {
	loop     *clock.Loop
	cfg      decide.Config
	module   *decide.Router
	hosts    Hosts
	requests slotmap.Table[request]
	open     int           // requests without their final answer
	seen     *Observer     // nil where nothing is shared with other routers
	bound    time.Duration // the oldest data that any bounded class takes
}

// New returns a router that lives in loop.
func New(loop *clock.Loop, cfg decide.Config, seed uint64) (*Router, error) {
	// Discovery keeps its watch by itself; the module need not ask.
	cfg.PollOnly = false
	r := &Router{loop: loop, cfg: cfg}
	var err error
	r.module, err = decide.New(cfg, seed, (*actions)(r))
	return r, err
}

// Start begins the work on hosts with the list as last known.
func (r *Router) Start(hosts Hosts, known []decide.Endpoint) {
	r.hosts = hosts
	r.module.Start(r.now())
	r.seen.listed(known)
	r.module.EndpointsUpdated(r.now(), decide.UpdateCachedSnapshot, known)
}

// now is the time on the module's clock, the Unix time.
func (r *Router) now() time.Duration { return clock.Duration(r.loop.Now()) }

// Class is what a client's statement must fit.
type Class struct {
	Number              int
	Write               bool // only a primary takes it
	NeedsIdempotencyKey bool // it needs an idempotency key
	Fresh               bool // it sees all that was written before it came
	// Session is true of a read that sees its session's own writes.
	Session bool
	// KeyTTL is for how many milliseconds a shard drops a repeat of a key.
	IdempotencyWindow float64
}

// Class returns a class by its name.
func (r *Router) Class(name []byte) (Class, bool) {
	for i := range r.cfg.Classes {
		if c := &r.cfg.Classes[i]; c.Name == string(name) {
			return Class{
				Number: i, Write: c.Consistency == decide.Write, NeedsIdempotencyKey: c.Idempotency == decide.IdempotencyKey,
				Fresh: c.Consistency == decide.Fresh, Session: c.Consistency == decide.Session, IdempotencyWindow: clock.Millis(c.IdempotencyWindow),
			}, true
		}
	}
	return Class{}, false
}

// Open returns how many requests wait for their final answer.
func (r *Router) PendingRequests() int { return r.open }

// Listed takes news of the list of database hosts.
func (r *Router) EndpointsUpdated(kind decide.EndpointUpdateKind, members []decide.Endpoint) {
	r.seen.listed(members)
	r.module.EndpointsUpdated(r.now(), kind, members)
}

// Join tells the module of its peers; without that it acts alone.
func (r *Router) JoinFleet(f decide.Fleet) { r.module.JoinFleet(f) }

// Submit takes a request. Its answer goes to from, which may name it by the
// returned reference until then.
func (r *Router) Submit(req Request, from Client, client slotmap.Handle) slotmap.Handle {
	req.Statement.Write = r.cfg.Classes[req.Class].Consistency == decide.Write
	q := &request{Request: req, from: from, client: client, deadline: r.loop.Now() + req.TimeLeft}
	ref := r.requests.Add(q)
	q.id = ref.ID()
	r.open++
	r.seen.arrived(req.Class)
	q.end = r.loop.At(q.deadline, func() { r.expire(ref) })
	var since time.Duration
	if req.SessionCommitAt > 0 {
		since = max(r.now()-clock.Duration(req.SessionCommitAt), 1)
	}
	session := req.Session
	if r.cfg.Classes[req.Class].Consistency != decide.Write && r.cfg.Classes[req.Class].Consistency != decide.Session {
		session = 0
	}
	r.module.RequestArrived(r.now(), decide.Request{
		ID: q.id, Group: req.Group, Class: req.Class, Session: session, SinceCommit: since,
		TimeLeft: clock.Duration(req.TimeLeft),
	})
	return ref
}

// Lapse says that the client of a request has gone.
func (r *Router) ClientCancelled(ref slotmap.Handle) {
	q := r.requests.Get(ref)
	if q == nil || q.done {
		return
	}
	q.done = true
	r.open--
	r.module.ClientCancelled(r.now(), q.id)
	r.endAttempts(ref, q, decide.Cancelled)
	r.release(ref, q)
}

// Ended takes the end of an attempt. A late one, of an attempt that was ended
// otherwise, is passed over.
func (r *Router) AttemptEnded(a Attempt, rep AttemptReport) {
	q := r.requests.Get(a.Request)
	if q == nil || a.Number >= len(q.attempts) || !q.attempts[a.Number].out {
		return
	}
	r.end(a.Request, q, a.Number, rep)
	r.release(a.Request, q)
}

// LateAnswer takes what a host answered to an attempt that was given up: it is
// news of the host alone.
func (r *Router) LateAnswer(host uint32, rep AttemptReport) {
	r.module.AttemptEnded(r.now(), decide.AttemptResult{Attempt: unknownAttempt, Endpoint: host, Outcome: rep.Outcome, Status: rep.Status})
}

// unknownAttempt is the number of an attempt that the module no longer knows.
const unknownAttempt = -1

// MayLeave tells whether an attempt that waited for its connection may still be
// written. What is reported instead goes back to the module.
func (r *Router) MaySend(a Attempt) bool {
	q := r.requests.Get(a.Request)
	return q != nil && a.Number < len(q.attempts) && q.attempts[a.Number].out &&
		r.module.MaySend(r.now(), q.id, a.Number)
}

// Probed takes the end of a probe.
func (r *Router) HealthChecked(host uint32, rep AttemptReport) {
	r.module.HealthChecked(r.now(), decide.HealthCheckResult{Endpoint: host, Outcome: rep.Outcome, Status: rep.Status})
}

// end gives an attempt's end to the client, if it serves it, and to the module.
func (r *Router) end(ref slotmap.Handle, q *request, n int, rep AttemptReport) {
	at := &q.attempts[n]
	at.out = false
	r.loop.Cancel(at.end)
	q.out--
	r.seen.ended(q.Class, at, rep.Outcome, r.loop.Now())
	if rep.Outcome == decide.OK {
		r.answer(q, Answer{Verdict: Served, Row: rep.Row})
	}
	r.module.AttemptEnded(r.now(), decide.AttemptResult{
		Request: q.id, Attempt: n, Endpoint: at.host, Outcome: rep.Outcome,
		Latency: clock.Duration(r.loop.Now() - at.at), ClientAnswered: q.done, Status: rep.Status,
	})
}

// cancel gives an attempt up. One that still waited for its connection never
// ran, whatever ended the wait.
func (r *Router) cancel(q *request, n int, o decide.Outcome) decide.Outcome {
	q.attempts[n].begun = r.hosts.Cancel(q.attempts[n].sent)
	if !q.attempts[n].begun && o == decide.TimedOut {
		return decide.ConnectFailed
	}
	return o
}

// endAttempts ends whatever of q is out.
func (r *Router) endAttempts(ref slotmap.Handle, q *request, o decide.Outcome) {
	for n := range q.attempts {
		if q.attempts[n].out {
			r.end(ref, q, n, AttemptReport{Outcome: r.cancel(q, n, o)})
		}
	}
}

// expire is the client's deadline: what is out has timed out, and the module
// answers. The module's own look at its requests comes a little later, so a
// request that it still holds is failed here.
func (r *Router) expire(ref slotmap.Handle) {
	q := r.requests.Get(ref)
	if q == nil {
		return
	}
	r.endAttempts(ref, q, decide.TimedOut)
	if !q.done {
		r.answer(q, Answer{Verdict: Failed})
		r.module.ClientCancelled(r.now(), q.id)
	}
	r.release(ref, q)
}

// Expire ends every request as its deadline would.
func (r *Router) Expire() {
	r.requests.Each(func(ref slotmap.Handle, _ *request) { r.expire(ref) })
}

// answer gives q its final answer, once.
func (r *Router) answer(q *request, a Answer) {
	if q.done {
		return
	}
	q.done = true
	r.open--
	if a.Verdict == Rejected {
		r.seen.refused(q.Class)
	}
	q.from.Answer(q.client, a)
}

// release frees the slot of a request of which nothing is left.
func (r *Router) release(ref slotmap.Handle, q *request) {
	if q.done && q.out == 0 {
		r.loop.Cancel(q.end)
		r.requests.Remove(ref)
	}
}

// actions is the Router as the module sees it. Nothing here calls back into
// the module: what must come back at once is posted.
type actions Router

// Send implements decide.Actions.
func (a *actions) Send(id uint64, host uint32, timeout time.Duration) {
	r, ref := (*Router)(a), slotmap.FromID(id)
	q := r.requests.Get(ref)
	if q == nil {
		return
	}
	n, now := len(q.attempts), r.loop.Now()
	wait := q.deadline - now
	if timeout > 0 {
		wait = min(wait, clock.Millis(timeout))
	}
	tag := Attempt{ref, n}
	q.attempts = append(q.attempts, attempt{host: host, at: now, out: true, begun: true})
	q.out++
	r.seen.sent(q.Class, n, host, now)
	if q.done || wait <= 0 || (r.cfg.MaxAttempts > 0 && n >= r.cfg.MaxAttempts) {
		r.loop.Post(func() { r.AttemptEnded(tag, AttemptReport{Outcome: decide.NotSent}) })
		return
	}
	q.attempts[n].sent = r.hosts.Send(host, tag, q.Statement, wait)
	if now+wait < q.deadline {
		q.attempts[n].end = r.loop.At(now+wait, func() { r.timeOut(tag) })
	}
}

// timeOut is the deadline of one attempt that ends before its client's.
func (r *Router) timeOut(a Attempt) {
	q := r.requests.Get(a.Request)
	if q == nil || !q.attempts[a.Number].out {
		return
	}
	r.end(a.Request, q, a.Number, AttemptReport{Outcome: r.cancel(q, a.Number, decide.TimedOut)})
	r.release(a.Request, q)
}

// Cancel implements decide.Actions.
func (a *actions) Cancel(id uint64, n int) {
	r, ref := (*Router)(a), slotmap.FromID(id)
	q := r.requests.Get(ref)
	if q == nil || n >= len(q.attempts) || !q.attempts[n].out {
		return
	}
	q.attempts[n].begun = r.hosts.Cancel(q.attempts[n].sent)
	r.loop.Post(func() { r.AttemptEnded(Attempt{ref, n}, AttemptReport{Outcome: decide.Cancelled}) })
}

// Refuse implements decide.Actions.
func (a *actions) Reject(id uint64, retryAfter time.Duration) {
	a.final(id, Answer{Verdict: Rejected, RetryAfter: clock.Millis(retryAfter)})
}

// Fail implements decide.Actions.
func (a *actions) Fail(id uint64) { a.final(id, Answer{Verdict: Failed}) }

func (a *actions) final(id uint64, ans Answer) {
	r, ref := (*Router)(a), slotmap.FromID(id)
	if q := r.requests.Get(ref); q != nil {
		r.answer(q, ans)
		r.loop.Post(func() { r.release(ref, q) })
	}
}

// Probe implements decide.Actions.
func (a *actions) CheckHealth(host uint32) { a.hosts.CheckHealth(host) }

// CloseIdle implements decide.Actions.
func (a *actions) CloseIdle(host uint32) { a.hosts.CloseIdle(host) }

// Watch implements decide.Actions. Discovery keeps its watch by itself.
func (a *actions) WatchEndpoints() {}

// SetTimer implements decide.Actions.
func (a *actions) SetTimer(after time.Duration, token uint32) {
	r := (*Router)(a)
	r.loop.At(r.loop.Now()+clock.Millis(after), func() { r.module.TimerFired(r.now(), token) })
}
