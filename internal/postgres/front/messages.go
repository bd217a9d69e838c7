package front

import (
	"bytes"
	"errors"
	"hash/fnv"
	"strconv"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// onData reads messages; a partial one waits for its rest, in this
// connection's own goroutine.
func (c *client) onData(nc netpoll.Connection) error {
	in := nc.Reader()
	for in.Len() > 0 {
		if c.deaf || c.link.Finishing() { // nothing more is taken, only the peer's end
			n := in.Len()
			if c.parting += n; c.parting > maxParting {
				c.link.Close()
				return nc.Close()
			}
			_ = in.Skip(n)
			return in.Release()
		}
		read := c.readMessage
		if !c.greeted {
			read = c.readStartup
		}
		var err error
		if in.Len() > maxUnread {
			err = errAhead
		} else {
			err = read(in)
		}
		if err != nil { // what came before it is still answered, in its turn
			c.deaf = true
			c.server.loop.Do(func() { c.arrived(message{err: err}) })
			continue
		}
		if err := in.Release(); err != nil {
			return nc.Close()
		}
	}
	return nil
}

// await waits until n bytes are there and returns them; they stay in the
// buffer. While some are still to come, the client has sent a part of a message.
func (c *client) await(in netpoll.Reader, n int) ([]byte, error) {
	if in.Len() >= n {
		return in.Peek(n)
	}
	half := func(is bool) func() {
		return func() {
			c.half = is
			if !c.busy && !c.sending && !c.ended {
				c.quiet()
				c.settle()
			}
		}
	}
	c.server.loop.Do(half(true))
	b, err := in.Peek(n)
	c.server.loop.Do(half(false))
	return b, err
}

// Why nothing more is read of what a client sends.
var (
	errAhead   = errors.New("too much sent ahead of the answers")
	errBye     = errors.New("the client says goodbye")
	errHalf    = errors.New("a message without its end")
	errVersion = errors.New("unsupported protocol version")
)

// readStartup reads one message of those that come before any other.
func (c *client) readStartup(in netpoll.Reader) error {
	head, err := c.await(in, wire.StartupHeaderLen)
	if err != nil {
		return err
	}
	n, err := wire.StartupLen(head)
	if err != nil {
		return err
	}
	if _, err = c.await(in, wire.StartupHeaderLen+n); err != nil {
		return err
	}
	b, err := in.Next(wire.StartupHeaderLen + n)
	if err != nil {
		return err
	}
	switch code := wire.StartupCode(b[wire.StartupHeaderLen:]); {
	case code == wire.SSLRequest, code == wire.GSSRequest:
		c.link.Send([]byte{'N'}, nil)
		return nil
	case code == wire.CancelRequest:
		return errBye // a deadline does the same, sooner
	case code>>16 != wire.Version3>>16:
		return errVersion
	}
	c.greeted = true
	c.link.Send(c.greeting(), nil)
	return nil
}

// greeting is what a connection hears when it is up.
func (c *client) greeting() []byte {
	b := wire.AppendAuthenticationOk(nil)
	for _, p := range [...][2]string{
		{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		b = wire.AppendParameter(b, p[0], p[1])
	}
	return wire.AppendReady(wire.AppendKeyData(b, c.ref.Slot, c.ref.Gen))
}

// readMessage reads one message of a connection that is up. It is taken off
// the buffer inside Do, where it is taken up too: whoever ends the connection
// there has to find it in the one or in the other.
func (c *client) readMessage(in netpoll.Reader) error {
	h, err := c.await(in, wire.HeaderLen)
	if err != nil {
		return err
	}
	kind, n, err := wire.Header(h)
	if err != nil {
		return err
	}
	if _, err = c.await(in, wire.HeaderLen+n); err != nil {
		return err
	}
	c.server.loop.Do(func() {
		var b []byte
		if b, err = in.Next(wire.HeaderLen + n); err == nil {
			c.arrived(message{kind: kind, body: b[wire.HeaderLen:], at: c.server.loop.Now()})
		}
	})
	if kind == wire.Terminate && err == nil {
		c.deaf = true
	}
	return err
}

// arrived takes up a message now, or once the answers before it have left. One
// that must wait is copied; so is a statement.
func (c *client) arrived(m message) {
	if c.leaving { // a request that crosses our closing is sent again elsewhere
		return
	}
	if !c.busy && !c.sending {
		c.handle(m)
		c.settle()
		return
	}
	if c.size += max(len(m.body), minAhead); c.size > maxAhead && len(c.ahead) > 0 && m.err == nil {
		m = message{err: errAhead}
		c.deaf = true // of its own goroutine, which has called this
	}
	m.body = bytes.Clone(m.body)
	c.ahead = append(c.ahead, m)
}

// handle answers a message or hands its statement on. It runs inside Do.
func (c *client) handle(m message) {
	switch kind := m.kind; {
	case m.err != nil:
		c.fault(m.err)
		return
	case kind == wire.Terminate:
		c.part()
		return
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
	if c.server.closing && m.at > c.server.closedAt+crossing {
		c.reject(wire.CodeCannotConnectNow, "the router is stopping")
		return
	}
	c.submit(bytes.Clone(text), m.at) // it must outlive the read buffer
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
