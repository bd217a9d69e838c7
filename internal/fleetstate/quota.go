package fleetstate

import "math"

// Quota is the part of a budget that a router may use: Own until the next advice,
// and Borrowed until the time Until. A router that was paused past a lease
// therefore has only Own and does not use the expired lease.
type Quota struct {
	Own      float64
	Borrowed float64
	Until    int64 // ms; math.MaxInt64 means no expiry
}

// At returns the quota at a time in ms.
func (q Quota) At(now int64) float64 {
	if now < q.Until {
		return q.Own + q.Borrowed
	}
	return q.Own
}

// shiftedBy returns the quota with its time converted to a clock that is ms ahead.
func (q Quota) shiftedBy(ms int64) Quota {
	if q.Until < math.MaxInt64-ms {
		q.Until += ms
	}
	return q
}
