package udp

import (
	"errors"
	"net"
	"net/netip"

	"lotusbend/internal/membership/wire"
)

const (
	// maxRateLimitedPeers is the maximum number of addresses in the rate limiter.
	// When it is reached, the next new address empties the table.
	maxRateLimitedPeers = 4096
	// packetsPerSecond is the rate at which one address may send. A member sends
	// about 4 packets per probe interval and answers the probes of others, so 200
	// suffice for a probe interval of 20 ms and a burst of indirect probes.
	packetsPerSecond = 200
)

// datagram is a datagram received from the socket.
type datagram struct {
	from    netip.AddrPort
	content []byte
}

// read queues the datagrams from the socket until run closes the socket, and then
// closes the queue. It drops and counts datagrams that are too large, exceed the
// rate of their sender, or do not fit into the queue. The buffer is one byte larger
// than the largest packet: a datagram that fills it was too large.
func (t *Transport) read() {
	limiter := newRateLimiter()
	buffer := make([]byte, wire.MaxPacketBytes+1)
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
		case length > wire.MaxPacketBytes:
			t.counters.Oversized.Add(1)
		case !limiter.allow(from, t.clock.Now()):
			t.counters.RateLimited.Add(1)
		default:
			t.enqueue(datagram{from: from, content: append([]byte(nil), buffer[:length]...)})
		}
	}
}

// enqueue adds a datagram to the queue of run without blocking. If the queue is
// full, the datagram is dropped and counted.
func (t *Transport) enqueue(d datagram) {
	select {
	case t.received <- d:
	default:
		t.counters.QueueFull.Add(1)
	}
}

// rateLimiter limits the packets of each source address with a token bucket.
type rateLimiter struct {
	buckets map[netip.AddrPort]*tokenBucket
}

// tokenBucket holds at most the packets of one second.
type tokenBucket struct {
	tokens     float64 // packets that are accepted now
	refilledAt float64 // ms
}

func newRateLimiter() *rateLimiter {
	return &rateLimiter{buckets: map[netip.AddrPort]*tokenBucket{}}
}

// allow takes a token of an address and reports whether there was one. now is in
// milliseconds.
func (l *rateLimiter) allow(from netip.AddrPort, now float64) bool {
	bucket := l.buckets[from]
	if bucket == nil {
		if len(l.buckets) >= maxRateLimitedPeers {
			clear(l.buckets) // packets from many addresses must not use unbounded memory
		}
		bucket = &tokenBucket{tokens: packetsPerSecond, refilledAt: now}
		l.buckets[from] = bucket
	}
	added := (now - bucket.refilledAt) * packetsPerSecond / 1000
	bucket.tokens = min(packetsPerSecond, bucket.tokens+added)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
