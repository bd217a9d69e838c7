package edge

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"lotusbend/internal/edge/intake"
)

// acceptRetryDelay is the pause after a failed accept, for example when the
// process has no file descriptor left.
const acceptRetryDelay = 10 * time.Millisecond

// listener is a TCP listener and the protocol of its connections.
type listener struct {
	net.Listener
	protocol protocol
}

// listen opens a socket for each address in the settings.
func (e *Edge) listen() error {
	if err := e.listenCoAP(); err != nil {
		return err
	}
	if err := e.listenTCP(e.options.MQTT, protocolMQTT); err != nil {
		return err
	}
	return e.listenTCP(e.options.Frames, protocolFrames)
}

func (e *Edge) listenCoAP() error {
	if e.options.CoAP == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(e.options.CoAP)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listening for CoAP: %w", err)
	}
	e.udp = newDatagramSocket(socket)
	return nil
}

func (e *Edge) listenTCP(address string, proto protocol) error {
	if address == "" {
		return nil
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for devices: %w", err)
	}
	e.listeners = append(e.listeners, &listener{Listener: socket, protocol: proto})
	return nil
}

// Addresses returns the addresses on which the edge listens for CoAP, MQTT and
// frames. The address of a protocol without a listener is empty.
func (e *Edge) Addresses() (coap, mqtt, frames string) {
	if e.udp != nil {
		coap = e.udp.socket.LocalAddr().String()
	}
	for _, l := range e.listeners {
		if l.protocol == protocolMQTT {
			mqtt = l.Addr().String()
		} else {
			frames = l.Addr().String()
		}
	}
	return coap, mqtt, frames
}

// Start accepts devices until Close is called. Call it once, outside Do.
func (e *Edge) Start() {
	e.loop.Do(func() { e.logStatistics(intake.Stats{}) })
	if e.udp != nil {
		go e.readDatagrams()
		go e.udp.writeQueued()
	}
	if len(e.listeners) > 0 {
		// This goroutine is never stopped: connections outlive their listener.
		go e.processInputs()
	}
	for _, l := range e.listeners {
		go e.accept(l)
	}
}

// closeSockets closes the UDP socket and the listeners, which ends their
// goroutines.
func (e *Edge) closeSockets() (err error) {
	if e.udp != nil {
		err = e.udp.close()
	}
	for _, l := range e.listeners {
		err = errors.Join(err, l.Close())
	}
	return err
}

// accept accepts connections until the listener is closed.
func (e *Edge) accept(l *listener) {
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		tcp := accepted.(*net.TCPConn)
		conn := e.admit(tcp, l.protocol)
		if conn == nil {
			_ = tcp.Close()
			continue
		}
		go conn.read(tcp)
	}
}
