// Package front serves clients that speak the PostgreSQL protocol. It
// turns their statements into the router's neutral requests and the router's
// answers into messages.
package front

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
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
	// maxLeaving bounds the clients turned away that have not gone, which live
	// on the descriptors kept in reserve.
	maxLeaving = 12
	// maxParting is what a client that is let go may still send: it has been
	// told, and reading on would cost more than it is worth.
	maxParting = 64 << 10
	// maxWait bounds the wait that a client may state.
	maxWait = 60000
	// keepAlive is how long a silent client's system may stay unasked.
	keepAlive = time.Minute
	// maxAhead bounds what a client may send ahead of its answers, one message aside.
	maxAhead = 64 << 10
	// minAhead is what a queued message counts at least.
	minAhead = 256
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
	asked    int // clients that have sent a whole statement
	leaving  int // clients turned away and not gone yet; outside the budget
}

// client is one connection. What the owner's lock guards stands first; the
// rest belongs to the connection's own callbacks.
type client struct {
	ref     slots.Ref
	server  *Server
	link    *netio.Conn
	ended   bool
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
	parting  int    // what it has sent since it was let go
	greeted  bool
	skipping bool // after an error in the extended protocol, until Sync
}

// message is one that waits for the answers before it.
type message struct {
	kind byte
	body []byte
	at   float64 // when it came
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

// makeRoom ends the connection that has been quiet longest, one that never
// asked before any other. Of those that did, only one that may be closed goes:
// its client may be about to ask again.
func (s *Server) makeRoom() bool {
	if c := s.quietest(func(c *client) bool { return !c.asked }); c != nil {
		c.close()
		return true
	}
	c := s.quietest(func(c *client) bool { return s.loop.Now() >= c.quietAt+quietLimit })
	if c != nil {
		c.close()
	}
	return c != nil
}

// askingShare of what clients may hold for requests is where those that have
// asked begin to make room for each other.
const askingShare = 0.75

// trim ends the connection that has been idle longest when clients hold nearly
// all that they open for requests. Where each asks once and keeps its
// connection, none is left for the next request: it would be refused over
// there, unseen here. The protocol lets a router close between requests.
func (s *Server) trim() {
	if float64(s.asked) <= askingShare*float64(s.budget.Asking) {
		return
	}
	if c := s.quietest(func(c *client) bool { return c.asked && !c.half && c.link.Quiet() }); c != nil {
		c.close()
	}
}

// quietest returns the client that has been quiet longest of those that may
// be, nil if there is none.
func (s *Server) quietest(may func(*client) bool) (found *client) {
	s.clients.Each(func(_ slots.Ref, c *client) {
		if !c.busy && !c.sending && !c.leaving && (found == nil || c.quietAt < found.quietAt) && may(c) {
			found = c
		}
	})
	return found
}

// quiet begins the time that c may go without a request.
func (c *client) quiet() {
	c.quietAt = c.server.loop.Now()
	c.checkAt(c.quietAt + quietLimit)
}

func (c *client) checkAt(at float64) {
	loop := c.server.loop
	loop.Cancel(c.check)
	c.check = loop.At(at, c.checkQuiet)
}

// checkQuiet ends a connection that has been quiet too long. Closing is no
// answer: it must not cross a statement that is on its way up to here.
func (c *client) checkQuiet() {
	now, budget := c.server.loop.Now(), c.server.budget
	switch {
	case c.ended, c.leaving:
	case c.busy, c.sending: // only a part of what comes next is there
		c.checkAt(now + quietLimit)
	case c.half:
		c.link.Send(wire.AppendError(nil, "FATAL", wire.CodeProtocol, "a message without its end", ""), nil)
		c.server.finish(c)
	case !c.asked:
		c.server.finish(c)
	case !c.link.Quiet():
		c.checkAt(now + quietLimit)
	case now >= c.quietAt+idleLimit, budget.ClientsShort():
		c.close()
	default:
		c.checkAt(min(now+quietLimit, c.quietAt+idleLimit))
	}
}

// close ends a connection that owes nothing, at once.
func (c *client) close() {
	c.release()
	c.link.Close()
}

// release gives c's slot and socket back.
func (c *client) release() {
	if c.ended {
		return
	}
	c.ended, c.leaving = true, true
	c.server.loop.Cancel(c.check)
	c.server.loop.Cancel(c.leave)
	c.server.clients.Remove(c.ref)
	c.server.budget.GiveClient()
	c.ahead = nil
	if c.asked {
		c.server.asked--
	}
	if c.busy {
		delete(c.server.open, c.id)
	}
}

// turnAway marks a connection that gets no slot.
func (c *client) turnAway(code, message string) {
	c.ended, c.leaving = true, true
	c.goodbye = wire.AppendError(nil, "FATAL", code, message, "")
	c.server.leaving++
}

// connected ends a connection that was turned away. It comes after netpoll
// has registered the descriptor: one closed before could be another's by then.
func (s *Server) connected(ctx context.Context, _ netpoll.Connection) context.Context {
	c := fromContext(ctx)
	if c.goodbye == nil {
		return ctx
	}
	s.loop.Do(func() {
		if s.leaving > maxLeaving {
			c.link.Close()
			return
		}
		c.link.Send(c.goodbye, nil)
		s.finish(c)
	})
	return ctx
}

// hungUp learns that the connection has ended, by either side.
func (c *client) hungUp() {
	c.link.Close()
	c.server.loop.Cancel(c.leave)
	if c.goodbye != nil {
		c.server.leaving--
		return
	}
	c.release()
	if c.busy {
		c.busy = false
		c.server.requests.Lapse(c.request)
	}
}

// onData reads messages; a partial one waits for its rest, in this
// connection's own goroutine.
func (c *client) onData(nc netpoll.Connection) error {
	for nc.Reader().Len() > 0 {
		if c.link.Finishing() { // nothing more is taken, only the peer's end
			n := nc.Reader().Len()
			if c.parting += n; c.parting > maxParting {
				c.link.Close()
				return nc.Close()
			}
			_ = nc.Reader().Skip(n)
			return nc.Reader().Release()
		}
		read := c.readMessage
		if !c.greeted {
			read = c.readStartup
		}
		if err := read(nc.Reader()); err != nil {
			c.server.loop.Do(func() { c.server.finish(c) }) // what was said before goes out first
			_ = nc.Reader().Skip(nc.Reader().Len())
			if errors.Is(err, errBye) {
				return nil
			}
			return err
		}
		if err := nc.Reader().Release(); err != nil {
			return nc.Close()
		}
	}
	return nil
}

// take returns the next n bytes. While some of them are still to come, the
// client is one that has sent a part of a message.
func (c *client) take(in netpoll.Reader, n int) ([]byte, error) {
	if in.Len() >= n {
		return in.Next(n)
	}
	half := func(is bool) func() {
		return func() {
			if c.half = is; !c.busy && !c.sending && !c.ended {
				c.quiet()
			}
		}
	}
	c.server.loop.Do(half(true))
	b, err := in.Next(n)
	c.server.loop.Do(half(false))
	return b, err
}

// errBye ends a connection without a fault.
var errBye = errors.New("front: the client says goodbye")

// readStartup reads one message of those that come before any other.
func (c *client) readStartup(in netpoll.Reader) error {
	head, err := c.take(in, 4)
	if err != nil {
		return err
	}
	n, err := wire.StartupLen(head)
	if err != nil {
		return err
	}
	body, err := c.take(in, n)
	if err != nil {
		return err
	}
	switch code := wire.StartupCode(body); {
	case code == wire.SSLRequest, code == wire.GSSRequest:
		c.link.Send([]byte{'N'}, nil)
		return nil
	case code == wire.CancelRequest:
		return errBye // a deadline does the same, sooner
	case code>>16 != wire.Version3>>16:
		c.link.Send(wire.AppendError(nil, "FATAL", wire.CodeUnsupported, "unsupported protocol version", ""), nil)
		return errBye
	}
	c.greeted = true
	b := wire.AppendAuthenticationOk(nil)
	for _, p := range [...][2]string{
		{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		b = wire.AppendParameter(b, p[0], p[1])
	}
	b = wire.AppendReady(wire.AppendKeyData(b, c.ref.Slot, c.ref.Gen))
	c.link.Send(b, nil)
	return nil
}

// readMessage reads one message of a connection that is up. One that must
// wait for the answers before it is copied; so is a statement.
func (c *client) readMessage(in netpoll.Reader) error {
	h, err := c.take(in, wire.HeaderLen)
	if err != nil {
		return err
	}
	kind, n, err := wire.Header(h)
	if err != nil {
		c.link.Send(wire.AppendError(nil, "FATAL", wire.CodeProtocol, err.Error(), ""), nil)
		return err
	}
	var body []byte
	if n > 0 {
		if body, err = c.take(in, n); err != nil {
			return err
		}
	}
	if kind == wire.Terminate {
		return errBye
	}
	now := c.server.loop.Now
	c.server.loop.Do(func() {
		if c.leaving { // a request that crosses our closing is sent again elsewhere
			err = errBye
			return
		}
		if !c.busy && !c.sending {
			c.handle(message{kind, body, now()})
			return
		}
		if c.size += max(len(body), minAhead); c.size > maxAhead && len(c.ahead) > 0 {
			err = errors.New("front: too much sent ahead")
			return
		}
		c.ahead = append(c.ahead, message{kind, append([]byte(nil), body...), now()})
	})
	return err
}

// handle answers a message or hands its statement on. It runs inside Do.
func (c *client) handle(m message) {
	switch kind := m.kind; {
	case kind == wire.Sync:
		c.skipping = false
		c.link.Send(wire.AppendReady(nil), nil)
		return
	case c.skipping, kind == wire.Flush:
		return
	case kind != wire.Query:
		// The extended protocol: skip to its Sync, as PostgreSQL does.
		c.skipping = true
		c.link.Send(wire.AppendError(nil, "ERROR", wire.CodeUnsupported, "only simple queries are served", ""), nil)
		return
	}
	text, err := wire.Text(m.body)
	if err != nil {
		c.reject(wire.CodeProtocol, err.Error())
		return
	}
	if empty(text) {
		c.link.Send(wire.AppendReady(wire.AppendEmptyQuery(nil)), nil)
		return
	}
	c.submit(append([]byte(nil), text...), m.at) // it must outlive the read buffer
}

func empty(text []byte) bool {
	for _, b := range text {
		if b != ' ' && b != '\t' && b != '\r' && b != '\n' && b != ';' {
			return false
		}
	}
	return true
}

// submit hands a statement to the router.
func (c *client) submit(text []byte, came float64) {
	if !c.asked {
		c.asked = true
		c.server.asked++
	}
	s, err := wire.ParseStatement(text)
	if err != nil {
		c.reject(wire.CodeSyntax, err.Error())
		return
	}
	class, ok := c.server.requests.Class(s.Class)
	if !ok {
		c.reject(wire.CodeSyntax, "unknown class "+strconv.Quote(string(s.Class)))
		return
	}
	if read := bytes.EqualFold(wire.Verb(text), []byte("SELECT")); read == class.Write {
		c.reject(wire.CodeSyntax, "the statement is not of its class "+strconv.Quote(string(s.Class)))
		return
	}
	if class.Keyed && !s.Keyed {
		c.reject(wire.CodeSyntax, "a statement without its idempotency key")
		return
	}
	// An answer could not be told from that to the other's, here or at a host.
	if _, taken := c.server.open[string(s.ID)]; taken {
		c.reject(wire.CodeSyntax, "the id of another request that is under way")
		return
	}
	c.id = string(s.ID)
	c.server.open[c.id] = struct{}{}
	c.busy = true
	wait := max(min(s.Wait, maxWait)-(c.server.loop.Now()-came), 0) // it may have waited for answers before it
	ref := c.server.requests.Submit(router.Request{
		Statement: router.Statement{Text: text, From: s.WaitAt, To: s.WaitTo},
		Class:     class.Number, Group: s.Cluster, Session: session(s.Key), After: s.After, Wait: wait,
	}, c.server, c.ref)
	if c.busy { // else it has been answered already
		c.request = ref
	}
}

func session(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(key) // never fails
	return max(h.Sum64(), 1)
}

// reject answers a statement that goes to no host.
func (c *client) reject(code, message string) {
	c.link.Send(wire.AppendReady(wire.AppendError(nil, "ERROR", code, message, "")), nil)
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
	c.link.Send(wire.AppendReady(appendAnswer(nil, a)), func(error) { s.loop.Do(c.sent) })
	c.leave = s.loop.At(s.loop.Now()+writeTimeout, c.link.Close)
}

// sent takes up what waited for an answer to leave.
func (c *client) sent() {
	c.sending = false
	if !c.leaving {
		c.server.loop.Cancel(c.leave)
	}
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
	if c.server.closing && !c.busy && !c.sending && !c.ended {
		c.server.finish(c)
	}
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

// Drain lets clients go between their requests, from now on: those that are
// idle now, the others after their answer. New ones are told to come again.
// It runs inside Do.
func (s *Server) Drain() {
	s.closing = true
	s.clients.Each(func(_ slots.Ref, c *client) {
		if !c.busy && !c.sending {
			s.finish(c)
		}
	})
}

// finish ends a connection that owes nothing, at the latest after a while.
func (s *Server) finish(c *client) {
	if c.goodbye == nil && (c.leaving || c.ended) {
		return
	}
	c.leaving = true
	c.link.Finish()
	s.loop.Cancel(c.leave)
	c.leave = s.loop.At(s.loop.Now()+leaveTimeout, c.link.Close)
}
