// Package faultnet is the fault injector of the drills: a UDP relay between the
// members of a fleet. Every packet between two members passes it and can be
// lost, delayed, duplicated, reordered (by different delays) or cut off, per
// link and per direction. Members advertise the relay's addresses in place of
// their own (membership's "advertise"); the relay knows each member's own
// socket, and by it the sender and receiver of a packet. It runs on loopback.
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
	// maxPending bounds the packets that are delayed; further ones are lost.
	maxPending = 20_000
	// maxPacket is the largest packet that is carried, in bytes.
	maxPacket = 2048
)

// Faults are what happens to each packet.
type Faults struct {
	Loss     float64 // chance that it is lost, from 0 to below 1
	Dup      float64 // chance that it is delivered twice, from 0 to below 1
	DelayMs  float64
	JitterMs float64 // up to so much is added to DelayMs at random
}

// Relay carries packets between members, numbered from 0. It is safe for
// concurrent use.
type Relay struct {
	Bytes     atomic.Uint64 // delivered
	Delivered atomic.Uint64 // packets delivered
	Dropped   atomic.Uint64 // packets lost or cut off

	fronts  []*net.UDPConn         // the members' advertised sockets
	members []netip.AddrPort       // the members' own sockets
	index   map[netip.AddrPort]int // of a member, by its own socket
	pending atomic.Int64           // packets that are delayed
	wg      sync.WaitGroup         // of the goroutines that carry

	mu     sync.Mutex
	rand   *rand.Rand
	faults Faults
	cut    func(from, to int) bool // nil for no cut
	extra  map[int]time.Duration   // added delay of all that a member sends
}

// New starts a relay for the members with these sockets. Close ends it.
func New(seed uint64, members []netip.AddrPort) (*Relay, error) {
	r := &Relay{
		members: members,
		index:   map[netip.AddrPort]int{},
		rand:    rand.New(rand.NewPCG(seed, 0xfa017)),
		extra:   map[int]time.Duration{},
	}
	for i, member := range members {
		r.index[member] = i
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("faultnet: listening for member %d: %w", i, err)
		}
		r.fronts = append(r.fronts, conn)
	}
	for i := range r.fronts {
		r.wg.Go(func() { r.carry(i) })
	}
	return r, nil
}

// Address returns the address that a member must advertise.
func (r *Relay) Address(member int) string { return r.fronts[member].LocalAddr().String() }

// Set changes the faults from now on.
func (r *Relay) Set(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// DelaySender delays all that a member sends by ms more from now on; 0 ends it.
func (r *Relay) DelaySender(member int, ms float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra[member] = milliseconds(ms)
}

// Cut loses every packet for which cut reports true; nil ends the cut.
func (r *Relay) Cut(cut func(from, to int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// carry forwards what arrives at a member's advertised socket, from the
// sender's advertised socket, so that answers pass the relay too. It ends when
// the relay is closed.
func (r *Relay) carry(to int) {
	buffer := make([]byte, maxPacket)
	for {
		size, source, err := r.fronts[to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from, known := r.index[source]
		if err != nil || !known {
			continue // only packets from members are carried
		}
		copies, delays := r.draw(from, to)
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

// deliver sends a packet after a delay.
func (r *Relay) deliver(from, to int, packet []byte, delay time.Duration) {
	if r.pending.Add(1) > maxPending {
		r.pending.Add(-1)
		r.Dropped.Add(1)
		return
	}
	time.AfterFunc(delay, func() {
		defer r.pending.Add(-1)
		if _, err := r.fronts[from].WriteToUDPAddrPort(packet, r.members[to]); err == nil {
			r.Delivered.Add(1)
			r.Bytes.Add(uint64(len(packet)))
		}
	})
}

// draw decides how many copies of a packet are delivered, after which delays.
func (r *Relay) draw(from, to int) (copies int, delays [2]time.Duration) {
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
		delays[i] = milliseconds(r.faults.DelayMs+jitterMs) + r.extra[from]
	}
	return copies, delays
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Close stops the relay. Packets that are delayed are lost.
func (r *Relay) Close() {
	for _, conn := range r.fronts {
		_ = conn.Close()
	}
	r.wg.Wait()
}
