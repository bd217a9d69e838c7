// Package back holds the connections to database hosts: it opens, reuses
// and closes them, sends attempts and probes, and tells how each ended.
//
// back.go has the pool and the jobs that it is given, connection.go the life of
// a connection, reader.go what a host's bytes say.
package back

import (
	"slices"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// Whom a database host welcomes.
const (
	user     = "app"
	database = "shop"
)

// Events takes what becomes of attempts and probes, inside the loop's Do.
type Events interface {
	// MayLeave tells whether an attempt that waited for its connection may be
	// written now: its right to be sent may have ended meanwhile.
	MaySend(router.Attempt) bool
	AttemptEnded(router.Attempt, router.AttemptReport)
	// LateAnswer brings what a host answered to an attempt that was given up.
	LateAnswer(host uint32, rep router.AttemptReport)
	HealthChecked(host uint32, rep router.AttemptReport)
}

// Options are the limits that the settings give, in milliseconds.
type Options struct {
	ConnectTimeout float64
	IdleTimeout    float64 // after which a database host closes
}

const (
	defaultConnectTimeout = 250
	defaultIdleTimeout    = 30000
	// idleShare of the host's idle timeout is when we close: a request that
	// crosses the host's own closing is lost to a reset.
	idleShare = 0.8
	// settleFor is how long, in milliseconds, a connection rests after an
	// answer: a host that sends more than the answer sends it right behind.
	settleFor = 2
	// lateAnswerWindow is how long, in milliseconds, a connection on which a read was
	// given up is still listened to. What an answer tells of its host's role
	// counts as known 100 ms after it was written, read or not, and it may have
	// been on its way just then.
	lateAnswerWindow = 100
)

// Pool is the connections to all database hosts. Its methods are called
// inside the loop's Do.
type Pool struct {
	loop   *clock.Loop
	opt    Options
	budget *netio.DescriptorBudget
	events Events
	hosts  map[uint32]*host
	conns  slotmap.Table[conn]
	jobs   slotmap.Table[job]
}

type host struct {
	id      uint32
	address string
	usable  bool    // it may be sent something new
	purges  int     // how often its idle connections were closed
	idle    []*conn // the warmest last
	waiting []*job  // for a connection
	coming  int     // connections that open or settle: each will take a job
}

// job is one attempt or probe.
type job struct {
	ref     slotmap.Handle
	host    *host
	probe   bool
	attempt router.Attempt
	stmt    router.Statement
	until   float64
	conn    *conn           // nil while it waits for one
	end     *clock.Deadline // of the wait for a connection, or of a probe
	writing bool            // its bytes may or may not be with the system
}

// New returns a pool without hosts.
func New(loop *clock.Loop, opt Options, budget *netio.DescriptorBudget, events Events) *Pool {
	if opt.ConnectTimeout <= 0 {
		opt.ConnectTimeout = defaultConnectTimeout
	}
	if opt.IdleTimeout <= 0 {
		opt.IdleTimeout = defaultIdleTimeout
	}
	return &Pool{loop: loop, opt: opt, budget: budget, events: events, hosts: map[uint32]*host{}}
}

// SetHost says where a host listens; usable is false for one that wants
// nothing new, whose idle connections are closed.
func (p *Pool) SetHost(id uint32, address string, usable bool) {
	h := p.hosts[id]
	if h == nil {
		h = &host{id: id}
		p.hosts[id] = h
	}
	if !usable || (address != "" && address != h.address) {
		p.CloseIdle(id)
	}
	h.usable = usable
	if address != "" {
		h.address = address
	}
}

// Send implements router.Transport.
func (p *Pool) Send(id uint32, a router.Attempt, s router.Statement, wait float64) slotmap.Handle {
	return p.start(&job{attempt: a, stmt: s, until: p.loop.Now() + wait}, id)
}

// Probe implements router.Transport.
func (p *Pool) CheckHealth(id uint32) {
	j := &job{probe: true, until: p.loop.Now() + p.opt.ConnectTimeout}
	p.start(j, id)
	p.loop.Cancel(j.end)
	j.end = p.loop.At(j.until, func() { p.fail(j, decide.TimedOut) })
}

// start gives j a connection, now or when one is ready.
func (p *Pool) start(j *job, id uint32) slotmap.Handle {
	j.host = p.hosts[id]
	j.ref = p.jobs.Add(j)
	h := j.host
	if h == nil || h.address == "" {
		p.loop.Post(func() { p.fail(j, decide.ConnectFailed) })
	} else if c := h.takeIdle(p); c != nil {
		p.write(c, j)
	} else {
		h.waiting = append(h.waiting, j)
		j.end = p.loop.At(p.loop.Now()+p.opt.ConnectTimeout, func() { p.fail(j, decide.ConnectFailed) })
		p.refill(h)
	}
	return j.ref
}

// takeIdle returns the warmest idle connection that is fit for use. One on
// which the host has spoken unasked, or that it has ended, is not: a statement
// written there would be lost or get another's answer.
func (h *host) takeIdle(p *Pool) *conn {
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if c.link.Quiet() {
			h.idle = h.idle[:len(h.idle)-1]
			return c
		}
		p.close(c)
	}
	return nil
}

// Cancel implements router.Transport: an attempt is given up by closing its
// connection.
func (p *Pool) Cancel(sent slotmap.Handle) (begun bool) {
	j := p.jobs.Get(sent)
	if j == nil {
		return true
	}
	begun = j.conn != nil
	p.abandon(j)
	p.remove(j)
	return begun
}

// abandon takes j off whatever it is at. A host is told at once, by the end of
// the connection's sending; a late answer to a read is listened to. A write's
// is not: its commit would count as heard, and the session's next read may be
// on its way already.
func (p *Pool) abandon(j *job) {
	if j.conn != nil {
		c := j.conn
		j.conn = nil
		if j.probe || j.stmt.Write || j.writing || c.phase != busy {
			c.job = nil
			p.close(c)
			return
		}
		c.phase = abandoned
		c.link.Abandon()
		c.end = p.loop.At(p.loop.Now()+lateAnswerWindow, func() { p.close(c) })
	} else if h := j.host; h != nil {
		h.waiting = slices.DeleteFunc(h.waiting, func(w *job) bool { return w == j })
	}
}

// CloseIdle implements router.Transport.
func (p *Pool) CloseIdle(id uint32) {
	if h := p.hosts[id]; h != nil {
		h.purges++ // one that settles goes, too, unless it is needed
		for len(h.idle) > 0 {
			p.close(h.idle[0])
		}
	}
}

// fail reports a job that has not ended yet.
func (p *Pool) fail(j *job, o decide.Outcome) {
	if p.jobs.Get(j.ref) == j {
		p.abandon(j)
		p.report(j, router.AttemptReport{Outcome: o})
	}
}

// report ends j.
func (p *Pool) report(j *job, rep router.AttemptReport) {
	p.remove(j)
	if j.probe {
		p.events.HealthChecked(j.host.id, rep)
	} else {
		p.events.AttemptEnded(j.attempt, rep)
	}
}

func (p *Pool) remove(j *job) {
	p.loop.Cancel(j.end)
	p.jobs.Remove(j.ref)
}
