package edge

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

const (
	// maxQueuedDatagrams bounds the datagrams that wait for the socket.
	maxQueuedDatagrams = 1024
	// maxDatagram is the size of the read buffer, in bytes.
	maxDatagramBytes = 1 << 16
)

// datagrams is the UDP socket. One goroutine reads and one writes, until close.
type datagramSocket struct {
	socket *net.UDPConn
	queue  chan datagram
	closed chan struct{}
	once   sync.Once
}

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

// send queues a datagram. It is lost if the queue is full: CoAP retransmits.
func (d *datagramSocket) send(to netip.AddrPort, payload []byte) {
	select {
	case d.queue <- datagram{to: to, payload: payload}:
	default:
	}
}

// close ends both goroutines.
func (d *datagramSocket) close() (err error) {
	d.once.Do(func() {
		err = d.socket.Close()
		close(d.closed)
	})
	return err
}

// write sends the queued datagrams until close.
func (d *datagramSocket) writeQueued() {
	for {
		select {
		case next := <-d.queue:
			_, _ = d.socket.WriteToUDPAddrPort(next.payload, next.to) // a lost one is retransmitted
		case <-d.closed:
			return
		}
	}
}

// readDatagrams delivers datagrams to the rules until the socket is closed.
func (e *Edge) readDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := e.udp.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier answer is reported here
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e.loop.Do(func() {
			e.coap.Receive(e.loop.Now(), from, buffer[:n])
			e.loop.Post(e.armTimer)
		})
	}
}
