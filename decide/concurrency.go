package decide

import "time"

const (
	// initialConcurrency is the concurrency limit of a new endpoint, and the
	// greatest limit of an endpoint whose slow start begins.
	initialConcurrency = 4.0
	// recoveryConcurrency is the greatest limit after a circuit breaker has closed.
	recoveryConcurrency = 2.0
	// concurrencyIncreaseBelow is the fraction of a latency objective up to which
	// the latency of an answer raises the limit.
	concurrencyIncreaseBelow = 0.25
	// concurrencyDecreaseAbove is the fraction of a latency objective above which
	// the latency of an answer lowers the limit: requests must leave an
	// endpoint's queue well before their objectives end.
	concurrencyDecreaseAbove = 0.35
	// concurrencyDecreaseFactor is the factor of one decrease. It is small enough
	// for the failure of a zone, which moves all its load to the others at once.
	concurrencyDecreaseFactor = 0.7
)

// concurrencyLimit limits the attempts in flight at one endpoint. It adapts by
// additive increase and multiplicative decrease; attempts sent before a decrease
// cause no further one.
type concurrencyLimit struct {
	value     float64 // attempts in flight
	reducedAt time.Duration
}

// observe adapts the limit to the latency of an answer, given as a fraction of
// its latency objective. The limit rises only if at least half of it is in use, the
// answered attempt included.
func (l *concurrencyLimit) observe(objectiveUsed float64, inFlight int, sentAt, now time.Duration) {
	if objectiveUsed <= concurrencyIncreaseBelow && float64(inFlight) >= l.value/2 {
		l.value += 1 / l.value
		return
	}
	if objectiveUsed > concurrencyDecreaseAbove && sentAt >= l.reducedAt {
		l.value = max(1, l.value*concurrencyDecreaseFactor)
		l.reducedAt = now
	}
}

// capAt lowers the limit to at most the given one.
func (l *concurrencyLimit) capAt(limit float64) { l.value = min(l.value, limit) }

// adaptConcurrency adapts the endpoint's concurrency limit to the latency of an
// attempt, given as a fraction of its latency objective. An attempt at a primary
// that took at least as long as the tightest objective of the classes that only
// primaries serve also lowers the fraction of reads that may go to primaries, and
// a faster one raises it: the limits of many routers add up, so the concurrency
// limit alone is not enough.
func (r *Router) adaptConcurrency(attempt *attempt, objectiveUsed float64, now time.Duration) {
	endpoint := attempt.endpoint
	if endpoint.isPrimary() {
		r.admission.primaryAnswered(now-attempt.sentAt < r.tightestPrimaryObjective)
	}
	endpoint.limit.observe(objectiveUsed, endpoint.inFlight, attempt.sentAt, now)
}

// hasCapacity reports whether one more attempt fits into the given fraction of the
// endpoint's concurrency limit, which is at least 1, and into its slow start rate
// while it warms up. The limit is scaled by the endpoint's slow start fraction.
func (r *Router) hasCapacity(endpoint *trackedEndpoint, limitFraction float64, now time.Duration) bool {
	fraction := r.slowStartFraction(endpoint, now)
	if endpoint.slowStart.active {
		endpoint.slowStart.refill(r.slowStartRate(endpoint, fraction, now), now)
		if endpoint.slowStart.tokens < 1 {
			return false
		}
	}
	return float64(endpoint.inFlight) < max(1, endpoint.limit.value*limitFraction*fraction)
}
