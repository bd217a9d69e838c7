package intake

import "lotusbend/internal/edge/timers"

// replicaGroup holds the concurrency limit of the submissions to one replica
// group and the readings queued for it. Times are Unix milliseconds.
type replicaGroup struct {
	number int

	window      float64 // number of submissions that may be in flight; grows and shrinks by fractions
	inFlight    int
	halvedAt    float64       // when the window was last halved
	failures    int           // consecutive rejected or failed submissions
	rampStart   float64       // start of the recovery after an outage, 0 outside a recovery
	pausedUntil float64       // nothing is submitted before this time
	resumeTimer *timers.Timer // for the end of the pause, nil if not set

	retries []*trackedReading // readings whose backoff is over; they precede the queued ones
	urgent  []*deviceQueue    // queues with an urgent reading, in round-robin order
	routine []*deviceQueue    // queues with a routine reading, in round-robin order
	turns   int               // number of queues taken from urgent and routine
}

const (
	// initialWindow is the number of submissions that may be in flight to a group
	// before any of them was served.
	initialWindow = 4
	// minHalvingIntervalMs keeps simultaneous failures from halving the window
	// more than once.
	minHalvingIntervalMs = 250
	// outageFailures is the number of consecutive failures after which the next
	// success starts a recovery ramp, because endpoints that come back are still
	// warming up.
	outageFailures = 5
	// routineTurnInterval is the number of turns of which one goes to a device with
	// routine readings, so that the urgent readings of other devices cannot starve
	// these.
	routineTurnInterval = 8
)

// group returns the state of a replica group, creating it if needed.
func (in *Intake) group(number int) *replicaGroup {
	group := in.groups[number]
	if group == nil {
		group = &replicaGroup{number: number, window: initialWindow}
		in.groups[number] = group
	}
	return group
}

// limit returns how many submissions may be in flight at now, at least 1. After
// an outage it rises linearly over cfg.RecoveryRamp, because all devices have a
// backlog then while the endpoints are still warming up.
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

// recordSuccess widens the window after a served submission, and starts a
// recovery ramp if an outage preceded it.
func (group *replicaGroup) recordSuccess(now float64, cfg *Config) {
	if group.failures >= outageFailures {
		group.rampStart = now
	}
	group.failures = 0
	group.window = min(group.window+1/group.window, float64(cfg.MaxWindow))
}

// recordFailure halves the window after a rejected or failed submission, at most
// once in minHalvingIntervalMs.
func (group *replicaGroup) recordFailure(now float64) {
	group.failures++
	if now >= group.halvedAt+minHalvingIntervalMs {
		group.window = max(group.window/2, 1)
		group.halvedAt = now
	}
}

// dispatch submits as many queued readings as the group's limit allows, unless
// the group is paused.
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

// armResumeTimer sets the timer that dispatches at the end of a group's pause,
// unless it is set already.
func (in *Intake) armResumeTimer(group *replicaGroup) {
	if group.resumeTimer != nil {
		return
	}
	group.resumeTimer = in.timers.At(group.pausedUntil, func(now float64) {
		group.resumeTimer = nil
		in.dispatch(now, group)
	})
}
