// Package faultnet is the fault injector of the drills: a UDP relay in front
// of each member, so that every packet between members passes it and can be
// lost, delayed, doubled, reordered (by the delay's draw) or cut, per link
// and per direction. Members are told the relay's addresses (membership's
// "advertise"); the relay knows each member's own socket, so it knows who
// sent what to whom. All on loopback; it holds at most maxPending packets.
package faultnet

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// maxPending bounds the packets held for their delay; past it they are lost.
const maxPending = 20_000

// Faults are what happens to each packet.
type Faults struct {
	Loss, Dup         float64 // shares, 0 to below 1
	DelayMs, JitterMs float64 // each packet waits DelayMs and up to JitterMs more
}

// Relay carries packets between n members.
type Relay struct {
	fronts []*net.UDPConn
	backs  []netip.AddrPort
	index  map[netip.AddrPort]int

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	cut    func(from, to int) bool
	late   map[int]time.Duration // added to all that a member sends

	pending                 atomic.Int64
	Bytes, Carried, Dropped atomic.Uint64 // what passed, and what was lost or cut
	wg                      sync.WaitGroup
}

// New binds one front on 127.0.0.1 for each member's own socket in backs.
func New(seed uint64, backs []netip.AddrPort) (*Relay, error) {
	r := &Relay{backs: backs, index: map[netip.AddrPort]int{}, rng: rand.New(rand.NewPCG(seed, 0xfa017))}
	for i, b := range backs {
		r.index[b] = i
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			r.Close()
			return nil, err
		}
		r.fronts = append(r.fronts, c)
	}
	for i := range r.fronts {
		r.wg.Add(1)
		go r.carry(i)
	}
	return r, nil
}

// Front is the address that member i is known by.
func (r *Relay) Front(i int) string { return r.fronts[i].LocalAddr().String() }

// Set changes the faults from now on.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Late delays everything member i sends by ms more, from now on; 0 ends it.
func (r *Relay) Late(i int, ms float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.late == nil {
		r.late = map[int]time.Duration{}
	}
	r.late[i] = time.Duration(ms * float64(time.Millisecond))
}

// Cut loses every packet for which cut says so; nil heals.
func (r *Relay) Cut(cut func(from, to int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// carry takes what arrives at member to's front and sends it on from the
// sender's front, so that the answer comes back through the relay too.
func (r *Relay) carry(to int) {
	defer r.wg.Done()
	buf := make([]byte, 2048)
	for {
		n, src, err := r.fronts[to].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from, known := r.index[src]
		if err != nil || !known {
			continue // only members' own sockets are carried
		}
		copies, delays := r.draw(from, to)
		if copies == 0 {
			r.Dropped.Add(1)
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		for _, d := range delays[:copies] {
			if r.pending.Add(1) > maxPending {
				r.pending.Add(-1)
				r.Dropped.Add(1)
				continue
			}
			time.AfterFunc(d, func() {
				defer r.pending.Add(-1)
				if _, err := r.fronts[from].WriteToUDPAddrPort(b, r.backs[to]); err == nil {
					r.Carried.Add(1)
					r.Bytes.Add(uint64(len(b)))
				}
			})
		}
	}
}

// draw decides a packet's fate: how many copies, after what delays.
func (r *Relay) draw(from, to int) (int, [2]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	var d [2]time.Duration
	if r.cut != nil && r.cut(from, to) || r.rng.Float64() < f.Loss {
		return 0, d
	}
	copies := 1
	if r.rng.Float64() < f.Dup {
		copies = 2
	}
	for i := range d {
		d[i] = time.Duration((f.DelayMs+r.rng.Float64()*f.JitterMs)*float64(time.Millisecond)) + r.late[from]
	}
	return copies, d
}

// Close stops the relay; packets still held are lost.
func (r *Relay) Close() {
	for _, c := range r.fronts {
		_ = c.Close()
	}
	r.wg.Wait()
}
