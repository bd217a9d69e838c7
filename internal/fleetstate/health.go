package fleetstate

import "fmt"

// HealthStatus is what a router reports of an endpoint.
type HealthStatus uint8

// The statuses. All but Healthy and Primary are faults.
const (
	Healthy        HealthStatus = iota + 1 // it answered the reporter; sent where others report a fault
	Unresponsive                           // it takes attempts and answers none
	Failing                                // it answers with errors, or cannot be reached
	Slow                                   // its latency is several times the others'
	Lagging                                // its position is further behind than any class allows
	Primary                                // it reported to be its group's primary
	healthStatuses                         // their number, with 0 for none
)

var healthStatusNames = [healthStatuses]string{
	Healthy:      "healthy",
	Unresponsive: "unresponsive",
	Failing:      "failing",
	Slow:         "slow",
	Lagging:      "lagging",
	Primary:      "primary",
}

// String is the status's name, as logs and the admin page show it.
func (s HealthStatus) String() string { return healthStatusNames[min(s, Primary)] }

// isFault reports whether the status counts against the endpoint.
func (s HealthStatus) isFault() bool { return s != Healthy && s != Primary }

// MarshalText implements encoding.TextMarshaler, for the admin page.
func (s HealthStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnknownStatusError is returned by UnmarshalText for a text that names no status.
type UnknownStatusError struct{ Text string }

// Error implements error.
func (e *UnknownStatusError) Error() string {
	return fmt.Sprintf("fleetstate: no health status %q", e.Text)
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an
// UnknownStatusError where no status has that name.
func (s *HealthStatus) UnmarshalText(text []byte) error {
	for status, name := range healthStatusNames {
		if name == string(text) {
			*s = HealthStatus(status)
			return nil
		}
	}
	return &UnknownStatusError{Text: string(text)}
}

// HealthReport is first-hand evidence on one endpoint. A router only reports
// what it observed itself, so the reports on an endpoint have as many
// independent reporters.
type HealthReport struct {
	Endpoint string
	Status   HealthStatus
	AgeMs    int64 // of the evidence, when sent
}

// EndpointHealth is what this router observed of an endpoint. Its times are in
// milliseconds, 0 for never.
type EndpointHealth struct {
	Name              string
	Group             int
	Ready             bool  // listed as ready
	Primary           bool  // believed here to be its group's primary
	PrimaryReportedAt int64 // when it last said so
	Fault             HealthStatus
	FaultAt           int64 // the newest evidence for Fault
	AnsweredSentAt    int64 // when the last attempt that it answered was sent
	FreshAt           int64 // when its position was last fresh enough for some class
	LastSentAt        int64 // when the last attempt was sent
	Overdue           bool  // an attempt is in flight for longer than its answers take
	WarmingUp         bool  // in slow start
	RequestsQueued    bool  // requests that may be sent to it are queued
	PrimaryUnknown    bool  // its group has no primary that answers
}

// faultObserved reports a fault without a later answer.
func (h *EndpointHealth) faultObserved() bool { return h.Fault != 0 && h.FaultAt > h.AnsweredSentAt }

// sound reports that no fault stands against the endpoint here.
func (h *EndpointHealth) sound() bool { return h.Fault == 0 || h.AnsweredSentAt > h.FaultAt }
