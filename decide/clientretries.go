package decide

import "time"

const (
	// timeLeftTolerance is the greatest difference between two times left that
	// count as equal, due to the varying network latency from client to router.
	timeLeftTolerance = 10 * time.Millisecond
	// maxTimeLeftVotes is the greatest vote count of the typical time left, so
	// that at most one differing request more than this replaces it.
	maxTimeLeftVotes = 32
	// maxPendingClientRetries is the greatest number of expected client retries.
	maxPendingClientRetries = 1 << 14
	// expectedClientRetries is how many retries by its client may follow a first
	// request that is answered early.
	expectedClientRetries = 2
)

// clientRetryEstimate estimates which requests are retries by a client, as they
// are not marked. Most first requests of a class arrive with the same time left,
// which a majority vote finds; a request with another time left is taken for a
// retry with the remainder of its client's deadline. First requests whose time
// left varies look the same, so the number of requests answered early limits how
// many are taken for retries.
type clientRetryEstimate struct {
	typicalTimeLeft []time.Duration // by class
	votes           []int           // by class, for the typical time left
	pending         int             // number of retries that are still expected
}

// newClientRetryEstimate returns an estimate for the given number of classes.
func newClientRetryEstimate(classes int) clientRetryEstimate {
	return clientRetryEstimate{
		typicalTimeLeft: make([]time.Duration, classes),
		votes:           make([]int, classes),
	}
}

// expect records that the given number of retries may follow a request that was
// answered early.
func (e *clientRetryEstimate) expect(retries int) {
	e.pending = min(e.pending+retries, maxPendingClientRetries)
}

// isRetry reports whether a request of the class with that time left is taken
// for a client's retry. It also counts the request's vote for the typical time
// left, and one retry less as expected if it returns true.
func (e *clientRetryEstimate) isRetry(class int, timeLeft time.Duration) bool {
	if (timeLeft - e.typicalTimeLeft[class]).Abs() < timeLeftTolerance {
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
