package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// maxDatagramSockets is the limit of sockets of one datagram link. Beyond it,
	// datagrams of new devices are dropped and no address changes.
	maxDatagramSockets = 4096
	// maxReadFailures is the number of consecutive failed reads after which a
	// socket is no longer read.
	maxReadFailures  = 1000
	maxDatagramBytes = 1 << 16
)

// datagramLink is the state of a UDP link.
type datagramLink struct {
	link       *Link
	deviceConn net.PacketConn // socket that the devices send to
	targetAddr *net.UDPAddr

	mu             sync.Mutex
	targetConns    map[string]*net.UDPConn // sockets to the target, by the device's address
	allTargetConns []*net.UDPConn          // every socket that was ever in targetConns
	closed         bool
}

// StartDatagramLink starts a UDP link. The target sees a separate address for each
// device, as behind a carrier's network address translation (NAT).
func StartDatagramLink(target string, faults Faults, seed uint64) (*Link, error) {
	deviceConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: listening for datagrams: %w", err)
	}
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		_ = deviceConn.Close()
		return nil, fmt.Errorf("standin: resolving the target of a link: %w", err)
	}
	l := newLink(target, faults, seed)
	l.Address = deviceConn.LocalAddr().String()
	d := &datagramLink{
		link:        l,
		deviceConn:  deviceConn,
		targetAddr:  targetAddr,
		targetConns: map[string]*net.UDPConn{},
	}
	l.close = d.close
	go d.forwardToTarget()
	return l, nil
}

func (d *datagramLink) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	_ = d.deviceConn.Close()
	for _, conn := range d.allTargetConns {
		_ = conn.Close()
	}
}

// forwardToTarget forwards datagrams from devices to the target until the link is
// closed.
func (d *datagramLink) forwardToTarget() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := d.deviceConn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if conn := d.socketFor(from); conn != nil {
			d.forward(buffer[:size], func(data []byte) { _, _ = conn.Write(data) })
		}
	}
}

// socketFor returns the socket that sends a device's datagrams to the target, or
// nil if none can be opened. It replaces the socket with probability Faults.Rebind.
func (d *datagramLink) socketFor(device net.Addr) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := device.String()
	conn := d.targetConns[name]
	rebind := conn == nil || d.link.chance(d.link.faults.Rebind)
	if !rebind || d.closed || len(d.allTargetConns) >= maxDatagramSockets {
		return conn
	}
	newConn, err := net.DialUDP("udp", nil, d.targetAddr)
	if err != nil {
		return conn
	}
	d.targetConns[name] = newConn
	d.allTargetConns = append(d.allTargetConns, newConn)
	go d.forwardToDevice(newConn, device)
	return newConn
}

// forwardToDevice forwards datagrams from the target to a device until the link is
// closed. Reads fail while nothing listens on the target address.
func (d *datagramLink) forwardToDevice(conn *net.UDPConn, device net.Addr) {
	buffer := make([]byte, maxDatagramBytes)
	for failures := 0; failures < maxReadFailures; {
		size, err := conn.Read(buffer)
		if err != nil {
			failures++
			time.Sleep(time.Millisecond)
			if d.isClosed() {
				return
			}
			continue
		}
		failures = 0
		d.forward(buffer[:size], func(data []byte) { _, _ = d.deviceConn.WriteTo(data, device) })
	}
}

func (d *datagramLink) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// forward passes copies of a datagram to deliver: none, one or two, each after a
// delay of its own.
func (d *datagramLink) forward(datagram []byte, deliver func([]byte)) {
	l := d.link
	faults := &l.faults
	l.Received.Add(1)
	copies := 1
	if l.chance(faults.Duplicate) {
		copies = 2
	}
	for range copies {
		if l.chance(faults.Loss) {
			continue
		}
		delayMs := faults.DelayMs * (1 + l.draw())
		if l.chance(faults.Reorder) {
			delayMs += 4*faults.DelayMs + 200*l.draw()
		}
		if l.chance(faults.Stall) {
			delayMs += faults.StallMs * l.draw()
		}
		data := append([]byte(nil), datagram...)
		time.AfterFunc(milliseconds(delayMs), func() { deliver(data) })
	}
}
