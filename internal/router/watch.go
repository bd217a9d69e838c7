package router

import (
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/fleetstate"
)

// Watch notes what this router carries and how hosts answer it, to be shared
// with other routers. It changes nothing of what the router does. Its methods
// are called inside the loop's Do; a nil Watch notes nothing.
type Observer struct {
	zone    int
	zones   map[uint32]int
	hosts   map[uint32]*record
	carried fleetstate.Counters
	taken   uint64  // requests, since the start
	rate    float64 // first tries a second, smoothed
	rateAt  float64
	counted uint64 // of taken, in rate
}

// record is how one host answers. Times are in milliseconds.
type record struct {
	tried, good, bad float64 // sends: of the last attempt, of the last that was answered well, of the last known bad
	asked            float64 // send of the attempt whose silence is being timed, 0 for none

}

const (
	waitsAfter  = 2.0  // latencies without an answer that speak for what peers say
	silentAfter = 4.0  // latencies without an answer that tell of silence
	badFor      = 2000 // ms that a failure here speaks for what peers say
	slowTimes   = 4.0  // the usual latency, past which a host is told to be slow
	rateOver    = 2000 // ms that the rate of first tries is smoothed over
)

// Share has the router note what it sees, from now on.
func (r *Router) StartObserving() {
	for _, c := range r.cfg.Classes {
		if c.Consistency == decide.Bounded {
			r.bound = max(r.bound, c.MaxStaleness)
		}
	}
	r.seen = &Observer{zone: r.cfg.Zone, zones: map[uint32]int{}, hosts: map[uint32]*record{}, rateAt: r.loop.Now()}
}

func (w *Observer) listed(members []decide.Endpoint) {
	if w == nil {
		return
	}
	for _, m := range members {
		w.zones[m.ID] = m.Zone
		if m.State == decide.Removed {
			delete(w.zones, m.ID)
			delete(w.hosts, m.ID)
		}
	}
}

func (w *Observer) arrived(class int) {
	if w != nil {
		w.taken++
		w.carried.Add(class, fleetstate.Requests, 1)
	}
}

func (w *Observer) refused(class int) {
	if w != nil {
		w.carried.Add(class, fleetstate.Rejections, 1)
	}
}

func (w *Observer) sent(class, n int, host uint32, now float64) {
	if w == nil {
		return
	}
	if n > 0 {
		w.carried.Add(class, fleetstate.Retries, 1)
	}
	zone, listed := w.zones[host]
	if listed && zone != w.zone {
		w.carried.Add(class, fleetstate.CrossZoneAttempts, 1)
	}
	h := w.hosts[host]
	if h == nil {
		h = &record{}
		if listed { // of a host no longer listed nothing is kept
			w.hosts[host] = h
		}
	}
	h.tried = now
	if h.asked == 0 {
		h.asked = now
	}
}

// ended counts an attempt of which a host got something, and what it told of
// the host. Whatever was never written told nothing.
func (w *Observer) ended(class int, a *attempt, o decide.Outcome, now float64) {
	if w == nil {
		return
	}
	if a.begun && o != decide.NotSent && o != decide.ConnectFailed {
		w.carried.Add(class, fleetstate.Attempts, 1)
	}
	h := w.hosts[a.host]
	if h == nil {
		return
	}
	switch o {
	case decide.OK, decide.Ineligible, decide.Overloaded, decide.InvalidRequest: // it answers, and knows what it says
		h.good = max(h.good, a.at)
		if h.asked <= a.at {
			h.asked = 0
		}
	case decide.Error, decide.Malformed, decide.Reset, decide.ConnectFailed, decide.TimedOut:
		h.bad = max(h.bad, a.at)
	}
}

// Seen is what was seen since the last call; name names a host, "" for one
// that is not to be told of.
func (r *Router) Observe(name func(uint32) string) fleetstate.Observation {
	w, now := r.seen, r.loop.Now()
	s := fleetstate.Observation{Counters: w.carried}
	w.carried = nil
	if over := now - w.rateAt; over > 0 {
		weight := min(1, over/rateOver)
		w.rate += weight * (float64(w.taken-w.counted)/over*1000 - w.rate)
		w.rateAt, w.counted = now, w.taken
	}
	saved, most, earned := r.module.RetryBudget()
	s.RetryBudget = fleetstate.RetryBudget{EarnedPerSecond: w.rate * earned, Surplus: saved >= most, Depleted: saved < most/2}
	r.module.View(r.now(), func(v decide.EndpointView) {
		host := fleetstate.EndpointHealth{
			Name: name(v.ID), Group: v.Group, Ready: v.Ready, Primary: v.Primary, PrimaryReportedAt: ms(v.PrimaryReportedAt),
			WarmingUp: v.WarmingUp, RequestsQueued: v.RequestsQueued, PrimaryUnknown: v.PrimaryUnknown,
		}
		if host.Name == "" {
			return
		}
		if h := w.hosts[v.ID]; h != nil {
			h.judge(v, now, &host)
		}
		if r.bound > 0 && v.LagMeasuredAt > 0 { // a heard position may only ever exclude
			if v.Lag <= r.bound {
				host.FreshAt = ms(v.LagMeasuredAt)
			} else if host.Fault == 0 {
				host.Fault, host.FaultAt = fleetstate.Lagging, ms(v.LagMeasuredAt)
			}
		}
		s.Endpoints = append(s.Endpoints, host)
	})
	return s
}

// judge says what one host's record tells of it.
func (h *record) judge(v decide.EndpointView, now float64, to *fleetstate.EndpointHealth) {
	silent := now - h.asked
	to.Overdue = h.bad > h.good && now-h.bad < badFor || h.asked > 0 && silent > waitsAfter*clock.Millis(max(v.Latency, v.TypicalLatency))
	if h.asked > 0 && silent > silentAfter*clock.Millis(max(v.Latency, v.TypicalLatency)) {
		h.bad, h.asked = max(h.bad, h.asked), 0 // the next attempt is timed anew
	}
	to.AnsweredSentAt, to.LastSentAt, to.FaultAt = int64(h.good), int64(h.tried), int64(h.bad)
	switch {
	case h.bad > h.good && !v.Failing:
		to.Fault = fleetstate.Unresponsive
	case v.Failing && h.bad > h.good:
		to.Fault = fleetstate.Failing
	case float64(v.Latency) > slowTimes*float64(v.TypicalLatency) && h.good > 0:
		to.Fault, to.FaultAt = fleetstate.Slow, int64(h.good)
	}
}

func ms(t time.Duration) int64 { return t.Milliseconds() }
