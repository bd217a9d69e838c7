package decide

import "time"

// Endpoint is one entry of the endpoint list: a database host.
type Endpoint struct {
	ID        uint32
	Zone      int
	Group     int // the replica group that it belongs to
	State     EndpointState
	Primary   bool
	StartedAt time.Duration // when it last started, 0 if long ago
}

// Request is a client's request on its arrival at the router.
type Request struct {
	ID          uint64
	Group       int
	Class       int           // index in Config.Classes
	Session     uint64        // 0 if none
	SinceCommit time.Duration // age of the session's last commit, 0 if none
	TimeLeft    time.Duration // until the client gives this request up
}

// ReplicationStatus is what an answer or a health check reports of its
// endpoint.
type ReplicationStatus struct {
	Role Role
	// Position is a time on the router's clock up to which every commit is
	// applied, 0 if not reported. A served write reports its commit instead.
	Position time.Duration
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	Request        uint64
	Attempt        int // counted from 0 for each request
	Endpoint       uint32
	Outcome        Outcome
	Latency        time.Duration
	ClientAnswered bool // the client has its answer already
	Status         ReplicationStatus
}

// HealthCheckResult is the end of one health check.
type HealthCheckResult struct {
	Endpoint uint32
	Outcome  Outcome
	Status   ReplicationStatus // as old as the endpoint's report
}

// Actions carries out what a Router decides. Its methods are called from within
// the Router's own methods and must not call back into the Router.
type Actions interface {
	// Send starts the next attempt of a request. A timeout of 0 stands for the
	// client's deadline.
	Send(request uint64, endpoint uint32, timeout time.Duration)
	// Cancel cancels an attempt in flight.
	Cancel(request uint64, attempt int)
	// Reject answers that the request may be retried without harm. A retryAfter
	// of 0 gives no advice.
	Reject(request uint64, retryAfter time.Duration)
	// Fail answers with no promise about the effect.
	Fail(request uint64)
	// CheckHealth starts a health check.
	CheckHealth(endpoint uint32)
	// CloseIdle closes this router's idle connections to an endpoint.
	CloseIdle(endpoint uint32)
	// WatchEndpoints polls the endpoint list.
	WatchEndpoints()
	// SetTimer asks for TimerFired with the token after a while.
	SetTimer(after time.Duration, token uint32)
}
