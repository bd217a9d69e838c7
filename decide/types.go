package decide

// Consistency is the freshness that a request requires of the data that it reads.
type Consistency uint8

// The consistency levels. Write and Fresh need the primary; needsPrimary relies on
// their order.
const (
	Write   Consistency = iota // a write: only the primary accepts it
	Fresh                      // a read that sees every commit made before it arrived
	Session                    // a read that sees the writes of its own session
	Bounded                    // a read of data at most Class.MaxStaleness old when it is sent
	Any                        // a read of data of any age
)

// needsPrimary reports whether only the primary can serve requests of this level.
func (c Consistency) needsPrimary() bool { return c <= Fresh }

// Idempotency states whether a request that may have been executed can be sent
// again.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // can be executed any number of times
	IdempotencyKey                    // the endpoints in Class.IdempotencyScope drop duplicates
	NonIdempotent                     // must not be executed twice
)

// IdempotencyScope is the set of endpoints that recognize an idempotency key and
// drop duplicates of its request.
type IdempotencyScope uint8

// The scopes of an idempotency key.
const (
	ScopeGroup IdempotencyScope = iota // the request's own replica group
	ScopeZone                          // the zone of the first attempt that may have been executed
	ScopeAll                           // every endpoint
)

// StaleReadPolicy is what a replica does with a read for which its data is too
// old.
type StaleReadPolicy uint8

// The stale read policies.
const (
	ServeStale     StaleReadPolicy = iota // serves stale data; the router must check freshness
	RejectStale                           // answers Ineligible
	WaitThenReject                        // waits up to Config.StaleReadWait, then answers Ineligible
)

// Role is the role of an endpoint in its replica group.
type Role uint8

// The roles, as reported by answers and health checks.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// EndpointState is an endpoint's state in the endpoint list.
type EndpointState uint8

// The endpoint states.
const (
	Removed  EndpointState = iota // not in the endpoint list
	Ready                         // may receive requests
	Draining                      // finishes its requests and must receive no new ones
)

// Outcome is the way in which an attempt or a health check ended.
type Outcome uint8

// The outcomes. Overloaded, ConnectFailed, NotSent, Ineligible and
// InvalidRequest prove that nothing was executed.
const (
	OK             Outcome = iota // served
	Error                         // an error answer; the request may have been executed
	Overloaded                    // rejected before execution because the queue is full
	TimedOut                      // no answer in time; the request may still be executed
	ConnectFailed                 // the connection could not be established
	Reset                         // the connection broke; the request may have been executed
	Cancelled                     // cancelled by the router; the request may have been executed
	NotSent                       // never written to the connection
	Ineligible                    // rejected before execution: not the primary, or too far behind
	Malformed                     // the answer cannot be parsed; the request may have been executed
	InvalidRequest                // rejected for its content: no endpoint would accept it
)

// NotExecuted reports whether the outcome proves that nothing was executed.
func (outcome Outcome) NotExecuted() bool {
	switch outcome {
	case Overloaded, ConnectFailed, NotSent, Ineligible, InvalidRequest:
		return true
	}
	return false
}

// fromEndpoint reports whether the outcome is an answer of the endpoint itself.
// Such an answer proves that the endpoint runs and carries its
// ReplicationStatus.
func (outcome Outcome) fromEndpoint() bool {
	switch outcome {
	case OK, Ineligible, Overloaded, Error, Malformed, InvalidRequest:
		return true
	}
	return false
}

// EndpointUpdateKind is the kind of content of an endpoint list update.
type EndpointUpdateKind uint8

// The kinds of endpoint list updates.
const (
	UpdateDelta          EndpointUpdateKind = iota // the changed endpoints only
	UpdateSnapshot                                 // every endpoint
	UpdateCachedSnapshot                           // every endpoint from a cache that may be stale
	WatchFailed                                    // no endpoints: a poll failed or the watch ended
)
