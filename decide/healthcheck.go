package decide

import "time"

const (
	// healthCheckTokensPerRequest is the number of optional health checks that
	// each client request adds to the budget. Their load is small compared with
	// that of the request.
	healthCheckTokensPerRequest = 0.02
	// maxHealthCheckTokens is the size of the health check budget.
	maxHealthCheckTokens = 1
	// healthCheckTimeout is how long a health check may run before another one
	// is started.
	healthCheckTimeout = maxTrialBackoff
	// healthCheckInterval is the shortest time between two health checks of an
	// endpoint, and the longest time that a request waits for the result of one.
	healthCheckInterval = primaryDiscoveryInterval
	// reconnectInterval is the time between health checks of an endpoint to which
	// no connection could be made.
	reconnectInterval = 500 * time.Millisecond
	// maxReportAge is the greatest age of a health check's report from which the
	// role is used, and the age of a position after which a replica that serves
	// stale reads is checked again.
	maxReportAge = 500 * time.Millisecond
	// silenceLatencyMultiple is the time without an answer that opens a circuit
	// breaker, as a multiple of the latency. It is divided by the number of
	// unanswered attempts.
	silenceLatencyMultiple = 6.0
	// minSilenceLatencyMultiple is the lower bound of that quotient. A healthy
	// endpoint rarely takes this long.
	minSilenceLatencyMultiple = 2.5
)

// healthCheckBudget limits optional health checks to a fraction of the client
// requests (a token bucket).
type healthCheckBudget struct {
	tokens float64
}

// earn adds the tokens of one client request.
func (b *healthCheckBudget) earn() {
	b.tokens = min(b.tokens+healthCheckTokensPerRequest, maxHealthCheckTokens)
}

// spend takes the token of one health check, if there is one: a required health
// check runs even if the budget is empty.
func (b *healthCheckBudget) spend() { b.tokens = max(b.tokens-1, 0) }

// HealthChecked handles the end of a health check. A result for an unknown
// endpoint is ignored.
func (r *Router) HealthChecked(now time.Duration, result HealthCheckResult) {
	endpoint := r.endpoints[result.Endpoint]
	if endpoint == nil {
		return
	}
	endpoint.healthCheckInFlight = false
	if result.Outcome == Error || result.Outcome == Malformed {
		return // the endpoint runs but reported no status, so a wanted health check is repeated
	}
	endpoint.healthCheckWanted = false
	if result.Outcome != OK {
		r.healthCheckFailed(endpoint, now)
		return
	}
	if endpoint.unreachable { // it can be reached again, so its backoff ends
		endpoint.unreachable = false
		endpoint.breaker.nextTrialAt = now
		endpoint.backoffUntil = now
	}
	r.recordReportedRole(endpoint, result.Status, now)
	r.recordPosition(endpoint, result.Status.Position, now)
	r.drainQueue(endpoint.group, now)
}

// healthCheckFailed opens the circuit breaker of an endpoint, unless the endpoint
// is already known to be unreachable.
func (r *Router) healthCheckFailed(endpoint *trackedEndpoint, now time.Duration) {
	if endpoint.unreachable {
		return
	}
	endpoint.busyUntil = max(endpoint.busyUntil, now+busyLatencyMultiple*r.latencyOf(endpoint))
	r.openCircuit(endpoint, now)
}

// recordReportedRole records the role that a health check reports. The report may
// be outdated, so it is used only if the endpoint's role was never reported, or if
// the report is at most maxReportAge old and newer than the last report.
func (r *Router) recordReportedRole(endpoint *trackedEndpoint, status ReplicationStatus, now time.Duration) {
	if status.Role == RoleUnknown {
		return
	}
	reportedAt := now - maxReportAge // the time of a replica's report is unknown, so the oldest is assumed
	if status.Role == RolePrimary {
		reportedAt = status.Position // the position of a primary is the time of its report
	}
	recent := reportedAt > endpoint.roleReportedAt && now-reportedAt <= maxReportAge
	if endpoint.roleReportedAt == 0 || recent {
		r.recordRole(endpoint, status.Role, now)
	}
}

// healthChecksRequired reports whether health checks are required rather than
// limited by the budget, and whether fresh reads wait for that of the primary. They
// are not required where every answer reports role and position and replicas
// reject reads that they are too far behind for: there a wrong choice costs one
// Ineligible answer, and checking every endpoint from every router would cost a
// large fleet more than it saves.
func (r *Router) healthChecksRequired() bool {
	return r.cfg.StaleReadPolicy == ServeStale || !r.cfg.AnswersCarryPosition
}

// requestHealthCheck requests a health check of a replica that a read could use,
// if one is needed. Where answers report no position, one is needed about once per
// staleness bound. Where replicas serve stale reads, one is needed when the replica
// is not fresh enough and its last report and health check are at least maxReportAge
// old, as otherwise the reads of many routers would go to the primary. It reports
// whether a health check is pending whose result the read should wait for.
func (r *Router) requestHealthCheck(replica *trackedEndpoint, fresh bool, now time.Duration) (pending bool) {
	age := now - max(replica.lagMeasuredAt, replica.healthCheckedAt)
	positionAged := !fresh && r.cfg.StaleReadPolicy == ServeStale && age >= maxReportAge
	boundPassed := !r.cfg.AnswersCarryPosition && r.tightestStaleness > 0 && age >= r.tightestStaleness
	reports := r.cfg.HealthChecks && r.cfg.HealthChecksReportRole && !replica.breaker.open
	if reports && (positionAged || boundPassed) {
		replica.healthCheckWanted = true
	}
	lost := replica.healthCheckInFlight && now-replica.healthCheckedAt >= healthCheckInterval
	return replica.healthCheckWanted && !lost
}

// detectSilence opens the circuit breaker of an endpoint that accepts attempts and
// does not answer, whether it hangs or is partitioned from the router. The
// breakers of all endpoints open only if all of them stall at once; requests are
// then queued.
func (r *Router) detectSilence(endpoint *trackedEndpoint, now time.Duration) {
	if endpoint.inFlight == 0 || endpoint.breaker.open {
		return
	}
	silentSince := endpoint.lastAnswerAt
	if endpoint.unanswered > 0 {
		silentSince = endpoint.oldestUnansweredAt
	}
	allowed := max(minSilenceLatencyMultiple, silenceLatencyMultiple/float64(max(endpoint.unanswered, 1)))
	if float64(now-silentSince) > allowed*float64(max(endpoint.latency, r.latency)) {
		r.openCircuit(endpoint, now)
	}
}

// checkHealthIfDue starts a health check of a ready endpoint for which one was
// requested, or to which no connection could be made. Only a requested one that is
// not required waits until the budget covers it.
func (r *Router) checkHealthIfDue(endpoint *trackedEndpoint, now time.Duration) {
	if !r.cfg.HealthChecks || endpoint.State != Ready {
		return
	}
	sinceLast := now - endpoint.healthCheckedAt
	if endpoint.healthCheckInFlight && sinceLast < healthCheckTimeout {
		return
	}
	affordable := r.healthChecksRequired() || r.healthChecks.tokens >= 1
	wanted := endpoint.healthCheckWanted && sinceLast >= healthCheckInterval && affordable
	waiting := endpoint.breaker.open || now < endpoint.backoffUntil
	reconnect := endpoint.unreachable && waiting && sinceLast >= reconnectInterval
	if !wanted && !reconnect {
		return
	}
	r.healthChecks.spend()
	endpoint.healthCheckInFlight = true
	endpoint.healthCheckedAt = now
	r.actions.CheckHealth(endpoint.ID)
}
