package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// tickInterval is the interval between checks of deadlines, queues and
	// endpoints. It is short compared with any latency objective.
	tickInterval = 10 * time.Millisecond
	// tickToken is the timer token of the tick.
	tickToken = 1
	// initialLatency is the average latency assumed before the first answer.
	initialLatency = 100 * time.Millisecond
	// latencySmoothing is the weight of a new sample in a moving average of
	// latencies, which spans about ten answers.
	latencySmoothing = 0.1
	// answerRateWindow is the time constant of the moving average of the rate of
	// answers.
	answerRateWindow = 5 * time.Second
	// retentionPeriod is how long the router keeps an expired request with an
	// attempt in flight, and a removed endpoint.
	retentionPeriod = 30 * time.Second
	// seedMix makes the two words of the generator's seed differ.
	seedMix = 0x9e3779b97f4a7c15
)

// Router makes the decisions of one router process. Create it with New. It is
// not safe for concurrent use.
type Router struct {
	cfg     Config
	actions Actions
	fleet   Fleet
	rng     *rand.Rand

	endpoints     map[uint32]*trackedEndpoint
	ordered       []*trackedEndpoint // in the order in which they first appeared in the endpoint list
	groups        map[int]*replicaGroup
	orderedGroups []*replicaGroup // in the order of their creation
	requests      map[uint64]*trackedRequest
	active        requestList        // the same requests as in the map, oldest first
	candidates    []*trackedEndpoint // buffer that bestReplicas reuses

	watch         endpointWatch
	retries       retryBudget
	healthChecks  healthCheckBudget
	clientRetries clientRetryEstimate
	admission     admissionControl
	answers       answerRate

	latency                  time.Duration // smoothed over the answers of all endpoints
	readyEndpoints           int           // number of endpoints in the state Ready
	tightestStaleness        time.Duration // smallest staleness bound of a class, 0 if there is none
	tightestPrimaryObjective time.Duration // shortest objective of a class that only a primary serves
}

// New returns a router that carries out its decisions through actions. Equal
// seeds give equal random draws. For an invalid configuration it returns
// ErrIncomplete or a *ClassError.
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

// Start starts the router's periodic tick. Call it once, before any other event.
func (r *Router) Start(now time.Duration) {
	r.TimerFired(now, tickToken)
}

// TimerFired reports that a timer set with Actions.SetTimer has fired. It runs
// the periodic checks and sets the next timer. An unknown token is ignored.
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

// latencyOf returns the endpoint's smoothed latency, or the router's average if
// the endpoint never served an attempt.
func (r *Router) latencyOf(endpoint *trackedEndpoint) time.Duration {
	if endpoint.latency == 0 {
		return r.latency
	}
	return endpoint.latency
}

// smooth returns the exponential moving average after a new sample of the given
// weight in [0, 1]. An average of 0 is replaced by the sample.
func smooth(average, sample time.Duration, weight float64) time.Duration {
	if average == 0 {
		average = sample
	}
	return average + time.Duration(weight*float64(sample-average))
}

// answerRate measures the rate at which endpoints serve this router's attempts.
type answerRate struct {
	perSecond  float64 // moving average over all endpoints
	peak       float64 // greatest rate per ready endpoint so far, in answers a second
	measuredAt time.Duration
}

// record counts one served attempt, with the number of endpoints that are ready.
func (a *answerRate) record(now time.Duration, readyEndpoints int) {
	decay := math.Exp(-(now - a.measuredAt).Seconds() / answerRateWindow.Seconds())
	a.perSecond = a.perSecond*decay + 1/answerRateWindow.Seconds()
	a.measuredAt = now
	a.peak = max(a.peak, a.perSecond/float64(max(readyEndpoints, 1)))
}
