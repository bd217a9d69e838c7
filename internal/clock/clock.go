// Package clock provides the program's time (clock.go) and its event loop with
// all deadlines (loop.go). Times are milliseconds since the Unix epoch as float64,
// the form of every time on the sockets; only the decision module takes a
// time.Duration.
package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// Clock is a source of time, safe for concurrent use. A clock made by Manual stands
// still until it is set.
type Clock struct {
	started time.Time      // with its monotonic reading
	base    float64        // ms, the wall time at started
	manual  *atomic.Uint64 // the bits of a manual clock's time in ms, nil for the system's
	offset  float64        // ms
}

// System returns the machine's clock: the wall time at this call, advanced by
// the monotonic clock so that it never goes backwards.
func System() *Clock {
	now := time.Now()
	return &Clock{started: now, base: float64(now.UnixMicro()) / 1e3}
}

// Manual returns a clock for tests, which stands at a time in milliseconds until
// Set.
func Manual(at float64) *Clock {
	c := &Clock{manual: new(atomic.Uint64)}
	c.Set(at)
	return c
}

// Set moves a manual clock to a time in milliseconds.
func (c *Clock) Set(at float64) { c.manual.Store(math.Float64bits(at)) }

// Shifted returns a clock that is always ms ahead of c, for drills of clocks
// that disagree.
func (c *Clock) Shifted(ms float64) *Clock {
	shifted := *c
	shifted.offset += ms
	return &shifted
}

// Now returns the time in milliseconds.
func (c *Clock) Now() float64 {
	if c.manual != nil {
		return math.Float64frombits(c.manual.Load()) + c.offset
	}
	return c.offset + c.base + float64(time.Since(c.started))/float64(time.Millisecond)
}

// maxMs keeps times far from overflow: over a century of Unix time.
const maxMs = 4e12

// Duration converts milliseconds to a time.Duration of whole microseconds. NaN
// becomes zero.
func Duration(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	ms = max(-maxMs, min(maxMs, ms))
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
