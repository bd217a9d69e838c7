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
	// lateAnswerWindowMs is how long the answer to a cancelled read is still
	// awaited. It may have been in transit at the cancellation, and the role of the
	// endpoint that it reports counts as known to the router 100 ms after the
	// endpoint has sent it, whether the router has received it or not.
	lateAnswerWindowMs = 100
	// maxWaitDigits is more than the digits of any timeout in milliseconds.
	maxWaitDigits = 32
)

// job is an attempt or a health check.
type job struct {
	handle      slotmap.Handle
	endpoint    *endpoint // nil if the pool does not know it
	healthCheck bool
	attempt     router.AttemptID
	statement   router.Statement
	deadline    float64         // Unix milliseconds
	conn        *conn           // nil while the job waits for one
	timeout     *clock.Deadline // of the wait for a connection or of the health check
	writing     bool            // the kernel may not have accepted the whole message
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

// start sends j on an idle connection, or queues it until a connection is ready.
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
	p.openIfNeeded(e)
	return j.handle
}

// write sends j on c.
func (p *Pool) write(c *conn, j *job) {
	p.loop.Cancel(c.timeout)
	c.phase = busy
	c.job = j
	j.conn = c
	j.writing = true
	if !j.healthCheck { // the timeout of an attempt covers only the wait for a connection
		p.loop.Cancel(j.timeout)
	}
	handle := j.handle
	c.socket.Send(p.query(j), func(err error) { p.loop.Do(func() { p.written(handle, c, err) }) })
}

// query returns the Query message of a job. In a statement, the client's timeout
// is replaced by the time left, at least 1 ms.
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

// written handles the end of the write of a job's message. If the connection
// ended during the write, the job ends only here, because the outcome depends on
// err: only a statement that was not written completely cannot have been executed.
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

// Cancel implements router.Transport. It cancels an attempt that was sent by
// ending its connection.
func (p *Pool) Cancel(sent slotmap.Handle) (maybeWritten bool) {
	j := p.jobs.Get(sent)
	if j == nil {
		return true
	}
	maybeWritten = j.conn != nil
	p.detach(j)
	p.remove(j)
	return maybeWritten
}

// detach removes j from its connection or its endpoint's queue. It ends the
// pool's side of the connection, which notifies the endpoint at once. A late
// answer to a read is still received. A late answer to a write is not, because the
// position of its commit would count as known to the session although the
// session's next read may have been sent already.
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
	c.timeout = p.loop.At(p.loop.Now()+lateAnswerWindowMs, func() { p.close(c) })
}

// fail ends j with the given outcome unless it has already ended.
func (p *Pool) fail(j *job, outcome decide.Outcome) {
	if p.jobs.Get(j.handle) == j {
		p.detach(j)
		p.end(j, router.AttemptReport{Outcome: outcome})
	}
}

// end removes j and reports its result.
func (p *Pool) end(j *job, report router.AttemptReport) {
	p.remove(j)
	if j.healthCheck {
		p.events.HealthChecked(j.endpoint.id, report)
	} else {
		p.events.AttemptEnded(j.attempt, report)
	}
}

// remove cancels the timeout of j and removes it from the table of jobs.
func (p *Pool) remove(j *job) {
	p.loop.Cancel(j.timeout)
	p.jobs.Remove(j.handle)
}
