package decide

import "time"

const (
	// retryTokensPerRequest is the number of tokens that each client request adds.
	retryTokensPerRequest = 0.1
	// maxRetryTokens is the size of the budget, and of the greatest overdraft. It
	// is small because many routers may spend their budgets at the same time.
	maxRetryTokens = 1.0
	// fullRetryCost is the cost, in tokens, of a retry that repeats work.
	fullRetryCost = 1.0
	// reducedRetryCost is the cost, in tokens, of a retry after an early error, a
	// single reset connection or a malformed answer.
	reducedRetryCost = 0.2
)

// retryBudget limits retries to a fraction of the client requests (a token
// bucket). Retries lent to other routers can overdraw it.
type retryBudget struct {
	tokens float64
}

// earn adds the tokens of one client request.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryTokensPerRequest, maxRetryTokens) }

// refill adds the tokens of a rate, in retries a second, over the elapsed time. A
// negative rate removes tokens.
func (b *retryBudget) refill(rate float64, elapsed time.Duration) {
	b.tokens = max(-maxRetryTokens, min(b.tokens+rate*elapsed.Seconds(), maxRetryTokens))
}

// covers reports whether the budget is sufficient for a retry of the given cost.
func (b *retryBudget) covers(cost float64) bool { return b.tokens >= cost }

// spend removes the tokens of one retry.
func (b *retryBudget) spend(cost float64) { b.tokens -= cost }
