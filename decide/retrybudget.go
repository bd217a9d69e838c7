package decide

import "time"

const (
	// retryTokensPerRequest is what each client request earns.
	retryTokensPerRequest = 0.1
	// maxRetryTokens is the most that is saved, as the savings of many routers
	// are spent together.
	maxRetryTokens = 1.0
	// repeatedWorkCost is the cost of a retry that repeats work.
	repeatedWorkCost = 1.0
	// brokenRetryCost is the cost of a retry after an early error, a single
	// broken connection or a malformed answer.
	brokenRetryCost = 0.2
)

// retryBudget limits retries to a fraction of the client requests (a token
// bucket). It may be overdrawn by what was lent to other routers.
type retryBudget struct {
	tokens float64
}

// earn credits one client request.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryTokensPerRequest, maxRetryTokens) }

// refill credits, or debits if negative, a rate of retries a second.
func (b *retryBudget) refill(rate float64, elapsed time.Duration) {
	b.tokens = max(-maxRetryTokens, min(b.tokens+rate*elapsed.Seconds(), maxRetryTokens))
}

// covers reports whether a retry of the given cost may be made.
func (b *retryBudget) covers(cost float64) bool { return b.tokens >= cost }

// spend debits a retry.
func (b *retryBudget) spend(cost float64) { b.tokens -= cost }
