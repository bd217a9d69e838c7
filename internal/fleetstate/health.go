package fleetstate

import "fmt"

// HealthStatus is the status that a router reports of an endpoint. Zero means
// none.
type HealthStatus uint8

// The statuses. All but Healthy and Primary are faults.
const (
	Healthy           HealthStatus = iota + 1 // it answered the reporter; sent only where peers suspect it
	Unresponsive                              // it accepts attempts but does not answer them
	Failing                                   // it answers with errors, or cannot be reached
	Slow                                      // its latency is several times that of the others
	Lagging                                   // its position is older than every class's staleness bound
	Primary                                   // it reported that it is its group's primary
	numHealthStatuses                         // number of statuses, including 0 for none
)

var healthStatusNames = [numHealthStatuses]string{
	Healthy:      "healthy",
	Unresponsive: "unresponsive",
	Failing:      "failing",
	Slow:         "slow",
	Lagging:      "lagging",
	Primary:      "primary",
}

// String returns the status's name in the log and on the admin page. An undefined
// status has the last name, so that it cannot cause a panic.
func (s HealthStatus) String() string { return healthStatusNames[min(s, Primary)] }

// isFault reports whether the status counts against the endpoint.
func (s HealthStatus) isFault() bool { return s != Healthy && s != Primary }

// MarshalText implements encoding.TextMarshaler, for the admin page. It never
// fails.
func (s HealthStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnknownStatusError reports a text that is not the name of a health status.
// HealthStatus.UnmarshalText returns it.
type UnknownStatusError struct{ Text string }

// Error implements error.
func (e *UnknownStatusError) Error() string {
	return fmt.Sprintf("fleetstate: unknown health status %q", e.Text)
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an
// *UnknownStatusError if no status has that name.
func (s *HealthStatus) UnmarshalText(text []byte) error {
	for status, name := range healthStatusNames {
		if name == string(text) {
			*s = HealthStatus(status)
			return nil
		}
	}
	return &UnknownStatusError{Text: string(text)}
}

// HealthReport is first-hand evidence on one endpoint. A router reports only what
// it observed itself and repeats no report of a peer, so that reports of different
// routers are independent.
type HealthReport struct {
	Endpoint string
	Status   HealthStatus
	AgeMs    int64 // age of the evidence when the report was sent
}

// EndpointHealth holds this router's observations of an endpoint. Times are in
// milliseconds, 0 for never.
type EndpointHealth struct {
	Name              string
	Group             int          // replica group
	Ready             bool         // listed as ready
	Primary           bool         // this router believes that it is its group's primary
	PrimaryReportedAt int64        // when it last reported that it is the primary
	Fault             HealthStatus // observed fault, 0 for none
	FaultAt           int64        // time of the newest evidence for Fault
	AnsweredSentAt    int64        // when the last attempt that it answered was sent
	FreshAt           int64        // when its position was last fresh enough for some class
	LastSentAt        int64        // when the last attempt was sent
	Overdue           bool         // an attempt is in flight for longer than the endpoint's answers take
	WarmingUp         bool         // in slow start
	RequestsQueued    bool         // requests that may be sent to it are queued
	PrimaryUnknown    bool         // no primary of its group answers
}

// faultObserved reports whether a fault was observed, and no attempt sent at that
// time or later was answered.
func (h *EndpointHealth) faultObserved() bool { return h.Fault != 0 && h.FaultAt > h.AnsweredSentAt }

// healthy reports whether no fault was observed, or an attempt sent after the
// fault was answered.
func (h *EndpointHealth) healthy() bool { return h.Fault == 0 || h.AnsweredSentAt > h.FaultAt }
