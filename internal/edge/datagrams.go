package edge

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

const (
	// maxQueuedDatagrams bounds the datagrams that wait to be sent; more are
	// dropped.
	maxQueuedDatagrams = 1024
	// maxDatagramBytes is the size of the read buffer: the largest UDP datagram
	// fits.
	maxDatagramBytes = 1 << 16
)

// datagramSocket is the UDP socket. One goroutine reads and one writes, until
// close is called.
type datagramSocket struct {
	socket *net.UDPConn
	queue  chan datagram
	closed chan struct{}
	once   sync.Once
}

// datagram is a datagram that waits to be sent.
type datagram struct {
	to      netip.AddrPort
	payload []byte
}

func newDatagramSocket(socket *net.UDPConn) *datagramSocket {
	return &datagramSocket{
		socket: socket,
		queue:  make(chan datagram, maxQueuedDatagrams),
		closed: make(chan struct{}),
	}
}

// send queues a datagram. It drops it if the queue is full, because CoAP
// retransmits lost messages.
func (d *datagramSocket) send(to netip.AddrPort, payload []byte) {
	select {
	case d.queue <- datagram{to: to, payload: payload}:
	default:
	}
}

// close closes the socket, which ends both goroutines.
func (d *datagramSocket) close() (err error) {
	d.once.Do(func() {
		err = d.socket.Close()
		close(d.closed)
	})
	return err
}

// writeQueued sends the queued datagrams until the socket is closed.
func (d *datagramSocket) writeQueued() {
	for {
		select {
		case next := <-d.queue:
			_, _ = d.socket.WriteToUDPAddrPort(next.payload, next.to) // CoAP retransmits what is lost
		case <-d.closed:
			return
		}
	}
}

// readDatagrams passes datagrams to the CoAP server until the socket is closed.
func (e *Edge) readDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := e.udp.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an ICMP error that an earlier datagram caused
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e.loop.Do(func() {
			e.coap.Receive(e.loop.Now(), from, buffer[:n])
			e.loop.Post(e.armTimer)
		})
	}
}
