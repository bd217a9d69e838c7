package back

import (
	"bytes"
	"strconv"
	"time"

	"lotusbend/decide"
	"lotusbend/internal/router"
	"lotusbend/internal/routingconfig"
)

// Names of the run-time parameters that report an endpoint's replication status.
const (
	paramRole     = "recovery" // off on a primary, on on a replica
	paramPosition = "lsn_ms"   // Unix milliseconds
)

// maxPosition is the largest valid position. It leaves ample room below the
// overflow of a time.Duration.
const maxPosition = 4e12 * time.Millisecond

// status returns the replication status that an answer reports. The position of a
// commit is rounded up to a nanosecond, any other down.
func (a *answer) status(isCommit bool) decide.ReplicationStatus {
	return decide.ReplicationStatus{
		Role:     a.role,
		Position: parsePosition(a.position, time.Millisecond, isCommit),
	}
}

// parseRole parses the value of paramRole.
func parseRole(recovery []byte) decide.Role {
	switch string(recovery) {
	case "off":
		return decide.RolePrimary
	case "on":
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// healthReport returns the result of a health check that was answered with the
// given load report.
func healthReport(loadReport []byte) router.AttemptReport {
	status, ok := parseHealth(loadReport)
	if !ok {
		return router.AttemptReport{Outcome: decide.Error}
	}
	return router.AttemptReport{Outcome: decide.OK, Status: status}
}

// parseHealth parses a load report, which has names and values such as
// x0=12.5,x1=1. It ignores the values of other names than the position and the role,
// but ok is false if any part of the report is malformed.
func parseHealth(loadReport []byte) (status decide.ReplicationStatus, ok bool) {
	for field := range bytes.SplitSeq(loadReport, []byte{','}) {
		name, text, _ := bytes.Cut(field, []byte{'='})
		value, err := strconv.ParseFloat(string(text), 64)
		if err != nil || len(name) == 0 {
			return decide.ReplicationStatus{}, false
		}
		switch string(name) {
		case routingconfig.FieldPosition:
			status.Position = parsePosition(text, time.Second, false)
			if status.Position == 0 && value != 0 {
				return decide.ReplicationStatus{}, false
			}
		case routingconfig.FieldRole:
			switch value {
			case 1:
				status.Role = decide.RolePrimary
			case 0:
				status.Role = decide.RoleReplica
			default:
				return decide.ReplicationStatus{}, false
			}
		}
	}
	return status, true
}

// parsePosition parses a Unix time in the given unit. It converts digit by digit
// and exactly; a float64 of seconds would have an error of a fraction of a
// microsecond in either direction. Digits below one nanosecond are rounded down,
// or up if roundUp is set. It returns 0 if text is not a valid time.
func parsePosition(text []byte, unit time.Duration, roundUp bool) time.Duration {
	whole, fraction, _ := bytes.Cut(text, []byte{'.'})
	n, err := strconv.ParseInt(string(whole), 10, 64)
	if err != nil || n < 0 || n > int64(maxPosition/unit) {
		return 0
	}
	position := time.Duration(n) * unit
	for _, digit := range fraction {
		if digit < '0' || digit > '9' {
			return 0
		}
		unit /= 10
		position += time.Duration(digit-'0') * unit
		if unit == 0 && roundUp && digit != '0' {
			return position + 1
		}
	}
	return position
}
