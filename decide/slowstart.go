package decide

import "time"

const (
	// slowStartRateFraction is the fraction of the permitted rate that is sent to
	// a warming endpoint. The rest is a margin for random fluctuation.
	slowStartRateFraction = 0.75
	// maxSlowStartTokens is the greatest number of tokens, one for each attempt.
	// With 1, a router that rarely sends to the endpoint would lose half of its rate.
	maxSlowStartTokens = 2.0
)

// slowStart limits the rate of attempts sent to an endpoint that has restarted
// and warms up (a token bucket).
type slowStart struct {
	active     bool
	startedAt  time.Duration // when the endpoint started
	tokens     float64       // number of attempts that may be sent now
	refilledAt time.Duration
}

// begin starts the slow start of an endpoint that started at startedAt. The
// initial tokens are random, so that the routers of a fleet do not all send their
// first attempt at the same time.
func (s *slowStart) begin(startedAt time.Duration, tokens float64, now time.Duration) {
	s.active = true
	s.startedAt = startedAt
	s.tokens = tokens
	s.refilledAt = now
}

// refill adds the tokens of a rate, in attempts a second, since the last refill.
func (s *slowStart) refill(rate float64, now time.Duration) {
	s.tokens = min(maxSlowStartTokens, s.tokens+rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
}

// spend removes the token of one attempt.
func (s *slowStart) spend() {
	if s.active {
		s.tokens--
	}
}

// slowStartFraction returns the fraction of its full capacity that the endpoint
// has at least, 1 if it is warm. It ends the slow start after
// Config.SlowStartDuration.
func (r *Router) slowStartFraction(endpoint *trackedEndpoint, now time.Duration) float64 {
	warmUp := &endpoint.slowStart
	since := max(now-warmUp.startedAt, 0)
	warmUp.active = warmUp.active && since < r.cfg.SlowStartDuration
	if !warmUp.active {
		return 1
	}
	progress := (1 - r.cfg.SlowStartCapacity) * since.Seconds() / r.cfg.SlowStartDuration.Seconds()
	return r.cfg.SlowStartCapacity + progress
}

// slowStartRate returns the rate, in attempts a second, at which this router may
// send to a warming endpoint with the given fraction of its capacity: the router's
// share of the permitted multiple of the current capacity. The share is estimated
// by the rate at which endpoints have served this router's attempts, and is at
// least its share of an endpoint that serves one request at a time. The rates of
// all routers add up to less than the permitted rate.
func (r *Router) slowStartRate(endpoint *trackedEndpoint, fraction float64, now time.Duration) float64 {
	routers := max(r.cfg.Routers, r.fleet.Routers(), 1)
	singleRequestRate := 1 / float64(routers) / r.latency.Seconds()
	ownRate := max(r.answers.peak, singleRequestRate)
	rate := r.fleet.SlowStartRate(endpoint.ID, ownRate, singleRequestRate, now)
	return rate * fraction * r.cfg.OverloadFactor * slowStartRateFraction
}
