package router

import (
	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/fleetstate"
)

const (
	// overdueLatencies is the multiple of the latency after which an attempt
	// without an answer marks its endpoint as overdue.
	overdueLatencies = 2.0
	// unresponsiveLatencies is the multiple of the latency after which an attempt
	// without an answer counts as a fault of its endpoint.
	unresponsiveLatencies = 4.0
	// faultWindowMs is how long after a failed attempt was sent, in
	// milliseconds, its endpoint is reported as overdue. Such a report supports
	// the fault reports of other routers.
	faultWindowMs = 2000
	// slowLatencyFactor is the multiple of the typical latency above which an
	// endpoint is reported as slow.
	slowLatencyFactor = 4.0
	// rateSmoothingMs is the time, in milliseconds, over which the request rate is
	// smoothed.
	rateSmoothingMs = 2000
)

// Observer counts what this router serves and records how endpoints answer, to
// be shared with other routers. It has no effect on routing. Its methods must be
// called inside the loop's Do. A nil Observer records nothing.
type Observer struct {
	zone          int            // this router's zone
	zones         map[uint32]int // zones of the listed endpoints, by endpoint ID
	endpoints     map[uint32]*endpointRecord
	counters      fleetstate.Counters // since the last observation
	requests      uint64              // number of requests since the start
	ratedRequests uint64              // value of requests when requestRate was updated
	requestRate   float64             // requests per second, smoothed
	rateUpdatedAt float64             // Unix milliseconds
}

// endpointRecord summarizes how one endpoint answers attempts. Each field is the
// time at which an attempt was sent, in Unix milliseconds, 0 for no such attempt.
type endpointRecord struct {
	lastSentAt     float64 // the last attempt
	answeredSentAt float64 // the last attempt with a valid answer
	failedSentAt   float64 // the last attempt that is known to have failed
	awaitedSentAt  float64 // the attempt since which the endpoint's silence is timed
}

// StartObserving makes the router record what Observe returns.
func (r *Router) StartObserving() {
	for _, class := range r.cfg.Classes {
		if class.Consistency == decide.Bounded {
			r.maxStaleness = max(r.maxStaleness, class.MaxStaleness)
		}
	}
	r.observer = &Observer{
		zone:          r.cfg.Zone,
		zones:         map[uint32]int{},
		endpoints:     map[uint32]*endpointRecord{},
		rateUpdatedAt: r.loop.Now(),
	}
}

// endpointsUpdated applies an update of the endpoint list.
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

// attemptSent records an attempt. number is 0 for the first attempt of a request.
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
		if listed { // no record is kept for an endpoint that is no longer listed
			o.endpoints[endpoint] = record
		}
	}
	record.lastSentAt = now
	if record.awaitedSentAt == 0 {
		record.awaitedSentAt = now
	}
}

// attemptEnded counts an attempt if the endpoint may have received any of it, and
// updates the endpoint's record with the outcome.
func (o *Observer) attemptEnded(class int, ended *attempt, outcome decide.Outcome) {
	if o == nil {
		return
	}
	if ended.maybeWritten && outcome != decide.NotSent && outcome != decide.ConnectFailed {
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

// Observe returns the counters since the last call and the health of each
// endpoint. name returns an endpoint's name, or "" to leave the endpoint out.
// StartObserving must have been called before.
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

// updateRequestRate updates the smoothed request rate with the requests since the
// last update. now is in Unix milliseconds.
func (o *Observer) updateRequestRate(now float64) {
	elapsed := now - o.rateUpdatedAt
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed/rateSmoothingMs)
	o.requestRate += weight * (float64(o.requests-o.ratedRequests)/elapsed*1000 - o.requestRate)
	o.rateUpdatedAt = now
	o.ratedRequests = o.requests
}

// endpointHealth returns the health of one endpoint as reported to other routers.
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
	// Other routers may use a reported position only to exclude a replica, never
	// to select it.
	if r.maxStaleness > 0 && view.LagMeasuredAt > 0 {
		if view.Lag <= r.maxStaleness {
			health.FreshAt = view.LagMeasuredAt.Milliseconds()
		} else if health.Fault == 0 {
			health.Fault = fleetstate.Lagging
			health.FaultAt = view.LagMeasuredAt.Milliseconds()
		}
	}
	return health
}

// assess sets the fields of health that follow from the record. An attempt that
// has gone without an answer for too long becomes a failed attempt. now is in
// Unix milliseconds.
func (record *endpointRecord) assess(
	view decide.EndpointView, now float64, health *fleetstate.EndpointHealth,
) {
	latency := clock.Millis(max(view.Latency, view.TypicalLatency))
	silence := now - record.awaitedSentAt
	failedRecently := record.failedSentAt > record.answeredSentAt && now-record.failedSentAt < faultWindowMs
	awaited := record.awaitedSentAt > 0
	health.Overdue = failedRecently || awaited && silence > overdueLatencies*latency
	if awaited && silence > unresponsiveLatencies*latency {
		record.failedSentAt = max(record.failedSentAt, record.awaitedSentAt)
		record.awaitedSentAt = 0 // timing restarts with the next attempt
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
