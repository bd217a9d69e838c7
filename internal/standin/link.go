package standin

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// Faults configures the faults of a link. Probabilities are from 0 to below 1.
type Faults struct {
	Loss           float64 // probability that a datagram is lost, or a TCP chunk is late as if retransmitted
	Duplicate      float64 // probability that a datagram is sent twice
	Reorder        float64 // probability that a datagram is delayed so that later ones overtake it
	Stall          float64 // probability of a stall: of a datagram, or half way through a TCP chunk
	StallMs        float64 // longest stall of a chunk or datagram
	Break          float64 // probability that a chunk breaks its TCP connection
	DelayMs        float64 // least one-way delay; a random delay of up to DelayMs is added
	BytesPerSecond float64 // bandwidth over TCP; 0 for no limit
	Rebind         float64 // probability that a device's address as the target sees it changes, per datagram
}

// Link is a proxy that forwards traffic between devices and one target address,
// and injects faults.
type Link struct {
	Address  string       // host:port that devices connect or send to
	Received atomic.Int64 // datagrams and chunks that arrived at the link, also those that it drops

	target string
	faults Faults
	close  func()

	mu   sync.Mutex
	rand *rand.Rand
}

func newLink(target string, faults Faults, seed uint64) *Link {
	return &Link{target: target, faults: faults, rand: rand.New(rand.NewPCG(seed, 0x11c))}
}

// chance returns true with probability p.
func (l *Link) chance(p float64) bool { return l.draw() < p }

// draw returns a random number from 0 to below 1.
func (l *Link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64()
}

// Close stops the link and closes every connection through it.
func (l *Link) Close() { l.close() }
