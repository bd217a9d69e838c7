package back

import (
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/slotmap"
)

// openIfNeeded opens a connection if there are more waiting jobs than pending
// connections.
func (p *Pool) openIfNeeded(e *endpoint) {
	if e.pendingConns < len(e.waiting) {
		p.open(e)
	}
}

// open starts to open a connection to e. If the descriptor budget is exhausted,
// the newest waiting job fails instead.
func (p *Pool) open(e *endpoint) {
	if !p.takeDescriptor() {
		j := e.waiting[len(e.waiting)-1]
		p.loop.Post(func() { p.fail(j, decide.ConnectFailed) })
		return
	}
	c := &conn{pool: p, endpoint: e, address: e.address, phase: opening, idleCloses: e.idleCloses}
	c.handle = p.conns.Add(c)
	e.pendingConns++
	timeout := clock.Duration(p.options.ConnectTimeout)
	c.timeout = p.loop.At(p.loop.Now()+p.options.ConnectTimeout, func() { p.close(c) })
	go c.dial(timeout)
}

// takeDescriptor reserves a descriptor and reports whether it did. If the budget is
// exhausted, it first closes a connection whose attempt was cancelled or, failing
// that, the longest idle one.
func (p *Pool) takeDescriptor() bool {
	if p.budget.AcquireEndpoint() {
		return true
	}
	return (p.closeAbandoned() || p.closeOldestIdle()) && p.budget.AcquireEndpoint()
}

// closeAbandoned closes one connection whose attempt was cancelled, and reports
// whether there was one.
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

// closeOldestIdle closes the connection that has been idle longest, and reports
// whether there was one.
func (p *Pool) closeOldestIdle() bool {
	var oldest *conn
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince < oldest.idleSince) {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.close(oldest)
	return true
}

// dial connects to the endpoint. It blocks for at most timeout and runs in a
// goroutine of its own.
func (c *conn) dial(timeout time.Duration) {
	nc, err := netpoll.DialConnection("tcp", c.address, timeout)
	c.pool.loop.Do(func() { c.pool.dialled(c, nc, err) })
}

// dialled handles the result of a dial. If it succeeded, it sends the
// StartupMessage.
func (p *Pool) dialled(c *conn, nc netpoll.Connection, err error) {
	if err != nil {
		p.openFailed(c, decide.ConnectFailed)
		return
	}
	socket := netio.NewConn(nc)
	if c.phase == closed { // the connect timeout expired while dialling
		socket.Close()
		return
	}
	c.socket = socket
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { // never returns an error
		p.loop.Do(func() { p.disconnected(c) })
		return nil
	})
	netio.SetOnRequest(nc, c.onData)
	if !nc.IsActive() { // the endpoint ended the connection before the callbacks were set
		p.loop.Post(func() { p.disconnected(c) })
		socket.Close()
		return
	}
	socket.Send(wire.AppendStartup(nil, user, database), nil)
}

// openFailed closes a connection that did not become ready. If fewer connections
// are pending than jobs wait, the oldest waiting job fails with outcome.
func (p *Pool) openFailed(c *conn, outcome decide.Outcome) {
	if c.phase != opening {
		return
	}
	p.close(c)
	e := c.endpoint
	if len(e.waiting) > e.pendingConns {
		p.fail(e.waiting[0], outcome)
	}
}
