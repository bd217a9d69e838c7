package edge

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/mqtt"
	"lotusbend/internal/netio"
	"lotusbend/internal/slotmap"
)

const (
	// readSize is the scratch that a connection reads into; idle ones hold none.
	readSize = 4 << 10
	// maxUnread is what a device may leave unread of its answers, in bytes.
	maxUnread = 32 << 10
	// unreadFor is how long it may, in milliseconds.
	unreadFor = 5000
	// partFor is how long a device that is let go may take to hear so.
	partFor = 1000
	// maxQueuedDatagrams bounds what waits for the socket.
	maxQueuedDatagrams = 1024
	// maxSpare is how many read buffers are kept for the next to read.
	maxSpare = 64
)

// datagrams is the UDP socket: one goroutine reads, one writes.
type datagrams struct {
	conn   *net.UDPConn
	out    chan datagram
	closed chan struct{}
	once   sync.Once
}

type datagram struct {
	to netip.AddrPort
	b  []byte
}

// send queues a datagram; one too many is lost, as datagrams may be.
func (d *datagrams) send(to netip.AddrPort, b []byte) {
	select {
	case d.out <- datagram{to, b}:
	default:
	}
}

// listener is one TCP socket and the protocol behind it.
type listener struct {
	net.Listener
	proto protocol
}

// conn is one TCP connection of a device or gateway.
type conn struct {
	ref      slotmap.Handle
	edge     *Edge
	proto    protocol
	link     *netio.Conn
	peer     netip.Addr
	taken    chan bool // whether to go on reading
	partial  []byte    // of a message whose rest is to come
	first    *clock.Deadline
	unread   int // bytes on their way to the device
	reading  *clock.Deadline
	begun    bool // it has sent a whole message
	leaving  bool
	released bool
}

// listen opens the sockets that the settings name.
func (e *Edge) listen() error {
	if e.opt.CoAP != "" {
		addr, err := netip.ParseAddrPort(e.opt.CoAP)
		if err != nil {
			return err
		}
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			return fmt.Errorf("listening for CoAP: %w", err)
		}
		e.udp = &datagrams{conn: c, out: make(chan datagram, maxQueuedDatagrams), closed: make(chan struct{})}
	}
	for proto, address := range map[protocol]string{protoMQTT: e.opt.MQTT, protoFrames: e.opt.Frames} {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listening for devices: %w", err)
		}
		e.tcp = append(e.tcp, &listener{l, proto})
	}
	return nil
}

// Addresses returns where the edge listens for CoAP, MQTT and frames, "" where
// it does not.
func (e *Edge) Addresses() (coap, mqtt, frames string) {
	if e.udp != nil {
		coap = e.udp.conn.LocalAddr().String()
	}
	for _, l := range e.tcp {
		if l.proto == protoMQTT {
			mqtt = l.Addr().String()
		} else {
			frames = l.Addr().String()
		}
	}
	return coap, mqtt, frames
}

// Start takes devices from now on.
func (e *Edge) Start() {
	e.loop.Do(func() { e.report(intake.Stats{}) })
	if e.udp != nil {
		go e.readDatagrams()
		go e.writeDatagrams()
	}
	if len(e.tcp) > 0 {
		go e.takeAll() // as long as the process runs: a connection may still hand something over
	}
	for _, l := range e.tcp {
		go e.accept(l)
	}
}

func (e *Edge) closeSockets() (err error) {
	if e.udp != nil {
		e.udp.once.Do(func() {
			err = e.udp.conn.Close()
			close(e.udp.closed)
		})
	}
	for _, l := range e.tcp {
		err = errors.Join(err, l.Close())
	}
	return err
}

func (e *Edge) readDatagrams() {
	b := make([]byte, 1<<16)
	for {
		n, from, err := e.udp.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer that could not be delivered is told by an error here
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e.loop.Do(func() {
			e.coap.Datagram(e.loop.Now(), from, b[:n])
			e.loop.Post(e.arm)
		})
	}
}

func (e *Edge) writeDatagrams() {
	for {
		select {
		case d := <-e.udp.out:
			_, _ = e.udp.conn.WriteToUDPAddrPort(d.b, d.to) // what is lost is sent again
		case <-e.udp.closed:
			return
		}
	}
}

// accept takes connections until the socket is closed.
func (e *Edge) accept(l *listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptor is left: the next one may be
			time.Sleep(10 * time.Millisecond)
			continue
		}
		tcp := nc.(*net.TCPConn)
		if c := e.admit(tcp, l.proto); c != nil {
			go c.read(tcp)
		} else {
			_ = tcp.Close()
		}
	}
}

// admit gives a connection its slot, if there is one.
func (e *Edge) admit(tcp *net.TCPConn, proto protocol) (c *conn) {
	var peer netip.Addr
	if a, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		peer = a.AddrPort().Addr()
	}
	e.loop.Do(func() {
		if e.stopping || e.open >= e.opt.MaxConnections || !e.budget.TakeClient() {
			return
		}
		e.open++
		c = &conn{edge: e, proto: proto, link: netio.NewConn(tcp), peer: peer, taken: make(chan bool, 1)}
		c.ref = e.conns.Add(c)
		id, now := c.ref.ID(), e.loop.Now()
		c.first = e.loop.At(now+e.opt.FirstMessageMs, c.link.Close)
		if proto == protoMQTT {
			e.mqtt.Open(now, id)
		} else {
			e.frames.Open(now, id)
		}
	})
	return c
}

// chunk is what came on a connection, in a lent buffer.
type chunk struct {
	conn *conn
	b    *[]byte
	n    int
}

// scratch lends what connections read into, so that idle ones hold none.
func (e *Edge) lend() *[]byte {
	select {
	case b := <-e.spare:
		return b
	default:
		b := make([]byte, readSize)
		return &b
	}
}

func (e *Edge) giveBack(b *[]byte) {
	select {
	case e.spare <- b:
	default:
	}
}

// read waits for bytes until the connection ends. It holds no buffer while it
// waits, and hands what comes to the one goroutine that takes it: protocols
// want deep stacks, and ten thousand connections would keep theirs.
func (c *conn) read(tcp *net.TCPConn) {
	defer c.gone()
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	e := c.edge
	for {
		var came chunk
		err := raw.Read(func(fd uintptr) (done bool) {
			came = chunk{conn: c, b: e.lend()}
			came.n, done = readOnce(int(fd), *came.b)
			if !done || came.n <= 0 {
				e.giveBack(came.b)
			}
			return done
		})
		if err != nil || came.n <= 0 {
			return
		}
		e.incoming <- came
		if !<-c.taken {
			return
		}
	}
}

// readOnce reads what is there; done is false if nothing is yet.
func readOnce(fd int, b []byte) (n int, done bool) {
	for {
		n, err := syscall.Read(fd, b)
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

// takeAll takes what the connections read, one after another: all of it needs
// the loop anyway.
func (e *Edge) takeAll() {
	for c := range e.incoming {
		more := c.conn.take((*c.b)[:c.n])
		e.giveBack(c.b)
		c.conn.taken <- more
	}
}

// take reads whole messages off what came. What is left waits for its rest,
// and is booked.
func (c *conn) take(b []byte) (more bool) {
	e := c.edge
	whole := b
	if len(c.partial) > 0 {
		c.partial = append(c.partial, b...)
		whole = c.partial
	}
	more = true
	e.loop.Do(func() {
		if c.leaving { // it is told, and reads on only until it goes
			c.partial = nil
			return
		}
		owner, now := c.ref.ID(), e.loop.Now()
		began := whole
		for len(whole) > 0 && !c.leaving {
			n, err := c.frame(whole)
			if err != nil {
				more = false
				break
			}
			if n == 0 || n > len(whole) {
				break
			}
			e.partial.End(owner)
			e.loop.Cancel(c.first)
			c.begun = true
			if c.proto == protoMQTT {
				e.mqtt.Packet(now, owner, whole[:n])
			} else {
				e.frames.Packet(now, owner, whole[:n])
			}
			whole = whole[n:]
		}
		switch {
		case !more || c.leaving || len(whole) == 0:
			e.partial.End(owner)
			c.partial = nil
		default:
			fresh := len(b) // all of it belongs to the same message as before
			if len(whole) < len(began) || len(c.partial) == 0 {
				fresh = len(whole)
			}
			if len(whole) < len(began) || len(c.partial) == 0 {
				c.partial = append([]byte(nil), whole...)
			}
			for _, slow := range e.partial.Grow(now, owner, fresh) {
				e.stalled(slow)
			}
		}
		e.loop.Post(e.arm)
	})
	return more
}

var errNoProtocol = errors.New("edge: no protocol that is spoken here")

// frame returns the length of the message at the beginning of b, 0 if that
// is not known yet.
func (c *conn) frame(b []byte) (int, error) {
	most := c.edge.opt.MaxMessageBytes
	if c.proto == protoMQTT {
		if !c.begun && !mqtt.MayBegin(b[0]) {
			return 0, errNoProtocol
		}
		return mqtt.Frame(b, most)
	}
	if !c.begun {
		most = min(most, frames.MaxHello)
	}
	return frames.Frame(b, most)
}

// stalled ends a connection whose message makes too little progress, or whose
// place others need.
func (e *Edge) stalled(owner uint64) {
	if c := e.conns.Get(slotmap.FromID(owner)); c != nil {
		e.log.Debug("a device's message has stalled", "peer", c.peer)
		c.link.Close()
	}
}

// send writes to a device. One that does not read its answers is ended.
func (e *Edge) send(id uint64, b []byte) {
	c := e.conns.Get(slotmap.FromID(id))
	if c == nil || c.leaving {
		return
	}
	if c.unread += len(b); c.unread > maxUnread {
		c.leaving = true // nothing more is taken or said
		c.link.Close()
		return
	}
	if c.reading == nil {
		c.reading = e.loop.At(e.loop.Now()+unreadFor, c.link.Close)
	}
	c.link.Send(b, func(error) { e.loop.Do(func() { c.sent(len(b)) }) })
}

// sent learns that bytes are with the system.
func (c *conn) sent(n int) {
	c.unread -= n
	c.edge.loop.Cancel(c.reading)
	c.reading = nil
	if c.unread > 0 && !c.released {
		c.reading = c.edge.loop.At(c.edge.loop.Now()+unreadFor, c.link.Close)
	}
}

// closeAfter ends a connection once what was sent to it is on its way.
func (e *Edge) closeAfter(id uint64) {
	c := e.conns.Get(slotmap.FromID(id))
	if c == nil || c.leaving {
		return
	}
	c.leaving = true
	c.link.Finish()
	e.loop.Cancel(c.first)
	c.first = e.loop.At(e.loop.Now()+partFor, c.link.Close)
}

// gone gives the connection's slot and socket back.
func (c *conn) gone() {
	c.link.Close()
	e := c.edge
	e.loop.Do(func() {
		c.released = true
		c.partial = nil
		e.loop.Cancel(c.first)
		e.loop.Cancel(c.reading)
		id := c.ref.ID()
		e.partial.End(id)
		e.conns.Remove(c.ref)
		e.open--
		e.budget.GiveClient()
		if c.proto == protoMQTT {
			e.mqtt.Gone(e.loop.Now(), id)
		} else {
			e.frames.Gone(id)
		}
		e.loop.Post(e.arm)
	})
}
