// Package front serves clients that speak the PostgreSQL protocol. It
// turns their statements into the router's neutral requests and the router's
// answers into messages.
package front

import (
	"context"
	"errors"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slots"
)

const (
	// quietLimit is how long, in milliseconds, a connection may go without a
	// request under way: one that has not said a whole statement by then is
	// ended, and any other may be, if its socket is wanted.
	quietLimit = 2000
	// idleLimit ends the others: some clients keep their connections for good.
	idleLimit = 10000
	// writeTimeout ends a connection whose client does not read its answer.
	writeTimeout = 5000
	// leaveTimeout is how long a client may take to hear that it is let go.
	leaveTimeout = 1000
	// maxLeaving bounds the clients told to go that have not gone, which live
	// on the descriptors kept in reserve, and spareLeaving the share of those
	// that nobody has taken that they may hold beside: a close without a word
	// looks to a client like a router that has died.
	maxLeaving   = 12
	spareLeaving = 0.5
	// maxParting is what a client that is let go, or broke the protocol, may
	// still send: reading on would cost more than it is worth.
	maxParting = 64 << 10
	// arriving is how long, in milliseconds, after a drain began nobody is let go:
	// what had come by then may be on its way from the system to the buffer,
	// where Quiet sees it in neither.
	arriving = 10
	// crossing is for how long, in milliseconds, a statement read after a drain
	// began may have come before it.
	crossing = 100
	// maxWait bounds the wait that a client may state.
	maxWait = 60000
	// keepAlive is how long a silent client's system may stay unasked.
	keepAlive = time.Minute
	// maxAhead bounds what a client may send ahead of its answers, one message aside.
	maxAhead = 64 << 10
	// minAhead is what a queued message counts at least.
	minAhead = 256
	// maxUnread bounds what may wait in a read buffer: the poller reads on
	// whatever becomes of it.
	maxUnread = wire.MaxMessage + maxAhead
)

// Requests is what clients' statements go to, inside the loop's Do.
type Requests interface {
	Class(name []byte) (router.Class, bool)
	Submit(r router.Request, from router.Client, client slots.Ref) slots.Ref
	Lapse(request slots.Ref)
}

// Server holds the clients' connections.
type Server struct {
	loop     *clock.Loop
	budget   *netio.Budget
	requests Requests
	clients  slots.Table[client]
	open     map[string]struct{} // the ids of the requests under way
	events   netpoll.EventLoop
	listener net.Listener
	closing  bool
	closedAt float64 // since when it drains
	asked    int     // clients that have sent a whole statement
	leaving  int     // clients on the descriptors kept in reserve
}

// client is one connection. What the owner's lock guards stands first; the
// rest belongs to the connection's own callbacks.
type client struct {
	ref     slots.Ref
	server  *Server
	link    *netio.Conn
	ended   bool            // it has no slot
	reserve bool            // it lives on the descriptors kept in reserve
	leaving bool            // nothing more is taken from it
	busy    bool            // with a request
	sending bool            // the answer to it
	asked   bool            // it has sent a whole statement
	half    bool            // it has sent a part of a message
	quietAt float64         // since when it has no request under way, or only that part
	check   *clock.Deadline // of being quiet
	leave   *clock.Deadline // of leaving, or of reading its answer
	request slots.Ref
	id      string    // that its client gave the request
	ahead   []message // in the order they came
	size    int       // of ahead

	goodbye  []byte // to one without a slot
	deaf     bool   // the rest of what it sends is not read as messages
	parting  int    // how much that was
	greeted  bool
	skipping bool // after an error in the extended protocol, until Sync
}

// message is one that waits for the answers before it.
type message struct {
	kind byte // as on the wire
	body []byte
	at   float64 // when it came
	err  error   // why it could not be read, nor anything after it
}

// Listen opens the socket for clients; it takes none before Serve.
func Listen(address string, loop *clock.Loop, budget *netio.Budget, requests Requests) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{loop: loop, budget: budget, requests: requests, listener: ln, open: map[string]struct{}{}}
	s.events, err = netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error { return fromContext(ctx).onData(nc) },
		netpoll.WithOnPrepare(s.accepted), netpoll.WithOnConnect(s.connected), netpoll.WithIdleTimeout(keepAlive))
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve takes clients as long as the process runs.
func (s *Server) Serve() error { return s.events.Serve(s.listener) }

type contextKey struct{}

func fromContext(ctx context.Context) *client { return ctx.Value(contextKey{}).(*client) }

// accepted gives a new connection its slot.
func (s *Server) accepted(nc netpoll.Connection) context.Context {
	c := &client{server: s, link: netio.NewConn(nc)}
	s.loop.Do(func() {
		switch {
		case s.closing:
			c.turnAway(wire.CodeCannotConnectNow, "the router is stopping")
			return
		case !s.budget.TakeClient() && !(s.makeRoom() && s.budget.TakeClient()):
			c.turnAway(wire.CodeTooManyConnections, "too many clients")
			return
		}
		c.ref = s.clients.Add(c)
		c.quiet()
	})
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { // returns nil only
		s.loop.Do(c.hungUp)
		return nil
	})
	return context.WithValue(context.Background(), contextKey{}, c)
}

// turnAway marks a connection that gets no slot.
func (c *client) turnAway(code, message string) {
	c.ended, c.leaving, c.reserve = true, true, true
	c.goodbye = wire.AppendError(nil, "FATAL", code, message, "")
	c.server.leaving++
}

func (s *Server) mostLeaving() int { return maxLeaving + int(spareLeaving*float64(s.budget.Spare())) }

// connected ends a connection that was turned away. It comes after netpoll
// has registered the descriptor: one closed before could be another's by then.
func (s *Server) connected(ctx context.Context, _ netpoll.Connection) context.Context {
	c := fromContext(ctx)
	if c.goodbye == nil {
		return ctx
	}
	s.loop.Do(func() {
		if s.leaving > s.mostLeaving() {
			c.link.Close()
			return
		}
		c.link.Send(c.goodbye, nil)
		c.part()
	})
	return ctx
}

// Answer implements router.Client.
func (s *Server) Answer(ref slots.Ref, a router.Answer) {
	c := s.clients.Get(ref)
	if c == nil || !c.busy {
		return
	}
	c.busy = false
	delete(s.open, c.id)
	c.quiet()
	// What came ahead waits until this is with the system: a client that does
	// not read may hold one answer in memory, not many.
	c.sending = true
	c.link.Send(wire.AppendReady(appendAnswer(nil, a)), func(err error) { s.loop.Do(func() { c.sent(err) }) })
	c.leave = s.loop.At(s.loop.Now()+writeTimeout, c.link.Close)
}

// sent takes up what waited for an answer to leave. Where it never left, the
// client has gone or is cut off, and nothing is taken up for it.
func (c *client) sent(err error) {
	if err != nil {
		c.link.Close()
		return
	}
	c.sending = false
	c.server.loop.Cancel(c.leave)
	c.next()
	c.server.trim()
}

// next takes up the messages that waited for an answer.
func (c *client) next() {
	for len(c.ahead) > 0 && !c.busy && !c.sending && !c.ended && !c.leaving {
		m := c.ahead[0]
		c.ahead = c.ahead[1:]
		c.size -= max(len(m.body), minAhead)
		c.handle(m)
	}
	c.settle()
}

func appendAnswer(b []byte, a router.Answer) []byte {
	switch a.Verdict {
	case router.Served:
		b = wire.AppendRowDescription(b, wire.Column{
			Name: a.Row.Column, Type: a.Row.Type, Size: a.Row.Size, Binary: a.Row.Binary,
		})
		b = wire.AppendDataRow(b, a.Row.Value)
		return wire.AppendComplete(b, a.Row.Tag)
	case router.Refused:
		detail := ""
		if a.RetryAfter > 0 {
			detail = strconv.Itoa(int(math.Floor(a.RetryAfter)))
		}
		return wire.AppendError(b, "ERROR", wire.CodeTooManyConnections, "refused: try again later", detail)
	}
	return wire.AppendError(b, "ERROR", wire.CodeCancelled, "the request failed; it may have had an effect", "")
}
