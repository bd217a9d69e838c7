// Package polling decides when a router polls discovery for the endpoint list,
// and what it requests. It holds rules only: randomness is seeded, and there is
// no I/O and no clock. All times are milliseconds.
//
// Where the list must be polled, one service answers the whole fleet. Requests
// queue there, and one that has queued for too long fails but is still served.
// Routers that all retry at once would keep the service busy with requests that
// nobody waits for any more. So each router leaves capacity for every other
// router's request, draws its moment at random, and backs off exponentially
// while requests fail.
package polling

import "math/rand/v2"

const (
	// pollCost is how long one router's request is taken to occupy the service,
	// until failures show that it takes longer. It is also the first delay where
	// the endpoint list is pushed.
	pollCost = 50
	// maxPushDelay bounds the delays where the endpoint list is pushed: what the
	// agent has counts as known, received or not, and a request costs nothing.
	maxPushDelay = 200
	// maxDelay bounds the delay before the first request and after every failure.
	// A change counts as known 6 s after discovery had it and could be reached,
	// whatever became of earlier requests. A dial that hangs and the request's
	// queueing at the service come on top. Only a service that reports that it
	// is overloaded, and that cannot answer the whole fleet in that time, is
	// given more.
	maxDelay = 3000
	// overloadedPolls is how many requests of every router, at pollCost each, an
	// overloaded service gets the time for. Requests that came sooner would keep
	// it overloaded for good.
	overloadedPolls = 4
	// maxDelayIntervals is the bound on the backoff, in poll intervals: the
	// settings allow four intervals after a failed request, and the jitter adds
	// up to a half.
	maxDelayIntervals = 2
	// initialDelayIntervals bounds the first delay, in poll intervals: a router
	// that has not polled by the end of the interval counts as informed, and its
	// request has to queue.
	initialDelayIntervals = 0.5
)

// Config holds the settings that polling depends on.
type Config struct {
	Routers      int     // size of the fleet; fewer than one counts as one
	PollOnly     bool    // the endpoint list comes only when polled
	PollInterval float64 // milliseconds within which a router must poll, 0 if unknown
}

// Backoff computes the delays between one router's requests. It is not safe for
// concurrent use.
type Backoff struct {
	rng                *rand.Rand
	pollOnly           bool
	initialDelay       float64
	maxDelay           float64
	nextDelay          float64 // after the next failure, before jitter
	maxOverloadedDelay float64 // after a failure by overload
}

// NewBackoff returns the backoff of a router that has not polled yet.
func NewBackoff(cfg Config, seed uint64) *Backoff {
	b := &Backoff{
		rng:          rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03)),
		pollOnly:     cfg.PollOnly,
		initialDelay: pollCost,
		maxDelay:     maxPushDelay,
	}
	if b.pollOnly {
		b.initialDelay *= float64(max(cfg.Routers, 1))
		if cfg.PollInterval > 0 {
			b.initialDelay = min(b.initialDelay, initialDelayIntervals*cfg.PollInterval)
		}
		b.maxDelay = max(maxPushDelay, maxDelayIntervals*cfg.PollInterval, b.initialDelay)
	}
	b.maxOverloadedDelay = max(maxDelay, overloadedPolls*pollCost*float64(cfg.Routers))
	b.nextDelay = b.initialDelay
	return b
}

// InitialDelay returns the delay before the first request, in milliseconds. A
// router that holds no endpoint list polls at once.
func (b *Backoff) InitialDelay(hasList bool) float64 {
	if !b.pollOnly || !hasList {
		return 0
	}
	return min(b.initialDelay, maxDelay) * b.rng.Float64()
}

// Failed returns the delay after a failed request, in milliseconds. overloaded
// says that the service was reached and rejected the request for its load.
func (b *Backoff) Failed(overloaded bool) float64 {
	delay := b.nextDelay * (0.5 + b.rng.Float64())
	b.nextDelay = min(2*b.nextDelay, b.maxDelay)
	limit := float64(maxDelay)
	if overloaded {
		limit = b.maxOverloadedDelay
	}
	return min(delay, limit*(0.5+b.rng.Float64()/2))
}

// TimedOut returns the delay after a request that timed out, in milliseconds:
// a short one, as the timeout took its time already.
func (b *Backoff) TimedOut() float64 { return maxTimeoutDelay * b.rng.Float64() }

// Succeeded takes a request that was answered: the backoff starts anew.
func (b *Backoff) Succeeded() { b.nextDelay = b.initialDelay }
