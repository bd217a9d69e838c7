package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Faults describe a poor link.
type Faults struct {
	Loss    float64 // of datagrams; over TCP a chunk is late by a retransmission
	Dup     float64 // of datagrams
	Reorder float64 // of datagrams: overtaken by later ones
	Stall   float64 // chance that a chunk stops half way, for StallMs
	StallMs float64
	Break   float64 // chance that a chunk breaks its TCP connection
	DelayMs float64 // one way, and as much again by chance
	Rate    float64 // bytes a second over TCP, 0 for no cap
	Move    float64 // chance that a datagram's sender gets another address
}

// Link carries traffic between devices and one address, and spoils it.
type Link struct {
	Address string
	target  string
	faults  Faults
	mu      sync.Mutex
	rand    *rand.Rand
	close   func()
	Carried atomic.Int64 // datagrams and chunks
}

func newLink(target string, f Faults, seed uint64) *Link {
	return &Link{target: target, faults: f, rand: rand.New(rand.NewPCG(seed, 0x11c))}
}

func (l *Link) chance(p float64) bool { return l.draw() < p }

func (l *Link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64()
}

// Close ends the link and all that it carries.
func (l *Link) Close() { l.close() }

// DatagramLink is a link for UDP. Each device behind it has an address of its
// own at the far end, as behind a carrier's translation.
func DatagramLink(target string, f Faults, seed uint64) (*Link, error) {
	l := newLink(target, f, seed)
	near, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	l.Address = near.LocalAddr().String()
	var mu sync.Mutex
	far := map[string]*net.UDPConn{}
	var all []*net.UDPConn
	closed := false
	l.close = func() {
		mu.Lock()
		defer mu.Unlock()
		closed = true
		_ = near.Close()
		for _, c := range all {
			_ = c.Close()
		}
	}
	// carry delivers a datagram, or not, or twice, or late.
	carry := func(b []byte, deliver func([]byte)) {
		l.Carried.Add(1)
		copies := 1
		if l.chance(f.Dup) {
			copies = 2
		}
		for range copies {
			if l.chance(f.Loss) {
				continue
			}
			ms := f.DelayMs * (1 + l.draw())
			if l.chance(f.Reorder) {
				ms += 4*f.DelayMs + 200*l.draw()
			}
			if l.chance(f.Stall) {
				ms += f.StallMs * l.draw()
			}
			data := append([]byte(nil), b...)
			time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() { deliver(data) })
		}
	}
	go func() {
		b := make([]byte, 1<<16)
		for {
			n, from, err := near.ReadFrom(b)
			if err != nil {
				return
			}
			mu.Lock()
			c := far[from.String()]
			if (c == nil || l.chance(f.Move)) && !closed && len(all) < 4096 {
				if fresh, err := net.DialUDP("udp", nil, to); err == nil {
					c = fresh
					far[from.String()] = c
					all = append(all, c)
					go func() {
						b := make([]byte, 1<<16)
						for failures := 0; failures < 1000; {
							n, err := c.Read(b)
							if err != nil { // nobody listens there now, or the link is closed
								failures++
								time.Sleep(time.Millisecond)
								mu.Lock()
								done := closed
								mu.Unlock()
								if done {
									return
								}
								continue
							}
							failures = 0
							carry(b[:n], func(data []byte) { _, _ = near.WriteTo(data, from) })
						}
					}()
				}
			}
			mu.Unlock()
			if c != nil {
				carry(b[:n], func(data []byte) { _, _ = c.Write(data) })
			}
		}
	}()
	return l, nil
}

// StreamLink is a link for TCP.
func StreamLink(target string, f Faults, seed uint64) (*Link, error) {
	l := newLink(target, f, seed)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.Address = ln.Addr().String()
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	closed := false
	keep := func(c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		if !closed {
			conns[c] = true
		}
		return !closed
	}
	l.close = func() {
		mu.Lock()
		defer mu.Unlock()
		closed = true
		_ = ln.Close()
		for c := range conns {
			_ = c.Close()
		}
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", l.target)
				if err != nil || !keep(near) || !keep(far) {
					_ = near.Close()
					if far != nil {
						_ = far.Close()
					}
					return
				}
				done := make(chan struct{}, 2)
				go func() { l.pump(near, far); done <- struct{}{} }()
				go func() { l.pump(far, near); done <- struct{}{} }()
				<-done
				_ = near.Close()
				_ = far.Close()
				<-done
				mu.Lock()
				delete(conns, near)
				delete(conns, far)
				mu.Unlock()
			}()
		}
	}()
	return l, nil
}

// pump carries one direction of a connection, in order.
func (l *Link) pump(from, to net.Conn) {
	b := make([]byte, 2048)
	f := l.faults
	for {
		n, err := from.Read(b)
		if n > 0 {
			l.Carried.Add(1)
			ms := f.DelayMs * (1 + l.draw())
			if l.chance(f.Loss) {
				ms += 100 + 200*l.draw()
			}
			if f.Rate > 0 {
				ms += float64(n) / f.Rate * 1000
			}
			sleepMs(ms)
			if l.chance(f.Break) { // after some of it went out
				_, _ = to.Write(b[:n/2])
				return
			}
			at := 0
			if l.chance(f.Stall) {
				if _, err := to.Write(b[:n/2]); err != nil {
					return
				}
				at = n / 2
				sleepMs(f.StallMs * l.draw())
			}
			if _, err := to.Write(b[at:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
