package edge

import (
	"net"
	"net/netip"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/slotmap"
)

const (
	// maxUnreadBytes bounds the answers queued for a connection; a connection
	// past it is closed.
	maxUnreadBytes = 32 << 10
	// unreadTimeoutMs is how long a write to a device may make no progress
	// before its connection is closed.
	unreadTimeoutMs = 5000
	// closeTimeoutMs is how long a closing connection may take to send its last
	// message.
	closeTimeoutMs = 1000
)

// connection is one TCP connection of a device or gateway. Its fields are
// accessed inside the loop's Do, except for unfinished, to which the goroutine
// of processInputs appends outside of it.
type connection struct {
	handle      slotmap.Handle
	edge        *Edge
	protocol    protocol
	socket      *netio.Conn
	peer        netip.Addr
	keepReading chan bool // from processInputs after each input; false closes the connection

	unfinished      []byte // the received part of an incomplete message
	receivedMessage bool   // whether a complete message was received
	unreadBytes     int    // sent, but not yet written to the socket

	closeTimer  *clock.Deadline // until the first message, and while closing
	unreadTimer *clock.Deadline // nil if nothing waits to be written
	closing     bool            // nothing more is received or sent
	closed      bool
}

// admit registers a new connection. It returns nil if the edge is draining or
// has reached a limit.
func (e *Edge) admit(tcp *net.TCPConn, proto protocol) (conn *connection) {
	var peer netip.Addr
	if address, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		peer = address.AddrPort().Addr()
	}
	e.loop.Do(func() {
		if e.draining || e.openConnections >= e.options.MaxConnections || !e.budget.AcquireClient() {
			return
		}
		e.openConnections++
		conn = &connection{
			edge:        e,
			protocol:    proto,
			socket:      netio.NewConn(tcp),
			peer:        peer,
			keepReading: make(chan bool, 1),
		}
		conn.handle = e.connections.Add(conn)
		now := e.loop.Now()
		conn.closeTimer = e.loop.At(now+e.options.FirstMessageMs, conn.socket.Close)
		if proto == protocolMQTT {
			e.mqtt.AddConnection(now, conn.handle.ID())
		} else {
			e.frames.AddConnection(now, conn.handle.ID())
		}
	})
	return conn
}

// closeStalled closes a connection whose message arrives too slowly or was
// evicted in favour of others.
func (e *Edge) closeStalled(id uint64) {
	if conn := e.connections.Get(slotmap.FromID(id)); conn != nil {
		e.log.Debug("message stalled", "peer", conn.peer)
		conn.socket.Close()
	}
}

// send writes to a device. It closes the connection if the device does not read
// its answers. Call it inside Do.
func (e *Edge) send(id uint64, b []byte) {
	conn := e.connections.Get(slotmap.FromID(id))
	if conn == nil || conn.closing {
		return
	}
	conn.unreadBytes += len(b)
	if conn.unreadBytes > maxUnreadBytes {
		conn.closing = true
		conn.socket.Close()
		return
	}
	if conn.unreadTimer == nil {
		conn.armUnreadTimer()
	}
	conn.socket.Send(b, func(error) {
		e.loop.Do(func() { conn.sent(len(b)) })
	})
}

// sent accounts for n bytes that were written to the socket and restarts the
// timer for those that remain.
func (conn *connection) sent(n int) {
	conn.unreadBytes -= n
	conn.edge.loop.Cancel(conn.unreadTimer)
	conn.unreadTimer = nil
	if conn.unreadBytes > 0 && !conn.closed {
		conn.armUnreadTimer()
	}
}

func (conn *connection) armUnreadTimer() {
	loop := conn.edge.loop
	conn.unreadTimer = loop.At(loop.Now()+unreadTimeoutMs, conn.socket.Close)
}

// closeAfterSending closes a connection once its last message is written, or
// after closeTimeoutMs. Call it inside Do.
func (e *Edge) closeAfterSending(id uint64) {
	conn := e.connections.Get(slotmap.FromID(id))
	if conn == nil || conn.closing {
		return
	}
	conn.closing = true
	conn.socket.Finish()
	e.loop.Cancel(conn.closeTimer)
	conn.closeTimer = e.loop.At(e.loop.Now()+closeTimeoutMs, conn.socket.Close)
}

// close closes the socket and unregisters the connection.
func (conn *connection) close() {
	conn.socket.Close()
	e := conn.edge
	e.loop.Do(func() {
		conn.closed = true
		conn.unfinished = nil
		e.loop.Cancel(conn.closeTimer)
		e.loop.Cancel(conn.unreadTimer)
		id := conn.handle.ID()
		e.unfinished.End(id)
		e.connections.Remove(conn.handle)
		e.openConnections--
		e.budget.ReleaseClient()
		if conn.protocol == protocolMQTT {
			e.mqtt.RemoveConnection(e.loop.Now(), id)
		} else {
			e.frames.RemoveConnection(id)
		}
		e.loop.Post(e.armTimer)
	})
}
