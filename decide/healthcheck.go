package decide

import "time"

const (
	// healthCheckTokensPerRequest is what each request earns towards the health
	// checks that could be done without: little beside its own work.
	healthCheckTokensPerRequest = 0.02
	// maxHealthCheckTokens is the most that is saved.
	maxHealthCheckTokens = 1
	// healthCheckTimeout is when a health check without a result counts as lost.
	healthCheckTimeout = maxTrialBackoff
	// healthCheckInterval is the least time between two health checks of an
	// endpoint, and for how long a request waits for the result of one.
	healthCheckInterval = primaryDiscoveryInterval
	// reconnectInterval is the time between health checks of an endpoint that
	// could not be reached.
	reconnectInterval = 500 * time.Millisecond
	// maxReportAge is how old a health check's report of a role may be.
	maxReportAge = 500 * time.Millisecond
	// silentLatencies is the number of latencies without an answer, divided by
	// the unanswered attempts, that trips a circuit breaker ...
	silentLatencies = 6.0
	// minSilentLatencies ... but never fewer than these: rare by chance.
	minSilentLatencies = 2.5
)

// healthCheckBudget limits optional health checks to a fraction of the requests.
type healthCheckBudget struct {
	tokens float64
}

// earn credits one client request.
func (b *healthCheckBudget) earn() {
	b.tokens = min(b.tokens+healthCheckTokensPerRequest, maxHealthCheckTokens)
}

// spend debits one health check. A required one may find the budget empty.
func (b *healthCheckBudget) spend() { b.tokens = max(b.tokens-1, 0) }

// HealthChecked takes the end of a health check.
func (r *Router) HealthChecked(now time.Duration, result HealthCheckResult) {
	endpoint := r.endpoints[result.Endpoint]
	if endpoint == nil {
		return
	}
	endpoint.healthCheckInFlight = false
	if result.Outcome == Error || result.Outcome == Malformed {
		return // it runs but reported nothing: another health check follows
	}
	endpoint.awaitsHealthCheck = false
	if result.Outcome != OK {
		r.healthCheckFailed(endpoint, now)
		return
	}
	if endpoint.unreachable { // it can be reached again, so its waits end
		endpoint.unreachable = false
		endpoint.breaker.nextTrialAt = now
		endpoint.backoffUntil = now
	}
	r.recordReportedRole(endpoint, result.Status, now)
	r.recordPosition(endpoint, result.Status.Position, now)
	r.drainQueue(endpoint.group, now)
}

// healthCheckFailed trips the breaker of an endpoint, unless it is known to be
// unreachable.
func (r *Router) healthCheckFailed(endpoint *trackedEndpoint, now time.Duration) {
	if endpoint.unreachable {
		return
	}
	endpoint.busyUntil = max(endpoint.busyUntil, now+busyLatencies*r.latencyOf(endpoint))
	r.openCircuit(endpoint, now)
}

// recordReportedRole takes the role in a health check's report, which may be
// old: it counts only if it was made lately and after the last word on the
// endpoint's role.
func (r *Router) recordReportedRole(endpoint *trackedEndpoint, status ReplicationStatus, now time.Duration) {
	if status.Role == RoleUnknown {
		return
	}
	reportedAt := now - maxReportAge // at the latest
	if status.Role == RolePrimary {
		reportedAt = status.Position // a primary's position is the time itself
	}
	recent := reportedAt > endpoint.roleReportedAt && now-reportedAt <= maxReportAge
	if endpoint.roleReportedAt == 0 || recent {
		r.recordRole(endpoint, status.Role, now)
	}
}

// healthCheckBeforeUse reports whether an endpoint must have passed a health
// check before its first use. Where every answer reports role and position and
// replicas reject what they are too far behind for, a wrong guess costs one
// Ineligible answer. There requests pay for first health checks: one of each
// endpoint by each router would cost a large fleet more than it saves.
func (r *Router) healthCheckBeforeUse() bool {
	return r.cfg.StaleReadPolicy == ServeStale || !r.cfg.AnswersCarryPosition
}

// requestHealthCheck asks for a health check of a replica that a read could use:
// about once in each staleness bound where answers report no position, and once
// its position has aged where only a proven one counts, as otherwise the reads
// of many routers would go to the primary. It reports whether the result is
// worth waiting for.
func (r *Router) requestHealthCheck(replica *trackedEndpoint, fresh bool, now time.Duration) (pending bool) {
	age := now - max(replica.lagMeasuredAt, replica.healthCheckedAt)
	positionAged := !fresh && r.cfg.StaleReadPolicy == ServeStale && age >= maxReportAge
	boundPassed := !r.cfg.AnswersCarryPosition && r.tightestStaleness > 0 && age >= r.tightestStaleness
	reports := r.cfg.HealthChecks && r.cfg.HealthChecksReportRole && !replica.breaker.open
	if reports && (positionAged || boundPassed) {
		replica.awaitsHealthCheck = true
	}
	lost := replica.healthCheckInFlight && now-replica.healthCheckedAt >= healthCheckInterval
	return replica.awaitsHealthCheck && !lost
}

// detectSilence trips the breaker of an endpoint that accepts work and does not
// answer (hung, cut off, stuck), whatever the cause. That could do harm only
// where all endpoints stall together; requests are then queued.
func (r *Router) detectSilence(endpoint *trackedEndpoint, now time.Duration) {
	if endpoint.inFlight == 0 || endpoint.breaker.open {
		return
	}
	silentSince := endpoint.lastAnswerAt
	if endpoint.unanswered > 0 {
		silentSince = endpoint.oldestUnansweredAt
	}
	allowed := max(minSilentLatencies, silentLatencies/float64(max(endpoint.unanswered, 1)))
	if float64(now-silentSince) > allowed*float64(max(endpoint.latency, r.latency)) {
		r.openCircuit(endpoint, now)
	}
}

// checkHealthIfDue starts a health check of a ready endpoint that awaits one, or
// that could not be reached.
func (r *Router) checkHealthIfDue(endpoint *trackedEndpoint, now time.Duration) {
	if !r.cfg.HealthChecks || endpoint.State != Ready {
		return
	}
	sinceLast := now - endpoint.healthCheckedAt
	if endpoint.healthCheckInFlight && sinceLast < healthCheckTimeout {
		return
	}
	affordable := r.healthCheckBeforeUse() || r.healthChecks.tokens >= 1
	wanted := endpoint.awaitsHealthCheck && sinceLast >= healthCheckInterval && affordable
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
