package intake

import "math"

// retryAfter returns how long a rejected device should wait before it retries,
// in milliseconds. Successive devices are spaced at the rate at which readings
// complete, at least one a second, and each wait is shortened at random by up to a
// fifth, so that they do not retry together. Waits that would exceed MaxRetryAfter
// are spread at random over its upper half.
func (in *Intake) retryAfter(now float64) float64 {
	interval := 1000 / max(in.completions.perSecond(now), 1)
	in.nextRetryAt = max(in.nextRetryAt, now+in.cfg.MinRetryAfter) + interval
	wait := (in.nextRetryAt - now) * (0.8 + 0.2*in.rand.Float64())
	if wait > in.cfg.MaxRetryAfter {
		// Bounds how far ahead retry times are assigned.
		in.nextRetryAt = min(in.nextRetryAt, now+2*in.cfg.MaxRetryAfter)
		wait = in.cfg.MaxRetryAfter * (0.5 + 0.5*in.rand.Float64())
	}
	return max(wait, in.cfg.MinRetryAfter)
}

// rateTimeConstantMs is the time constant of a rate's exponential decay.
const rateTimeConstantMs = 10000

// rate estimates the rate of events by an exponentially decaying count.
type rate struct {
	count     float64
	decayedAt float64 // Unix milliseconds
}

// perSecond returns the events per second, averaged over rateTimeConstantMs.
func (r *rate) perSecond(now float64) float64 {
	r.decay(now)
	return r.count * 1000 / rateTimeConstantMs
}

// add counts one event.
func (r *rate) add(now float64) {
	r.decay(now)
	r.count++
}

// decay lets the count decay for the time since the last call.
func (r *rate) decay(now float64) {
	if now > r.decayedAt {
		r.count *= math.Exp((r.decayedAt - now) / rateTimeConstantMs)
		r.decayedAt = now
	}
}
