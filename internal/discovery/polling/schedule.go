package polling

// A watch that falls silent is broken, though nothing reports it, and what it
// misses counts as known 6 s later, or 2 s after the time for which the service
// was requested to wait, if that is later. Every request times out well before
// that.
const (
	// longPollWait is how long, in milliseconds, the service may hold a request
	// until there is an update. Where one service answers all, a router whose
	// watch falls silent has to queue there once more before it is informed.
	longPollWait = 3000
	// responseSlack is how long an answer may take beyond that.
	responseSlack = 1000
	// snapshotTimeout is the timeout of a request for the whole endpoint list,
	// which the service answers at once.
	snapshotTimeout = 4000
	// maxTimeoutDelay bounds the delay after a request that timed out.
	maxTimeoutDelay = 300
)

// Failure is how a request failed.
type Failure uint8

// Failures of a request.
const (
	ConnectionFailed Failure = iota // no connection, or it broke, or what came is not HTTP
	TimedOut                        // no answer within the timeout
	Overloaded                      // the service said so: every request may be told it
	ErrorStatus                     // another status: the index may be the cause
	Malformed                       // the answer is not an endpoint list
)

// Poll is one request for the endpoint list.
type Poll struct {
	Incremental bool    // for the changes since Index, else for the whole list
	Index       uint64  // of the list that the router holds
	LongPoll    float64 // milliseconds for which the service may wait for an update
	Timeout     float64 // milliseconds until the request is given up
}

// Schedule decides one router's requests for the endpoint list: what comes
// next, and when. It is not safe for concurrent use.
type Schedule struct {
	backoff     *Backoff
	incremental bool   // the next request is for the changes since index
	index       uint64 // of the list that the router holds
}

// NewSchedule returns the schedule of a router that holds no endpoint list.
func NewSchedule(cfg Config, seed uint64) *Schedule {
	return &Schedule{backoff: NewBackoff(cfg, seed)}
}

// Resume says that the router holds the endpoint list of that index, so that
// only what has changed since is requested. A whole list is more work for the
// service, and all routers request it at once after many have restarted.
func (s *Schedule) Resume(index uint64) {
	s.index = index
	s.incremental = true
}

// InitialDelay returns the delay before the first request, in milliseconds.
func (s *Schedule) InitialDelay() float64 { return s.backoff.InitialDelay(s.incremental) }

// NextPoll returns the next request.
func (s *Schedule) NextPoll() Poll {
	if !s.incremental {
		return Poll{Timeout: snapshotTimeout}
	}
	return Poll{
		Incremental: true,
		Index:       s.index,
		LongPoll:    longPollWait,
		Timeout:     longPollWait + responseSlack,
	}
}

// Answered takes the answer to a request, after took milliseconds, and returns
// the delay before the next request. snapshot says that the answer is a whole
// list, updated that it holds anything new.
//
// A service that answers a long poll at once and with nothing new must not be
// polled again without a delay. One whose index went back has started anew: a
// watch of the old index would wait for updates in vain.
func (s *Schedule) Answered(poll Poll, index uint64, snapshot, updated bool, took float64) float64 {
	s.incremental = snapshot || !poll.Incremental || index >= poll.Index
	s.index = index
	useless := !updated || !s.incremental
	if poll.Incremental && !snapshot && useless && took < poll.LongPoll/2 {
		return s.backoff.Failed(false)
	}
	s.backoff.Succeeded()
	return 0
}

// Failed takes the failure of a request and returns the delay before the next
// one, in milliseconds.
func (s *Schedule) Failed(failure Failure) float64 {
	switch failure {
	case TimedOut:
		return s.backoff.TimedOut()
	case ErrorStatus, Malformed:
		s.incremental = false
	}
	return s.backoff.Failed(failure == Overloaded)
}
