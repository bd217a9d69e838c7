package front

import (
	"errors"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/postgres/wire"
)

const (
	// maxDiscarded is what a client that was told to go, or broke the protocol,
	// may still send: reading on would cost more than it is worth.
	maxDiscarded = 64 << 10
	// smallMessage is the size of a message that may come in parts however
	// short memory is.
	smallMessage = 8 << 10
)

// Why nothing more is read of what a client sends.
var (
	errMemory    = errors.New("out of memory for what was sent ahead of the answers")
	errTerminate = errors.New("the client ends the connection")
	errPartial   = errors.New("a message without its end")
	errVersion   = errors.New("unsupported protocol version")
)

// onData reads messages; a partial one waits for its rest, in this
// connection's own goroutine.
func (c *client) onData(nc netpoll.Connection) error {
	in := nc.Reader()
	for in.Len() > 0 {
		if c.discarding || c.conn.Finishing() {
			return c.discard(nc)
		}
		read := c.readMessage
		if !c.greeted {
			read = c.readStartup
		}
		if err := read(in); err != nil { // what came before it is still answered, in its turn
			c.server.loop.Do(func() {
				c.discarding = true
				c.receiveEnd(err)
			})
			continue
		}
		if err := in.Release(); err != nil {
			return nc.Close()
		}
	}
	return nil
}

// discard drops what has come: only the client's end still matters. One that
// goes on sending is cut off once all that it is owed is with the system.
func (c *client) discard(nc netpoll.Connection) error {
	in := nc.Reader()
	n := in.Len()
	owed := false
	c.server.loop.Do(func() {
		c.bookUnread(0)
		owed = c.busy()
	})
	if !owed {
		c.discarded += n
	}
	if c.discarded > maxDiscarded {
		c.conn.Close()
		return nc.Close()
	}
	_ = in.Skip(n)
	return in.Release()
}

// bookUnread books what lies in the read buffer, or is to come of a message
// that has begun. It tells whether memory for it is left: the poller reads on
// whatever becomes of the bytes, so that a flood has to be ended.
func (c *client) bookUnread(n int) bool {
	if c.released {
		return true
	}
	c.server.unread.Book(n - c.unread)
	c.unread = n
	return n <= smallMessage || !c.server.unread.Exceeded()
}

// await waits until n bytes are there and returns them; they stay in the
// buffer. While some are still to come, the client has sent a part of a message.
func (c *client) await(in netpoll.Reader, n int) ([]byte, error) {
	if in.Len() >= n {
		return in.Peek(n)
	}
	room := true
	c.server.loop.Do(func() {
		room = c.bookUnread(n)
		c.setPartial(true)
	})
	if !room {
		return nil, errMemory
	}
	b, err := in.Peek(n)
	c.server.loop.Do(func() { c.setPartial(false) })
	return b, err
}

// setPartial notes whether a part of a message has come and its rest has not.
func (c *client) setPartial(is bool) {
	c.partial = is
	if !c.busy() && !c.released {
		c.beginIdle()
		c.drainIfIdle()
	}
}

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
	body := b[wire.StartupHeaderLen:]
	switch code := wire.StartupCode(body); {
	case code == wire.SSLRequest, code == wire.GSSRequest:
		c.conn.Send([]byte{'N'}, nil)
		return nil
	case code == wire.CancelRequest:
		if process, secret, ok := wire.CancelKey(body); ok {
			c.server.loop.Do(func() { c.server.cancel(process, secret) })
		}
		return errTerminate
	case code>>16 != wire.Version3>>16:
		return errVersion
	}
	c.greeted = true
	c.server.loop.Do(func() { c.bookUnread(in.Len()) })
	c.conn.Send(c.greeting(), nil)
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
	return wire.AppendReady(wire.AppendKeyData(b, c.ref.Slot, c.secret))
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
		if b, err = in.Next(wire.HeaderLen + n); err != nil {
			return
		}
		if err = c.receive(kind, b[wire.HeaderLen:]); err == nil && !c.bookUnread(in.Len()) {
			err = errMemory
		}
	})
	return err
}
