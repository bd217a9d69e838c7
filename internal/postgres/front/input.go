package front

import (
	"errors"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/postgres/wire"
)

const (
	// maxDiscarded is how many bytes a client whose connection was ended, or that
	// broke the protocol, may still send before it is cut off.
	maxDiscarded = 64 << 10
	// smallMessage is the size, in bytes, of a message that may be received in
	// parts even when memory is short.
	smallMessage = 8 << 10
)

// Reasons why nothing more is read from a client. Their texts are sent to it.
var (
	errMemory    = errors.New("out of memory for what was sent ahead of the answers")
	errTerminate = errors.New("the client ends the connection")
	errPartial   = errors.New("a message without its end")
	errVersion   = errors.New("unsupported protocol version")
)

// onData reads messages. It waits for the rest of a partial one, in this
// connection's own goroutine.
func (c *client) onData(nc netpoll.Connection) error {
	in := nc.Reader()
	for in.Len() > 0 {
		if c.discarding || c.conn.Finishing() {
			return c.discard(nc)
		}
		read := c.readMessage
		if !c.started {
			read = c.readStartup
		}
		if err := read(in); err != nil { // what came before is still answered, in its turn
			c.server.loop.Do(func() {
				c.discarding = true
				c.receiveError(err)
			})
			continue
		}
		if err := in.Release(); err != nil {
			return nc.Close()
		}
	}
	return nil
}

// discard drops what has arrived: only the client's close still matters. A
// client that goes on sending is cut off once all its answers are written to
// the system.
func (c *client) discard(nc netpoll.Connection) error {
	in := nc.Reader()
	n := in.Len()
	busy := false
	c.server.loop.Do(func() {
		c.bookUnread(0)
		busy = c.busy()
	})
	if !busy {
		c.discardedBytes += n
	}
	if c.discardedBytes > maxDiscarded {
		c.conn.Close()
		return nc.Close()
	}
	_ = in.Skip(n)
	return in.Release()
}

// await waits until n bytes have arrived and returns them; they stay in the
// buffer. While some are missing, the client counts as having sent a part of a
// message.
func (c *client) await(in netpoll.Reader, n int) ([]byte, error) {
	if in.Len() >= n {
		return in.Peek(n)
	}
	fits := true
	c.server.loop.Do(func() {
		fits = c.bookUnread(n)
		c.setPartial(true)
	})
	if !fits {
		return nil, errMemory
	}
	b, err := in.Peek(n)
	c.server.loop.Do(func() { c.setPartial(false) })
	return b, err
}

// setPartial records whether a part of a message has arrived without its rest.
func (c *client) setPartial(partial bool) {
	c.partial = partial
	if !c.busy() && !c.released {
		c.beginIdle()
		c.drainIfIdle()
	}
}

// readStartup reads one of the messages that precede all others: a request for
// encryption, a CancelRequest, or the startup message.
func (c *client) readStartup(in netpoll.Reader) error {
	head, err := c.await(in, wire.StartupHeaderLen)
	if err != nil {
		return err
	}
	n, err := wire.ParseStartupHeader(head)
	if err != nil {
		return err
	}
	if _, err = c.await(in, wire.StartupHeaderLen+n); err != nil {
		return err
	}
	message, err := in.Next(wire.StartupHeaderLen + n)
	if err != nil {
		return err
	}
	body := message[wire.StartupHeaderLen:]
	switch code := wire.StartupCode(body); {
	case code == wire.SSLRequest, code == wire.GSSENCRequest:
		c.conn.Send([]byte{'N'}, nil)
		return nil
	case code == wire.CancelRequest:
		if process, secret, ok := wire.ParseCancelRequest(body); ok {
			c.server.loop.Do(func() { c.server.cancel(process, secret) })
		}
		return errTerminate
	case code>>16 != wire.ProtocolVersion3>>16:
		return errVersion
	}
	c.started = true
	c.server.loop.Do(func() { c.bookUnread(in.Len()) })
	c.conn.Send(c.startupAnswer(), nil)
	return nil
}

// startupAnswer is the answer to the startup message.
func (c *client) startupAnswer() []byte {
	b := wire.AppendAuthenticationOk(nil)
	for _, parameter := range [...]struct{ name, value string }{
		{"server_version", "15.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		b = wire.AppendParameterStatus(b, parameter.name, parameter.value)
	}
	return wire.AppendReadyForQuery(wire.AppendBackendKeyData(b, c.handle.Slot, c.secret))
}

// readMessage reads one message after the startup. It is taken off the buffer
// and received inside one Do: code there that ends the connection must find it
// in the buffer or in the queue.
func (c *client) readMessage(in netpoll.Reader) error {
	head, err := c.await(in, wire.HeaderLen)
	if err != nil {
		return err
	}
	kind, n, err := wire.ParseHeader(head)
	if err != nil {
		return err
	}
	if _, err = c.await(in, wire.HeaderLen+n); err != nil {
		return err
	}
	c.server.loop.Do(func() {
		var message []byte
		message, err = in.Next(wire.HeaderLen + n)
		if err != nil {
			return
		}
		err = c.receive(kind, message[wire.HeaderLen:])
		if err == nil && !c.bookUnread(in.Len()) {
			err = errMemory
		}
	})
	return err
}
