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
func (e *Edge) admit(tcp *net.TCPConn, proto protocol) (c *connection) {
	var peer netip.Addr
	if address, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		peer = address.AddrPort().Addr()
	}
	e.loop.Do(func() {
		if e.draining || e.openConnections >= e.options.MaxConnections || !e.budget.TakeClient() {
			return
		}
		e.openConnections++
		c = &connection{
			edge:        e,
			protocol:    proto,
			socket:      netio.NewConn(tcp),
			peer:        peer,
			keepReading: make(chan bool, 1),
		}
		c.handle = e.connections.Add(c)
		now := e.loop.Now()
		c.closeTimer = e.loop.At(now+e.options.FirstMessageMs, c.socket.Close)
		if proto == protocolMQTT {
			e.mqtt.Open(now, c.handle.ID())
		} else {
			e.frames.Open(now, c.handle.ID())
		}
	})
	return c
}

// closeStalled closes a connection whose message makes too little progress, or
// was displaced by others.
func (e *Edge) closeStalled(id uint64) {
	if c := e.connections.Get(slotmap.FromID(id)); c != nil {
		e.log.Debug("message stalled", "peer", c.peer)
		c.socket.Close()
	}
}

// send writes to a device. A connection whose device does not read its answers
// is closed. It runs inside Do.
func (e *Edge) send(id uint64, b []byte) {
	c := e.connections.Get(slotmap.FromID(id))
	if c == nil || c.closing {
		return
	}
	c.unreadBytes += len(b)
	if c.unreadBytes > maxUnreadBytes {
		c.closing = true // nothing more is received or sent
		c.socket.Close()
		return
	}
	if c.unreadTimer == nil {
		c.armUnreadTimer()
	}
	c.socket.Send(b, func(error) {
		e.loop.Do(func() { c.sent(len(b)) })
	})
}

// sent handles that the system has taken n bytes.
func (c *connection) sent(n int) {
	c.unreadBytes -= n
	c.edge.loop.Cancel(c.unreadTimer)
	c.unreadTimer = nil
	if c.unreadBytes > 0 && !c.closed {
		c.armUnreadTimer()
	}
}

func (c *connection) armUnreadTimer() {
	loop := c.edge.loop
	c.unreadTimer = loop.At(loop.Now()+unreadTimeoutMs, c.socket.Close)
}

// closeAfterSending closes a connection once its last message is sent. It runs
// inside Do.
func (e *Edge) closeAfterSending(id uint64) {
	c := e.connections.Get(slotmap.FromID(id))
	if c == nil || c.closing {
		return
	}
	c.closing = true
	c.socket.Finish()
	e.loop.Cancel(c.closeTimer)
	c.closeTimer = e.loop.At(e.loop.Now()+closeTimeoutMs, c.socket.Close)
}

// end closes the socket and unregisters the connection.
func (c *connection) end() {
	c.socket.Close()
	e := c.edge
	e.loop.Do(func() {
		c.closed = true
		c.unfinished = nil
		e.loop.Cancel(c.closeTimer)
		e.loop.Cancel(c.unreadTimer)
		id := c.handle.ID()
		e.unfinished.End(id)
		e.connections.Remove(c.handle)
		e.openConnections--
		e.budget.GiveClient()
		if c.protocol == protocolMQTT {
			e.mqtt.Closed(e.loop.Now(), id)
		} else {
			e.frames.Closed(id)
		}
		e.loop.Post(e.arm)
	})
}
