// Package front serves clients that speak the PostgreSQL protocol. It
// turns their statements into the router's neutral requests and the router's
// answers into messages.
//
// A connection is read in its own goroutine (input.go). Its commands stand in a
// queue (commands.go): statements that do not conflict run at the same time,
// and their answers leave in the order of the commands. closing.go ends
// connections: idle, evicted, drained or at fault.
package front

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// queuedShare and unreadShare of the process's memory limit are the budgets
	// for what clients may make the router hold beside the one request that each
	// may always have under way. Buffers, the collector's reserve and the binary
	// share the rest.
	queuedShare = 0.2
	unreadShare = 0.1
	// defaultMemoryMB stands in where the configuration sets no limit.
	defaultMemoryMB = 192
)

// keepAlive is how long a silent client's system may stay unasked.
const keepAlive = time.Minute

// Requests is what clients' statements go to, inside the loop's Do.
type Requests interface {
	Class(name []byte) (router.Class, bool)
	Submit(r router.Request, from router.Client, client slotmap.Handle) slotmap.Handle
	ClientCancelled(request slotmap.Handle)
}

// Server holds the clients' connections.
type Server struct {
	loop       *clock.Loop
	budget     *netio.DescriptorBudget
	queued     netio.Memory // statements sent ahead, and answers that wait for their turn
	unread     netio.Memory // bytes that were read and not looked at
	requests   Requests
	clients    slotmap.Table[client]
	running    slotmap.Table[statement] // those that the router has
	ids        map[string]struct{}      // of these, as their clients named them
	events     netpoll.EventLoop
	listener   net.Listener
	draining   bool
	drainBegan float64
	active     int // clients that have sent a whole statement
	onReserve  int // clients on the descriptors kept in reserve
}

// client is one connection. What the owner's lock guards stands first; the
// rest belongs to the connection's own callbacks.
type client struct {
	ref       slotmap.Handle
	secret    uint32 // that a CancelRequest has to show
	server    *Server
	conn      *netio.Conn
	released  bool            // it has no slot
	onReserve bool            // it lives on the descriptors kept in reserve
	closing   bool            // nothing more is accepted from it
	sending   bool            // answers that are not all with the system
	active    bool            // it has sent a whole statement
	partial   bool            // it has sent a part of a message
	starting  bool            // startCommands is under way
	skipping  bool            // after an error in the extended protocol, until Sync
	idleSince float64         // since when it has no command under way, or only that part
	idleCheck *clock.Deadline // of being idle
	closeBy   *clock.Deadline // for reading its answer, or for going once told
	queue     pipeline.Queue[*statement]
	unread    int // bytes booked for what was read and not looked at

	rejection  []byte // to one without a slot
	discarding bool   // the rest of what it sends is not read as messages
	discarded  int    // how many bytes that was
	greeted    bool
}

// Listen opens the socket for clients; it takes none before Serve. memoryMB is
// the process's limit, 0 for none.
func Listen(address string, loop *clock.Loop, budget *netio.DescriptorBudget, memoryMB float64, requests Requests) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{loop: loop, budget: budget, requests: requests, listener: ln, ids: map[string]struct{}{}}
	s.LimitMemory(memoryMB)
	s.events, err = netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error { return fromContext(ctx).onData(nc) },
		netpoll.WithOnPrepare(s.accepted), netpoll.WithOnConnect(s.connected), netpoll.WithIdleTimeout(keepAlive))
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return s, nil
}

// LimitMemory divides the process's memory limit, in MB; 0 stands for none. It
// runs inside Do once clients are served.
func (s *Server) LimitMemory(limitMB float64) {
	limit := cmp.Or(max(limitMB, 0), defaultMemoryMB) * (1 << 20)
	s.queued.Resize(int(limit * queuedShare))
	s.unread.Resize(int(limit * unreadShare))
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve takes clients as long as the process runs.
func (s *Server) Serve() error { return s.events.Serve(s.listener) }

type contextKey struct{}

func fromContext(ctx context.Context) *client { return ctx.Value(contextKey{}).(*client) }

// accepted gives a new connection its slot.
func (s *Server) accepted(nc netpoll.Connection) context.Context {
	c := &client{server: s, conn: netio.NewConn(nc), secret: rand.Uint32()}
	s.loop.Do(func() {
		switch {
		case s.draining:
			c.reject(wire.CodeCannotConnectNow, "the router is stopping")
			return
		case !s.budget.TakeClient() && !(s.evictOne() && s.budget.TakeClient()):
			c.reject(wire.CodeTooManyConnections, "too many clients")
			return
		}
		c.ref = s.clients.Add(c)
		c.beginIdle()
	})
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { // returns nil only
		s.loop.Do(c.disconnected)
		return nil
	})
	return context.WithValue(context.Background(), contextKey{}, c)
}

// reject marks a connection that gets no slot.
func (c *client) reject(code, message string) {
	c.released, c.closing, c.onReserve = true, true, true
	c.rejection = wire.AppendError(nil, "FATAL", code, message, "")
	c.server.onReserve++
}

// connected ends a connection that was rejected. It comes after netpoll has
// registered the descriptor: one closed before could be another's by then.
func (s *Server) connected(ctx context.Context, _ netpoll.Connection) context.Context {
	c := fromContext(ctx)
	if c.rejection == nil {
		return ctx
	}
	s.loop.Do(func() {
		if s.onReserve > s.mostOnReserve() {
			c.conn.Close()
			return
		}
		c.conn.Send(c.rejection, nil)
		c.halfClose()
	})
	return ctx
}

// Open returns how many clients have a slot, and how many others were told to
// go and have not gone. It runs inside Do.
func (s *Server) Open() (clients, closing int) {
	s.clients.Each(func(slotmap.Handle, *client) { clients++ })
	return clients, s.onReserve
}

// Unsent returns how many clients have answers that are not all with the
// system. It runs inside Do.
func (s *Server) Unsent() (clients int) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if c.sending {
			clients++
		}
	})
	return clients
}
