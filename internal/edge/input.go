package edge

import (
	"errors"
	"net"
	"syscall"

	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/mqtt"
)

const (
	// readBufferSize is the size of the buffers that connections read into.
	readBufferSize = 4 << 10
	// maxSpareBuffers is how many of them are kept for reuse.
	maxSpareBuffers = 64
)

var errUnknownProtocol = errors.New("edge: not the listener's protocol")

// input is what was read on a connection, in a buffer of the edge.
type input struct {
	from   *connection
	buffer *[]byte
	length int
}

// borrowBuffer returns a buffer to read into. Idle connections have none.
func (e *Edge) borrowBuffer() *[]byte {
	select {
	case buffer := <-e.spareBuffers:
		return buffer
	default:
		buffer := make([]byte, readBufferSize)
		return &buffer
	}
}

func (e *Edge) returnBuffer(buffer *[]byte) {
	select {
	case e.spareBuffers <- buffer:
	default:
	}
}

// read reads until the connection ends; it is the connection's goroutine. It
// has no buffer while it waits, and passes input to the one goroutine of
// takeInput: the protocols need deep stacks, which ten thousand goroutines
// would keep.
func (c *connection) read(tcp *net.TCPConn) {
	defer c.end()
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	e := c.edge
	for {
		var received input
		err := raw.Read(func(descriptor uintptr) (done bool) {
			received = input{from: c, buffer: e.borrowBuffer()}
			received.length, done = readAvailable(int(descriptor), *received.buffer)
			if !done || received.length <= 0 {
				e.returnBuffer(received.buffer)
			}
			return done
		})
		if err != nil || received.length <= 0 {
			return
		}
		e.incoming <- received
		if !<-c.keepReading {
			return
		}
	}
}

// readAvailable reads without waiting. done is false if nothing is available
// yet; n is 0 at the end of the connection and after an error.
func readAvailable(descriptor int, buffer []byte) (n int, done bool) {
	for {
		n, err := syscall.Read(descriptor, buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, false
		case err != nil:
			return 0, true
		default:
			return n, true
		}
	}
}

// takeInput handles the input of all connections in turn: all of it needs the
// loop anyway.
func (e *Edge) takeInput() {
	for received := range e.incoming {
		keepReading := received.from.receive((*received.buffer)[:received.length])
		e.returnBuffer(received.buffer)
		received.from.keepReading <- keepReading
	}
}

// receive handles the whole messages of an input and keeps the beginning of an
// unfinished one. It returns false after a violation of the protocol.
func (c *connection) receive(fresh []byte) (keepReading bool) {
	data := fresh
	if len(c.unfinished) > 0 {
		c.unfinished = append(c.unfinished, fresh...)
		data = c.unfinished
	}
	keepReading = true
	e := c.edge
	e.loop.Do(func() {
		if c.closing { // it reads on only until its last message is sent
			c.unfinished = nil
			return
		}
		now := e.loop.Now()
		rest, err := c.handleMessages(now, data)
		keepReading = err == nil
		if err != nil || c.closing || len(rest) == 0 {
			e.unfinished.End(c.handle.ID())
			c.unfinished = nil
		} else {
			c.keepUnfinished(now, rest, len(data), len(fresh))
		}
		e.loop.Post(e.arm)
	})
	return keepReading
}

// handleMessages passes whole messages to the protocol and returns the rest.
func (c *connection) handleMessages(now float64, data []byte) (rest []byte, err error) {
	e := c.edge
	id := c.handle.ID()
	for len(data) > 0 && !c.closing {
		length, err := c.messageLength(data)
		if err != nil {
			return nil, err
		}
		if length == 0 || length > len(data) {
			break
		}
		e.unfinished.End(id)
		e.loop.Cancel(c.closeTimer)
		c.receivedMessage = true
		if c.protocol == protocolMQTT {
			e.mqtt.Packet(now, id, data[:length])
		} else {
			e.frames.Packet(now, id, data[:length])
		}
		data = data[length:]
	}
	return data, nil
}

// keepUnfinished keeps the beginning of a message and accounts for its new
// bytes: all fresh ones if the message began earlier, else all of the rest.
func (c *connection) keepUnfinished(now float64, rest []byte, dataBytes, freshBytes int) {
	e := c.edge
	newBytes := freshBytes
	beginsHere := len(rest) < dataBytes || len(c.unfinished) == 0
	if beginsHere {
		newBytes = len(rest)
		c.unfinished = append([]byte(nil), rest...)
	}
	for _, displaced := range e.unfinished.Grow(now, c.handle.ID(), newBytes) {
		e.closeStalled(displaced)
	}
}

// messageLength returns the length of the message at the beginning of b, 0 if
// that is not known yet.
func (c *connection) messageLength(b []byte) (int, error) {
	limit := c.edge.options.MaxMessageBytes
	if c.protocol == protocolMQTT {
		if !c.receivedMessage && !mqtt.MayBegin(b[0]) {
			return 0, errUnknownProtocol
		}
		return mqtt.PacketLength(b, limit)
	}
	if !c.receivedMessage {
		limit = min(limit, frames.MaxHello)
	}
	return frames.FrameLength(b, limit)
}
