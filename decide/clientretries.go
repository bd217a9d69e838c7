package decide

import "time"

const (
	// clientTimeJitter is the spread of the clients' way to the router.
	clientTimeJitter = 10 * time.Millisecond
	// maxTimeLeftVotes bounds the votes for the typical time left: as many more
	// others replace it.
	maxTimeLeftVotes = 32
	// maxPendingClientRetries bounds the client retries that are waited for.
	maxPendingClientRetries = 1 << 14
	// expectedClientRetries is how many retries a first request that is answered
	// early may bring.
	expectedClientRetries = 2
)

// clientRetryEstimate recognizes requests that are retries by a client, which
// do not say so. First requests of a class mostly come with the same time left;
// a request with another one is a retry with what remains of its client's wait.
// As uneven first requests look the same, the number of requests answered early
// bounds how many are taken for retries.
type clientRetryEstimate struct {
	typicalTimeLeft []time.Duration // by class
	votes           []int           // by class, for the typical time left
	pending         int             // retries expected
}

func newClientRetryEstimate(classes int) clientRetryEstimate {
	return clientRetryEstimate{
		typicalTimeLeft: make([]time.Duration, classes),
		votes:           make([]int, classes),
	}
}

// expect notes that so many retries may follow a request answered early.
func (e *clientRetryEstimate) expect(retries int) {
	e.pending = min(e.pending+retries, maxPendingClientRetries)
}

// isRetry reports whether a request of the class with that time left is taken
// for a client's retry.
func (e *clientRetryEstimate) isRetry(class int, timeLeft time.Duration) bool {
	if (timeLeft - e.typicalTimeLeft[class]).Abs() < clientTimeJitter {
		e.votes[class] = min(e.votes[class]+1, maxTimeLeftVotes)
		return false
	}
	e.votes[class]--
	if e.votes[class] < 0 {
		e.typicalTimeLeft[class] = timeLeft
		e.votes[class] = 1
		return false
	}
	if e.pending == 0 {
		return false
	}
	e.pending--
	return true
}
