package decide

// Consistency says how fresh the data behind a request's answer must be.
type Consistency uint8

// The consistency levels. Write and Fresh need the primary.
const (
	Write   Consistency = iota // only the primary accepts it
	Fresh                      // must see every commit made before it arrived
	Session                    // must see its session's own writes
	Bounded                    // data no older than Class.MaxStaleness when sent
	Any                        // any endpoint's data will do
)

// needsPrimary reports whether only the primary can serve the level.
func (c Consistency) needsPrimary() bool { return c <= Fresh }

// Idempotency says whether an attempt that may have executed can be repeated.
type Idempotency uint8

// The kinds of effect.
const (
	Idempotent     Idempotency = iota // may be repeated and rejected at will
	IdempotencyKey                    // duplicates are dropped by the endpoints in Class.IdempotencyScope
	NonIdempotent                     // must never execute twice
)

// IdempotencyScope names the endpoints that drop duplicates of an idempotency
// key.
type IdempotencyScope uint8

// The scopes of an idempotency key.
const (
	ScopeGroup IdempotencyScope = iota // the request's own replica group
	ScopeZone                          // the endpoints in the zone of the first attempt
	ScopeAll                           // every endpoint
)

// StaleReadPolicy says what a replica does with a read for which its data are
// too old.
type StaleReadPolicy uint8

// The policies of a lagging replica.
const (
	ServeStale     StaleReadPolicy = iota // answers from what it has: the router must check
	RejectStale                           // answers Ineligible
	WaitThenReject                        // waits up to Config.StaleReadWait, then answers Ineligible
)

// Role is an endpoint's part in its replica group.
type Role uint8

// Roles as reported by answers, health checks and the endpoint list.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// EndpointState is an endpoint's state in the endpoint list.
type EndpointState uint8

// The states of the endpoint list.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. Overloaded, ConnectFailed, NotSent, Ineligible and
// InvalidRequest prove that nothing was executed.
const (
	OK             Outcome = iota // served
	Error                         // an error; may have had an effect
	Overloaded                    // rejected unread by a full queue
	TimedOut                      // no answer in time; may still execute
	ConnectFailed                 // no connection could be made
	Reset                         // the connection broke; may have executed
	Cancelled                     // cancelled by the router; may have executed
	NotSent                       // never written
	Ineligible                    // rejected unread: not the primary, or too far behind
	Malformed                     // the answer cannot be parsed; has executed, or may have
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

// fromEndpoint reports whether the outcome is an answer of the endpoint's own,
// which proves that it runs and carries its ReplicationStatus.
func (outcome Outcome) fromEndpoint() bool {
	switch outcome {
	case OK, Ineligible, Overloaded, Error, Malformed, InvalidRequest:
		return true
	}
	return false
}

// EndpointUpdateKind says what an update of the endpoint list holds.
type EndpointUpdateKind uint8

// The kinds of update.
const (
	UpdateDelta          EndpointUpdateKind = iota // changed endpoints only
	UpdateSnapshot                                 // every endpoint
	UpdateCachedSnapshot                           // every endpoint as last seen, possibly stale
	WatchFailed                                    // a poll failed, or the watch dropped
)
