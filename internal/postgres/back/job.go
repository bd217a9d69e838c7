package back

import (
	"slices"
	"strconv"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// lateAnswerWindow is how long, in milliseconds, a connection is read on
	// which a read was cancelled. What an answer reports of its endpoint's role
	// counts as known 100 ms after it was written, read or not, and it may have
	// been on its way at the cancellation.
	lateAnswerWindow = 100
	// maxWaitDigits is more than the digits of any wait.
	maxWaitDigits = 32
)

// job is one attempt or health check.
type job struct {
	handle      slotmap.Handle
	endpoint    *endpoint // nil if unknown
	healthCheck bool
	attempt     router.AttemptID
	statement   router.Statement
	deadline    float64         // Unix milliseconds
	conn        *conn           // nil while it waits for one
	timeout     *clock.Deadline // of the wait for a connection, or of a health check
	writing     bool            // it may or may not be written whole to the system
}

// Send implements router.Transport.
func (p *Pool) Send(
	id uint32, attempt router.AttemptID, statement router.Statement, wait float64,
) slotmap.Handle {
	return p.start(&job{attempt: attempt, statement: statement, deadline: p.loop.Now() + wait}, id)
}

// CheckHealth implements router.Transport.
func (p *Pool) CheckHealth(id uint32) {
	j := &job{healthCheck: true, deadline: p.loop.Now() + p.options.ConnectTimeout}
	p.start(j, id)
	p.loop.Cancel(j.timeout)
	j.timeout = p.loop.At(j.deadline, func() { p.fail(j, decide.TimedOut) })
}

// start gives j a connection, now or when one is ready.
func (p *Pool) start(j *job, id uint32) slotmap.Handle {
	e := p.endpoints[id]
	j.endpoint = e
	j.handle = p.jobs.Add(j)
	if e == nil || e.address == "" {
		p.loop.Post(func() { p.fail(j, decide.ConnectFailed) })
		return j.handle
	}
	if c := e.takeIdle(p); c != nil {
		p.write(c, j)
		return j.handle
	}
	e.waiting = append(e.waiting, j)
	j.timeout = p.loop.At(p.loop.Now()+p.options.ConnectTimeout, func() { p.fail(j, decide.ConnectFailed) })
	p.refill(e)
	return j.handle
}

// write sends j on c.
func (p *Pool) write(c *conn, j *job) {
	p.loop.Cancel(c.timeout)
	c.phase = busy
	c.job = j
	j.conn = c
	j.writing = true
	if !j.healthCheck { // its timeout was that of the wait for a connection
		p.loop.Cancel(j.timeout)
	}
	handle := j.handle
	c.socket.Send(p.query(j), func(err error) { p.loop.Do(func() { p.written(handle, c, err) }) })
}

// query returns the message that a job sends. In a statement, the client's wait
// is replaced by what is left of it.
func (p *Pool) query(j *job) []byte {
	if j.healthCheck {
		return wire.AppendQuery(nil, []byte("SHOW health"))
	}
	statement := j.statement
	timeLeft := max(j.deadline-p.loop.Now(), 1)
	wait := strconv.AppendInt(nil, int64(timeLeft), 10)
	b := make([]byte, 0, len(statement.Text)+maxWaitDigits)
	return wire.AppendQuery(b, statement.Text[:statement.WaitFrom], wait, statement.Text[statement.WaitTo:])
}

// written takes whether a job's last byte was written to the system. A
// connection that broke meanwhile has waited for this: only a statement that was
// not written whole was surely not executed.
func (p *Pool) written(handle slotmap.Handle, c *conn, err error) {
	j := p.jobs.Get(handle)
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

// Cancel implements router.Transport. An attempt that was sent is cancelled by
// ending its connection.
func (p *Pool) Cancel(sent slotmap.Handle) (begun bool) {
	j := p.jobs.Get(sent)
	if j == nil {
		return true
	}
	begun = j.conn != nil
	p.detach(j)
	p.remove(j)
	return begun
}

// detach takes j off its connection or its endpoint's queue. The endpoint sees
// at once that our side of the connection has ended. A late answer to a read is
// still read. A write's is not: its commit would count as known, and the
// session's next read may be on its way already.
func (p *Pool) detach(j *job) {
	c := j.conn
	if c == nil {
		if e := j.endpoint; e != nil {
			e.waiting = slices.DeleteFunc(e.waiting, func(waiting *job) bool { return waiting == j })
		}
		return
	}
	j.conn = nil
	if j.healthCheck || j.statement.Write || j.writing || c.phase != busy {
		c.job = nil
		p.close(c)
		return
	}
	c.phase = abandoned
	c.socket.Abandon()
	c.timeout = p.loop.At(p.loop.Now()+lateAnswerWindow, func() { p.close(c) })
}

// fail ends j with a failure, unless it has ended.
func (p *Pool) fail(j *job, outcome decide.Outcome) {
	if p.jobs.Get(j.handle) == j {
		p.detach(j)
		p.end(j, router.AttemptReport{Outcome: outcome})
	}
}

// end reports the end of j.
func (p *Pool) end(j *job, report router.AttemptReport) {
	p.remove(j)
	if j.healthCheck {
		p.events.HealthChecked(j.endpoint.id, report)
	} else {
		p.events.AttemptEnded(j.attempt, report)
	}
}

// remove forgets j.
func (p *Pool) remove(j *job) {
	p.loop.Cancel(j.timeout)
	p.jobs.Remove(j.handle)
}
