package faultnet

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestCarriesAndCuts sends between two members through the relay: what
// passes comes from the sender's front, and a one-way cut loses one way only.
func TestCarriesAndCuts(t *testing.T) {
	a, _ := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	b, _ := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	defer a.Close()
	defer b.Close()
	backs := []netip.AddrPort{a.LocalAddr().(*net.UDPAddr).AddrPort(), b.LocalAddr().(*net.UDPAddr).AddrPort()}
	r, err := New(1, backs)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	front := func(i int) netip.AddrPort { return netip.MustParseAddrPort(r.Front(i)) }
	recv := func(c *net.UDPConn) (string, netip.AddrPort, bool) {
		buf := make([]byte, 64)
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, from, err := c.ReadFromUDPAddrPort(buf)
		return string(buf[:n]), from, err == nil
	}
	_, _ = a.WriteToUDPAddrPort([]byte("ping"), front(1))
	if got, from, ok := recv(b); !ok || got != "ping" || from != front(0) {
		t.Fatalf("b got %q from %v (%v), want ping from a's front %v", got, from, ok, front(0))
	}
	r.Cut(func(from, to int) bool { return from == 0 && to == 1 })
	_, _ = a.WriteToUDPAddrPort([]byte("lost"), front(1))
	_, _ = b.WriteToUDPAddrPort([]byte("back"), front(0))
	if got, _, ok := recv(a); !ok || got != "back" {
		t.Fatalf("a got %q (%v), want back: the cut is one way", got, ok)
	}
	if got, _, ok := recv(b); ok {
		t.Fatalf("b got %q across the cut", got)
	}
	if r.Dropped.Load() != 1 {
		t.Fatalf("dropped %d, want 1", r.Dropped.Load())
	}
}
