// Package back is the connection pool for database endpoints. It opens, reuses
// and closes connections, sends attempts and health checks, and reports the
// result of each.
//
// pool.go has the pool and its endpoints, job.go the lifecycle of attempts and
// health checks, open.go the opening of connections and connection.go the rest
// of their lifecycle. input.go receives bytes, answer.go reads answers, status.go the replication status
// that they report.
package back

import (
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// User and database in the StartupMessage of every connection.
const (
	user     = "app"
	database = "shop"
)

// Events receives the results of attempts and health checks. Its methods are
// called inside the loop's Do. router.Router implements it.
type Events interface {
	// MaySend reports whether an attempt that waited for a connection may still be
	// sent. If not, it ends with decide.NotSent.
	MaySend(waited router.AttemptID) bool
	// AttemptEnded reports the result of an attempt that was not cancelled.
	AttemptEnded(ended router.AttemptID, report router.AttemptReport)
	// LateAnswer reports an answer that arrived after its attempt was cancelled.
	LateAnswer(endpoint uint32, report router.AttemptReport)
	// HealthChecked reports the result of a health check.
	HealthChecked(endpoint uint32, report router.AttemptReport)
}

// Options are the pool's timeouts in milliseconds. A value of 0 or less selects
// the default.
type Options struct {
	// ConnectTimeout limits the dial and the startup together, the wait of an
	// attempt for a connection, and a whole health check. The default is 250.
	ConnectTimeout float64
	// IdleTimeout is the time after which endpoints close an idle connection. The
	// default is 30000.
	IdleTimeout float64
}

const (
	defaultConnectTimeoutMs = 250
	defaultIdleTimeoutMs    = 30000
)

// Pool holds the connections to all endpoints. Its methods must be called inside
// the loop's Do.
type Pool struct {
	loop      *clock.Loop
	options   Options
	budget    *netio.DescriptorBudget
	events    Events
	endpoints map[uint32]*endpoint
	conns     slotmap.Table[conn]
	jobs      slotmap.Table[job]

	readBuffer []byte // receives the bytes of any connection, inside a Do
}

var _ router.Transport = (*Pool)(nil)

// endpoint is a database endpoint with its idle connections and waiting jobs.
type endpoint struct {
	id           uint32
	address      string
	usable       bool    // it takes new requests
	idleCloses   int     // number of calls of CloseIdle
	idle         []*conn // in order of last use, the most recent one last
	waiting      []*job  // waiting for a connection, the oldest first
	pendingConns int     // connections in the phases opening and settling, each of which can take a job
}

// New returns a pool without endpoints. Connections count against budget.
func New(loop *clock.Loop, options Options, budget *netio.DescriptorBudget, events Events) *Pool {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeoutMs
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultIdleTimeoutMs
	}
	return &Pool{
		loop:      loop,
		options:   options,
		budget:    budget,
		events:    events,
		endpoints: map[uint32]*endpoint{},

		readBuffer: make([]byte, readBufferBytes),
	}
}

// SetEndpoint adds an endpoint or changes its address; "" keeps the present
// address. usable is false for an endpoint that takes no new requests. Idle
// connections are closed if the endpoint is not usable or its address changed.
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
	e.idleCloses++ // closes opening and settling connections once ready, unless a job waits
	for len(e.idle) > 0 {
		p.close(e.idle[0])
	}
}

// takeIdle removes and returns the most recently used idle connection, nil if
// there is none. It closes connections that the endpoint has ended, on which a
// statement would be lost, and those with unread bytes, which would be taken for
// the answer to the next statement.
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
