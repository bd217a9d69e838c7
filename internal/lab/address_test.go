package lab

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
)

// listen binds a socket to an address on the network "tcp" or "udp".
func listen(network string, address netip.AddrPort) (io.Closer, error) {
	if network == "udp" {
		return net.ListenPacket(network, address.String())
	}
	return net.Listen(network, address.String())
}

// A router binds its address some time after the allocation. Another drill or an
// outgoing connection that gets the same port on 127.0.0.1 meanwhile must not prevent
// that.
func TestAllocatedAddressStaysFreeWhenItsPortIsTakenOnLocalhost(t *testing.T) {
	localhost := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	for _, network := range []string{"tcp", "udp"} {
		address, err := addresses.allocate(network)
		if err != nil {
			t.Fatal(err)
		}
		other, err := listen(network, netip.AddrPortFrom(localhost, address.Port()))
		if err == nil {
			defer other.Close()
		} else if !errors.Is(err, syscall.EADDRINUSE) { // already in use is as good for the test
			t.Fatal(err)
		}
		router, err := listen(network, address)
		if err != nil {
			t.Errorf("listening on the allocated %s address %v: %v, want success", network, address, err)
			continue
		}
		router.Close()
	}
}

// The addresses of all routers are allocated before the first one is bound, so a free
// port must not be allocated twice.
func TestAllocateReturnsDistinctAddresses(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 2000 {
		address, err := addresses.allocate("tcp")
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("allocate() = %v, which was allocated before", address)
		}
		seen[address] = true
	}
}

func TestAllocateSkipsAddressInUse(t *testing.T) {
	allocator := newAddressAllocator(os.Getpid())
	allocator.nextPort = lastPort - 1
	holder, err := listen("tcp", netip.AddrPortFrom(allocator.host, lastPort-1))
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	address, err := allocator.allocate("tcp")
	if err != nil || address.Port() != lastPort {
		t.Errorf("allocate beside a listener on port %d = %v, %v, want port %d", lastPort-1, address, err, lastPort)
	}
	if address, err := allocator.allocate("tcp"); !errors.Is(err, errNoAddress) {
		t.Errorf("allocate past the last port = %v, %v, want %v", address, err, errNoAddress)
	}
}

func TestProcessHostIsLoopbackAndUnique(t *testing.T) {
	const maxPID = 1<<22 - 1 // largest process ID of Linux
	seen := map[netip.Addr]int{}
	for _, pid := range []int{1, 2, 255, 256, 257, 65535, 65536, 65537, 1 << 21, maxPID - 1, maxPID} {
		host := processHost(pid)
		if !host.IsLoopback() || host == netip.AddrFrom4([4]byte{127, 0, 0, 1}) {
			t.Errorf("processHost(%d) = %v, want a loopback host other than 127.0.0.1", pid, host)
		}
		if other, taken := seen[host]; taken {
			t.Errorf("processHost(%d) = %v, want a host other than that of process %d", pid, host, other)
		}
		seen[host] = pid
	}
}
