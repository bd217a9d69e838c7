package decide

import (
	"iter"
	"time"
)

// tokenRounding covers the rounding of a session token's age.
const tokenRounding = time.Millisecond

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint *trackedEndpoint
	sentAt   time.Duration
	endedAt  time.Duration // 0 while it is in flight
}

// trackedRequest is a request from its arrival until its last attempt has
// ended.
type trackedRequest struct {
	Request
	class *Class
	group *replicaGroup

	expiresAt       time.Duration // the client's deadline
	objectiveAt     time.Duration // when its latency objective has passed
	queuedUntil     time.Duration // it is shed if nothing was sent by then
	tokenPosition   time.Duration // of its session token, 0 if none
	admissionDraw   float64       // in [0, 1), compared with the admission fractions
	clientMayRetry  bool          // false if it is taken for a client's retry
	attempts        []attempt
	inFlight        int           // attempts
	firstSentAt     time.Duration // of the first attempt that may have executed
	firstZone       int           // of that attempt
	mayHaveExecuted bool

	queued        bool // it waits in its group's queue
	answered      bool // the client has its final answer, or has gone
	answerStarted bool // the first bytes of an answer went to the client

	previous, next *trackedRequest // in the requestList
}

// RequestArrived takes a client's request. Its answer comes as Actions.Reject or
// Actions.Fail, or by an attempt that is served.
func (r *Router) RequestArrived(now time.Duration, arrived Request) {
	if r.requests[arrived.ID] != nil {
		return // a duplicate of one that gets its answer
	}
	if arrived.Class < 0 || arrived.Class >= len(r.cfg.Classes) {
		r.actions.Reject(arrived.ID, 0)
		return
	}
	request := r.track(arrived, now)
	r.retries.earn()
	r.healthChecks.earn()
	if r.cannotFinishInTime(request, now) {
		r.failEarly(request)
		return
	}
	r.route(request, now)
}

// track registers an arrived request.
func (r *Router) track(arrived Request, now time.Duration) *trackedRequest {
	timeLeft := max(arrived.TimeLeft, 0)
	class := &r.cfg.Classes[arrived.Class]
	request := &trackedRequest{
		Request:        arrived,
		class:          class,
		group:          r.group(arrived.Group),
		expiresAt:      now + timeLeft,
		queuedUntil:    now + time.Duration(maxQueuedFraction*float64(timeLeft)) - queueAnswerMargin,
		admissionDraw:  r.rng.Float64(),
		clientMayRetry: true,
	}
	objectiveAt := now + class.LatencyObjective
	if r.clientRetries.isRetry(arrived.Class, arrived.TimeLeft) {
		// Its objective counts from the client's first request, so that late
		// ones go first in a retry storm.
		objectiveAt -= max(class.Deadline-arrived.TimeLeft, 0)
		request.clientMayRetry = false
	}
	request.objectiveAt = min(objectiveAt, request.expiresAt)
	if r.cfg.SessionTokens && arrived.SinceCommit > 0 {
		request.tokenPosition = now - arrived.SinceCommit + tokenRounding
	}
	r.requests[arrived.ID] = request
	r.active.pushBack(request)
	return request
}

// ClientCancelled reports that the client of a request has gone.
func (r *Router) ClientCancelled(_ time.Duration, id uint64) {
	if request := r.requests[id]; request != nil && !request.answered {
		r.finish(request)
	}
}

// AnswerStarted reports that the answer of an attempt has begun to leave: from
// here on it is the client's, and no deadline applies.
func (r *Router) AnswerStarted(_ time.Duration, id uint64, _ int) {
	if request := r.requests[id]; request != nil {
		request.answerStarted = true
	}
}

// failEarly answers a request without waiting any longer: rejected where a retry
// by the client does no harm, failed otherwise. A retry helps only once queues
// have drained or a primary was found, so the advice is the longest wait that
// clients follow.
func (r *Router) failEarly(request *trackedRequest) {
	if request.safeToReject() {
		r.actions.Reject(request.ID, r.cfg.MaxRetryAfter)
	} else {
		r.actions.Fail(request.ID)
	}
	for number := range request.attempts {
		if r.cfg.CancelAttempts && request.attempts[number].endedAt == 0 {
			r.actions.Cancel(request.ID, number)
		}
	}
	if request.clientMayRetry {
		r.clientRetries.expect(expectedClientRetries)
	}
	r.finish(request)
}

// safeToReject reports whether the client may repeat the request without harm.
func (request *trackedRequest) safeToReject() bool {
	neverExecuted := !request.mayHaveExecuted && request.inFlight == 0
	class := request.class
	droppedEverywhere := class.Idempotency == IdempotencyKey && class.IdempotencyScope == ScopeAll
	return neverExecuted || droppedEverywhere || class.Idempotency == Idempotent
}

// finish marks a request as answered. Its record stays until its attempts have
// ended.
func (r *Router) finish(request *trackedRequest) {
	request.answered = true
	request.queued = false
	if request.inFlight == 0 {
		r.active.remove(request)
		delete(r.requests, request.ID)
	}
}

// requestList is a doubly linked ring of requests, oldest first.
type requestList struct {
	sentinel trackedRequest
}

func (l *requestList) init() {
	l.sentinel.previous = &l.sentinel
	l.sentinel.next = &l.sentinel
}

func (l *requestList) pushBack(request *trackedRequest) {
	last := l.sentinel.previous
	request.previous = last
	request.next = &l.sentinel
	last.next = request
	l.sentinel.previous = request
}

func (l *requestList) remove(request *trackedRequest) {
	request.previous.next = request.next
	request.next.previous = request.previous
}

// all yields each request; the current one may be removed meanwhile.
func (l *requestList) all() iter.Seq[*trackedRequest] {
	return func(yield func(*trackedRequest) bool) {
		request := l.sentinel.next
		for request != &l.sentinel {
			next := request.next
			if !yield(request) {
				return
			}
			request = next
		}
	}
}
