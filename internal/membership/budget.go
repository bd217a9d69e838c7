package membership

import "math"

// byteBudget is a token bucket of bytes, that holds at most one second's bytes.
type byteBudget struct {
	bytesPerSecond float64
	tokens         float64 // bytes that may be sent now
	refilledAt     int64   // ms
}

func newByteBudget(bytesPerSecond int, now int64) byteBudget {
	rate := float64(bytesPerSecond)
	return byteBudget{bytesPerSecond: rate, tokens: rate, refilledAt: now}
}

// refill adds what the rate earned since the last time.
func (b *byteBudget) refill(now int64) {
	if now > b.refilledAt {
		earned := b.bytesPerSecond * float64(now-b.refilledAt) / 1000
		b.tokens = math.Min(b.bytesPerSecond, b.tokens+earned)
		b.refilledAt = now
	}
}

// allows reports whether a packet of size bytes is within the budget.
func (b *byteBudget) allows(size int) bool { return float64(size) <= b.tokens }

// allowsUserData reports whether a packet of size bytes keeps half of a
// second's budget for gossip and push-pull.
func (b *byteBudget) allowsUserData(size int) bool {
	return b.tokens-float64(size) >= b.bytesPerSecond/2
}

// spend charges bytes that were sent.
func (b *byteBudget) spend(size int) { b.tokens -= float64(size) }

// available is how many bytes may be sent now.
func (b *byteBudget) available() int { return int(b.tokens) }
