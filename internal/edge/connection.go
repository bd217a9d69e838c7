package edge

import (
	"net"
	"net/netip"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/slotmap"
)

const (
	// maxUnreadBytes bounds the answers that a device has not read.
	maxUnreadBytes = 32 << 10
	// unreadTimeoutMs is how long a device may leave them unread.
	unreadTimeoutMs = 5000
	// closeTimeoutMs is how long a closing connection may take to send its last
	// message.
	closeTimeoutMs = 1000
)

// connection is one TCP connection of a device or gateway. Its fields belong to
// the loop, except that unfinished is also appended to by takeInput.
type connection struct {
	handle      slotmap.Handle
	edge        *Edge
	protocol    protocol
	socket      *netio.Conn
	peer        netip.Addr
	keepReading chan bool // takeInput's answer to each input

	unfinished      []byte // the beginning of a message
	receivedMessage bool   // a whole one
	unreadBytes     int    // sent and not yet taken by the system

	closeTimer  *clock.Deadline // without a first message, and while closing
	unreadTimer *clock.Deadline
	closing     bool
	closed      bool
}

// admit registers a new connection; nil if the edge is draining or at a limit.
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

// closeStalled closes a connection whose message makes too little progress, or
// was displaced by others.
func (e *Edge) closeStalled(id uint64) {
	if conn := e.connections.Get(slotmap.FromID(id)); conn != nil {
		e.log.Debug("message stalled", "peer", conn.peer)
		conn.socket.Close()
	}
}

// send writes to a device. A connection whose device does not read its answers
// is closed. It runs inside Do.
func (e *Edge) send(id uint64, b []byte) {
	conn := e.connections.Get(slotmap.FromID(id))
	if conn == nil || conn.closing {
		return
	}
	conn.unreadBytes += len(b)
	if conn.unreadBytes > maxUnreadBytes {
		conn.closing = true // nothing more is received or sent
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

// sent handles that the system has taken n bytes.
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

// closeAfterSending closes a connection once its last message is sent. It runs
// inside Do.
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

// end closes the socket and unregisters the connection.
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
