package front

import (
	"errors"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/postgres/wire"
)

const (
	// maxDiscardedBytes is how many bytes a client may send after the half-close
	// or after a protocol error before its connection is closed. Bytes that arrive
	// while answers to it are pending are not counted.
	maxDiscardedBytes = 64 << 10
	// smallMessageBytes is the largest amount of unparsed input that a client may
	// have even if the memory budget is exceeded.
	smallMessageBytes = 8 << 10
)

// Errors that end a connection. Except for errTerminate, their texts are sent to
// the client.
var (
	errOutOfMemory        = errors.New("out of memory for what was sent ahead of the answers")
	errTerminate          = errors.New("the client ends the connection")
	errIncompleteMessage  = errors.New("a message without its end")
	errUnsupportedVersion = errors.New("unsupported protocol version")
)

// onData processes received messages. It runs in the connection's own goroutine
// and blocks while a message is incomplete.
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
		if err := read(in); err != nil { // earlier commands are still answered first
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

// discard drops received bytes; only the client's close is still awaited. If the
// client keeps sending after the kernel has accepted all its answers, the
// connection is closed.
func (c *client) discard(nc netpoll.Connection) error {
	in := nc.Reader()
	n := in.Len()
	busy := false
	c.server.loop.Do(func() {
		c.reserveUnread(0)
		busy = c.busy()
	})
	if !busy {
		c.discardedBytes += n
	}
	if c.discardedBytes > maxDiscardedBytes {
		c.conn.Close()
		return nc.Close()
	}
	_ = in.Skip(n)
	return in.Release()
}

// awaitBytes blocks until n bytes have arrived and returns them without removing
// them from the buffer. While it blocks, the client is marked as partial.
func (c *client) awaitBytes(in netpoll.Reader, n int) ([]byte, error) {
	if in.Len() >= n {
		return in.Peek(n)
	}
	fits := true
	c.server.loop.Do(func() {
		fits = c.reserveUnread(n)
		c.setPartial(true)
	})
	if !fits {
		return nil, errOutOfMemory
	}
	b, err := in.Peek(n)
	c.server.loop.Do(func() { c.setPartial(false) })
	return b, err
}

// setPartial records whether the last message received is incomplete. Either
// change restarts the idle time of a client without pending commands.
func (c *client) setPartial(partial bool) {
	c.partial = partial
	if !c.busy() && !c.released {
		c.beginIdle()
		c.drainIfIdle()
	}
}

// readStartup processes one message of the startup phase: an SSLRequest, a
// GSSENCRequest, a CancelRequest or a StartupMessage.
func (c *client) readStartup(in netpoll.Reader) error {
	head, err := c.awaitBytes(in, wire.StartupHeaderLen)
	if err != nil {
		return err
	}
	n, err := wire.ParseStartupHeader(head)
	if err != nil {
		return err
	}
	if _, err = c.awaitBytes(in, wire.StartupHeaderLen+n); err != nil {
		return err
	}
	message, err := in.Next(wire.StartupHeaderLen + n)
	if err != nil {
		return err
	}
	body := message[wire.StartupHeaderLen:]
	switch code := wire.StartupCode(body); {
	case code == wire.SSLRequest, code == wire.GSSENCRequest:
		c.conn.Send([]byte{'N'}, nil) // the connection stays unencrypted
		return nil
	case code == wire.CancelRequest:
		if process, secret, ok := wire.ParseCancelRequest(body); ok {
			c.server.loop.Do(func() { c.server.cancel(process, secret) })
		}
		return errTerminate
	case code>>16 != wire.ProtocolVersion3>>16:
		return errUnsupportedVersion
	}
	c.started = true
	c.server.loop.Do(func() { c.reserveUnread(in.Len()) })
	c.conn.Send(c.startupAnswer(), nil)
	return nil
}

// startupAnswer returns the messages that answer the StartupMessage.
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

// readMessage processes one message after the startup. It removes the message
// from the buffer and queues it inside a single Do, so that code that decides
// whether the connection is idle sees it either in the buffer or in the queue.
func (c *client) readMessage(in netpoll.Reader) error {
	head, err := c.awaitBytes(in, wire.HeaderLen)
	if err != nil {
		return err
	}
	kind, n, err := wire.ParseHeader(head)
	if err != nil {
		return err
	}
	if _, err = c.awaitBytes(in, wire.HeaderLen+n); err != nil {
		return err
	}
	c.server.loop.Do(func() {
		var message []byte
		message, err = in.Next(wire.HeaderLen + n)
		if err != nil {
			return
		}
		err = c.receive(kind, message[wire.HeaderLen:])
		if err == nil && !c.reserveUnread(in.Len()) {
			err = errOutOfMemory
		}
	})
	return err
}
