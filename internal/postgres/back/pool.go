// Package back holds the connections to database endpoints. It opens, reuses
// and closes them, sends attempts and health checks, and reports how each ended.
//
// pool.go has the pool and its endpoints, job.go the life of an attempt or a
// health check, open.go how a connection is opened, connection.go its life after
// that. answer.go reads answers, status.go what they report of their endpoint.
package back

import (
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// The user and database named at the startup of a connection.
const (
	user     = "app"
	database = "shop"
)

// Events receives the results of attempts and health checks, inside the loop's
// Do. The router implements it.
type Events interface {
	// MaySend reports whether an attempt that waited for its connection may be
	// written now. One that may not is reported as NotSent.
	MaySend(waited router.AttemptID) bool
	// AttemptEnded reports the end of an attempt that was not cancelled.
	AttemptEnded(ended router.AttemptID, report router.AttemptReport)
	// LateAnswer reports the answer to an attempt that was cancelled.
	LateAnswer(endpoint uint32, report router.AttemptReport)
	// HealthChecked reports the end of a health check.
	HealthChecked(endpoint uint32, report router.AttemptReport)
}

// Options are the limits from the settings, in milliseconds; 0 or less stands
// for the default.
type Options struct {
	ConnectTimeout float64
	IdleTimeout    float64 // after which an endpoint closes an idle connection
}

const (
	defaultConnectTimeout = 250   // milliseconds
	defaultIdleTimeout    = 30000 // milliseconds
)

// Pool holds the connections to all endpoints. Its methods are called inside the
// loop's Do.
type Pool struct {
	loop      *clock.Loop
	options   Options
	budget    *netio.DescriptorBudget
	events    Events
	endpoints map[uint32]*endpoint
	conns     slotmap.Table[conn]
	jobs      slotmap.Table[job]
}

var _ router.Transport = (*Pool)(nil)

// endpoint is a database endpoint with its idle connections.
type endpoint struct {
	id           uint32
	address      string
	usable       bool    // new jobs may be sent to it
	idleCloses   int     // how often CloseIdle was called for it
	idle         []*conn // the last used one last
	waiting      []*job  // for a connection
	pendingConns int     // connections that open or settle: each will take a job
}

// New returns a pool without endpoints.
func New(loop *clock.Loop, options Options, budget *netio.DescriptorBudget, events Events) *Pool {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	return &Pool{
		loop:      loop,
		options:   options,
		budget:    budget,
		events:    events,
		endpoints: map[uint32]*endpoint{},
	}
}

// SetEndpoint sets the address of an endpoint; "" keeps the last one. usable is
// false for an endpoint that takes no new requests: its idle connections are
// closed.
func (p *Pool) SetEndpoint(id uint32, address string, usable bool) {
	e := p.endpoints[id]
	if e == nil {
		e = &endpoint{id: id}
		p.endpoints[id] = e
	}
	if !usable || (address != "" && address != e.address) {
		p.CloseIdle(id)
	}
	e.usable = usable
	if address != "" {
		e.address = address
	}
}

// CloseIdle implements router.Transport.
func (p *Pool) CloseIdle(id uint32) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.idleCloses++ // a connection that settles is closed, too, unless a job waits for it
	for len(e.idle) > 0 {
		p.close(e.idle[0])
	}
}

// takeIdle returns the last used idle connection that is fit for use. One on
// which the endpoint has sent anything, or that it has ended, is not: a
// statement written there would be lost or get another's answer.
func (e *endpoint) takeIdle(p *Pool) *conn {
	for len(e.idle) > 0 {
		last := len(e.idle) - 1
		c := e.idle[last]
		if c.socket.Quiet() {
			e.idle = e.idle[:last]
			return c
		}
		p.close(c)
	}
	return nil
}
