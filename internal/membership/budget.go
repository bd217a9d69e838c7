package membership

import "math"

// byteBudget is a token bucket whose tokens are bytes. It holds at most the bytes
// of one second.
type byteBudget struct {
	bytesPerSecond float64
	tokens         float64 // bytes that may be sent now
	refilledAt     int64   // ms
}

// newByteBudget returns a full bucket. now is in milliseconds.
func newByteBudget(bytesPerSecond int, now int64) byteBudget {
	rate := float64(bytesPerSecond)
	return byteBudget{bytesPerSecond: rate, tokens: rate, refilledAt: now}
}

// refill adds the tokens for the time since the last refill.
func (b *byteBudget) refill(now int64) {
	if now > b.refilledAt {
		added := b.bytesPerSecond * float64(now-b.refilledAt) / 1000
		b.tokens = math.Min(b.bytesPerSecond, b.tokens+added)
		b.refilledAt = now
	}
}

// allows reports whether a packet of size bytes is within the budget.
func (b *byteBudget) allows(size int) bool { return float64(size) <= b.tokens }

// allowsUserData reports whether a packet of size bytes leaves half a second's
// budget, which is reserved for gossip and push-pull.
func (b *byteBudget) allowsUserData(size int) bool {
	return b.tokens-float64(size) >= b.bytesPerSecond/2
}

// spend takes the tokens of size bytes that are sent.
func (b *byteBudget) spend(size int) { b.tokens -= float64(size) }

// available returns the number of bytes that may be sent now.
func (b *byteBudget) available() int { return int(b.tokens) }
