package fleetstate

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of event.
const (
	LeaseGranted     EventKind = iota + 1 // a peer's request was granted, or a duplicate of it granted again
	LeaseBorrowed                         // a lease granted by a peer was accepted
	LeaseExpired                          // a borrowed lease expired
	EndpointEjected                       // an ejection began
	EjectionRejected                      // reports on an endpoint did not lead to its ejection
	ReportRefuted                         // a peer's reputation fell below lowReputation
)

var eventKindNames = [ReportRefuted + 1]string{
	LeaseGranted:     "lease granted",
	LeaseBorrowed:    "lease borrowed",
	LeaseExpired:     "lease expired",
	EndpointEjected:  "endpoint ejected",
	EjectionRejected: "ejection rejected",
	ReportRefuted:    "report refuted",
}

// String returns the kind's name in the log. An undefined kind has the last name,
// so that it cannot cause a panic.
func (k EventKind) String() string { return eventKindNames[min(k, ReportRefuted)] }

// IsLeaseEvent reports whether an event's Key names a budget rather than an
// endpoint.
func (k EventKind) IsLeaseEvent() bool { return k >= LeaseGranted && k <= LeaseExpired }

// Event is a change of a lease, an ejection or a reputation, for the log.
type Event struct {
	Kind   EventKind
	Key    string       // budget or endpoint
	Peer   string       // other party of the lease, or the reporter; may be empty
	Status HealthStatus // reported status, 0 for none
	Amount float64      // amount of the lease, support of the ejection, or remaining reputation
	Reason string       // why an ejection was rejected, else empty
}
