// Package polling decides when a router polls the discovery service for the
// endpoint list, and what it requests. It contains only rules: random numbers are
// seeded, and it uses neither I/O nor a clock. All times are in milliseconds.
//
// Where the list must be polled, one service answers the whole fleet. Requests
// queue at the service, and a request that has queued for too long fails at the
// router but is still served. If all routers retried at once, the service would
// stay busy with requests that nobody waits for any more. So each router leaves
// capacity for a request of every other router, picks the time of its request at
// random, and backs off exponentially while requests fail.
package polling

import "math/rand/v2"

const (
	// pollCostMs is the time for which one request is assumed to occupy the
	// service, until failures show that it takes longer. If the endpoint list is
	// pushed, it is also the delay after the first failure, before jitter.
	pollCostMs = 50
	// maxPushDelayMs bounds the backoff, before jitter, if the endpoint list is
	// pushed. Then a router must know every change that its local agent has,
	// whether it has received it or not, and a request to the agent costs nothing.
	maxPushDelayMs = 200
	// maxDelayMs bounds the delay before the first request and after each failure.
	// A router must know a change 6 s after discovery has it and can be reached,
	// whatever happened to earlier requests. The delay leaves time for a dial that
	// hangs and for the request's queueing at the service. It may be longer only
	// after a service that cannot answer the whole fleet in that time has reported
	// that it is overloaded.
	maxDelayMs = 3000
	// overloadedPolls is the number of requests per router, at pollCostMs each,
	// for which an overloaded service is given time. A shorter delay would keep
	// the service overloaded permanently.
	overloadedPolls = 4
	// maxBackoffIntervals bounds the backoff before jitter, in poll intervals. The
	// settings allow a delay of four intervals after a failed request, and the
	// jitter adds up to a half of the backoff.
	maxBackoffIntervals = 2
	// initialDelayIntervals bounds the initial delay, in poll intervals. A router
	// must know the list at the end of the interval even if it has not polled, and
	// its request has to queue first.
	initialDelayIntervals = 0.5
)

// Config holds the settings of polling.
type Config struct {
	Routers      int     // number of routers in the fleet; less than 1 stands for 1
	PollOnly     bool    // the endpoint list is not pushed and must be polled
	PollInterval float64 // milliseconds within which a router must poll, 0 if unknown
}

// Backoff computes the delays between one router's requests. It is not safe for
// concurrent use.
type Backoff struct {
	rng                  *rand.Rand
	pollOnly             bool
	initialDelayMs       float64 // delay after the first failure, before jitter; also bounds InitialDelay
	maxBackoffMs         float64 // bound on nextDelayMs
	nextDelayMs          float64 // delay after the next failure, before jitter
	maxOverloadedDelayMs float64 // bound on the delay after a rejection by an overloaded service
}

// NewBackoff returns the backoff of a router that has not polled yet.
func NewBackoff(cfg Config, seed uint64) *Backoff {
	b := &Backoff{
		rng:            rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03)),
		pollOnly:       cfg.PollOnly,
		initialDelayMs: pollCostMs,
		maxBackoffMs:   maxPushDelayMs,
	}
	if b.pollOnly {
		b.initialDelayMs *= float64(max(cfg.Routers, 1))
		if cfg.PollInterval > 0 {
			b.initialDelayMs = min(b.initialDelayMs, initialDelayIntervals*cfg.PollInterval)
		}
		b.maxBackoffMs = max(maxPushDelayMs, maxBackoffIntervals*cfg.PollInterval, b.initialDelayMs)
	}
	b.maxOverloadedDelayMs = max(maxDelayMs, overloadedPolls*pollCostMs*float64(cfg.Routers))
	b.nextDelayMs = b.initialDelayMs
	return b
}

// InitialDelay returns the delay before the first request, in milliseconds. hasList
// says that the router holds an endpoint list; a router without one polls at once,
// and so does any router whose list is pushed.
func (b *Backoff) InitialDelay(hasList bool) float64 {
	if !b.pollOnly || !hasList {
		return 0
	}
	return min(b.initialDelayMs, maxDelayMs) * b.rng.Float64()
}

// Failed returns the delay after a failed request, in milliseconds: half to one and
// a half times a backoff that doubles with each failure up to a bound. overloaded
// says that the service rejected the request because it is overloaded. The delay is
// at most maxDelayMs, and at most maxOverloadedDelayMs if overloaded is set.
func (b *Backoff) Failed(overloaded bool) float64 {
	delay := b.nextDelayMs * (0.5 + b.rng.Float64())
	b.nextDelayMs = min(2*b.nextDelayMs, b.maxBackoffMs)
	limit := float64(maxDelayMs)
	if overloaded {
		limit = b.maxOverloadedDelayMs
	}
	return min(delay, limit*(0.5+b.rng.Float64()/2))
}

// TimedOut returns the delay after a request that timed out, in milliseconds. The
// delay is short because the timeout has already taken time. The backoff of Failed
// does not change.
func (b *Backoff) TimedOut() float64 { return maxTimeoutDelayMs * b.rng.Float64() }

// Succeeded resets the backoff after a request that was answered.
func (b *Backoff) Succeeded() { b.nextDelayMs = b.initialDelayMs }
