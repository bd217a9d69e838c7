package faultnet

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// A packet arrives from its sender's advertised address, and a one-way cut loses
// the packets of one direction only.
func TestRelayForwardsExceptAcrossCut(t *testing.T) {
	a, _ := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	b, _ := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	defer a.Close()
	defer b.Close()
	members := []netip.AddrPort{a.LocalAddr().(*net.UDPAddr).AddrPort(), b.LocalAddr().(*net.UDPAddr).AddrPort()}
	r, err := New(1, members)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	advertised := func(member int) netip.AddrPort { return netip.MustParseAddrPort(r.Address(member)) }
	recv := func(c *net.UDPConn) (string, netip.AddrPort, bool) {
		buf := make([]byte, 64)
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, from, err := c.ReadFromUDPAddrPort(buf)
		return string(buf[:n]), from, err == nil
	}
	_, _ = a.WriteToUDPAddrPort([]byte("ping"), advertised(1))
	if got, from, ok := recv(b); !ok || got != "ping" || from != advertised(0) {
		t.Fatalf("b received %q from %v (%v), want \"ping\" from %v", got, from, ok, advertised(0))
	}
	r.Cut(func(from, to int) bool { return from == 0 && to == 1 })
	_, _ = a.WriteToUDPAddrPort([]byte("lost"), advertised(1))
	_, _ = b.WriteToUDPAddrPort([]byte("back"), advertised(0))
	if got, _, ok := recv(a); !ok || got != "back" {
		t.Fatalf("a received %q (%v), want \"back\": only a to b is cut", got, ok)
	}
	if got, _, ok := recv(b); ok {
		t.Fatalf("b received %q, want nothing across the cut", got)
	}
	if r.Dropped.Load() != 1 {
		t.Fatalf("Dropped = %d, want 1", r.Dropped.Load())
	}
}
