package intake

import "lotusbend/internal/edge/timers"

// group is one replica group: the rate limit of its submissions and the
// readings that are queued for it. Times are Unix milliseconds.
type group struct {
	number int

	window      float64 // submissions that may be in flight
	inFlight    int
	halvedAt    float64 // when the window was last halved
	failures    int     // rejected or failed submissions in a row
	rampStart   float64 // of the recovery from an outage, 0 if there is none
	pausedUntil float64 // nothing is submitted before
	resume      *timers.Timer

	retries []*entry       // whose backoff is over: they go before queued ones
	urgent  []*deviceQueue // round robin
	routine []*deviceQueue // round robin
	turn    int            // counts the submissions from urgent and routine
}

const (
	initialWindow = 4
	// minHalvingInterval keeps simultaneous failures from halving the window
	// again and again, in milliseconds.
	minHalvingInterval = 250
	// outageFailures is the number of failures in a row after which the next
	// success starts a recovery ramp: endpoints that come back are warming up.
	outageFailures = 5
	// routineInterval gives one in that many turns to a routine reading, so
	// that urgent ones never starve the rest.
	routineInterval = 8
)

func (in *Intake) group(number int) *group {
	g := in.groups[number]
	if g == nil {
		g = &group{number: number, window: initialWindow}
		in.groups[number] = g
	}
	return g
}

// limit returns how many submissions may be in flight now. After an outage it
// rises slowly: the backlog of all devices waits just then, while the endpoints
// are warming up.
func (g *group) limit(now float64, cfg *Config) int {
	window := min(g.window, float64(cfg.MaxWindow))
	if g.rampStart > 0 {
		if now >= g.rampStart+cfg.RecoveryRamp {
			g.rampStart = 0
		} else {
			window = min(window, 1+float64(cfg.MaxWindow)*(now-g.rampStart)/cfg.RecoveryRamp)
		}
	}
	return max(int(window), 1)
}

// succeeded grows the window after a submission that was served.
func (g *group) succeeded(now float64, cfg *Config) {
	if g.failures >= outageFailures {
		g.rampStart = now
	}
	g.failures = 0
	g.window = min(g.window+1/g.window, float64(cfg.MaxWindow))
}

// failed halves the window after a submission that was rejected or failed.
func (g *group) failed(now float64) {
	g.failures++
	if now >= g.halvedAt+minHalvingInterval {
		g.window = max(g.window/2, 1)
		g.halvedAt = now
	}
}

// dispatch submits as many queued readings as the group's limit allows.
func (in *Intake) dispatch(now float64, g *group) {
	if now < g.pausedUntil {
		in.armResume(g)
		return
	}
	for g.inFlight < g.limit(now, &in.cfg) {
		e := in.nextReading(g)
		if e == nil {
			return
		}
		in.submitNext(now, e)
	}
}

// armResume sets the timer for the end of a group's pause.
func (in *Intake) armResume(g *group) {
	if g.resume != nil {
		return
	}
	g.resume = in.timers.At(g.pausedUntil, func(now float64) {
		g.resume = nil
		in.dispatch(now, g)
	})
}
