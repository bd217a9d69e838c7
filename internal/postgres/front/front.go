// Package front serves clients over the PostgreSQL wire protocol. It converts
// their statements into requests to the router, and the router's answers into
// protocol messages.
//
// netpoll calls back for each read of a connection (input.go), whose bytes are
// assembled into messages (message.go). All code, except where it says otherwise,
// runs inside the event loop's Do. The commands of a
// connection are queued (commands.go): statements that do not conflict run
// concurrently, and their answers are sent in the order of the commands
// (statement.go, answers.go).
// idle.go, eviction.go, drain.go and closing.go end connections.
package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// queuedMemoryFraction and unreadMemoryFraction are the fractions of the
	// process's memory limit that clients' data may use, not counting the one
	// request that each client may always have in flight. The rest is for
	// buffers, the garbage collector's headroom and the binary.
	queuedMemoryFraction = 0.2
	unreadMemoryFraction = 0.1
	// defaultMemoryMiB is the memory limit if the configuration sets none.
	defaultMemoryMiB = 192
	bytesPerMiB      = 1 << 20
)

// keepAlive is how long a connection may be silent before the kernel sends TCP
// keepalive probes.
const keepAlive = time.Minute

// RequestHandler executes the statements of clients. Its methods are called
// inside the loop's Do. router.Router implements it.
type RequestHandler interface {
	// Class returns the request class with the given name, and whether it exists.
	Class(name []byte) (router.Class, bool)
	// Submit starts a request. The answer is passed to from.Answer together with
	// client, possibly before Submit returns. The returned handle identifies the
	// request to ClientCancelled.
	Submit(request router.Request, from router.Client, client slotmap.Handle) slotmap.Handle
	// ClientCancelled ends a request whose client no longer waits for the answer.
	ClientCancelled(request slotmap.Handle)
	// GiveUp answers a request before its deadline, as if that had passed.
	GiveUp(request slotmap.Handle)
}

// Server accepts and serves client connections. Its methods must be called
// inside the loop's Do unless their documentation says otherwise.
type Server struct {
	loop           *clock.Loop
	budget         *netio.DescriptorBudget
	queuedMemory   netio.MemoryBudget // reserved for queued statements and unsent answers
	unreadMemory   netio.MemoryBudget // reserved for bytes received but not parsed
	handler        RequestHandler
	clients        slotmap.Table[client]
	running        slotmap.Table[statement] // statements submitted and not answered
	identifiers    *identifiers             // client-chosen, of statements that may run
	events         netpoll.EventLoop
	listener       net.Listener
	draining       bool
	drainBegan     float64 // Unix milliseconds
	givingUp       bool    // GiveUpLateClients was called
	activeClients  int     // clients that have sent a complete statement
	reserveClients int     // rejected and evicted clients, which use reserve descriptors
}

// Listen opens the listening socket; connections are accepted once Serve is
// called. memoryMiB is the process's memory limit in MiB; 0 selects the default.
// Listen returns an error if the address cannot be bound or the event loop
// cannot be created. It may be called outside the loop.
func Listen(
	address string, loop *clock.Loop, budget *netio.DescriptorBudget, memoryMiB float64,
	handler RequestHandler,
) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:        loop,
		budget:      budget,
		handler:     handler,
		listener:    listener,
		identifiers: newIdentifiers(),
	}
	s.SetMemoryLimit(memoryMiB)
	s.events, err = netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error { return clientFromContext(ctx).onData(nc) },
		netpoll.WithOnPrepare(s.accepted),
		netpoll.WithOnConnect(s.connected),
		netpoll.WithIdleTimeout(keepAlive),
	)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return s, nil
}

// SetMemoryLimit sizes the memory budgets for a process memory limit in MiB; 0
// selects the default.
func (s *Server) SetMemoryLimit(limitMiB float64) {
	if limitMiB <= 0 {
		limitMiB = defaultMemoryMiB
	}
	limit := limitMiB * bytesPerMiB
	s.queuedMemory.Resize(int(limit * queuedMemoryFraction))
	s.unreadMemory.Resize(int(limit * unreadMemoryFraction))
}

// Address returns the host and port on which the server listens. It is safe for
// concurrent use.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts and serves clients until the listener fails. It blocks and must
// be called outside the loop.
func (s *Server) Serve() error { return s.events.Serve(s.listener) }

// ClientCounts returns the number of clients that have a slot, and the number of
// rejected and evicted clients whose connections are still being closed.
func (s *Server) ClientCounts() (clients, closing int) {
	s.clients.Each(func(slotmap.Handle, *client) { clients++ })
	return clients, s.reserveClients
}

// UnsentClients returns the number of clients with answers that the kernel has
// not accepted completely.
func (s *Server) UnsentClients() (clients int) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if c.sending {
			clients++
		}
	})
	return clients
}

// contextKey is the key under which a connection's context holds its client.
type contextKey struct{}

// clientFromContext returns the client of a connection's context.
func clientFromContext(ctx context.Context) *client { return ctx.Value(contextKey{}).(*client) }

// accepted allocates a slot for a new connection, or marks it as rejected. netpoll
// calls it, outside Do.
func (s *Server) accepted(nc netpoll.Connection) context.Context {
	c := &client{
		server: s,
		conn:   netio.NewConn(nc),
		secret: rand.Uint32(),
		gate:   netio.NewReadGate(),
	}
	s.loop.Do(func() {
		switch {
		case s.draining:
			c.reject(wire.CodeCannotConnectNow, "the router is stopping")
			return
		case !s.budget.AcquireClient() && !(s.evictOne() && s.budget.AcquireClient()):
			c.reject(wire.CodeTooManyConnections, "too many clients")
			return
		}
		c.handle = s.clients.Add(c)
		c.beginIdle()
	})
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { // never fails
		c.gate.ConnectionClosed()
		s.loop.Do(c.disconnected)
		return nil
	})
	return context.WithValue(netio.WithReadGate(context.Background(), c.gate), contextKey{}, c)
}

// connected ends a connection that was rejected, and does nothing for any other.
// netpoll calls it, outside Do, after it has registered the descriptor; a
// descriptor closed before that could already be reused by another connection when
// it is registered.
func (s *Server) connected(ctx context.Context, _ netpoll.Connection) context.Context {
	c := clientFromContext(ctx)
	if c.rejection == nil {
		return ctx
	}
	s.loop.Do(func() {
		if s.reserveClients > s.maxReserveClients() {
			c.conn.Close()
			return
		}
		c.conn.Send(c.rejection, nil)
		c.halfClose()
	})
	return ctx
}
