package decide

import "time"

const (
	// trialBackoffLatencyMultiple is the shortest backoff before a trial of an open
	// circuit breaker, as a multiple of the endpoint's latency.
	trialBackoffLatencyMultiple = 6
	// maxTrialBackoff is the longest backoff between trials, and after failed
	// attempts. The backoff between trials doubles with each trial, so that few
	// requests fail in a long outage.
	maxTrialBackoff = 4 * time.Second
)

// circuitBreaker blocks requests to an endpoint that does not answer, except for
// one trial request after each backoff. The zero value is closed.
type circuitBreaker struct {
	open        bool
	nextTrialAt time.Duration
	backoff     time.Duration // 0 if the breaker is closed
}

// trip opens the breaker, or doubles the backoff of an open one.
func (b *circuitBreaker) trip(latency, now time.Duration) {
	b.backoff = min(max(2*b.backoff, trialBackoffLatencyMultiple*latency), maxTrialBackoff)
	b.open = true
	b.nextTrialAt = now + b.backoff
}

// close closes the breaker and reports whether it was open.
func (b *circuitBreaker) close() bool {
	if !b.open {
		return false
	}
	b.reset()
	return true
}

// reset closes the breaker and clears its backoff.
func (b *circuitBreaker) reset() {
	b.open = false
	b.backoff = 0
}

// allowsTrial reports whether the breaker lets a request pass: it is closed, or a
// trial is due.
func (b *circuitBreaker) allowsTrial(now time.Duration) bool {
	return !b.open || now >= b.nextTrialAt
}

// overdue reports whether the trial of an open breaker has been due for at least
// as long as its backoff.
func (b *circuitBreaker) overdue(now time.Duration) bool {
	return now >= b.nextTrialAt+b.backoff
}

// openCircuit trips the endpoint's circuit breaker. The trial is a client request
// and not a health check, because a process that serves no requests may still
// answer health checks.
func (r *Router) openCircuit(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.breaker.trip(r.latencyOf(endpoint), now)
}
