package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxQueuedFraction is the fraction of its time left that a request may be
	// queued before its first attempt.
	maxQueuedFraction = 0.5
	// queueAnswerMargin is subtracted from that time, for the transmission of the
	// answer.
	queueAnswerMargin = 2 * tickInterval
	// maxLatencyEstimateDivisor divides a latency objective to give the upper
	// bound of the latency estimate of a request, so that a wrong estimate cannot
	// reject all requests.
	maxLatencyEstimateDivisor = 4
	// primaryReadLimitFraction is the fraction of a primary's concurrency limit that
	// reads may use which a replica could serve.
	primaryReadLimitFraction = 0.75
	// admissionDecreaseFactor is the factor by which each Overloaded answer reduces the
	// fractions of reads that are admitted.
	admissionDecreaseFactor = 0.8
	// admissionIncrease is the amount by which the admitted fraction rises with
	// each served request, and each second.
	admissionIncrease = 0.02
	// primaryReadDecreaseFactor is the factor by which each late answer of a primary
	// reduces the fraction of reads that may go to a primary.
	primaryReadDecreaseFactor = 0.9
	// primaryReadIncrease is the relative increase of that fraction with each
	// other answer, and the absolute increase each second. The fraction is stable
	// if a third of the answers are late.
	primaryReadIncrease = 0.05
)

// admissionControl sheds load: each request draws one random number, and a read
// that needs no primary is admitted unless the number exceeds the fraction.
type admissionControl struct {
	readFraction        float64 // of the reads that need no primary, the fraction that is admitted
	primaryReadFraction float64 // of those reads, the fraction that may go to a primary
}

// overloaded records an Overloaded answer: the queue of an endpoint is full, and
// thus its waiting time longer than most latency objectives.
func (c *admissionControl) overloaded() {
	c.readFraction *= admissionDecreaseFactor
	c.primaryReadFraction *= admissionDecreaseFactor
}

// served records a served attempt.
func (c *admissionControl) served() {
	c.readFraction = min(1, c.readFraction+admissionIncrease)
}

// primaryAnswered records the end of an attempt at a primary; see adaptConcurrency
// for what counts as in time.
func (c *admissionControl) primaryAnswered(inTime bool) {
	if inTime {
		c.primaryReadFraction = min(1, c.primaryReadFraction*(1+primaryReadIncrease))
		return
	}
	c.primaryReadFraction *= primaryReadDecreaseFactor
}

// recover raises the fractions by the elapsed time, so that they also recover
// while no requests are sent.
func (c *admissionControl) recover(elapsed time.Duration) {
	c.readFraction = min(1, c.readFraction+admissionIncrease*elapsed.Seconds())
	c.primaryReadFraction = min(1, c.primaryReadFraction+primaryReadIncrease*elapsed.Seconds())
}

// cannotFinishInTime reports whether the answer would probably come too late to
// have any value if the request were sent now.
func (r *Router) cannotFinishInTime(request *trackedRequest, now time.Duration) bool {
	needed := r.latency
	if primary := request.group.primary; primary != nil && request.class.Consistency.needsPrimary() {
		needed = r.latencyOf(primary)
	}
	needed = min(needed, request.class.LatencyObjective/maxLatencyEstimateDivisor)
	if now+needed > request.expiresAt {
		return true
	}
	return request.class.lateIsWorthless() && now+needed > request.objectiveAt
}

// expectedValue returns the probable value of the answer if the request were sent
// now, in units of Class.PriorityWeight.
func (r *Router) expectedValue(request *trackedRequest, now time.Duration) float64 {
	if now+r.latency > request.objectiveAt {
		return request.class.PriorityWeight * request.class.LateWeight
	}
	return request.class.PriorityWeight
}

// drainQueues drains the queue of every group.
func (r *Router) drainQueues(now time.Duration) {
	for _, group := range r.orderedGroups {
		r.drainQueue(group, now)
	}
	r.dropUnlistedGroups()
}

// drainQueue sends the queued requests of a group as far as there is capacity,
// those of the greatest expected value first. It sheds requests that cannot finish
// in time or have been queued for too long. One that remains may then be sent by
// primary discovery.
func (r *Router) drainQueue(group *replicaGroup, now time.Duration) {
	slices.SortStableFunc(group.queue, func(a, b *trackedRequest) int {
		return cmp.Compare(r.expectedValue(b, now), r.expectedValue(a, now))
	})
	for _, request := range group.queue {
		if request.queued {
			r.dequeue(request, now)
		}
	}
	r.discoverPrimary(group, now)
	group.queue = slices.DeleteFunc(group.queue, func(request *trackedRequest) bool {
		return !request.queued
	})
}

// dequeue sheds a queued request that cannot finish in time, sends it if an
// endpoint can take it, sheds it if no attempt was sent by its queue deadline, and
// leaves it in the queue otherwise.
func (r *Router) dequeue(request *trackedRequest, now time.Duration) {
	if r.cannotFinishInTime(request, now) {
		r.failEarly(request)
		return
	}
	if endpoint := r.selectEndpoint(request, now); endpoint != nil {
		r.send(request, endpoint, now)
		return
	}
	if len(request.attempts) == 0 && now >= request.queueDeadline {
		r.failEarly(request)
	}
}
