package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxQueuedFraction is the part of its time left for which a request may be
	// queued before its first attempt.
	maxQueuedFraction = 0.5
	// queueAnswerMargin is taken off that, for the way of the answer.
	queueAnswerMargin = 2 * tickInterval
	// objectiveDivisor: work is taken to need at most this part of a latency
	// objective, so that a wrong estimate cannot reject everything.
	objectiveDivisor = 4
	// replicaReadFraction is the part of a primary's concurrency limit that is open
	// to reads which a replica could serve.
	replicaReadFraction = 0.75
	// admissionDecrease and admissionIncrease adapt the fraction of reads that are
	// admitted, by an Overloaded answer and by each served one (and each second).
	admissionDecrease = 0.8
	admissionIncrease = 0.02
	// primaryReadDecrease and primaryReadIncrease adapt the fraction of reads that
	// may go to a primary, by its late answers and by the others (and each
	// second). In balance a third of the answers are late.
	primaryReadDecrease = 0.9
	primaryReadIncrease = 0.05
)

// admissionControl sheds load: each read draws a number once, and only those
// below the fractions pass.
type admissionControl struct {
	readFraction        float64 // of the reads that need no primary, admitted at all
	primaryReadFraction float64 // of them, admitted at a primary
}

// overloaded notes that an endpoint's queue was full, so longer than most
// objectives.
func (c *admissionControl) overloaded() {
	c.readFraction *= admissionDecrease
	c.primaryReadFraction *= admissionDecrease
}

// served notes a served request.
func (c *admissionControl) served() {
	c.readFraction = min(1, c.readFraction+admissionIncrease)
}

// primaryAnswered notes an answer of a primary.
func (c *admissionControl) primaryAnswered(inTime bool) {
	if inTime {
		c.primaryReadFraction = min(1, c.primaryReadFraction*(1+primaryReadIncrease))
		return
	}
	c.primaryReadFraction *= primaryReadDecrease
}

// recover raises the fractions with time, also where nothing is sent that could
// raise them.
func (c *admissionControl) recover(elapsed time.Duration) {
	c.readFraction = min(1, c.readFraction+admissionIncrease*elapsed.Seconds())
	c.primaryReadFraction = min(1, c.primaryReadFraction+primaryReadIncrease*elapsed.Seconds())
}

// cannotFinishInTime reports whether the request would earn nothing if it were
// sent now.
func (r *Router) cannotFinishInTime(request *trackedRequest, now time.Duration) bool {
	needed := r.latency
	if primary := request.group.primary; primary != nil && request.class.Consistency.needsPrimary() {
		needed = r.latencyOf(primary)
	}
	needed = min(needed, request.class.LatencyObjective/objectiveDivisor)
	if now+needed > request.expiresAt {
		return true
	}
	return request.class.lateIsWorthless() && now+needed > request.objectiveAt
}

// expectedValue is what the request would likely earn if it were sent now.
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
}

// drainQueue sends what a group has queued as far as there is capacity, the most
// valuable requests first, and sheds those that cannot finish in time or have
// been queued for too long.
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

// dequeue sends a queued request if it can be, or sheds it.
func (r *Router) dequeue(request *trackedRequest, now time.Duration) {
	if r.cannotFinishInTime(request, now) {
		r.failEarly(request)
		return
	}
	if endpoint := r.selectEndpoint(request, now); endpoint != nil {
		r.send(request, endpoint, now)
		return
	}
	if len(request.attempts) == 0 && now >= request.queuedUntil {
		r.failEarly(request)
	}
}
