package decide

import "time"

// Endpoint is an entry of the endpoint list, which describes one database host.
type Endpoint struct {
	ID        uint32
	Zone      int
	Group     int // number of its replica group
	State     EndpointState
	Primary   bool          // the list names it as its group's primary
	StartedAt time.Duration // when it last started, 0 if unknown or long ago
}

// Request describes a client's request when it arrives at the router.
type Request struct {
	ID          uint64
	Group       int
	Class       int           // index in Config.Classes
	Session     uint64        // 0 if none
	SinceCommit time.Duration // time since the commit in its session token, 0 if none
	TimeLeft    time.Duration // until the client stops waiting for the answer
}

// ReplicationStatus is the role and position that an endpoint reports in an
// answer or a health check.
type ReplicationStatus struct {
	Role Role
	// Position is the time on the router's clock up to which the endpoint has
	// applied every commit, 0 if not reported. The answer of a served write
	// carries the position of its commit instead.
	Position time.Duration
}

// AttemptResult reports the end of one attempt.
type AttemptResult struct {
	Request        uint64
	Attempt        int // number of the attempt within its request, from 0
	Endpoint       uint32
	Outcome        Outcome
	Latency        time.Duration // from sending the attempt to its end
	ClientAnswered bool          // the client has already received its answer
	Status         ReplicationStatus
}

// HealthCheckResult reports the end of one health check.
type HealthCheckResult struct {
	Endpoint uint32
	Outcome  Outcome
	Status   ReplicationStatus // may be outdated: as of the time when the endpoint made the report
}

// Actions carries out the decisions of a Router. The Router calls it from within
// its own methods; an implementation must not call back into the Router.
type Actions interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. A
	// timeout of 0 means that the attempt ends at the client's deadline.
	Send(request uint64, endpoint uint32, timeout time.Duration)
	// Cancel cancels an attempt in flight.
	Cancel(request uint64, attempt int)
	// Reject answers a request with an error that tells the client that it can
	// safely retry, after retryAfter if that is not 0.
	Reject(request uint64, retryAfter time.Duration)
	// Fail answers a request with an error that leaves open whether the request
	// was executed.
	Fail(request uint64)
	// CheckHealth starts a health check.
	CheckHealth(endpoint uint32)
	// CloseIdle closes this router's idle connections to an endpoint.
	CloseIdle(endpoint uint32)
	// WatchEndpoints starts polling the endpoint list, until an update of the kind
	// WatchFailed reports that polling has ended.
	WatchEndpoints()
	// SetTimer schedules a call of Router.TimerFired with the token.
	SetTimer(after time.Duration, token uint32)
}
