// The types that this file acts on and answers with stand in api.go.

package decide

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants. Each is a physical limit or relative to what a router has measured or been told.
const (
	beat         = 10 * time.Millisecond  // how often all is looked at: short beside any aim or answer slack
	firstLatency = 100 * time.Millisecond // stands in until any answer was heard
	smoothing    = 0.1                    // weight of a new sample: about ten answers of memory
	lagRise      = 0.3                    // of a greater lag; a smaller counts whole: age only adds to a lag
	lagHolds     = time.Second            // that a lag seen keeps a checking replica out
	busyFor      = 10                     // latencies that a failure marks busy: a queue turns over meanwhile
	silentFor    = 10 * time.Second       // and silence, until it is heard: who meets it seldom learns late
	silentAfter  = 6.0                    // latencies without an answer, shared among the attempts out, ...
	silentLeast  = 2.5                    // ... but never fewer, that open a breaker: rare by chance
	overdueAfter = 8.0                    // latencies after which an attempt may be stuck: rare by chance
	trialAfter   = 6                      // latencies an open breaker first waits; doubled up to ...
	knockPace    = 500 * time.Millisecond // between probes of a member that could not be reached
	trialWaitMax = 4 * time.Second        // ... this, so that a lasting outage costs few requests
	doublings    = 6                      // bound of the rest after failures in a row
	firstLimit   = 4.0                    // concurrency limit of a member before anything is known of it
	reopenLimit  = 2.0                    // and after its breaker was open (slow start)
	goodAim      = 0.25                   // share of an aim under which an answer raises the limit
	badAim       = 0.35                   // and over which it lowers it: queues must end well before aims do
	limitCut     = 0.7                    // by so much: a lost zone's load arrives at once
	spareShare   = 0.75                   // of the primary's limit, for reads that a replica could have taken
	feasibleAim  = 4                      // an aim by this is the most that work is taken to need: no wedge
	retryShare   = 0.1                    // tokens of the retry budget that a first try earns
	brokenCost   = 0.2                    // of a repeat after an early error, a lone break or spoilt answer
	retryBurst   = 1.0                    // most that are saved, as many routers' savings are spent together
	probeShare   = 0.02                   // probes that a first try earns: little beside its own work
	spillCut     = 0.9                    // by which late answers of primaries cut the share of reads there
	spillGain    = 0.05                   // and others raise it: in balance a third are late
	admitCut     = 0.8                    // by which a full answer lowers the share of reads let in, ...
	admitGain    = 0.02                   // ... and by which a good one raises it: queues take long to drain
	scoutPace    = 100 * time.Millisecond // between writes that look for a primary: elections take seconds
	readsSeek    = 3 * time.Second        // without a write that looked, after which a fresh read does
	keepTries    = 3                      // attempts of a request that scouting may not use up
	reportAge    = 500 * time.Millisecond // how far behind an answer a report's word on a role may be
	watchRetry   = 200 * time.Millisecond // first wait when the list could not be had; doubles with jitter
	rateWindow   = 5 * time.Second        // memory of the rate of answers
	sessionsKept = 1 << 14                // sessions whose commits a group remembers
	owedMost     = 1 << 14                // clients' repeats that are waited for at most
	clientJitter = 10 * time.Millisecond  // spread of the clients' way here
	votesKept    = 32                     // for the usual time of tries: as many more others unseat it
	scarceFor    = 10 * time.Second       // after a member refused a connection none is kept idle to it
	unreachable  = 2                      // failures in a row after which another primary is looked for
	forgetAfter  = 30 * time.Second       // an outcome or a gone member is waited for no longer
	coldShare    = 0.75                   // of the rule's rate to a cold member; the rest is for chance
	coldSaved    = 2.0                    // most of it that is saved: with 1 who meets it seldom loses half
	holdShare    = 0.5                    // of its wait that a request may be held unsent
	holdMargin   = 2 * beat               // before it, for the way of the answer
	beatToken    = 1
)

// member is what this router knows of one server.
type member struct {
	Member
	g     *group
	local bool
	role  Role // by answers and reports

	pos, lag               time.Duration // the greatest position proven; the smoothed lag
	roleAt, lagAt, heardAt time.Duration // when each was last learnt; when it last answered
	latency                time.Duration // smoothed

	out, since, fails    int           // attempts out; those sent since it was heard; failures in a row
	oldest, answered     time.Duration // send of the first of those; of the last attempt that was answered
	limit, weight        float64       // of concurrency; in the draw
	cutAt                time.Duration // when the limit was last cut
	busyUntil, restUntil time.Duration
	scarceUntil          time.Duration // until then no idle connection to it is kept: others may need it

	open, unreached    bool // its circuit breaker; no connection could be made at the last try
	trialAt, trialWait time.Duration

	cold                  bool
	allowance             float64 // attempts that it may be sent now while cold
	coldSince, refilledAt time.Duration

	probing, awaitsProbe        bool // a probe is out; it was never heard
	probedAt, scoutedAt, goneAt time.Duration
}

// group is one primary and its replicas. Every session read must be past floor.
type group struct {
	members            []*member
	primary, announced *member // primary as believed, nil while sought
	held               []*request
	scoutAt, soughtAt  time.Duration            // when its primary was last looked for; when last needed
	sessions           map[uint64]sessionWrites // with writes
	floor              time.Duration            // no commit that was forgotten is later
}

// sessionWrites is what a session's reads must see: its last commit told, and what writes still out commit:
// an answer counts as known a while after it was sent, though it may be lost on the way.
type sessionWrites struct {
	commit time.Duration
	out    int
}

type attempt struct {
	m           *member
	sent, ended time.Duration // ended is 0 while it is out
}

type request struct {
	Request
	class                             *Class
	g                                 *group
	aimAt, expires, token, ranSince   time.Duration
	heldUntil                         time.Duration // it is given up if nothing was sent by then
	attempts                          []attempt
	draw                              float64 // held against the shares of reads let in
	out, ranZone, earns               int     // earns: repeats expected if it is given up
	mayHaveRun, held, done, streaming bool
	prev, next                        *request
}

// Router decides for one router process. It is not safe for concurrent use.
type Router struct {
	cfg                    Config
	act                    Actions
	rng                    *rand.Rand
	members                map[uint32]*member
	order, scratch         []*member
	groups                 map[int]*group
	gorder                 []*group
	requests               map[uint64]*request
	head                   request         // of the ring of requests, oldest first
	budget, probeBudget    float64         // of repeats; of probes that could be done without
	usual                  []time.Duration // by class, the time that most tries are given, ...
	votes                  []int           // ... and for how many more than others
	rate, peak             float64         // answers a second; the most that a ready member gave on average
	ready, owed            int             // members listed as ready; clients' repeats expected
	latency, bound         time.Duration   // over all members; the tightest bound of a class
	watching               bool
	rateAt, askAt, askWait time.Duration
	admit                  float64       // share of reads let in
	primaryAim             time.Duration // the tightest aim of the classes that only a primary serves
	spill                  float64       // share of reads that may fall to a primary
	fleet                  Fleet         // what peers let this router do
}

// New returns a router that acts through act. Equal configs, seeds and events give equal actions.
func New(cfg Config, seed uint64, act Actions) (*Router, error) {
	if len(cfg.Classes) == 0 || act == nil {
		return nil, errors.New("decide: classes and actions are needed")
	}
	cfg.MaxAttempts = cmp.Or(max(cfg.MaxAttempts, 0), math.MaxInt)
	r := &Router{
		cfg: cfg, act: act, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		members: map[uint32]*member{}, groups: map[int]*group{}, requests: map[uint64]*request{},
		budget: retryBurst, latency: firstLatency, askWait: watchRetry, spill: 1, admit: 1,
		primaryAim: math.MaxInt64, fleet: alone{},
	}
	r.cfg.Classes = slices.Clone(cfg.Classes)
	r.usual, r.votes = make([]time.Duration, len(cfg.Classes)), make([]int, len(cfg.Classes))
	for i := range r.cfg.Classes {
		c := &r.cfg.Classes[i]
		if c.Aim <= 0 || c.Worth < 0 || math.IsNaN(c.Worth) {
			return nil, fmt.Errorf("decide: class %d (%s) has no aim or worth", i, c.Name)
		}
		if c.Consistency <= Fresh {
			r.primaryAim = min(r.primaryAim, c.Aim)
		}
		if c.Consistency == Bounded && (r.bound == 0 || c.Bound < r.bound) {
			r.bound = c.Bound
		}
	}
	r.head.prev, r.head.next = &r.head, &r.head
	return r, nil
}

// Start begins the router's work.
func (r *Router) Start(now time.Duration) {
	r.Timer(now, beatToken)
}

// Timer is the end of a wait asked for with SetTimer.
func (r *Router) Timer(now time.Duration, token uint32) {
	if token != beatToken {
		return
	}
	r.act.SetTimer(beat, beatToken)
	if r.cfg.MustAsk && !r.watching && now >= r.askAt {
		r.watching = true
		r.act.Watch()
	}
	for _, m := range r.order {
		r.lookAt(m, now)
	}
	r.budget = max(-retryBurst, min(r.budget+r.fleet.Repeats(now)*beat.Seconds(), retryBurst))
	// A way back for both shares also where nothing is sent that could raise them.
	r.admit = min(1, r.admit+admitGain*beat.Seconds())
	r.spill = min(1, r.spill+spillGain*beat.Seconds())
	for q, next := r.head.next, r.head.next.next; q != &r.head; q, next = next, next.next {
		r.watchOver(q, now)
	}
	for _, g := range r.gorder {
		r.release(g, now)
	}
}

// Join tells from whom to hear what the router's peers let it do; before that it acts alone.
func (r *Router) Join(f Fleet) { r.fleet = f }

// Arrived takes a client's request.
func (r *Router) Arrived(now time.Duration, in Request) {
	if r.requests[in.ID] != nil {
		return // known: it gets its one answer
	}
	if in.Class < 0 || in.Class >= len(r.cfg.Classes) {
		r.act.Refuse(in.ID, 0)
		return
	}
	g := r.group(in.Group)
	q := &request{Request: in, class: &r.cfg.Classes[in.Class], g: g, earns: 2, draw: r.rng.Float64()}
	q.expires = now + max(in.TimeLeft, 0)
	q.heldUntil = now + time.Duration(holdShare*float64(max(in.TimeLeft, 0))) - holdMargin
	q.aimAt = min(now+q.class.Aim-r.spent(q), q.expires)
	if r.cfg.Carried && in.SinceWrite > 0 {
		q.token = now - in.SinceWrite + time.Millisecond // the age is rounded
	}
	r.requests[in.ID] = q
	q.prev, q.next = r.head.prev, &r.head
	q.prev.next, q.next.prev = q, q
	r.budget = min(r.budget+retryShare, retryBurst)
	r.probeBudget = min(r.probeBudget+probeShare, 1)
	if r.hopeless(q, now) {
		r.giveUp(q)
	} else {
		r.route(q, now)
	}
}

// spent is how much of its client's wait q's earlier tries surely used. First tries get the usual time; one
// that gets another is a repeat with what is left, and its aim counts from the first: in a retry storm late
// ones go first. Uneven first tries look the same, so those given up bound it, twice over.
func (r *Router) spent(q *request) time.Duration {
	votes := &r.votes[q.Class]
	if (q.TimeLeft - r.usual[q.Class]).Abs() < clientJitter {
		*votes = min(*votes+1, votesKept)
		return 0
	}
	if *votes--; *votes < 0 {
		r.usual[q.Class], *votes = q.TimeLeft, 1
	} else if r.owed > 0 {
		r.owed, q.earns = r.owed-1, 0
		return max(q.class.Deadline-q.TimeLeft, 0)
	}
	return 0
}

// Lapsed says that the client has gone.
func (r *Router) Lapsed(now time.Duration, id uint64) {
	if q := r.requests[id]; q != nil && !q.done {
		r.finish(q)
	}
}

// Streaming says that an answer has begun: from here on it is the client's, and no deadline runs.
func (r *Router) Streaming(now time.Duration, id uint64, _ int) {
	if q := r.requests[id]; q != nil {
		q.streaming = true
	}
}

// Ended is the end of an attempt. One that this router does not know is only news of its member.
func (r *Router) Ended(now time.Duration, res Result) {
	q, m := r.requests[res.Request], r.members[res.Member]
	if q == nil || res.Attempt < 0 || res.Attempt >= len(q.attempts) || q.attempts[res.Attempt].ended != 0 {
		if m != nil {
			r.learn(m, nil, nil, res, now)
		}
		return
	}
	a := &q.attempts[res.Attempt]
	r.learn(a.m, q, a, res, now)
	r.ended(q, a, now)
	switch {
	case q.done:
	case res.Over:
		r.finish(q)
	default:
		r.retry(q, a.m, res.Outcome, now-a.sent, now)
	}
	r.release(q.g, now)
}

// Probed is the end of a probe.
func (r *Router) Probed(now time.Duration, p ProbeResult) {
	m := r.members[p.Member]
	if m == nil {
		return
	}
	m.probing = false
	if p.Outcome == Error || p.Outcome == Spoilt { // it runs, and told nothing: it is asked again
		return
	}
	m.awaitsProbe = false
	if m.unreached { // one that can be reached again need not rest or wait for its trial
		if m.unreached = p.Outcome != OK; m.unreached {
			return
		}
		m.trialAt, m.restUntil = now, now
	} else if p.Outcome != OK {
		m.busyUntil = max(m.busyUntil, now+busyFor*r.latencyOf(m))
		r.open(m, now)
		return
	}
	at := now - reportAge // when the report was made, at the latest; a primary's position is the time itself
	if p.Note.Role == RolePrimary {
		at = p.Note.Position
	}
	if p.Note.Role != RoleUnknown && (m.roleAt == 0 || at > m.roleAt && now-at <= reportAge) {
		r.heardRole(m, p.Note.Role, now)
	}
	r.heardPosition(m, p.Note.Position, now)
	r.release(m.g, now)
}

// Listed is news of the list.
func (r *Router) Listed(now time.Duration, kind ListKind, members []Member) {
	if kind == ListFailed {
		r.watching = false
		r.askAt = now + time.Duration(float64(r.askWait)*(0.5+r.rng.Float64()))
		r.askWait = min(2*r.askWait, max(r.cfg.AskWithin/4, watchRetry))
		return
	}
	if kind != ListCached {
		r.askWait = watchRetry
	}
	if kind != ListDelta { // whom a whole list does not name has left
		named := make(map[uint32]bool, len(members))
		for _, e := range members {
			named[e.ID] = true
		}
		for _, m := range r.order {
			if e := m.Member; !named[e.ID] {
				e.State = Gone
				r.listMember(m, e, now)
			}
		}
	}
	for _, e := range members {
		m := r.members[e.ID]
		if m == nil {
			m = &member{Member: e, g: r.group(e.Group), limit: firstLimit, refilledAt: now}
			m.Started = -1
			r.members[e.ID] = m
			r.order = append(r.order, m)
			m.g.members = append(m.g.members, m)
		}
		r.listMember(m, e, now)
	}
	r.ready = 0
	forgotten := func(m *member) bool { return m.State == Gone && m.out == 0 && now > m.goneAt+forgetAfter }
	for _, m := range r.order {
		if forgotten(m) {
			delete(r.members, m.ID)
			m.g.members = slices.DeleteFunc(m.g.members, forgotten)
		}
		if m.State == Ready {
			r.ready++
		}
	}
	r.order = slices.DeleteFunc(r.order, forgotten)
	for _, g := range r.gorder {
		r.release(g, now)
	}
}

// Request lifecycle.

// route sends q where it may go now, or holds it in its group's queue.
func (r *Router) route(q *request, now time.Duration) {
	if m := r.pick(q, now); m != nil {
		r.send(q, m, now)
	} else if q.out == 0 && !q.held {
		q.held = true
		q.g.held = append(q.g.held, q)
	}
}

// maySend is the one place that decides whether q may be sent (again) at m, or at all if m is nil.
func (r *Router) maySend(q *request, m *member, now time.Duration) bool {
	switch {
	case q.done, q.streaming, len(q.attempts) >= r.cfg.MaxAttempts, now >= q.expires,
		q.out > 0 && !r.cfg.Parallel:
		return false
	case q.class.Repeat == Pure, !q.mayHaveRun && q.out == 0:
		return true
	}
	return q.class.Repeat == Keyed && now+beat < q.ranSince+q.class.KeyTTL &&
		(q.class.Scope != ScopeZone || m == nil || m.Zone == q.ranZone)
}

// MayLeave asks again as an attempt that waited for its connection is written: what allowed it may be over.
func (r *Router) MayLeave(now time.Duration, id uint64, n int) bool {
	q := r.requests[id]
	if q == nil || q.done || now >= q.expires || q.attempts[n].m.State != Ready {
		return false
	}
	m, again := q.attempts[n].m, q.mayHaveRun || q.out > 1
	return (!again || q.class.Repeat == Pure || now+beat < q.ranSince+q.class.KeyTTL) &&
		(r.cfg.Check != Unchecked || q.class.Consistency == Write || m == q.g.primary ||
			(q.class.Consistency > Fresh && r.fresh(q, m, now)))
}

func (r *Router) send(q *request, m *member, now time.Duration) {
	if q.out == 0 && !q.mayHaveRun {
		q.ranSince, q.ranZone = now, m.Zone
	}
	if m.since == 0 {
		m.oldest = now
	}
	m.since++
	m.out++
	q.out++
	q.held = false
	q.attempts = append(q.attempts, attempt{m: m, sent: now})
	r.remember(q, 1, 0)
	if m.cold {
		m.allowance--
	}
	if m.open {
		r.open(m, now)
	}
	var timeout time.Duration
	if q.class.Repeat == Pure && q.class.LateWorth == 0 { // late it is worth nothing: a server may drop it
		timeout = max(q.aimAt-now, beat)
	}
	r.act.Send(q.ID, m.ID, timeout)
}

// retry decides what follows an attempt that did not serve q.
func (r *Router) retry(q *request, m *member, o Outcome, took, now time.Duration) {
	q.mayHaveRun = q.mayHaveRun || !o.RanNot()
	if q.out > 0 {
		return
	}
	cost := 1.0 // work is repeated
	if o.RanNot() {
		cost = 0
	} else if o == Spoilt || (o == Reset && m.fails == 1) || (o == Error && took < r.latencyOf(m)/4) {
		cost = brokenCost
	}
	switch {
	case o == Rejected: // and a repeat would fare no better
		r.act.Fail(q.ID)
		r.finish(q)
	case r.budget < cost, !r.maySend(q, nil, now), r.hopeless(q, now):
		r.giveUp(q)
	default:
		r.budget -= cost
		r.route(q, now)
	}
}

// hopeless tells whether q could no longer be of worth if it were sent now.
func (r *Router) hopeless(q *request, now time.Duration) bool {
	need := r.latency
	if p := q.g.primary; p != nil && q.class.Consistency <= Fresh {
		need = r.latencyOf(p)
	}
	need = min(need, q.class.Aim/feasibleAim)
	return now+need > q.expires || (q.class.LateWorth == 0 && now+need > q.aimAt)
}

// giveUp answers q at once: refused where that is true, failed otherwise. A repeat helps only once queues
// have turned over or a primary was found: the advice is the longest that clients follow.
func (r *Router) giveUp(q *request) {
	everywhere := q.class.Repeat == Keyed && q.class.Scope == ScopeAll // a repeat is dropped
	if q.class.Repeat == Pure || everywhere || (!q.mayHaveRun && q.out == 0) {
		r.act.Refuse(q.ID, r.cfg.MaxRetryWait)
	} else {
		r.act.Fail(q.ID)
	}
	for i := range q.attempts {
		if r.cfg.Cancels && q.attempts[i].ended == 0 {
			r.act.Cancel(q.ID, i)
		}
	}
	r.owed = min(r.owed+q.earns, owedMost)
	r.finish(q)
}

// ended takes an attempt off its member and request.
func (r *Router) ended(q *request, a *attempt, now time.Duration) {
	a.ended = max(now, 1)
	r.remember(q, -1, 0)
	q.out--
	a.m.out--
	if a.sent >= a.m.heardAt && a.m.since > 0 {
		a.m.since--
	}
	if a.m.out == 0 && now < a.m.scarceUntil {
		r.act.CloseIdle(a.m.ID)
	}
	if q.done {
		r.finish(q)
	}
}

// finish closes q; its record stays until its attempts have ended.
func (r *Router) finish(q *request) {
	q.done, q.held = true, false
	if q.out == 0 {
		q.prev.next, q.next.prev = q.next, q.prev
		delete(r.requests, q.ID)
	}
}

// watchOver answers q at its deadline.
func (r *Router) watchOver(q *request, now time.Duration) {
	if q.done && now > q.expires+forgetAfter {
		for i := range q.attempts {
			if q.attempts[i].ended == 0 {
				r.ended(q, &q.attempts[i], now)
			}
		}
	}
	switch {
	case q.done, q.streaming:
	case now >= q.expires, q.out == 0 && now+2*beat >= q.expires:
		r.giveUp(q)
	case q.out == 1:
		r.replace(q, now)
	}
}

// replace calls off the only attempt of q, if it is stuck, and sends another: to a member that q may go to,
// or to the same one where only that will do. Stuck is what is long overdue, while its member has answered
// what was sent a latency later: a queue alone is not overtaken. It answers lost answers and connections that
// fell silent; the retry budget bounds what it costs where the attempt was only slow.
func (r *Router) replace(q *request, now time.Duration) {
	i := slices.IndexFunc(q.attempts, func(a attempt) bool { return a.ended == 0 })
	a := &q.attempts[i]
	due := max(a.m.latency, r.latency)
	stuck := float64(now-a.sent) > overdueAfter*float64(due) && a.m.answered > a.sent+due
	if !r.cfg.Cancels || r.budget < 1 || !stuck || r.hopeless(q, now) {
		return
	}
	m := r.pick(q, now)
	if p := q.g.primary; m == nil && a.m == p && !p.open && p.State == Ready && now >= p.restUntil &&
		r.maySend(q, p, now) && r.hasRoom(p, 1, now) {
		m = p
	}
	if m != nil {
		r.budget--
		r.act.Cancel(q.ID, i)
		r.send(q, m, now)
	}
}

func (r *Router) latencyOf(m *member) time.Duration { return cmp.Or(m.latency, r.latency) }

func smooth(old, sample time.Duration, weight float64) time.Duration {
	old = cmp.Or(old, sample)
	return old + time.Duration(weight*float64(sample-old))
}

// learn takes what the end of an attempt tells of its member; q and a are nil for one long forgotten.
func (r *Router) learn(m *member, q *request, a *attempt, res Result, now time.Duration) {
	o, write, commit := res.Outcome, q != nil && q.class.Consistency == Write, now
	if o == OK || o == Miss || o == Full || o == Error || o >= Spoilt {
		r.heard(m, now)
		if res.Note.Role != RoleUnknown {
			r.heardRole(m, res.Note.Role, now)
		}
		if o != OK || (q != nil && !write) {
			r.heardPosition(m, res.Note.Position, now)
		} else if write && res.Note.Position > 0 {
			commit = res.Note.Position
		}
	}
	if write && !o.RanNot() { // its answer may have been lost on the way
		r.remember(q, 0, commit)
	}
	switch {
	case a == nil, o == Moot, o == Cancelled, o == Rejected: // no fault of the member's
	case o == OK:
		took := max(now-a.sent, time.Microsecond)
		m.fails, m.answered = 0, max(m.answered, a.sent)
		r.rate = r.rate*math.Exp(-(now-r.rateAt).Seconds()/rateWindow.Seconds()) + 1/rateWindow.Seconds()
		r.rateAt = now
		r.peak = max(r.peak, r.rate/float64(max(r.ready, 1)))
		m.latency = smooth(m.latency, took, smoothing)
		r.latency = smooth(r.latency, took, smoothing)
		r.adapt(m, a, float64(took)/float64(q.class.Aim), now)
		r.admit = min(1, r.admit+admitGain)
	case (o == Spoilt || o == Reset) && m.fails == 0: // one alone tells of the way here, not of the member
		m.fails = 1
	case o == Miss:
		if !write && res.Note.Position == 0 {
			m.lag, m.lagAt = max(m.lag, now-r.need(q, now)+r.cfg.Patience), now
		}
	default:
		m.unreached = o == ConnectFailed
		refused := o == ConnectFailed && res.Latency < r.latencyOf(m)/4
		if refused {
			m.scarceUntil = now + scarceFor
		}
		if o != TimedOut { // fast failures look idle and draw more: rest, twice as long after each in a row
			m.restUntil = now + min(r.latencyOf(m)<<min(m.fails, doublings), trialWaitMax)
			m.fails++
		}
		m.busyUntil = now + busyFor*r.latencyOf(m)
		if (o == TimedOut || o == ConnectFailed) && !refused && a.sent >= m.heardAt {
			m.busyUntil = now + silentFor
		}
		if o == Full { // its queue is longer than most aims: let fewer reads in anywhere, and to primaries
			r.admit *= admitCut
			r.spill *= admitCut
		}
		if o != Error && o != Spoilt && !refused {
			r.adapt(m, a, 1, now)
		}
	}
}

// heard closes the breaker of a member that has answered.
func (r *Router) heard(m *member, now time.Duration) {
	m.heardAt, m.since, m.awaitsProbe = now, 0, m.awaitsProbe && !r.cfg.Positions
	m.unreached, m.busyUntil = false, min(m.busyUntil, now+busyFor*r.latencyOf(m))
	if m.open {
		m.open, m.trialWait = false, 0
		m.limit = min(m.limit, reopenLimit)
	}
}

func (r *Router) heardPosition(m *member, pos, now time.Duration) {
	if pos <= 0 || pos > now+time.Second {
		return // none, or absurd
	}
	lag := max(now-pos, 0)
	if m.pos > 0 && lag > m.lag {
		lag = smooth(m.lag, lag, lagRise)
	}
	m.lag, m.lagAt, m.pos = lag, now, max(m.pos, pos)
}

// adapt moves a member's concurrency limit by how much of its aim an answer used (additive increase,
// multiplicative decrease, once for what was sent before it). Answers of primaries past the tightest aim of
// what only they serve also thin out the reads that may fall to them: many routers' limits add up.
func (r *Router) adapt(m *member, a *attempt, used float64, now time.Duration) {
	if m == m.g.primary && now-a.sent >= r.primaryAim {
		r.spill *= spillCut
	} else if m == m.g.primary {
		r.spill = min(1, r.spill*(1+spillGain))
	}
	if used <= goodAim && float64(m.out) >= m.limit/2 {
		m.limit += 1 / m.limit
	} else if used > badAim && a.sent >= m.cutAt {
		m.limit, m.cutAt = max(1, m.limit*limitCut), now
	}
}

// open opens m's breaker, or keeps an open one open twice as long. When it is due one read finds out: a probe
// would tell little, as a process that answers nothing may answer probes.
func (r *Router) open(m *member, now time.Duration) {
	m.trialWait = min(max(2*m.trialWait, trialAfter*r.latencyOf(m)), trialWaitMax)
	m.open, m.trialAt = true, now+m.trialWait
}

// remember keeps a write's commit for its session, and how many are out. Too many sessions are forgotten,
// but those with any out, and the floor rises to the latest: that may tighten the gate, never loosen it.
func (r *Router) remember(q *request, out int, commit time.Duration) {
	if q.class.Consistency != Write || r.cfg.Carried || q.Session == 0 {
		return
	}
	g, s := q.g, q.g.sessions[q.Session]
	g.sessions[q.Session] = sessionWrites{max(s.commit, commit), s.out + out}
	if len(g.sessions) > sessionsKept {
		maps.DeleteFunc(g.sessions, func(_ uint64, s sessionWrites) bool {
			g.floor = max(g.floor, s.commit)
			return s.out == 0
		})
	}
}

// Ordinary path.

// pick chooses the member that q goes to now, nil if it must wait. Writes and fresh reads go to the
// primary; other reads walk idle local replicas, idle remote ones, busy local, busy remote, then the
// primary.
func (r *Router) pick(q *request, now time.Duration) *member {
	if !r.maySend(q, nil, now) {
		return nil
	}
	p, share := q.g.primary, 1.0
	if q.class.Consistency > Fresh {
		if q.draw > r.admit {
			return nil
		}
		best, asked := math.MaxInt, false
		r.scratch = r.scratch[:0]
		for _, m := range q.g.members {
			if m == p || m.role == RolePrimary || !r.usable(q, m, now) {
				continue
			}
			fresh := r.fresh(q, m, now)
			asked = r.ask(m, fresh, now) || asked
			if !fresh || !r.hasRoom(m, 1, now) {
				continue
			}
			t := r.tier(m, now)
			if t < best {
				best, r.scratch = t, r.scratch[:0]
			}
			if t == best {
				r.scratch = append(r.scratch, m)
			}
		}
		if len(r.scratch) > 0 {
			return r.draw(r.scratch)
		}
		if q.draw > r.spill || (asked && r.cfg.Check == Unchecked) {
			return nil
		}
		share = spareShare
	}
	if p == nil || !r.usable(q, p, now) || !r.hasRoom(p, share, now) ||
		(q.class.Consistency == Fresh && p.awaitsProbe && r.probesFirst()) {
		return nil
	}
	return p
}

func (r *Router) tier(m *member, now time.Duration) int {
	t := 0
	if now < m.busyUntil || r.fleet.Last(m.ID, now) {
		t = 2
	}
	if !m.local {
		t++
	}
	return t
}

// draw picks by 1 / (smoothed latency x (in flight + 1)); members not heard yet take the others' mean.
func (r *Router) draw(ms []*member) *member {
	var sum, heard time.Duration
	for _, m := range ms {
		if m.latency > 0 {
			sum, heard = sum+m.latency, heard+1
		}
	}
	total := 0.0
	for _, m := range ms {
		m.weight = 1 / (cmp.Or(m.latency, sum/max(heard, 1), r.latency).Seconds() * float64(m.out+1))
		total += m.weight
	}
	x := r.rng.Float64() * total
	for _, m := range ms {
		if x -= m.weight; x < 0 {
			return m
		}
	}
	return ms[len(ms)-1]
}

// usable tells whether m may be sent q: listed ready, breaker shut or trial due, not just tried by q.
func (r *Router) usable(q *request, m *member, now time.Duration) bool {
	if m.State != Ready || now < m.restUntil || !r.maySend(q, m, now) ||
		(m.open && (q.class.Repeat != Pure || now < m.trialAt || r.fleet.Last(m.ID, now))) {
		return false
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return a.m == m && (a.ended == 0 || now-a.ended < 2*r.latencyOf(m))
	})
}

// need is the position that a replica must have for q, 0 if any will do.
func (r *Router) need(q *request, now time.Duration) time.Duration {
	s := q.g.sessions[q.Session]
	switch {
	case q.class.Consistency == Bounded:
		return now - q.class.Bound
	case q.class.Consistency != Session:
		return 0
	case s.out > 0:
		return now
	}
	return max(q.token, q.g.floor, s.commit)
}

// fresh is the gate of the replicas. Where they serve unchecked only a proven position counts; where they
// check, the smoothed lag is estimate enough, and one seen longer ago than lagHolds tells no more: a try
// finds out, at the price of a miss, where else a member would stay out after it has caught up.
func (r *Router) fresh(q *request, m *member, now time.Duration) bool {
	need := r.need(q, now)
	switch {
	case need <= 0 || m.pos >= need:
		return true
	case r.cfg.Check == Unchecked:
		return false
	}
	return now-m.lag+r.cfg.Patience >= need || now-m.lagAt > lagHolds
}

// Primary and failover.

// seeking tells whether a group has no primary that answers.
func (r *Router) seeking(g *group) bool {
	return g.primary == nil || g.primary.open || g.primary.fails >= unreachable
}

// heardRole takes a member's own word on its role.
func (r *Router) heardRole(m *member, role Role, now time.Duration) {
	p := m.g.primary
	m.role, m.roleAt, m.scoutedAt = role, now, now
	switch {
	case role == RolePrimary && p != m:
		if p != nil {
			p.role = RoleUnknown
		}
		m.g.primary = m
	case role == RoleReplica && p == m:
		m.g.primary = nil
	}
}

// scout sends one held write to look for the primary: a miss is cheap and tells the role. Whoever was
// announced last goes first, then who is longest unasked; paced, and not with a request's last tries. Where
// no write came for a while and replicas check, a fresh read looks: none else might ever find it.
func (r *Router) scout(g *group, now time.Duration) {
	if !r.seeking(g) {
		g.soughtAt = now
	}
	if !r.seeking(g) || now < g.scoutAt || len(g.held) == 0 {
		return
	}
	var to *member
	for _, m := range g.members {
		late := m.open && now < m.trialAt+m.trialWait
		if m.State == Ready && !late && now >= m.restUntil && r.hasRoom(m, 1, now) &&
			(to == nil || r.fleet.Leads(m.ID, now) || !r.fleet.Leads(to.ID, now) &&
				(m.scoutedAt < to.scoutedAt || (m.scoutedAt == to.scoutedAt && m.pos > to.pos))) {
			to = m
		}
	}
	reads := r.cfg.Check != Unchecked && now >= max(g.soughtAt, g.scoutAt)+readsSeek
	tries := max(r.cfg.MaxAttempts-keepTries, 1) // where few are allowed, the first may look
	if i := slices.IndexFunc(g.held, func(q *request) bool {
		return q.held && (q.class.Consistency == Write || reads && q.class.Consistency == Fresh) &&
			to != nil && len(q.attempts) < tries && r.maySend(q, to, now)
	}); i >= 0 {
		r.send(g.held[i], to, now)
		g.scoutAt, to.scoutedAt = now+scoutPace, now
	}
}

// Admission and queueing.

// hasRoom tells whether m may hold one more attempt, using at most share of its limit. A cold member has an
// allowance too: coldShare of the rule's multiple of its present fraction of the most that members were seen
// to bear on average, one request at a time at least. All routers' sum is under the rule, from random starts.
func (r *Router) hasRoom(m *member, share float64, now time.Duration) bool {
	w := r.warmth(m, now)
	if m.cold {
		one := 1 / float64(max(r.cfg.Routers, r.fleet.Routers(), 1)) / r.latency.Seconds()
		rate := r.fleet.Cold(m.ID, max(r.peak, one), one, now) * w * r.cfg.OverloadFactor * coldShare
		m.allowance = min(coldSaved, m.allowance+rate*(now-m.refilledAt).Seconds())
		m.refilledAt = now
		if m.allowance < 1 {
			return false
		}
	}
	return float64(m.out) < max(1, m.limit*share*w)
}

// value is what q would likely be worth if it were sent now.
func (r *Router) value(q *request, now time.Duration) float64 {
	if now+r.latency > q.aimAt {
		return q.class.Worth * q.class.LateWorth
	}
	return q.class.Worth
}

// release sends what a group holds as far as there is room, what is worth most first, and answers what has
// no more hope.
func (r *Router) release(g *group, now time.Duration) {
	byValue := func(a, b *request) int { return cmp.Compare(r.value(b, now), r.value(a, now)) }
	slices.SortStableFunc(g.held, byValue)
	for _, q := range g.held {
		if !q.held {
			continue
		}
		if r.hopeless(q, now) {
			r.giveUp(q)
		} else if m := r.pick(q, now); m != nil {
			r.send(q, m, now)
		} else if len(q.attempts) == 0 && now >= q.heldUntil {
			r.giveUp(q)
		}
	}
	r.scout(g, now)
	g.held = slices.DeleteFunc(g.held, func(q *request) bool { return !q.held })
}

// warmth is the fraction of its capacity that m surely has.
func (r *Router) warmth(m *member, now time.Duration) float64 {
	since := max(now-m.coldSince, 0)
	m.cold = m.cold && since < r.cfg.ColdFor
	if !m.cold {
		return 1
	}
	return r.cfg.StartCapacity + (1-r.cfg.StartCapacity)*since.Seconds()/r.cfg.ColdFor.Seconds()
}

// Discovery and probes.

func (r *Router) group(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{sessions: map[uint64]sessionWrites{}}
		r.groups[id] = g
		r.gorder = append(r.gorder, g)
	}
	return g
}

// listMember takes one line of the list.
func (r *Router) listMember(m *member, e Member, now time.Duration) {
	first, was := m.Started == -1, m.State
	restarted := !first && e.Started > m.Started
	if e.State == Gone && !first {
		if !r.cfg.RemovalBinds && was == Ready {
			e.State = Ready // there the list does not prove what is up; rest and breaker will tell
		} else if was != Gone {
			m.goneAt = now
		}
	}
	m.Member, m.local = e, e.Zone == r.cfg.Zone
	if restarted || first || (was == Gone && e.State == Ready) {
		if e.Started > 0 && now-e.Started < r.cfg.ColdFor { // new to this list alone is not cold
			m.cold, m.coldSince, m.allowance, m.refilledAt = true, e.Started, r.rng.Float64(), now
			m.limit = min(m.limit, firstLimit)
		}
		m.awaitsProbe = r.cfg.Probes
	}
	if restarted {
		m.role, m.open, m.trialWait = RoleUnknown, false, 0
	}
	if m.g.primary == m && (restarted || e.State != Ready) {
		m.g.primary = nil
	}
	if e.Primary && e.State == Ready && m.g.announced != m {
		m.g.announced, m.scoutedAt = m, 0
		if m.g.primary == nil && m.role != RoleReplica {
			m.g.primary = m
		}
	}
}

// probesFirst tells whether a member must be heard by a probe before its first use. Where every answer tells
// role and position and replicas turn away what they are behind for, a wrong guess costs one miss. There
// requests pay for first probes: one of each member by each router costs a large fleet more than it saves.
func (r *Router) probesFirst() bool { return r.cfg.Check == Unchecked || !r.cfg.Positions }

// ask has a replica probed for a read: about once per bound where answers tell no positions, and where only a
// proven one counts once it has aged: else many routers' reads go to the primary. It tells whether to wait.
func (r *Router) ask(m *member, fresh bool, now time.Duration) bool {
	age := now - max(m.lagAt, m.probedAt)
	m.awaitsProbe = m.awaitsProbe || r.cfg.Probes && r.cfg.ReportsRole && !m.open &&
		(!fresh && r.cfg.Check == Unchecked && age >= reportAge ||
			!r.cfg.Positions && r.bound > 0 && age >= r.bound)
	return m.awaitsProbe && (!m.probing || now-m.probedAt < scoutPace)
}

// lookAt opens the breaker of a member that takes work and answers none (hung, cut off, stuck), whatever the
// cause, and probes one not heard yet. It could hurt where all stall together: what comes in is held.
func (r *Router) lookAt(m *member, now time.Duration) {
	if m.out > 0 && !m.open {
		from := m.heardAt
		if m.since > 0 {
			from = m.oldest
		}
		patience := max(silentLeast, silentAfter/float64(max(m.since, 1)))
		if float64(now-from) > patience*float64(max(m.latency, r.latency)) {
			r.open(m, now)
		}
	}
	if !r.cfg.Probes || m.State != Ready || (m.probing && now-m.probedAt < trialWaitMax) {
		return // or out, and not lost yet
	}
	lost := m.unreached && (m.open || now < m.restUntil) && now-m.probedAt >= knockPace
	first := m.awaitsProbe && now-m.probedAt >= scoutPace && (r.probesFirst() || r.probeBudget >= 1)
	if first || lost {
		r.probeBudget = max(r.probeBudget-1, 0)
		m.probing, m.probedAt = true, now
		r.act.Probe(m.ID)
	}
}
