package udp

import (
	"errors"
	"net"
	"net/netip"

	"lotusbend/internal/membership/wire"
)

const (
	// maxRateLimitedPeers bounds the rate limiter's table; past it, the table
	// starts anew.
	maxRateLimitedPeers = 4096
	// packetsPerSecond is the rate that one address may send at: a member sends
	// about 4 packets a period and answers others' probes; 200 leave capacity
	// for a 20 ms period and a burst of indirect probes.
	packetsPerSecond = 200
)

// datagram is a packet from the socket.
type datagram struct {
	from    netip.AddrPort
	content []byte
}

// read queues datagrams from the socket until run closes it, and then closes the
// queue. It drops and counts datagrams that are too large, beyond their sender's
// rate or beyond the queue. A datagram that fills the buffer, of one byte more
// than the largest packet, was truncated.
func (t *Transport) read() {
	limiter := newRateLimiter()
	buffer := make([]byte, wire.MaxPacket+1)
	for {
		length, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			close(t.received)
			return
		}
		if err != nil {
			continue
		}
		switch {
		case length > wire.MaxPacket:
			t.counters.Oversized.Add(1)
		case !limiter.allow(from, t.clock.Now()):
			t.counters.RateLimited.Add(1)
		default:
			t.enqueue(datagram{from: from, content: append([]byte(nil), buffer[:length]...)})
		}
	}
}

// enqueue never waits: what the queue has no capacity for is dropped and counted.
func (t *Transport) enqueue(d datagram) {
	select {
	case t.received <- d:
	default:
		t.counters.QueueFull.Add(1)
	}
}

// rateLimiter is a token bucket a source address.
type rateLimiter struct {
	buckets map[netip.AddrPort]*tokenBucket
}

// tokenBucket holds at most one second's packets.
type tokenBucket struct {
	tokens     float64 // packets that may arrive now
	refilledAt float64 // ms
}

func newRateLimiter() *rateLimiter {
	return &rateLimiter{buckets: map[netip.AddrPort]*tokenBucket{}}
}

// allow takes a token of an address; it reports whether there was one. now is in
// milliseconds.
func (l *rateLimiter) allow(from netip.AddrPort, now float64) bool {
	bucket := l.buckets[from]
	if bucket == nil {
		if len(l.buckets) >= maxRateLimitedPeers {
			clear(l.buckets) // a flood from many addresses must not grow the table
		}
		bucket = &tokenBucket{tokens: packetsPerSecond, refilledAt: now}
		l.buckets[from] = bucket
	}
	earned := (now - bucket.refilledAt) * packetsPerSecond / 1000
	bucket.tokens = min(packetsPerSecond, bucket.tokens+earned)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
