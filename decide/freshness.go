package decide

import "time"

const (
	// lagIncreaseSmoothing is the weight of a lag greater than the estimate. A
	// smaller one counts whole: the age of a report only ever adds to a lag.
	lagIncreaseSmoothing = 0.3
	// lagValidity is how long a measured lag keeps a replica out that checks
	// for itself.
	lagValidity = time.Second
	// maxFuturePosition is how far a position may lie ahead of the clock.
	maxFuturePosition = time.Second
)

// replication is what an endpoint reported of its role and position.
type replication struct {
	role           Role
	roleReportedAt time.Duration
	position       time.Duration // the greatest one proven
	lag            time.Duration // smoothed
	lagMeasuredAt  time.Duration
}

// record takes a reported position.
func (s *replication) record(position, now time.Duration) {
	if position <= 0 || position > now+maxFuturePosition {
		return // not reported, or impossible
	}
	lag := max(now-position, 0)
	if s.position > 0 && lag > s.lag {
		lag = smooth(s.lag, lag, lagIncreaseSmoothing)
	}
	s.lag = lag
	s.lagMeasuredAt = now
	s.position = max(s.position, position)
}

// requiredPosition is the position that a replica must have reached to serve
// the request, 0 if any will do.
func (r *Router) requiredPosition(request *trackedRequest, now time.Duration) time.Duration {
	switch request.class.Consistency {
	case Bounded:
		return now - request.class.MaxStaleness
	case Session:
		commit, writing := request.group.sessions.required(request.Session)
		if writing {
			return now
		}
		return max(request.tokenPosition, commit)
	}
	return 0
}

// freshEnough reports whether a replica may serve the request. Where replicas
// serve stale reads only a proven position counts. Where they check for
// themselves the smoothed lag is estimate enough, and one measured longer ago
// than lagValidity says nothing: an attempt finds out, at the price of an
// Ineligible answer, while otherwise the replica would stay out after it has
// caught up.
func (r *Router) freshEnough(request *trackedRequest, endpoint *trackedEndpoint, now time.Duration) bool {
	required := r.requiredPosition(request, now)
	if required <= 0 || endpoint.position >= required {
		return true
	}
	if r.cfg.StaleReadPolicy == ServeStale {
		return false
	}
	expected := now - endpoint.lag + r.cfg.StaleReadWait
	return expected >= required || now-endpoint.lagMeasuredAt > lagValidity
}
