package back

import (
	"slices"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// settleDelay is how long, in milliseconds, a connection is not used after an
	// answer: an endpoint that sends more than the answer sends it right behind.
	settleDelay = 2
	// idleFraction of the endpoint's idle timeout is when we close: a request that
	// crosses the endpoint's close is lost to a reset.
	idleFraction = 0.8
)

// phase is the state of a connection.
type phase uint8

const (
	opening   phase = iota // dialling, or before the first ReadyForQuery
	settling               // just after an answer
	idle                   // ready for a job
	busy                   // a job is sent or awaits its answer
	abandoned              // its attempt was cancelled; an answer may still come
	closed
)

// conn is one connection to an endpoint. answer belongs to the connection's own
// callbacks, the rest to the loop.
type conn struct {
	handle     slotmap.Handle
	pool       *Pool
	endpoint   *endpoint
	address    string
	socket     *netio.Conn // nil while dialling
	phase      phase
	job        *job            // in flight, or the one that was cancelled
	idleSince  float64         // Unix milliseconds
	timeout    *clock.Deadline // of the present phase
	idleCloses int             // the endpoint's, when the connection began to settle
	answer     answer
}

// ready gives a connection its next job or leaves it idle.
func (p *Pool) ready(c *conn) {
	e := c.endpoint
	fit := c.address == e.address && c.socket.Quiet()
	for fit && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.healthCheck || p.events.MaySend(j.attempt) {
			e.pendingConns--
			p.write(c, j)
			return
		}
		p.end(j, router.AttemptReport{Outcome: decide.NotSent})
	}
	if !fit || !e.usable || c.idleCloses != e.idleCloses {
		p.close(c)
		p.refill(e)
		return
	}
	e.pendingConns--
	p.becomeIdle(c)
}

// becomeIdle keeps a connection for the next job, until shortly before the
// endpoint would close it.
func (p *Pool) becomeIdle(c *conn) {
	c.phase = idle
	c.idleSince = p.loop.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
	p.loop.Cancel(c.timeout)
	c.timeout = p.loop.At(c.idleSince+idleFraction*p.options.IdleTimeout, func() { p.close(c) })
}

// beginAnswer checks that an answer may begin on c.
func (p *Pool) beginAnswer(c *conn) error {
	if c.phase == opening || c.phase == busy || c.phase == abandoned {
		return nil
	}
	return errExcess
}

// readyForQuery takes the ReadyForQuery that ends a startup or an answer. It
// returns an error if neither can end there.
func (p *Pool) readyForQuery(c *conn) error {
	switch {
	case c.phase == opening && c.answer.stage == awaiting:
		p.ready(c)
		return nil
	case c.phase == abandoned:
		p.lateAnswer(c)
		return nil
	case c.phase != busy || c.job == nil:
		return errExcess
	}
	j := c.job
	report, complete := c.answer.report(j)
	if !complete { // a ReadyForQuery without the answer to this statement
		return errOrder
	}
	c.job = nil
	j.conn = nil
	j.writing = false
	c.phase = settling
	c.idleCloses = c.endpoint.idleCloses
	c.endpoint.pendingConns++
	c.timeout = p.loop.At(p.loop.Now()+settleDelay, func() { p.ready(c) })
	p.end(j, report)
	return nil
}

// lateAnswer reports what has arrived of the answer to a cancelled attempt.
func (p *Pool) lateAnswer(c *conn) {
	report, complete := c.answer.report(c.job)
	id := c.endpoint.id
	p.close(c)
	if complete {
		p.events.LateAnswer(id, report)
	}
}

// malformed ends a connection on which something arrived that is not an answer.
// The statement that awaits its answer there may have been executed.
func (p *Pool) malformed(c *conn) {
	if c.phase == opening {
		p.openFailed(c, c.answer.startupOutcome())
		return
	}
	j := c.job
	c.job = nil
	cancelled := c.phase == abandoned
	p.close(c)
	if j != nil && !cancelled {
		j.conn = nil
		p.end(j, router.AttemptReport{Outcome: decide.Malformed})
	}
	p.refill(c.endpoint)
}

// disconnected takes the end of the connection, by either side.
func (p *Pool) disconnected(c *conn) {
	j := c.job
	switch {
	case c.phase == opening:
		p.openFailed(c, c.answer.startupOutcome())
	case c.phase == abandoned:
		p.lateAnswer(c)
	case c.phase == busy && j != nil:
		p.disconnectedInFlight(c, j)
	default:
		p.close(c)
		p.refill(c.endpoint)
	}
}

// disconnectedInFlight ends the job of a connection that has ended. The read
// buffer is released after this callback, so that an answer in it counts now.
func (p *Pool) disconnectedInFlight(c *conn, j *job) {
	p.close(c)
	report, complete := c.answer.report(j)
	if complete {
		c.job = nil
		j.conn = nil
		p.end(j, report)
		return
	}
	if !j.writing { // else written reports it
		p.fail(j, decide.Reset)
	}
}

// close ends c; its job, if any, is left to the caller.
func (p *Pool) close(c *conn) {
	switch c.phase {
	case closed:
		return
	case opening, settling:
		c.endpoint.pendingConns--
	case idle:
		c.endpoint.idle = slices.DeleteFunc(c.endpoint.idle, func(other *conn) bool { return other == c })
	}
	c.phase = closed
	p.loop.Cancel(c.timeout)
	p.conns.Remove(c.handle)
	p.budget.ReleaseEndpoint()
	if c.socket != nil {
		c.socket.Close()
	}
}
