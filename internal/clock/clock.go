// Package clock holds the program's time and its deadlines. Time is
// milliseconds since the Unix epoch as a float64, the form of every time on
// the sockets; only the decision module takes a time.Duration.
package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// Clock tells the time. A clock made by Manual stands still until it is set.
type Clock struct {
	started time.Time
	base    float64
	manual  *atomic.Uint64
	offset  float64
}

// System returns the machine's clock: the wall time at this call, advanced by
// the monotonic clock so that it never goes backwards.
func System() *Clock {
	now := time.Now()
	return &Clock{started: now, base: float64(now.UnixMicro()) / 1e3}
}

// Manual returns a clock that tests set.
func Manual(at float64) *Clock {
	c := &Clock{manual: new(atomic.Uint64)}
	c.Set(at)
	return c
}

// Set puts a manual clock to at.
func (c *Clock) Set(at float64) { c.manual.Store(math.Float64bits(at)) }

// Shifted returns a clock that is always ms ahead of c, for drills of clocks
// that disagree.
func (c *Clock) Shifted(ms float64) *Clock {
	d := *c
	d.offset += ms
	return &d
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

// Duration converts milliseconds to the module's form, in whole microseconds.
// What is no time at all becomes zero.
func Duration(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	ms = max(-maxMs, min(maxMs, ms))
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}

// Millis converts from the module's form.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
