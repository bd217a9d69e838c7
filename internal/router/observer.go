package router

import (
	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/fleetstate"
)

const (
	// overdueLatencies is for how many latencies an attempt may go without an
	// answer before the endpoint counts as overdue.
	overdueLatencies = 2.0
	// unresponsiveLatencies is the same before silence counts as a fault.
	unresponsiveLatencies = 4.0
	// faultMemory is how long, in milliseconds, a failure that this router saw
	// supports what other routers report.
	faultMemory = 2000
	// slowLatencyFactor is the multiple of the typical latency past which an
	// endpoint is reported as slow.
	slowLatencyFactor = 4.0
	// rateSmoothing is the period, in milliseconds, over which the rate of
	// requests is smoothed.
	rateSmoothing = 2000
)

// Observer records what this router serves and how endpoints answer it, to be
// shared with other routers. It does not influence the router. Its methods are
// called inside the loop's Do; a nil Observer records nothing.
type Observer struct {
	zone        int
	zones       map[uint32]int // of the listed endpoints
	endpoints   map[uint32]*endpointRecord
	counters    fleetstate.Counters // since the last observation
	requests    uint64              // since the start
	rated       uint64              // of requests, those that requestRate covers
	requestRate float64             // requests a second, smoothed
	ratedAt     float64             // Unix milliseconds
}

// endpointRecord is how one endpoint answers. All fields are Unix milliseconds
// at which attempts were sent, 0 for none.
type endpointRecord struct {
	lastSentAt     float64 // the last attempt
	answeredSentAt float64 // the last that was answered well
	failedSentAt   float64 // the last that is known to have failed
	awaitedSentAt  float64 // the one whose silence is being timed
}

// StartObserving has the router record, from now on, what Observe returns.
func (r *Router) StartObserving() {
	for _, class := range r.cfg.Classes {
		if class.Consistency == decide.Bounded {
			r.staleness = max(r.staleness, class.MaxStaleness)
		}
	}
	r.observer = &Observer{
		zone:      r.cfg.Zone,
		zones:     map[uint32]int{},
		endpoints: map[uint32]*endpointRecord{},
		ratedAt:   r.loop.Now(),
	}
}

// endpointsUpdated takes an update of the endpoint list.
func (o *Observer) endpointsUpdated(endpoints []decide.Endpoint) {
	if o == nil {
		return
	}
	for _, endpoint := range endpoints {
		o.zones[endpoint.ID] = endpoint.Zone
		if endpoint.State == decide.Removed {
			delete(o.zones, endpoint.ID)
			delete(o.endpoints, endpoint.ID)
		}
	}
}

// requestArrived counts a request.
func (o *Observer) requestArrived(class int) {
	if o != nil {
		o.requests++
		o.counters.Add(class, fleetstate.Requests, 1)
	}
}

// requestRejected counts a rejected request.
func (o *Observer) requestRejected(class int) {
	if o != nil {
		o.counters.Add(class, fleetstate.Rejections, 1)
	}
}

// attemptSent records an attempt; number is 0 for the first of its request.
func (o *Observer) attemptSent(class, number int, endpoint uint32, now float64) {
	if o == nil {
		return
	}
	if number > 0 {
		o.counters.Add(class, fleetstate.Retries, 1)
	}
	zone, listed := o.zones[endpoint]
	if listed && zone != o.zone {
		o.counters.Add(class, fleetstate.CrossZoneAttempts, 1)
	}
	record := o.endpoints[endpoint]
	if record == nil {
		record = &endpointRecord{}
		if listed { // nothing is kept of an endpoint that is no longer listed
			o.endpoints[endpoint] = record
		}
	}
	record.lastSentAt = now
	if record.awaitedSentAt == 0 {
		record.awaitedSentAt = now
	}
}

// attemptEnded counts an attempt of which the endpoint may have received
// something, and records what its outcome shows of the endpoint.
func (o *Observer) attemptEnded(class int, ended *attempt, outcome decide.Outcome) {
	if o == nil {
		return
	}
	if ended.begun && outcome != decide.NotSent && outcome != decide.ConnectFailed {
		o.counters.Add(class, fleetstate.Attempts, 1)
	}
	record := o.endpoints[ended.endpoint]
	if record == nil {
		return
	}
	switch outcome {
	case decide.OK, decide.Ineligible, decide.Overloaded, decide.InvalidRequest: // a valid answer
		record.answeredSentAt = max(record.answeredSentAt, ended.sentAt)
		if record.awaitedSentAt <= ended.sentAt {
			record.awaitedSentAt = 0
		}
	case decide.Error, decide.Malformed, decide.Reset, decide.ConnectFailed, decide.TimedOut:
		record.failedSentAt = max(record.failedSentAt, ended.sentAt)
	}
}

// Observe returns what was observed since the last call, and the state of each
// endpoint. name returns an endpoint's name, "" for one that is not to be
// reported. StartObserving must have been called before.
func (r *Router) Observe(name func(endpoint uint32) string) fleetstate.Observation {
	now := r.loop.Now()
	observation := fleetstate.Observation{Counters: r.observer.counters}
	r.observer.counters = nil
	r.observer.updateRequestRate(now)
	saved, capacity, earned := r.decider.RetryBudget()
	observation.RetryBudget = fleetstate.RetryBudget{
		EarnedPerSecond: r.observer.requestRate * earned,
		Surplus:         saved >= capacity,
		Depleted:        saved < capacity/2,
	}
	r.decider.View(r.now(), func(view decide.EndpointView) {
		if endpointName := name(view.ID); endpointName != "" {
			observation.Endpoints = append(observation.Endpoints, r.endpointHealth(view, endpointName, now))
		}
	})
	return observation
}

// updateRequestRate smooths the rate with the requests since the last update.
func (o *Observer) updateRequestRate(now float64) {
	elapsed := now - o.ratedAt
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed/rateSmoothing)
	o.requestRate += weight * (float64(o.requests-o.rated)/elapsed*1000 - o.requestRate)
	o.ratedAt = now
	o.rated = o.requests
}

// endpointHealth describes one endpoint to other routers.
func (r *Router) endpointHealth(
	view decide.EndpointView, name string, now float64,
) fleetstate.EndpointHealth {
	health := fleetstate.EndpointHealth{
		Name:              name,
		Group:             view.Group,
		Ready:             view.Ready,
		Primary:           view.Primary,
		PrimaryReportedAt: view.PrimaryReportedAt.Milliseconds(),
		WarmingUp:         view.WarmingUp,
		RequestsQueued:    view.RequestsQueued,
		PrimaryUnknown:    view.PrimaryUnknown,
	}
	if record := r.observer.endpoints[view.ID]; record != nil {
		record.assess(view, now, &health)
	}
	// A position that another router reported may only ever exclude a replica.
	if r.staleness > 0 && view.LagMeasuredAt > 0 {
		if view.Lag <= r.staleness {
			health.FreshAt = view.LagMeasuredAt.Milliseconds()
		} else if health.Fault == 0 {
			health.Fault = fleetstate.Lagging
			health.FaultAt = view.LagMeasuredAt.Milliseconds()
		}
	}
	return health
}

// assess adds to health what the record shows of its endpoint. Silence that has
// lasted becomes a failure of the attempt that was awaited.
func (record *endpointRecord) assess(
	view decide.EndpointView, now float64, health *fleetstate.EndpointHealth,
) {
	latency := clock.Millis(max(view.Latency, view.TypicalLatency))
	silence := now - record.awaitedSentAt
	failedLately := record.failedSentAt > record.answeredSentAt && now-record.failedSentAt < faultMemory
	awaited := record.awaitedSentAt > 0
	health.Overdue = failedLately || awaited && silence > overdueLatencies*latency
	if awaited && silence > unresponsiveLatencies*latency {
		record.failedSentAt = max(record.failedSentAt, record.awaitedSentAt)
		record.awaitedSentAt = 0 // the next attempt is timed anew
	}
	health.AnsweredSentAt = int64(record.answeredSentAt)
	health.LastSentAt = int64(record.lastSentAt)
	health.FaultAt = int64(record.failedSentAt)
	failed := record.failedSentAt > record.answeredSentAt
	slow := float64(view.Latency) > slowLatencyFactor*float64(view.TypicalLatency)
	switch {
	case failed && !view.Failing:
		health.Fault = fleetstate.Unresponsive
	case failed:
		health.Fault = fleetstate.Failing
	case slow && record.answeredSentAt > 0:
		health.Fault = fleetstate.Slow
		health.FaultAt = int64(record.answeredSentAt)
	}
}
