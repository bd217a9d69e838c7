// Package clock provides the program's time source (clock.go) and the event loop
// that runs its deadlines (loop.go). Times are milliseconds since the Unix epoch
// as float64, the form in which the network protocols carry them. The decision
// module (package decide) takes times as time.Duration instead.
package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// Clock is a source of time. It is safe for concurrent use.
type Clock struct {
	started time.Time      // has a monotonic clock reading
	base    float64        // wall time at started, in ms
	manual  *atomic.Uint64 // float64 bits of a manual clock's time in ms, nil for the system's clock
	offset  float64        // added to the time, in ms
}

// System returns a clock that starts at the machine's wall time and advances with
// its monotonic clock, so it never goes backwards.
func System() *Clock {
	now := time.Now()
	return &Clock{started: now, base: float64(now.UnixMicro()) / 1e3}
}

// Manual returns a clock for tests. It stands still at the given time in
// milliseconds until Set changes it.
func Manual(at float64) *Clock {
	c := &Clock{manual: new(atomic.Uint64)}
	c.Set(at)
	return c
}

// Set sets a manual clock to a time in milliseconds. Clocks that Shifted has made
// from it change with it. Set panics for a system clock.
func (c *Clock) Set(at float64) { c.manual.Store(math.Float64bits(at)) }

// Shifted returns a clock that is always ms milliseconds ahead of c, or behind it
// if ms is negative. It is used to test routers whose clocks disagree.
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

// maxMs bounds the times that Duration converts, so that the result does not
// overflow. It is over a century of Unix time.
const maxMs = 4e12

// Duration converts milliseconds to a time.Duration, rounded to microseconds.
// Values beyond ±4e12 are clamped and NaN becomes 0.
func Duration(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	ms = max(-maxMs, min(maxMs, ms))
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
