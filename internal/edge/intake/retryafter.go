package intake

import "math"

// retryAfter returns after how many milliseconds a rejected device should
// return. Each gets the next place at the rate at which readings complete, so
// that they do not return together. Where that is past MaxRetryAfter they are
// spread at random over its second half.
func (in *Intake) retryAfter(now float64) float64 {
	interval := 1000 / max(in.completions.perSecond(now), 1)
	in.nextRetryAt = max(in.nextRetryAt, now+in.cfg.MinRetryAfter) + interval
	wait := (in.nextRetryAt - now) * (0.8 + 0.2*in.rand.Float64())
	if wait > in.cfg.MaxRetryAfter {
		in.nextRetryAt = min(in.nextRetryAt, now+2*in.cfg.MaxRetryAfter)
		wait = in.cfg.MaxRetryAfter * (0.5 + 0.5*in.rand.Float64())
	}
	return max(wait, in.cfg.MinRetryAfter)
}

// rateTimeConstantMs is the time constant over which a rate is smoothed, in
// milliseconds.
const rateTimeConstantMs = 10000

// rate is an exponentially decaying count of events.
type rate struct {
	count     float64
	decayedAt float64 // Unix milliseconds
}

func (r *rate) perSecond(now float64) float64 {
	r.decay(now)
	return r.count * 1000 / rateTimeConstantMs
}

func (r *rate) add(now float64) {
	r.decay(now)
	r.count++
}

func (r *rate) decay(now float64) {
	if now > r.decayedAt {
		r.count *= math.Exp((r.decayedAt - now) / rateTimeConstantMs)
		r.decayedAt = now
	}
}
