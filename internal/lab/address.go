package lab

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
)

const (
	// firstPort is the lowest allocated port.
	firstPort = 10_000
	// lastPort is the highest valid port.
	lastPort = 1<<16 - 1
)

// errNoAddress is returned when every port of the process's loopback host has been tried.
var errNoAddress = errors.New("lab: no free loopback address left")

// addresses allocates the addresses of the routers that this process starts.
var addresses = newAddressAllocator(os.Getpid())

// addressAllocator allocates loopback addresses, each at most once. Their host in
// 127.0.0.0/8 is specific to this process. Other programs and outgoing connections
// use 127.0.0.1, so none of them can take an address after its allocation and
// before the router binds it; only a program that listens on all addresses of the
// machine can. It is safe for concurrent use.
type addressAllocator struct {
	host netip.Addr

	mu       sync.Mutex
	nextPort int
}

func newAddressAllocator(pid int) *addressAllocator {
	return &addressAllocator{host: processHost(pid), nextPort: firstPort}
}

// processHost returns the loopback host of a process, from 127.64.0.0 to
// 127.127.255.255. A Linux process ID has at most 22 bits.
func processHost(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16), byte(pid >> 8), byte(pid)})
}

// allocate returns an address that nothing is bound to on the network "tcp" or
// "udp". It returns errNoAddress if no port is left.
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

// canListen reports whether a socket can be bound to an address on a network.
func canListen(network string, address netip.AddrPort) bool {
	if network == "udp" {
		conn, err := net.ListenPacket(network, address.String())
		return err == nil && conn.Close() == nil
	}
	listener, err := net.Listen(network, address.String())
	return err == nil && listener.Close() == nil
}
