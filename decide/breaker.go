package decide

import "time"

const (
	// initialTrialLatencies is how many latencies an open breaker first waits
	// for its trial.
	initialTrialLatencies = 6
	// maxTrialBackoff bounds the wait, which doubles with each failed trial, so
	// that a lasting outage costs few requests.
	maxTrialBackoff = 4 * time.Second
)

// circuitBreaker keeps requests away from an endpoint that does not answer,
// except for one trial whenever its backoff has passed.
type circuitBreaker struct {
	open        bool
	nextTrialAt time.Duration
	backoff     time.Duration
}

// trip opens the breaker, or keeps an open one open twice as long.
func (b *circuitBreaker) trip(latency, now time.Duration) {
	b.backoff = min(max(2*b.backoff, initialTrialLatencies*latency), maxTrialBackoff)
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

// reset closes the breaker of an endpoint that has restarted.
func (b *circuitBreaker) reset() {
	b.open = false
	b.backoff = 0
}

// allowsTrial reports whether a closed breaker, or one whose trial is due, lets
// a request pass.
func (b *circuitBreaker) allowsTrial(now time.Duration) bool {
	return !b.open || now >= b.nextTrialAt
}

// overdue reports whether an open breaker's trial has been due for as long as
// it waited for it.
func (b *circuitBreaker) overdue(now time.Duration) bool {
	return now >= b.nextTrialAt+b.backoff
}

// openCircuit trips the endpoint's breaker. Once its trial is due a read finds
// out whether it answers: a health check would tell little, as a process that
// serves nothing may still answer health checks.
func (r *Router) openCircuit(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.breaker.trip(r.latencyOf(endpoint), now)
}
