package front

import (
	"errors"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/postgres/wire"
)

// maxDiscardedBytes is how many bytes a client may send after the half-close or
// after a protocol error before its connection is closed. Bytes that arrive while
// answers to it are pending are not counted.
const maxDiscardedBytes = 64 << 10

// Errors that end a connection. Except for errTerminate, their texts are sent to
// the client.
var (
	errOutOfMemory        = errors.New("out of memory for what was sent ahead of the answers")
	errTerminate          = errors.New("the client ends the connection")
	errIncompleteMessage  = errors.New("a message without its end")
	errUnsupportedVersion = errors.New("unsupported protocol version")
)

// onData processes received bytes. netpoll calls it, outside Do, and reads no
// further bytes of the connection until it returns (netio.ReadGate). The bytes are
// taken from the read buffer and processed inside a single Do, so that code that
// decides whether the connection is idle sees them in the buffer, in c.input
// or as a queued command.
func (c *client) onData(nc netpoll.Connection) error {
	in := nc.Reader()
	keep := true
	var err error
	c.server.loop.Do(func() {
		var data []byte
		if data, err = in.Next(in.Len()); err != nil {
			return
		}
		c.gone = c.conn.PeerClosed()
		keep = c.receiveBytes(data)
		if c.gone && c.started { // a CancelRequest has no answer, so its client need not wait
			c.disconnected()
			keep = false
		}
	})
	if err != nil || !keep {
		return nc.Close()
	}
	return in.Release()
}

// receiveBytes processes the complete messages in data and keeps the beginning of
// an incomplete one. It returns false if the connection must be closed at once.
func (c *client) receiveBytes(data []byte) (keep bool) {
	c.sentInDrain = c.sentInDrain || c.server.draining
	if excess := len(data) - readBufferBytes; excess > 0 && !c.reserveUnread(c.input.Size()+excess) {
		c.stopReading(errOutOfMemory)
	}
	completed := false
	for len(data) > 0 && !c.discarding && !c.conn.Finishing() {
		message, rest, err := c.nextMessage(data)
		if err == nil && message != nil {
			completed = true
			err = c.receiveMessage(message)
		}
		if err != nil { // earlier commands are still answered first
			c.stopReading(err)
		}
		data = rest
	}
	if c.discarding || c.conn.Finishing() {
		c.dropUnfinished()
		return c.discard(len(data))
	}
	c.reserveUnread(c.input.Size())
	c.setPartial(c.input.Len() > 0, completed)
	if c.server.givingUp {
		c.giveUp()
	}
	return true
}

// stopReading queues the error that ends the reading from the client.
func (c *client) stopReading(err error) {
	c.discarding = true
	c.dropUnfinished()
	c.receiveError(err)
}

// discard counts n bytes that are dropped without being parsed; only the client's
// close is still awaited. It returns false, which closes the connection, if the
// client keeps sending after the kernel has accepted all its answers.
func (c *client) discard(n int) (keep bool) {
	if !c.busy() {
		c.discardedBytes += n
	}
	if c.discardedBytes <= maxDiscardedBytes {
		return true
	}
	c.conn.Close()
	return false
}

// setPartial records whether the last message received is incomplete. The idle time
// of a client without pending commands begins anew when a message becomes
// incomplete and when it is completed, but not with each part of it.
func (c *client) setPartial(partial, completed bool) {
	began := partial && (!c.partial || completed)
	ended := !partial && c.partial
	c.partial = partial
	if (began || ended) && !c.busy() && !c.released {
		c.beginIdle()
		c.drainIfIdle()
	}
}

// receiveMessage processes one complete message.
func (c *client) receiveMessage(message []byte) error {
	if !c.started {
		return c.receiveStartup(message[wire.StartupHeaderLen:])
	}
	return c.receive(message[0], message[wire.HeaderLen:])
}

// receiveStartup processes the body of one message of the startup phase: an
// SSLRequest, a GSSENCRequest, a CancelRequest or a StartupMessage.
func (c *client) receiveStartup(body []byte) error {
	switch code := wire.StartupCode(body); {
	case code == wire.SSLRequest, code == wire.GSSENCRequest:
		c.conn.Send([]byte{'N'}, nil) // the connection stays unencrypted
		return nil
	case code == wire.CancelRequest:
		if process, secret, ok := wire.ParseCancelRequest(body); ok {
			c.server.cancel(process, secret)
		}
		return errTerminate
	case code>>16 != wire.ProtocolVersion3>>16:
		return errUnsupportedVersion
	}
	c.started = true
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
