package wire

import (
	"fmt"

	"lotusbend/internal/fleetstate"
)

// Decode decodes and validates a message. It returns an error that wraps
// ErrTooLong, one that wraps ErrMalformed and the CBOR decoder's error, a
// *VersionError, or a *PartError for an invalid name, status or amount.
func (c *Codec) Decode(encoded []byte) (fleetstate.Message, error) {
	if len(encoded) > maxMessageBytes {
		return fleetstate.Message{}, fmt.Errorf("%w: %d bytes, want at most %d",
			ErrTooLong, len(encoded), maxMessageBytes)
	}
	var decoded message
	if err := c.decoder.Unmarshal(encoded, &decoded); err != nil {
		return fleetstate.Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if decoded.Version != protocolVersion {
		return fleetstate.Message{}, &VersionError{Version: decoded.Version}
	}
	if err := decoded.check(); err != nil {
		return fleetstate.Message{}, err
	}
	return decoded.message(), nil
}

// check returns a *PartError for the first invalid part.
func (m *message) check() error {
	for i, entry := range m.Counters {
		if problem := nameProblem(entry.Name); problem != "" {
			return &PartError{Part: "counters", Index: i, Problem: problem}
		}
	}
	for i, report := range m.Reports {
		if problem := reportProblem(report); problem != "" {
			return &PartError{Part: "health report", Index: i, Problem: problem}
		}
	}
	for i, request := range m.Requests {
		if problem := leaseProblem(request.Key, request.Wanted); problem != "" {
			return &PartError{Part: "lease request", Index: i, Problem: problem}
		}
	}
	for i, grant := range m.Grants {
		if problem := leaseProblem(grant.Key, grant.Amount); problem != "" {
			return &PartError{Part: "lease grant", Index: i, Problem: problem}
		}
	}
	return nil
}

// nameProblem describes what is invalid about a name, empty if it is valid.
func nameProblem(name string) string {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Sprintf("name of %d bytes, want 1 to %d", len(name), maxNameBytes)
	}
	return ""
}

// reportProblem describes what is invalid about a health report, empty if it is
// valid.
func reportProblem(report healthReport) string {
	if problem := nameProblem(report.Endpoint); problem != "" {
		return problem
	}
	if report.Status < uint8(fleetstate.Healthy) || report.Status > uint8(fleetstate.Primary) {
		return fmt.Sprintf("status %d, want %d to %d", report.Status, fleetstate.Healthy, fleetstate.Primary)
	}
	return ""
}

// leaseProblem describes what is invalid about the key or amount of a lease
// request or grant, empty if both are valid.
func leaseProblem(key string, amount float64) string {
	if problem := nameProblem(key); problem != "" {
		return problem
	}
	if valid := amount > 0 && amount <= maxAmount; !valid { // NaN is invalid too
		return fmt.Sprintf("amount %g, want more than 0 and at most %g", amount, maxAmount)
	}
	return ""
}

// message converts a message that check accepted.
func (m *message) message() (converted fleetstate.Message) {
	for _, entry := range m.Counters {
		converted.Counters = append(converted.Counters, fleetstate.CounterEntry{
			Name:     entry.Name,
			Epoch:    entry.Epoch,
			Stamp:    entry.Stamp,
			Counters: entry.Counters,
		})
	}
	for _, report := range m.Reports {
		converted.HealthReports = append(converted.HealthReports, fleetstate.HealthReport{
			Endpoint: report.Endpoint,
			Status:   fleetstate.HealthStatus(report.Status),
			AgeMs:    int64(report.AgeMs),
		})
	}
	for _, request := range m.Requests {
		converted.LeaseRequests = append(converted.LeaseRequests, fleetstate.LeaseRequest{
			Key:         request.Key,
			ID:          request.ID,
			Wanted:      request.Wanted,
			RequestedAt: request.RequestedAt,
		})
	}
	for _, grant := range m.Grants {
		converted.LeaseGrants = append(converted.LeaseGrants, fleetstate.LeaseGrant{
			Key:         grant.Key,
			ID:          grant.ID,
			Amount:      grant.Amount,
			RequestedAt: grant.RequestedAt,
			DurationMs:  int64(grant.DurationMs),
		})
	}
	return converted
}
