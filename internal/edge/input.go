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
	readBufferBytes = 4 << 10
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
func (e *Edge) getBuffer() *[]byte {
	select {
	case buffer := <-e.spareBuffers:
		return buffer
	default:
		buffer := make([]byte, readBufferBytes)
		return &buffer
	}
}

func (e *Edge) putBuffer(buffer *[]byte) {
	select {
	case e.spareBuffers <- buffer:
	default:
	}
}

// read reads until the connection ends; it is the connection's goroutine. It
// has no buffer while it waits, and passes input to the one goroutine of
// takeInput: the protocols need deep stacks, which ten thousand goroutines
// would keep.
func (conn *connection) read(tcp *net.TCPConn) {
	defer conn.close()
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	e := conn.edge
	for {
		var received input
		err := raw.Read(func(descriptor uintptr) (done bool) {
			received = input{from: conn, buffer: e.getBuffer()}
			received.length, done = readAvailable(int(descriptor), *received.buffer)
			if !done || received.length <= 0 {
				e.putBuffer(received.buffer)
			}
			return done
		})
		if err != nil || received.length <= 0 {
			return
		}
		e.inputs <- received
		if !<-conn.keepReading {
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
func (e *Edge) processInputs() {
	for received := range e.inputs {
		keepReading := received.from.receive((*received.buffer)[:received.length])
		e.putBuffer(received.buffer)
		received.from.keepReading <- keepReading
	}
}

// receive handles the whole messages of an input and keeps the beginning of an
// unfinished one. It returns false after a violation of the protocol.
func (conn *connection) receive(newData []byte) (keepReading bool) {
	data := newData
	if len(conn.unfinished) > 0 {
		conn.unfinished = append(conn.unfinished, newData...)
		data = conn.unfinished
	}
	keepReading = true
	e := conn.edge
	e.loop.Do(func() {
		if conn.closing { // it reads on only until its last message is sent
			conn.unfinished = nil
			return
		}
		now := e.loop.Now()
		rest, err := conn.handleMessages(now, data)
		keepReading = err == nil
		if err != nil || conn.closing || len(rest) == 0 {
			e.unfinished.End(conn.handle.ID())
			conn.unfinished = nil
		} else {
			conn.keepUnfinished(now, rest, len(data), len(newData))
		}
		e.loop.Post(e.armTimer)
	})
	return keepReading
}

// handleMessages passes whole messages to the protocol and returns the rest.
func (conn *connection) handleMessages(now float64, data []byte) (rest []byte, err error) {
	e := conn.edge
	id := conn.handle.ID()
	for len(data) > 0 && !conn.closing {
		length, err := conn.messageLength(data)
		if err != nil {
			return nil, err
		}
		if length == 0 || length > len(data) {
			break
		}
		e.unfinished.End(id)
		e.loop.Cancel(conn.closeTimer)
		conn.receivedMessage = true
		if conn.protocol == protocolMQTT {
			e.mqtt.Receive(now, id, data[:length])
		} else {
			e.frames.Receive(now, id, data[:length])
		}
		data = data[length:]
	}
	return data, nil
}

// keepUnfinished keeps the beginning of a message and accounts for its new
// bytes: all fresh ones if the message began earlier, else all of the rest.
func (conn *connection) keepUnfinished(now float64, rest []byte, dataBytes, newDataBytes int) {
	e := conn.edge
	newBytes := newDataBytes
	beginsInNewData := len(rest) < dataBytes || len(conn.unfinished) == 0
	if beginsInNewData {
		newBytes = len(rest)
		conn.unfinished = append([]byte(nil), rest...)
	}
	for _, displaced := range e.unfinished.Grow(now, conn.handle.ID(), newBytes) {
		e.closeStalled(displaced)
	}
}

// messageLength returns the length of the message at the beginning of b, 0 if
// that is not known yet.
func (conn *connection) messageLength(b []byte) (int, error) {
	limit := conn.edge.options.MaxMessageBytes
	if conn.protocol == protocolMQTT {
		if !conn.receivedMessage && !mqtt.IsConnectHeader(b[0]) {
			return 0, errUnknownProtocol
		}
		return mqtt.PacketLength(b, limit)
	}
	if !conn.receivedMessage {
		limit = min(limit, frames.MaxHelloBytes)
	}
	return frames.FrameLength(b, limit)
}
