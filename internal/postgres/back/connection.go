package back

import (
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

type phase uint8

const (
	opening  phase = iota // dialling, or before the first ReadyForQuery
	settling              // after an answer
	idle
	busy
	abandoned // its attempt was given up; an answer may still come
	closed
)

type conn struct {
	ref     slotmap.Handle
	pool    *Pool
	host    *host
	address string
	link    *netio.Conn // nil while dialling
	phase   phase
	job     *job // under way, or given up
	idleAt  float64
	end     *clock.Deadline // of opening, settling or idling
	purges  int             // of the host when the connection began to settle
	reader  reader
}

// open dials one more connection to h, if the process may hold one.
func (p *Pool) open(h *host) {
	if !p.budget.TakeHost() {
		if !p.closeAbandoned() && !p.closeOldestIdle() || !p.budget.TakeHost() {
			j := h.waiting[len(h.waiting)-1]
			p.loop.Post(func() { p.fail(j, decide.ConnectFailed) })
			return
		}
	}
	c := &conn{pool: p, host: h, address: h.address, phase: opening, purges: h.purges}
	c.ref = p.conns.Add(c)
	h.coming++
	timeout := clock.Duration(p.opt.ConnectTimeout)
	c.end = p.loop.At(p.loop.Now()+p.opt.ConnectTimeout, func() { p.close(c) })
	go c.dial(timeout)
}

// closeAbandoned frees the socket of a connection whose attempt was given up.
func (p *Pool) closeAbandoned() bool {
	var found *conn
	p.conns.Each(func(_ slotmap.Handle, c *conn) {
		if c.phase == abandoned {
			found = c
		}
	})
	if found == nil {
		return false
	}
	p.close(found)
	return true
}

// closeOldestIdle frees the socket that has been idle longest.
func (p *Pool) closeOldestIdle() bool {
	var oldest *conn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleAt < oldest.idleAt) {
			oldest = h.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.close(oldest)
	return true
}

// dial runs in a goroutine of its own, as it waits for the host.
func (c *conn) dial(timeout time.Duration) {
	nc, err := netpoll.DialConnection("tcp", c.address, timeout)
	c.pool.loop.Do(func() { c.pool.dialled(c, nc, err) })
}

func (p *Pool) dialled(c *conn, nc netpoll.Connection, err error) {
	if err != nil {
		p.openFailed(c, decide.ConnectFailed)
		return
	}
	link := netio.NewConn(nc)
	if c.phase == closed { // given up meanwhile
		link.Close()
		return
	}
	c.link = link
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { // the returned errors are always nil
		p.loop.Do(func() { p.disconnected(c) })
		return nil
	})
	_ = nc.SetOnRequest(c.onData)
	if !nc.IsActive() { // it ended before the callbacks were there
		p.loop.Post(func() { p.disconnected(c) })
		link.Close()
		return
	}
	link.Send(wire.AppendStartup(nil, user, database), nil)
}

// openFailed ends a connection that never came up, and the job that has
// waited longest unless another connection is on its way to it.
func (p *Pool) openFailed(c *conn, o decide.Outcome) {
	if c.phase != opening {
		return
	}
	p.close(c)
	if h := c.host; len(h.waiting) > h.coming {
		p.fail(h.waiting[0], o)
	}
}

// ready gives a connection its next job or leaves it idle.
func (p *Pool) ready(c *conn) {
	h := c.host
	fit := c.address == h.address && c.link.Quiet()
	for fit && len(h.waiting) > 0 {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		if j.probe || p.events.MaySend(j.attempt) {
			h.coming--
			p.write(c, j)
			return
		}
		p.report(j, router.AttemptReport{Outcome: decide.NotSent})
	}
	switch {
	case !fit, !h.usable, c.purges != h.purges:
		p.close(c)
		p.refill(h)
		return
	}
	h.coming--
	c.phase, c.idleAt = idle, p.loop.Now()
	h.idle = append(h.idle, c)
	p.loop.Cancel(c.end)
	c.end = p.loop.At(c.idleAt+idleShare*p.opt.IdleTimeout, func() { p.close(c) })
}

// write sends j on c.
func (p *Pool) write(c *conn, j *job) {
	p.loop.Cancel(c.end)
	c.phase, c.job = busy, j
	j.conn, j.writing = c, true
	if !j.probe { // the wait for a connection is over
		p.loop.Cancel(j.end)
	}
	var b []byte
	if j.probe {
		b = wire.AppendQuery(nil, []byte("SHOW health"))
	} else {
		left := max(j.until-p.loop.Now(), 1)
		s := j.stmt
		wait := strconv.AppendInt(nil, int64(left), 10)
		b = wire.AppendQuery(make([]byte, 0, len(s.Text)+32), s.Text[:s.WaitFrom], wait, s.Text[s.WaitTo:])
	}
	ref := j.ref
	c.link.Send(b, func(err error) { p.loop.Do(func() { p.written(ref, c, err) }) })
}

// written learns whether a job's last byte is with the system. A connection
// that broke meanwhile has waited for this: only what was not written whole
// has surely never run.
func (p *Pool) written(ref slotmap.Handle, c *conn, err error) {
	j := p.jobs.Get(ref)
	if j == nil || j.conn != c {
		return
	}
	j.writing = false
	switch {
	case err != nil:
		p.fail(j, decide.ConnectFailed)
	case c.phase == closed:
		p.fail(j, decide.Reset)
	}
}

// disconnected learns that the connection has ended, by either side.
func (p *Pool) disconnected(c *conn) {
	switch j := c.job; {
	case c.phase == opening:
		p.openFailed(c, c.reader.startupOutcome())
	case c.phase == abandoned:
		p.lateAnswer(c)
	case c.phase == busy && j != nil:
		p.close(c)
		// The read buffer dies after this callback, so what it holds counts now.
		if rep, whole := c.reader.report(j); whole {
			c.job, j.conn = nil, nil
			p.report(j, rep)
		} else if !j.writing {
			p.fail(j, decide.Reset)
		}
	default:
		p.close(c)
		p.refill(c.host)
	}
}

// lateAnswer takes what has come of the answer to an attempt that was given up.
func (p *Pool) lateAnswer(c *conn) {
	rep, whole := c.reader.report(c.job)
	host := c.host.id
	p.close(c)
	if whole {
		p.events.LateAnswer(host, rep)
	}
}

// close ends c; a job that is at it is left to the caller.
func (p *Pool) close(c *conn) {
	switch c.phase {
	case closed:
		return
	case opening, settling:
		c.host.coming--
	case idle:
		c.host.idle = slices.DeleteFunc(c.host.idle, func(i *conn) bool { return i == c })
	}
	c.phase = closed
	p.loop.Cancel(c.end)
	p.conns.Remove(c.ref)
	p.budget.GiveHost()
	if c.link != nil {
		c.link.Close()
	}
}

// beginAnswer tells whether an answer may come on c.
func (p *Pool) beginAnswer(c *conn) error {
	if c.phase == opening || c.phase == busy || c.phase == abandoned {
		return nil
	}
	return errExcess
}

// answered ends the command at hand with its ReadyForQuery. An error tells
// that nothing could be answered, or not like this.
func (p *Pool) answered(c *conn) error {
	switch {
	case c.phase == opening && c.reader.stage == begun:
		p.ready(c)
		return nil
	case c.phase == abandoned:
		p.lateAnswer(c)
		return nil
	case c.phase != busy || c.job == nil:
		return errExcess
	}
	j := c.job
	rep, whole := c.reader.report(j)
	if !whole { // a ReadyForQuery without the answer to this statement
		return errOrder
	}
	c.job, j.conn, j.writing = nil, nil, false
	c.phase, c.purges = settling, c.host.purges
	c.host.coming++
	c.end = p.loop.At(p.loop.Now()+settleFor, func() { p.ready(c) })
	p.report(j, rep)
	return nil
}

// spoilt ends a connection on which something came that is no answer. An
// attempt that waits for its own there may have run.
func (p *Pool) spoilt(c *conn) {
	if c.phase == opening {
		p.openFailed(c, c.reader.startupOutcome())
		return
	}
	j := c.job
	c.job = nil
	given := c.phase == abandoned
	p.close(c)
	if j != nil && !given {
		j.conn = nil
		p.report(j, router.AttemptReport{Outcome: decide.Malformed})
	}
	p.refill(c.host)
}

// refill opens a connection for whoever waits where none is on its way.
func (p *Pool) refill(h *host) {
	if h.coming < len(h.waiting) {
		p.open(h)
	}
}
