package fleetstate

import "math"

// Quota is what a router may use of a budget: Own until other advice comes, and
// Borrowed until Until. A router that was paused past a lease therefore has Own
// alone and does not send on the expired lease.
type Quota struct {
	Own      float64
	Borrowed float64
	Until    int64 // ms
}

// At is the quota at a time in ms.
func (q Quota) At(now int64) float64 {
	if now < q.Until {
		return q.Own + q.Borrowed
	}
	return q.Own
}

// onClockAhead is the quota on a clock that is ms ahead.
func (q Quota) onClockAhead(ms int64) Quota {
	if q.Until < math.MaxInt64-ms {
		q.Until += ms
	}
	return q
}
