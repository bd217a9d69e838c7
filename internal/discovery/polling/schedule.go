package polling

// Timeouts of requests, in milliseconds. A connection can fall silent without an
// error. A router must know a change that it misses in this way 6 s after the
// silence began, or 2 s after the end of the long poll if that is later. Every
// request times out well before that.
const (
	// longPollWaitMs is how long the service may hold a request until there is an
	// update. It leaves time to queue: where one service answers the whole fleet,
	// a router whose connection falls silent has to queue there once more.
	longPollWaitMs = 3000
	// responseSlackMs is how long the response may take beyond longPollWaitMs.
	responseSlackMs = 1000
	// snapshotTimeoutMs is the timeout of a request for the whole endpoint list,
	// which the service answers at once.
	snapshotTimeoutMs = 4000
	// maxTimeoutDelayMs bounds the delay after a request that timed out.
	maxTimeoutDelayMs = 300
)

// Failure is the way in which a request failed.
type Failure uint8

// Failures of a request.
const (
	ConnectionFailed Failure = iota // no connection, a broken one, or a malformed HTTP response
	TimedOut                        // no response within the timeout
	Overloaded                      // the service rejected the request for its load, whatever was requested
	ErrorStatus                     // another HTTP status; the requested index may be the cause
	Malformed                       // the response is not an endpoint list
)

// Poll is one request for the endpoint list.
type Poll struct {
	Incremental bool    // requests the changes since Index, otherwise the whole list
	Index       uint64  // version of the list that the router holds
	LongPoll    float64 // milliseconds for which the service may wait for an update
	Timeout     float64 // milliseconds until the request times out
}

// Schedule decides what one router requests from the discovery service, and when.
// It is not safe for concurrent use.
type Schedule struct {
	backoff     *Backoff
	incremental bool   // the next request is for the changes since index
	index       uint64 // version of the list that the router holds
}

// NewSchedule returns the schedule of a router that holds no endpoint list. seed
// seeds the random delays.
func NewSchedule(cfg Config, seed uint64) *Schedule {
	return &Schedule{backoff: NewBackoff(cfg, seed)}
}

// Resume records that the router holds the endpoint list at index, so that only the
// changes since then are requested. A whole list is more work for the service, and
// after a restart of many routers all of them request it at the same time.
func (s *Schedule) Resume(index uint64) {
	s.index = index
	s.incremental = true
}

// InitialDelay returns the delay before the first request, in milliseconds. It is 0
// if the router holds no endpoint list.
func (s *Schedule) InitialDelay() float64 { return s.backoff.InitialDelay(s.incremental) }

// NextPoll returns the next request.
func (s *Schedule) NextPoll() Poll {
	if !s.incremental {
		return Poll{Timeout: snapshotTimeoutMs}
	}
	return Poll{
		Incremental: true,
		Index:       s.index,
		LongPoll:    longPollWaitMs,
		Timeout:     longPollWaitMs + responseSlackMs,
	}
}

// Answered handles the response to a request, after took milliseconds, and returns
// the delay before the next request in milliseconds. index is the version of the
// list in the response, snapshot says that the response is the whole list, and
// updated that it contains anything new.
//
// A service that answers a long poll without an update, in less than half of the
// time that it may wait, must not be polled again without a delay. A service that
// answers with changes at a lower index has restarted, so the whole list is
// requested next: a long poll at the old index would wait for updates in vain.
func (s *Schedule) Answered(poll Poll, index uint64, snapshot, updated bool, took float64) float64 {
	s.incremental = snapshot || !poll.Incremental || index >= poll.Index
	s.index = index
	unusable := !updated || !s.incremental
	if poll.Incremental && !snapshot && unusable && took < poll.LongPoll/2 {
		return s.backoff.Failed(false)
	}
	s.backoff.Succeeded()
	return 0
}

// Failed handles the failure of a request and returns the delay before the next
// request, in milliseconds. After ErrorStatus and Malformed the next request is for
// the whole list.
func (s *Schedule) Failed(failure Failure) float64 {
	switch failure {
	case TimedOut:
		return s.backoff.TimedOut()
	case ErrorStatus, Malformed:
		s.incremental = false
	}
	return s.backoff.Failed(failure == Overloaded)
}
