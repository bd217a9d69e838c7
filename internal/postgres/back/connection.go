package back

import (
	"slices"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// settleDelayMs is how long a connection is not reused after an answer. An
	// endpoint that sends more than the answer sends it immediately afterwards.
	settleDelayMs = 2
	// idleFraction is the fraction of the endpoints' idle timeout after which the
	// pool closes an idle connection. A request sent while the endpoint closes
	// the connection would be lost to a reset.
	idleFraction = 0.8
)

// phase is the state of a connection.
type phase uint8

const (
	opening   phase = iota // dialling or in the startup
	settling               // not reused yet, for settleDelayMs after an answer
	idle                   // available for a job
	busy                   // a job is being written or awaits its answer
	abandoned              // the attempt was cancelled; a late answer is still read
	closed
)

// conn is one connection to an endpoint. Its fields are accessed inside the loop's Do.
type conn struct {
	handle     slotmap.Handle
	pool       *Pool
	endpoint   *endpoint
	address    string
	socket     *netio.Conn // nil while dialling
	phase      phase
	job        *job            // in flight or, in the phase abandoned, cancelled
	idleSince  float64         // Unix milliseconds
	timeout    *clock.Deadline // ends the present phase
	idleCloses int             // endpoint.idleCloses when the connection began to open or settle
	input      wire.Assembler
	unparsed   int // received bytes behind the message that is being processed
	answer     answer
}

// ready sends the next waiting job on a connection that has finished opening or
// settling, or makes the connection idle. It closes a connection that cannot be
// reused.
func (p *Pool) ready(c *conn) {
	e := c.endpoint
	reusable := c.address == e.address && c.unparsed == 0 && c.socket.Quiet()
	for reusable && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.healthCheck || p.events.MaySend(j.attempt) {
			e.pendingConns--
			p.write(c, j)
			return
		}
		p.end(j, router.AttemptReport{Outcome: decide.NotSent})
	}
	if !reusable || !e.usable || c.idleCloses != e.idleCloses {
		p.close(c)
		p.openIfNeeded(e)
		return
	}
	e.pendingConns--
	p.becomeIdle(c)
}

// becomeIdle keeps a connection for a later job and schedules its close, which is
// before the endpoint's idle timeout.
func (p *Pool) becomeIdle(c *conn) {
	c.phase = idle
	c.idleSince = p.loop.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
	p.loop.Cancel(c.timeout)
	c.timeout = p.loop.At(c.idleSince+idleFraction*p.options.IdleTimeout, func() { p.close(c) })
}

// beginAnswer returns an error unless the first message of an answer or of the
// startup may arrive on c.
func (p *Pool) beginAnswer(c *conn) error {
	if c.phase == opening || c.phase == busy || c.phase == abandoned {
		return nil
	}
	return errUnexpected
}

// readyForQuery handles a ReadyForQuery, which ends the startup or an answer. It
// returns an error if neither is complete.
func (p *Pool) readyForQuery(c *conn) error {
	switch {
	case c.phase == opening && c.answer.stage == awaiting:
		p.ready(c)
		return nil
	case c.phase == abandoned:
		p.lateAnswer(c)
		return nil
	case c.phase != busy || c.job == nil:
		return errUnexpected
	}
	j := c.job
	report, complete := c.answer.report(j)
	if !complete { // the messages before it are not a complete answer to this statement
		return errOutOfOrder
	}
	c.job = nil
	j.conn = nil
	j.writing = false
	c.phase = settling
	c.idleCloses = c.endpoint.idleCloses
	c.endpoint.pendingConns++
	c.timeout = p.loop.At(p.loop.Now()+settleDelayMs, func() { p.ready(c) })
	p.end(j, report)
	return nil
}

// lateAnswer closes the connection of a cancelled attempt, and reports the answer
// if it has arrived completely.
func (p *Pool) lateAnswer(c *conn) {
	report, complete := c.answer.report(c.job)
	id := c.endpoint.id
	p.close(c)
	if complete {
		p.events.LateAnswer(id, report)
	}
}

// malformed closes a connection on which something other than an answer arrived.
// The job in flight ends with decide.Malformed: its statement may have been
// executed.
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
	p.openIfNeeded(c.endpoint)
}

// disconnected handles the end of the connection, by either side.
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
		p.openIfNeeded(c.endpoint)
	}
}

// disconnectedInFlight ends the job of a connection that has ended. An answer that is
// complete but for its ReadyForQuery counts.
func (p *Pool) disconnectedInFlight(c *conn, j *job) {
	p.close(c)
	report, complete := c.answer.report(j)
	if complete {
		c.job = nil
		j.conn = nil
		p.end(j, report)
		return
	}
	if !j.writing { // otherwise written reports the end
		p.fail(j, decide.Reset)
	}
}

// close closes c. The caller must handle its job, if any.
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
