package netio

import (
	"context"
	"runtime"
	"sync"

	"github.com/cloudwego/netpoll"
)

// netpoll reads its configuration while connections are served, so it must be set
// during the initialization of the program.
func init() {
	err := netpoll.Configure(netpoll.Config{
		PollerNum:   1, // PollerHold stops one
		Runner:      runCallback,
		LoadBalance: netpoll.RoundRobin,
	})
	if err != nil {
		panic(err) // only an unknown load balance is rejected
	}
}

// ReadGate makes netpoll's poller wait for the callbacks of a connection. Without
// it the poller reads and accepts on while callbacks and closings have yet to run,
// so that fast peers' bytes and connections accumulate before they can be accounted
// for.
//
// If each callback takes all bytes from the read buffer, the poller has read at
// most one buffer of the connection that no callback has seen. A callback must not
// wait for bytes, and netpoll must not start one inside a lock that a callback or a
// closing needs.
type ReadGate struct {
	opened chan struct{} // receives a value when the poller may continue

	mu      sync.Mutex
	running bool // a callback runs
	closing bool // the connection was closed while a callback ran
}

// NewReadGate returns the gate of one connection.
func NewReadGate() *ReadGate { return &ReadGate{opened: make(chan struct{}, 1)} }

// readGateKey is the key under which a connection's context holds its gate.
type readGateKey struct{}

// WithReadGate returns a context for a connection, to be returned by the OnPrepare
// callback of netpoll.
func WithReadGate(parent context.Context, gate *ReadGate) context.Context {
	return context.WithValue(parent, readGateKey{}, gate)
}

// ConnectionClosed must be called in the connection's close callback. From then on
// a callback that has closed the connection waits until the poller has finished its
// present event, so the poller waits for that callback only before the next one.
func (g *ReadGate) ConnectionClosed() {
	g.mu.Lock()
	if g.running && !g.closing {
		g.closing = true
		closings.begin()
	}
	g.mu.Unlock()
	g.open()
}

// open lets the poller continue.
func (g *ReadGate) open() {
	select {
	case g.opened <- struct{}{}:
	default:
	}
}

// start marks the start of a callback.
func (g *ReadGate) start() {
	g.mu.Lock()
	g.running = true
	g.mu.Unlock()
}

// finish marks the end of a callback.
func (g *ReadGate) finish() {
	g.mu.Lock()
	g.running = false
	closing := g.closing
	g.mu.Unlock()
	if closing {
		closings.end()
	}
	g.open()
}

// runCallback runs a connection's callbacks in a goroutine. If the context has a
// ReadGate, it first waits for the connections that are being closed, and then for
// the callbacks. For any other, as for dialled connections, see runUngated. netpoll
// calls it in the poller's goroutine.
//
// It first lets all other goroutines run. The poller and the goroutine of a callback
// wake each other, and the scheduler runs a goroutine that was just woken before those
// that are waiting: under a flood the writes, closings and deadlines of other
// connections would wait for seconds, and their memory would accumulate.
func runCallback(ctx context.Context, callback func()) {
	runtime.Gosched()
	gate, ok := ctx.Value(readGateKey{}).(*ReadGate)
	if !ok {
		runUngated(callback)
		return
	}
	closings.wait()
	gate.start()
	workers.run(func() {
		defer gate.finish()
		callback()
	})
	<-gate.opened
}
