package decide

import "time"

const (
	// slowStartRateFraction is the part of the permitted rate that is sent to a
	// warming endpoint; the rest is a margin for chance.
	slowStartRateFraction = 0.75
	// maxSlowStartTokens is the most that is saved of that rate: with 1, a
	// router that meets the endpoint seldom would lose half.
	maxSlowStartTokens = 2.0
)

// slowStart limits the rate of attempts sent to an endpoint that has restarted
// and warms up.
type slowStart struct {
	active     bool
	startedAt  time.Duration
	tokens     float64 // attempts that may be sent now
	refilledAt time.Duration
}

// begin starts the warm-up of an endpoint that started at startedAt. The tokens
// are drawn at random, so that the routers of a fleet do not act at once.
func (s *slowStart) begin(startedAt time.Duration, tokens float64, now time.Duration) {
	s.active = true
	s.startedAt = startedAt
	s.tokens = tokens
	s.refilledAt = now
}

// refill adds what the rate, in attempts a second, earned since the last time.
func (s *slowStart) refill(rate float64, now time.Duration) {
	s.tokens = min(maxSlowStartTokens, s.tokens+rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
}

// spend takes the token of one attempt.
func (s *slowStart) spend() {
	if s.active {
		s.tokens--
	}
}

// slowStartFraction is the fraction of its capacity that the endpoint surely
// has. It ends a warm-up whose time has passed.
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

// slowStartRate is the rate, in attempts a second, that this router may send to
// a warming endpoint: its part of the permitted multiple of the endpoint's
// present capacity, estimated by what endpoints were seen to serve on average,
// and never below its stake in one request at a time. The rates of all routers
// add up to less than the permitted one.
func (r *Router) slowStartRate(endpoint *trackedEndpoint, fraction float64, now time.Duration) float64 {
	routers := max(r.cfg.Routers, r.fleet.Routers(), 1)
	oneAtATime := 1 / float64(routers) / r.latency.Seconds()
	own := max(r.answers.peak, oneAtATime)
	rate := r.fleet.SlowStartRate(endpoint.ID, own, oneAtATime, now)
	return rate * fraction * r.cfg.OverloadFactor * slowStartRateFraction
}
