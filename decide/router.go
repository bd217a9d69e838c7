package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// tickInterval is how often deadlines, queues and silent endpoints are
	// inspected: short beside any latency objective.
	tickInterval = 10 * time.Millisecond
	// tickToken names the tick among the timers.
	tickToken = 1
	// initialLatency stands in until any answer was measured.
	initialLatency = 100 * time.Millisecond
	// latencySmoothing is the weight of a new sample: about ten answers of
	// memory.
	latencySmoothing = 0.1
	// answerRateWindow is the memory of the rate of answers.
	answerRateWindow = 5 * time.Second
	// retentionPeriod is how long the outcome of an attempt is waited for after
	// its request has expired, and a removed endpoint is remembered.
	retentionPeriod = 30 * time.Second
	// seedMix separates the two words of the generator's state.
	seedMix = 0x9e3779b97f4a7c15
)

// Router decides for one router process. It is not safe for concurrent use.
type Router struct {
	cfg     Config
	actions Actions
	fleet   Fleet
	rng     *rand.Rand

	endpoints     map[uint32]*trackedEndpoint
	ordered       []*trackedEndpoint // in the order of their first entries in the endpoint list
	groups        map[int]*replicaGroup
	orderedGroups []*replicaGroup
	requests      map[uint64]*trackedRequest
	active        requestList // the same requests, oldest first
	candidates    []*trackedEndpoint

	watch         endpointWatch
	retries       retryBudget
	healthChecks  healthCheckBudget
	clientRetries clientRetryEstimate
	admission     admissionControl
	answers       answerRate

	latency                  time.Duration // smoothed over all endpoints
	readyEndpoints           int           // by the endpoint list
	tightestStaleness        time.Duration // smallest staleness bound of a class, 0 for none
	tightestPrimaryObjective time.Duration // of the classes that only a primary serves
}

// New returns a router that acts through actions. It returns ErrIncomplete or a
// *ClassError for a configuration that it cannot work with.
func New(config Config, seed uint64, actions Actions) (*Router, error) {
	config, err := config.normalized()
	if err != nil {
		return nil, err
	}
	if actions == nil {
		return nil, ErrIncomplete
	}
	r := &Router{
		cfg:                      config,
		actions:                  actions,
		fleet:                    standalone{},
		rng:                      rand.New(rand.NewPCG(seed, seed^seedMix)),
		endpoints:                map[uint32]*trackedEndpoint{},
		groups:                   map[int]*replicaGroup{},
		requests:                 map[uint64]*trackedRequest{},
		watch:                    endpointWatch{backoff: initialWatchBackoff},
		retries:                  retryBudget{tokens: maxRetryTokens},
		clientRetries:            newClientRetryEstimate(len(config.Classes)),
		admission:                admissionControl{readFraction: 1, primaryReadFraction: 1},
		latency:                  initialLatency,
		tightestStaleness:        config.tightestStaleness(),
		tightestPrimaryObjective: config.tightestPrimaryObjective(),
	}
	r.active.init()
	return r, nil
}

// Start begins the router's work.
func (r *Router) Start(now time.Duration) {
	r.TimerFired(now, tickToken)
}

// TimerFired is the end of a wait asked for with Actions.SetTimer.
func (r *Router) TimerFired(now time.Duration, token uint32) {
	if token != tickToken {
		return
	}
	r.actions.SetTimer(tickInterval, tickToken)
	r.pollEndpointList(now)
	for _, endpoint := range r.ordered {
		r.detectSilence(endpoint, now)
		r.checkHealthIfDue(endpoint, now)
	}
	r.retries.refill(r.fleet.RetryRate(now), tickInterval)
	r.admission.recover(tickInterval)
	for request := range r.active.all() {
		r.enforceDeadline(request, now)
	}
	r.drainQueues(now)
}

// latencyOf is the endpoint's smoothed latency, the router's average if it
// never answered.
func (r *Router) latencyOf(endpoint *trackedEndpoint) time.Duration {
	if endpoint.latency == 0 {
		return r.latency
	}
	return endpoint.latency
}

// smooth moves an average towards a sample by the weight; the first sample
// counts whole.
func smooth(average, sample time.Duration, weight float64) time.Duration {
	if average == 0 {
		average = sample
	}
	return average + time.Duration(weight*float64(sample-average))
}

// answerRate measures how many answers the endpoints give this router.
type answerRate struct {
	perSecond  float64 // exponentially decaying
	peak       float64 // the greatest average of a ready endpoint
	measuredAt time.Duration
}

// record counts one answer; readyEndpoints divides the rate.
func (a *answerRate) record(now time.Duration, readyEndpoints int) {
	decay := math.Exp(-(now - a.measuredAt).Seconds() / answerRateWindow.Seconds())
	a.perSecond = a.perSecond*decay + 1/answerRateWindow.Seconds()
	a.measuredAt = now
	a.peak = max(a.peak, a.perSecond/float64(max(readyEndpoints, 1)))
}
