package lab

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
)

const (
	// firstPort is the lowest port that is allocated.
	firstPort = 10_000
	// lastPort is the highest port that exists.
	lastPort = 1<<16 - 1
)

// errNoAddress is returned when every port of this process's host is used up.
var errNoAddress = errors.New("lab: no free loopback address is left")

// addresses allocates the addresses of this process's routers.
var addresses = newAddressAllocator(os.Getpid())

// addressAllocator hands out loopback addresses, each once. They are on a host
// of 127.0.0.0/8 that belongs to this process alone: between the allocation and
// the moment in which a router binds its address, no other process and no
// outgoing connection, which use 127.0.0.1, can be given the same one. It is
// safe for concurrent use.
type addressAllocator struct {
	host netip.Addr

	mu       sync.Mutex
	nextPort int
}

func newAddressAllocator(pid int) *addressAllocator {
	return &addressAllocator{host: processHost(pid), nextPort: firstPort}
}

// processHost returns the loopback host of a process, from 127.64.0.0 to
// 127.127.255.255. A process number has at most 22 bits on Linux.
func processHost(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16), byte(pid >> 8), byte(pid)})
}

// allocate returns an address at which nobody listens, on "tcp" or "udp".
func (a *addressAllocator) allocate(network string) (netip.AddrPort, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.nextPort <= lastPort {
		address := netip.AddrPortFrom(a.host, uint16(a.nextPort))
		a.nextPort++
		if canListen(network, address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errNoAddress
}

// canListen reports whether a socket can be bound to an address.
func canListen(network string, address netip.AddrPort) bool {
	if network == "udp" {
		conn, err := net.ListenPacket(network, address.String())
		return err == nil && conn.Close() == nil
	}
	listener, err := net.Listen(network, address.String())
	return err == nil && listener.Close() == nil
}
