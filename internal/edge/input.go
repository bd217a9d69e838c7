package edge

import (
	"errors"
	"net"
	"syscall"

	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/mqtt"
)

const (
	// readBufferBytes is the size of the buffers that connections read into.
	readBufferBytes = 4 << 10
	// maxSpareBuffers is how many unused buffers are kept for reuse.
	maxSpareBuffers = 64
)

var errUnknownProtocol = errors.New("edge: first byte does not begin an MQTT CONNECT packet")

// input holds the bytes of one read from a connection.
type input struct {
	from   *connection
	buffer *[]byte // from getBuffer
	length int     // bytes read into buffer
}

// getBuffer returns a buffer to read into, which putBuffer takes back.
// Connections that wait for input hold no buffer.
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

// read is the goroutine of a connection: it reads until the connection ends. To
// keep the memory of ten thousand idle connections small, it holds no buffer
// while it waits, and leaves the decoding, whose deep stack every goroutine
// would keep, to the single goroutine of processInputs.
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

// readAvailable reads from a non-blocking descriptor. done is false if nothing
// is available yet; n is 0 at the end of the stream and after an error.
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

// processInputs handles the input of all connections in turn. One goroutine
// suffices, because handling takes the loop's lock anyway.
func (e *Edge) processInputs() {
	for received := range e.inputs {
		keepReading := received.from.receive((*received.buffer)[:received.length])
		e.putBuffer(received.buffer)
		received.from.keepReading <- keepReading
	}
}

// receive handles the complete messages of an input and keeps the beginning of
// an incomplete one. It returns false after a violation of the framing, which
// ends the connection.
func (conn *connection) receive(newData []byte) (keepReading bool) {
	data := newData
	if len(conn.unfinished) > 0 {
		conn.unfinished = append(conn.unfinished, newData...)
		data = conn.unfinished
	}
	keepReading = true
	e := conn.edge
	e.loop.Do(func() {
		if conn.closing { // input is discarded until the last message is sent
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

// handleMessages passes complete messages to the protocol's server and returns
// the rest of data. An error is a violation of the framing.
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

// keepUnfinished keeps the received part of an incomplete message and accounts
// for its new bytes: all new data if the message began in an earlier input, else
// the whole rest.
func (conn *connection) keepUnfinished(now float64, rest []byte, dataBytes, newDataBytes int) {
	e := conn.edge
	newBytes := newDataBytes
	beginsInNewData := len(rest) < dataBytes || len(conn.unfinished) == 0
	if beginsInNewData {
		newBytes = len(rest)
		conn.unfinished = append([]byte(nil), rest...)
	}
	for _, evicted := range e.unfinished.Add(now, conn.handle.ID(), newBytes) {
		e.closeStalled(evicted)
	}
}

// messageLength returns the length in bytes of the message at the beginning of
// b, or 0 if b is too short to tell.
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
