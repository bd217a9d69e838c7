package decide

import "time"

const (
	// lagIncreaseSmoothing is the weight of a measured lag that is greater than
	// the estimate. A smaller one replaces the estimate, because the age of a
	// report can only make the measured lag too great.
	lagIncreaseSmoothing = 0.3
	// lagValidity is how long a measured lag excludes a replica that rejects stale
	// reads itself.
	lagValidity = time.Second
	// maxFuturePosition is how far a reported position may be ahead of the
	// router's clock. Positions further ahead are ignored.
	maxFuturePosition = time.Second
)

// replication is the role and position that an endpoint has reported.
type replication struct {
	role           Role
	roleReportedAt time.Duration // 0 if the role was never reported
	position       time.Duration // greatest reported position, 0 if none
	lag            time.Duration // smoothed; a rejected read can raise it
	lagMeasuredAt  time.Duration // 0 if no lag was measured
}

// record records a reported position. One that is 0 or impossible is ignored.
func (s *replication) record(position, now time.Duration) {
	if position <= 0 || position > now+maxFuturePosition {
		return
	}
	lag := max(now-position, 0)
	if s.position > 0 && lag > s.lag {
		lag = smooth(s.lag, lag, lagIncreaseSmoothing)
	}
	s.lag = lag
	s.lagMeasuredAt = now
	s.position = max(s.position, position)
}

// requiredPosition returns the position that a replica must have reached to serve
// the request, 0 if any position is sufficient.
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

// freshEnough reports whether a replica is fresh enough for the request. Where
// replicas serve stale reads, only a reported position counts. Where they reject
// stale reads, the position that the replica reaches while it lets the read wait is
// estimated from the smoothed lag. A lag measured longer ago than lagValidity is
// ignored there: an attempt may cost an Ineligible answer, but otherwise a replica
// that has caught up would stay excluded.
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
