// Package faultnet injects network faults in drills. It is a UDP relay between the
// members of a fleet. Every packet between two members passes through the relay,
// which can lose, delay, duplicate, reorder (by different delays) or cut off
// packets, per link and direction. Each member advertises an address of the relay
// instead of its own (the setting "advertise" of the membership). The relay knows
// each member's own socket and identifies the sender of a packet by it. All
// sockets are on the loopback interface.
package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDelayedPackets bounds the number of packets that wait for their delay.
	// Packets beyond it are lost.
	maxDelayedPackets = 20_000
	// maxPacketBytes is the size of the largest packet that is forwarded whole.
	// Larger packets are truncated.
	maxPacketBytes = 2048
)

// Faults are the faults that are applied to every packet.
type Faults struct {
	Loss     float64 // probability that a packet is lost, at least 0 and below 1
	Dup      float64 // probability that a packet is duplicated, at least 0 and below 1
	DelayMs  float64 // minimum delay, in milliseconds
	JitterMs float64 // maximum of the random delay that is added to DelayMs, in milliseconds
}

// Relay forwards packets between members, which are numbered from 0. It is safe for
// concurrent use.
type Relay struct {
	Bytes     atomic.Uint64 // bytes delivered
	Delivered atomic.Uint64 // packets delivered
	Dropped   atomic.Uint64 // packets lost or cut off

	advertised []*net.UDPConn         // the relay's socket for each member
	members    []netip.AddrPort       // each member's own socket
	numbers    map[netip.AddrPort]int // member number by the member's own socket
	delayed    atomic.Int64           // packets that wait for their delay
	wg         sync.WaitGroup         // the goroutines that run forward

	mu           sync.Mutex
	rand         *rand.Rand
	faults       Faults
	cut          func(from, to int) bool // nil for no cut
	senderDelays map[int]time.Duration   // added to the delay of a member's packets, by its number
}

// New starts a relay between members with the given sockets. seed seeds the random
// faults; which packet a fault hits also depends on the order in which packets
// arrive. Close stops the relay.
func New(seed uint64, members []netip.AddrPort) (*Relay, error) {
	r := &Relay{
		members:      members,
		numbers:      map[netip.AddrPort]int{},
		rand:         rand.New(rand.NewPCG(seed, 0xfa017)),
		senderDelays: map[int]time.Duration{},
	}
	for i, member := range members {
		r.numbers[member] = i
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("faultnet: listening for member %d: %w", i, err)
		}
		r.advertised = append(r.advertised, conn)
	}
	for i := range r.advertised {
		r.wg.Go(func() { r.forward(i) })
	}
	return r, nil
}

// Address returns the address that a member must advertise, as host:port.
func (r *Relay) Address(member int) string { return r.advertised[member].LocalAddr().String() }

// Set changes the faults that are applied to packets from now on.
func (r *Relay) Set(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// DelaySender delays all packets that a member sends from now on by another ms
// milliseconds. 0 ends the delay.
func (r *Relay) DelaySender(member int, ms float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senderDelays[member] = milliseconds(ms)
}

// Cut makes the relay lose every packet for which cut reports true. nil ends the
// cut.
func (r *Relay) Cut(cut func(from, to int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// forward forwards the packets that arrive at a member's advertised socket. It
// sends them from the sender's advertised socket, so that answers pass through
// the relay too. It returns when the relay is closed.
func (r *Relay) forward(to int) {
	buffer := make([]byte, maxPacketBytes)
	for {
		size, source, err := r.advertised[to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from, known := r.numbers[source]
		if err != nil || !known {
			continue // packets from other senders and failed reads are ignored
		}
		copies, delays := r.drawFaults(from, to)
		if copies == 0 {
			r.Dropped.Add(1)
			continue
		}
		packet := append([]byte(nil), buffer[:size]...)
		for _, delay := range delays[:copies] {
			r.deliver(from, to, packet, delay)
		}
	}
}

// deliver sends a packet after a delay, unless too many packets are delayed.
func (r *Relay) deliver(from, to int, packet []byte, delay time.Duration) {
	if r.delayed.Add(1) > maxDelayedPackets {
		r.delayed.Add(-1)
		r.Dropped.Add(1)
		return
	}
	time.AfterFunc(delay, func() {
		defer r.delayed.Add(-1)
		if _, err := r.advertised[from].WriteToUDPAddrPort(packet, r.members[to]); err == nil {
			r.Delivered.Add(1)
			r.Bytes.Add(uint64(len(packet)))
		}
	})
}

// drawFaults returns how many copies of a packet to deliver, from 0 to 2, and the
// delay of each.
func (r *Relay) drawFaults(from, to int) (copies int, delays [2]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut != nil && r.cut(from, to) {
		return 0, delays
	}
	if r.rand.Float64() < r.faults.Loss {
		return 0, delays
	}
	copies = 1
	if r.rand.Float64() < r.faults.Dup {
		copies = 2
	}
	for i := range delays {
		jitterMs := r.rand.Float64() * r.faults.JitterMs
		delays[i] = milliseconds(r.faults.DelayMs+jitterMs) + r.senderDelays[from]
	}
	return copies, delays
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Close stops the relay and waits for its goroutines. Delayed packets are lost.
func (r *Relay) Close() {
	for _, conn := range r.advertised {
		_ = conn.Close()
	}
	r.wg.Wait()
}
