// Package front serves clients that speak the PostgreSQL protocol. It turns
// their statements into requests to the router, and the router's answers into
// messages.
//
// Each connection is read in its own goroutine (input.go); everything else runs
// inside the loop's Do. The commands of a connection are queued (commands.go):
// statements that do not conflict run concurrently, and their answers are sent
// in the order of the commands (statement.go, answers.go). idle.go, eviction.go,
// drain.go and closing.go end connections.
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
	// queuedMemoryFraction and unreadMemoryFraction of the process's memory limit
	// are the budgets for what clients may make the router hold, beside the one
	// request that each may always have in flight. Buffers, the garbage
	// collector's reserve and the binary take the rest.
	queuedMemoryFraction = 0.2
	unreadMemoryFraction = 0.1
	// defaultMemoryMB applies where the configuration sets no limit.
	defaultMemoryMB = 192
	bytesPerMB      = 1 << 20
)

// keepAlive is how long a connection may be silent before the system checks
// that its peer is still there.
const keepAlive = time.Minute

// RequestHandler executes clients' statements. Its methods are called inside the
// loop's Do. The router implements it.
type RequestHandler interface {
	// Class returns a class by its name, and whether there is one.
	Class(name []byte) (router.Class, bool)
	// Submit takes a request, whose answer goes to from. It may be given before
	// Submit returns.
	Submit(request router.Request, from router.Client, client slotmap.Handle) slotmap.Handle
	// ClientCancelled ends a request whose client does not wait any more.
	ClientCancelled(request slotmap.Handle)
}

// Server serves the clients' connections. Unless a method says otherwise, it
// must be called inside the loop's Do.
type Server struct {
	loop           *clock.Loop
	budget         *netio.DescriptorBudget
	queuedMemory   netio.MemoryBudget // queued statements, and answers that wait to be sent
	unreadMemory   netio.MemoryBudget // bytes that were received and not parsed
	handler        RequestHandler
	clients        slotmap.Table[client]
	running        slotmap.Table[statement] // statements that the router has
	runningIDs     map[string]struct{}      // their clients' identifiers
	events         netpoll.EventLoop
	listener       net.Listener
	draining       bool
	drainBegan     float64 // Unix milliseconds
	activeClients  int     // clients that have sent a whole statement
	reserveClients int     // clients on the descriptors kept in reserve
}

// Listen opens the socket for clients; none is served before Serve. memoryMB is
// the process's memory limit, 0 for the default. Listen may be called outside
// the loop.
func Listen(
	address string, loop *clock.Loop, budget *netio.DescriptorBudget, memoryMB float64, handler RequestHandler,
) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:       loop,
		budget:     budget,
		handler:    handler,
		listener:   listener,
		runningIDs: map[string]struct{}{},
	}
	s.SetMemoryLimit(memoryMB)
	s.events, err = netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error { return clientOf(ctx).onData(nc) },
		netpoll.WithOnPrepare(s.accepted),
		netpoll.WithOnConnect(s.connected),
		netpoll.WithIdleTimeout(keepAlive),
	)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return s, nil
}

// SetMemoryLimit sets the budgets from the process's memory limit in MB, 0 for the
// default.
func (s *Server) SetMemoryLimit(limitMB float64) {
	if limitMB <= 0 {
		limitMB = defaultMemoryMB
	}
	limit := limitMB * bytesPerMB
	s.queuedMemory.Resize(int(limit * queuedMemoryFraction))
	s.unreadMemory.Resize(int(limit * unreadMemoryFraction))
}

// Address returns where the server listens. It may be called from anywhere.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves clients as long as the process runs. It blocks, and must be
// called outside the loop.
func (s *Server) Serve() error { return s.events.Serve(s.listener) }

// ClientCounts returns how many clients have a slot, and how many others are closing.
func (s *Server) ClientCounts() (clients, closing int) {
	s.clients.Each(func(slotmap.Handle, *client) { clients++ })
	return clients, s.reserveClients
}

// UnsentClients returns how many clients have answers that are not all written to the
// system.
func (s *Server) UnsentClients() (clients int) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if c.sending {
			clients++
		}
	})
	return clients
}

// contextKey is the key of a connection's client in its context.
type contextKey struct{}

func clientOf(ctx context.Context) *client { return ctx.Value(contextKey{}).(*client) }

// accepted gives a new connection its slot, or marks it as rejected.
func (s *Server) accepted(nc netpoll.Connection) context.Context {
	c := &client{server: s, conn: netio.NewConn(nc), secret: rand.Uint32()}
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
		s.loop.Do(c.disconnected)
		return nil
	})
	return context.WithValue(context.Background(), contextKey{}, c)
}

// connected ends a connection that was rejected. It runs after netpoll has
// registered the descriptor: one closed before could be another's by then.
func (s *Server) connected(ctx context.Context, _ netpoll.Connection) context.Context {
	c := clientOf(ctx)
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
