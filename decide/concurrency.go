package decide

import "time"

const (
	// initialConcurrency is the limit of an endpoint of which nothing is known.
	initialConcurrency = 4.0
	// recoveryConcurrency is the limit after its circuit breaker was open.
	recoveryConcurrency = 2.0
	// increaseBelow is the fraction of a latency objective below which an answer
	// raises the limit.
	increaseBelow = 0.25
	// decreaseAbove is the fraction above which an answer lowers it: queues must
	// end well before objectives do.
	decreaseAbove = 0.35
	// concurrencyDecrease is the factor of one reduction; the load of a lost
	// zone arrives at once.
	concurrencyDecrease = 0.7
)

// concurrencyLimit bounds the attempts in flight at one endpoint: additive
// increase, multiplicative decrease, at most one decrease for the attempts sent
// before it.
type concurrencyLimit struct {
	value     float64
	reducedAt time.Duration
}

// observe adapts the limit to an answer that used a fraction of its latency
// objective.
func (l *concurrencyLimit) observe(objectiveUsed float64, inFlight int, sentAt, now time.Duration) {
	if objectiveUsed <= increaseBelow && float64(inFlight) >= l.value/2 {
		l.value += 1 / l.value
		return
	}
	if objectiveUsed > decreaseAbove && sentAt >= l.reducedAt {
		l.value = max(1, l.value*concurrencyDecrease)
		l.reducedAt = now
	}
}

// capAt lowers the limit to at most the given one.
func (l *concurrencyLimit) capAt(limit float64) { l.value = min(l.value, limit) }

// adaptConcurrency adapts the limits to an attempt that used a fraction of its
// latency objective. What primaries answer later than the tightest objective of
// the classes that only they serve also lowers the fraction of reads that may go
// to primaries, as many routers' limits add up.
func (r *Router) adaptConcurrency(attempt *attempt, objectiveUsed float64, now time.Duration) {
	endpoint := attempt.endpoint
	if endpoint.isPrimary() {
		r.admission.primaryAnswered(now-attempt.sentAt < r.tightestPrimaryObjective)
	}
	endpoint.limit.observe(objectiveUsed, endpoint.inFlight, attempt.sentAt, now)
}

// hasCapacity reports whether the endpoint may hold one more attempt, using at
// most the given fraction of its limit.
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
