package intake

import "lotusbend/internal/edge/timers"

// group is one replica group: the rate limit of its submissions and the
// readings that are queued for it. Times are Unix milliseconds.
type replicaGroup struct {
	number int

	window      float64 // submissions that may be in flight
	inFlight    int
	halvedAt    float64 // when the window was last halved
	failures    int     // rejected or failed submissions in a row
	rampStart   float64 // of the recovery from an outage, 0 if there is none
	pausedUntil float64 // nothing is submitted before
	resumeTimer *timers.Timer

	retries []*trackedReading // whose backoff is over: they go before queued ones
	urgent  []*deviceQueue    // round robin
	routine []*deviceQueue    // round robin
	turns   int               // counts the submissions from urgent and routine
}

const (
	initialWindow = 4
	// minHalvingIntervalMs keeps simultaneous failures from halving the window
	// again and again, in milliseconds.
	minHalvingIntervalMs = 250
	// outageFailures is the number of failures in a row after which the next
	// success starts a recovery ramp: endpoints that come back are warming up.
	outageFailures = 5
	// routineTurnInterval gives one in that many turns to a routine reading, so
	// that urgent ones never starve the rest.
	routineTurnInterval = 8
)

func (in *Intake) group(number int) *replicaGroup {
	group := in.groups[number]
	if group == nil {
		group = &replicaGroup{number: number, window: initialWindow}
		in.groups[number] = group
	}
	return group
}

// limit returns how many submissions may be in flight now. After an outage it
// rises slowly: the backlog of all devices waits just then, while the endpoints
// are warming up.
func (group *replicaGroup) limit(now float64, cfg *Config) int {
	window := min(group.window, float64(cfg.MaxWindow))
	if group.rampStart > 0 {
		if now >= group.rampStart+cfg.RecoveryRamp {
			group.rampStart = 0
		} else {
			window = min(window, 1+float64(cfg.MaxWindow)*(now-group.rampStart)/cfg.RecoveryRamp)
		}
	}
	return max(int(window), 1)
}

// recordSuccess grows the window after a submission that was served.
func (group *replicaGroup) recordSuccess(now float64, cfg *Config) {
	if group.failures >= outageFailures {
		group.rampStart = now
	}
	group.failures = 0
	group.window = min(group.window+1/group.window, float64(cfg.MaxWindow))
}

// recordFailure halves the window after a submission that was rejected or recordFailure.
func (group *replicaGroup) recordFailure(now float64) {
	group.failures++
	if now >= group.halvedAt+minHalvingIntervalMs {
		group.window = max(group.window/2, 1)
		group.halvedAt = now
	}
}

// dispatch submits as many queued readings as the group's limit allows.
func (in *Intake) dispatch(now float64, group *replicaGroup) {
	if now < group.pausedUntil {
		in.armResumeTimer(group)
		return
	}
	for group.inFlight < group.limit(now, &in.cfg) {
		reading := in.nextReading(group)
		if reading == nil {
			return
		}
		in.submitNext(now, reading)
	}
}

// armResumeTimer sets the timer for the end of a group's pause.
func (in *Intake) armResumeTimer(group *replicaGroup) {
	if group.resumeTimer != nil {
		return
	}
	group.resumeTimer = in.timers.At(group.pausedUntil, func(now float64) {
		group.resumeTimer = nil
		in.dispatch(now, group)
	})
}
