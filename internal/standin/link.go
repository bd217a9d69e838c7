package standin

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// Faults describe a poor link. Chances and fractions are from 0 to below 1.
type Faults struct {
	Loss           float64 // chance that a datagram is lost; a TCP chunk is as late as by a retransmission
	Duplicate      float64 // chance that a datagram is sent twice
	Reorder        float64 // chance that a datagram is overtaken by later ones
	Stall          float64 // chance that a chunk stops half way, for StallMs
	StallMs        float64
	Break          float64 // chance that a chunk breaks its TCP connection
	DelayMs        float64 // one way; up to as much again is added at random
	BytesPerSecond float64 // bytes a second over TCP, 0 for no bound
	Rebind         float64 // chance that a datagram's sender gets another address
}

// Link carries traffic between devices and one address, with faults.
type Link struct {
	Address  string       // where devices reach the link
	Received atomic.Int64 // datagrams and chunks that arrived at the link

	target string
	faults Faults
	close  func()

	mu   sync.Mutex
	rand *rand.Rand
}

func newLink(target string, faults Faults, seed uint64) *Link {
	return &Link{target: target, faults: faults, rand: rand.New(rand.NewPCG(seed, 0x11c))}
}

// chance reports true with a probability.
func (l *Link) chance(p float64) bool { return l.draw() < p }

// draw returns a random number from 0 to below 1.
func (l *Link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64()
}

// Close ends the link and every connection that it carries.
func (l *Link) Close() { l.close() }
