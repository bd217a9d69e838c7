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
	relay, err := New(1, members)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	advertised := func(member int) netip.AddrPort { return netip.MustParseAddrPort(relay.Address(member)) }
	receive := func(conn *net.UDPConn) (string, netip.AddrPort, bool) {
		buffer := make([]byte, 64)
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		size, from, err := conn.ReadFromUDPAddrPort(buffer)
		return string(buffer[:size]), from, err == nil
	}
	_, _ = a.WriteToUDPAddrPort([]byte("ping"), advertised(1))
	if got, from, ok := receive(b); !ok || got != "ping" || from != advertised(0) {
		t.Fatalf("b received %q from %v (%v), want \"ping\" from %v", got, from, ok, advertised(0))
	}
	relay.Cut(func(from, to int) bool { return from == 0 && to == 1 })
	_, _ = a.WriteToUDPAddrPort([]byte("lost"), advertised(1))
	_, _ = b.WriteToUDPAddrPort([]byte("back"), advertised(0))
	if got, _, ok := receive(a); !ok || got != "back" {
		t.Fatalf("a received %q (%v), want \"back\": only a to b is cut", got, ok)
	}
	if got, _, ok := receive(b); ok {
		t.Fatalf("b received %q, want nothing across the cut", got)
	}
	if relay.Dropped.Load() != 1 {
		t.Fatalf("Dropped = %d, want 1", relay.Dropped.Load())
	}
}
