package decide

import (
	"iter"
	"time"
)

// tokenAgeRounding is added to the position of a session token, as the age that it
// is computed from is rounded.
const tokenAgeRounding = time.Millisecond

// attempt is one attempt to execute a request at an endpoint.
type attempt struct {
	endpoint *trackedEndpoint
	sentAt   time.Duration
	endedAt  time.Duration // 0 while it is in flight
}

// trackedRequest is the state of a request, from its arrival until it is answered
// and its last attempt has ended.
type trackedRequest struct {
	Request
	class *Class
	group *replicaGroup

	expiresAt       time.Duration // the client's deadline
	objectiveAt     time.Duration // when the latency objective ends
	queueDeadline   time.Duration // the request is shed at this time if no attempt was sent
	tokenPosition   time.Duration // position of the session token, 0 if none
	admissionDraw   float64       // random in [0, 1), compared with the admission fractions
	clientMayRetry  bool          // false if the request is itself taken for a client's retry
	attempts        []attempt
	inFlight        int           // number of attempts in flight
	firstSentAt     time.Duration // send time of the first attempt that may have been executed
	firstZone       int           // zone of that attempt's endpoint
	mayHaveExecuted bool          // an attempt has ended that may have been executed

	queued        bool // in its group's queue
	answered      bool // the client has its final answer, or has disconnected
	answerStarted bool // the client has received the first bytes of an answer

	previous, next *trackedRequest // neighbours in the requestList
}

// RequestArrived handles a new request of a client. The request is answered by
// an attempt that is served, by Actions.Reject or by Actions.Fail. An ID that is
// still in use is ignored, and a request of an unknown class is rejected.
func (r *Router) RequestArrived(now time.Duration, arrived Request) {
	if r.requests[arrived.ID] != nil {
		return // a request with this ID is already being handled
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

// track creates and registers the state of an arrived request.
func (r *Router) track(arrived Request, now time.Duration) *trackedRequest {
	timeLeft := max(arrived.TimeLeft, 0)
	class := &r.cfg.Classes[arrived.Class]
	request := &trackedRequest{
		Request:        arrived,
		class:          class,
		group:          r.group(arrived.Group),
		expiresAt:      now + timeLeft,
		queueDeadline:  now + time.Duration(maxQueuedFraction*float64(timeLeft)) - queueAnswerMargin,
		admissionDraw:  r.rng.Float64(),
		clientMayRetry: true,
	}
	objectiveAt := now + class.LatencyObjective
	if r.clientRetries.isRetry(arrived.Class, arrived.TimeLeft) {
		// The latency objective counts from the client's first request, so that
		// in a retry storm the retries whose objective has passed are shed first.
		objectiveAt -= max(class.Deadline-arrived.TimeLeft, 0)
		request.clientMayRetry = false
	}
	request.objectiveAt = min(objectiveAt, request.expiresAt)
	if r.cfg.SessionTokens && arrived.SinceCommit > 0 {
		request.tokenPosition = now - arrived.SinceCommit + tokenAgeRounding
	}
	request.group.requests++
	r.requests[arrived.ID] = request
	r.active.pushBack(request)
	return request
}

// ClientCancelled reports that the client of a request has disconnected or
// cancelled the request. The request is not retried any more; its attempts in
// flight are not cancelled. An unknown id is ignored.
func (r *Router) ClientCancelled(_ time.Duration, id uint64) {
	if request := r.requests[id]; request != nil && !request.answered {
		r.finish(request)
	}
}

// GiveUp ends a request before its deadline in the way in which it ends there: it is
// rejected if its client can safely retry it, and failed otherwise. An unknown id is
// ignored.
func (r *Router) GiveUp(_ time.Duration, id uint64) {
	request := r.requests[id]
	if request != nil && !request.answered && !request.answerStarted {
		r.failEarly(request)
	}
}

// AnswerStarted reports that the first bytes of an attempt's answer were sent to
// the client. From then on the request is neither retried nor ended at its
// deadline.
func (r *Router) AnswerStarted(_ time.Duration, id uint64, _ int) {
	if request := r.requests[id]; request != nil {
		request.answerStarted = true
	}
}

// failEarly answers a request with an error, at its deadline at the latest, and
// cancels its attempts in flight where that is possible. The request is rejected
// if the client can safely retry it, and failed otherwise. A retry helps only after
// queues have drained or a primary was found, so Retry-After is the longest wait
// that clients follow.
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

// safeToReject reports whether the client can retry the request without executing
// it twice.
func (request *trackedRequest) safeToReject() bool {
	neverExecuted := !request.mayHaveExecuted && request.inFlight == 0
	class := request.class
	droppedEverywhere := class.Idempotency == IdempotencyKey && class.IdempotencyScope == ScopeAll
	return neverExecuted || droppedEverywhere || class.Idempotency == Idempotent
}

// finish marks a request as answered and drops its state if it has no attempt in
// flight.
func (r *Router) finish(request *trackedRequest) {
	request.answered = true
	request.queued = false
	if request.inFlight == 0 && r.requests[request.ID] == request {
		r.active.remove(request)
		delete(r.requests, request.ID)
		request.group.requests--
	}
}

// requestList is a doubly linked circular list of requests, oldest first. Call
// init before use.
type requestList struct {
	sentinel trackedRequest
}

// init makes the list empty.
func (l *requestList) init() {
	l.sentinel.previous = &l.sentinel
	l.sentinel.next = &l.sentinel
}

// pushBack appends a request, which must not be in a list.
func (l *requestList) pushBack(request *trackedRequest) {
	last := l.sentinel.previous
	request.previous = last
	request.next = &l.sentinel
	last.next = request
	l.sentinel.previous = request
}

// remove removes a request from the list.
func (l *requestList) remove(request *trackedRequest) {
	request.previous.next = request.next
	request.next.previous = request.previous
}

// all iterates over the requests. The loop body may remove the current request.
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
