package back

import (
	"context"
	"errors"
	"net"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
)

// readBufferBytes is the size of the pool's read buffer, that of netpoll's own.
const readBufferBytes = 8 << 10

// onData processes received bytes. netpoll calls it, outside Do. It takes all bytes
// from netpoll's buffer and never waits for more, and netpoll reads no further before it
// has returned, so that netpoll's buffers do not grow. The bytes are taken and processed
// inside a single Do, so that code that decides whether the connection may be used sees
// them in the socket, in the buffer or as a part of an answer.
func (c *conn) onData(_ context.Context, nc netpoll.Connection) error {
	hold := netio.HoldPoller()
	defer hold.Release()
	var err error
	c.pool.loop.Do(func() {
		if err = c.pool.receive(c, nc); err == nil && hold != nil {
			err = c.pool.receiveRest(c, nc, hold)
		}
		if errors.Is(err, wire.ErrMalformed) {
			c.pool.malformed(c)
		}
	})
	if err != nil {
		return nc.Close() // the close callback notifies the pool
	}
	return nil
}

// receive processes the bytes in netpoll's buffer. An error ends the connection. Bytes
// that cannot belong to an answer to the current statement also end the attempt, with
// an error that wraps wire.ErrMalformed; the remaining bytes would otherwise be taken
// for the answer to the next statement.
func (p *Pool) receive(c *conn, nc netpoll.Connection) error {
	for nc.Reader().Len() > 0 {
		// Unlike the Reader's Release, Read does not enlarge netpoll's next buffer.
		n, err := nc.Read(p.readBuffer)
		if err == nil {
			err = p.receiveBytes(c, p.readBuffer[:n])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// receiveRest reads the rest of a long message from the socket into the message's own
// buffer, as far as it has arrived, and then what follows it.
func (p *Pool) receiveRest(c *conn, nc netpoll.Connection, hold *netio.PollerHold) error {
	for room := c.input.Room(); len(room) > 0; room = c.input.Room() {
		n := hold.ReadSocket(nc, room)
		c.input.Filled(n)
		if n < len(room) {
			return nil
		}
		n = hold.ReadSocket(nc, p.readBuffer)
		if err := p.receiveBytes(c, p.readBuffer[:n]); err != nil {
			return err
		}
	}
	return nil
}

// receiveBytes processes the complete messages in data and keeps the beginning of an
// incomplete answer.
func (p *Pool) receiveBytes(c *conn, data []byte) error {
	for len(data) > 0 || c.input.Complete() {
		if c.phase == closed {
			return net.ErrClosed
		}
		if c.answer.size == 0 {
			if err := p.beginAnswer(c); err != nil {
				return err
			}
		}
		message, rest, kept, err := c.input.Next(c, data)
		if err != nil {
			return err
		}
		data = rest
		if message == nil {
			break
		}
		c.unparsed = len(rest)
		if err := p.receiveMessage(c, message, kept); err != nil {
			return err
		}
	}
	c.answer.keep()
	return nil
}

// receiveMessage processes one message. kept reports that it does not refer to the
// read buffer.
func (p *Pool) receiveMessage(c *conn, message []byte, kept bool) error {
	kind, body := message[0], message[wire.HeaderLen:]
	c.answer.size += len(message)
	if kind != wire.ReadyForQuery {
		c.answer.valueKept = c.answer.valueKept || kept && kind == wire.DataRow
		return c.answer.addMessage(kind, body)
	}
	if err := wire.CheckReady(body); err != nil {
		return err
	}
	if err := p.readyForQuery(c); err != nil {
		return err
	}
	c.answer = answer{}
	return nil
}

// MessageLength implements wire.Framing. The error wraps wire.ErrMalformed if the
// message or the answer is too long, or the header of a row is invalid: the wait for a
// row with a wrong length would never end.
func (c *conn) MessageLength(b []byte) (int, error) {
	if len(b) < wire.HeaderLen {
		return wire.HeaderLen, nil
	}
	kind, bodyLen, err := wire.ParseHeader(b[:wire.HeaderLen])
	if err != nil {
		return 0, err
	}
	length := wire.HeaderLen + bodyLen
	tooLong := kind != wire.DataRow && bodyLen > maxControlBytes
	if tooLong || c.answer.size+length > maxAnswerBytes {
		return 0, errTooLong
	}
	if kind != wire.DataRow {
		return length, nil
	}
	headLen := wire.HeaderLen + min(bodyLen, wire.RowHeaderLen)
	if len(b) < headLen {
		return headLen, nil
	}
	return length, wire.CheckDataRow(b[wire.HeaderLen:headLen], bodyLen)
}

// ReserveMessage implements wire.Framing.
func (c *conn) ReserveMessage(int) error { return nil }
