package fleetstate

// EventKind is what happened to a lease, an ejection or a reputation.
type EventKind uint8

// The kinds of event.
const (
	LeaseGranted EventKind = iota + 1
	LeaseBorrowed
	LeaseExpired
	EndpointEjected
	EjectionRejected
	ReportRefuted
)

var eventKindNames = [ReportRefuted + 1]string{
	LeaseGranted:     "lease granted",
	LeaseBorrowed:    "lease borrowed",
	LeaseExpired:     "lease expired",
	EndpointEjected:  "endpoint ejected",
	EjectionRejected: "ejection rejected",
	ReportRefuted:    "report refuted",
}

// String is the kind's name in the log.
func (k EventKind) String() string { return eventKindNames[min(k, ReportRefuted)] }

// IsLeaseEvent reports whether an event's Key is a budget, else it is an endpoint.
func (k EventKind) IsLeaseEvent() bool { return k >= LeaseGranted && k <= LeaseExpired }

// Event is something that happened, for the log.
type Event struct {
	Kind   EventKind
	Key    string       // the budget or the endpoint
	Peer   string       // the other side of a lease, or the reporter; may be empty
	Status HealthStatus // reported, 0 for none
	Amount float64      // of the lease, the support of the ejection, or the reputation left
	Reason string       // why an ejection was rejected
}
