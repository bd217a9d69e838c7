package decide

import (
	"testing"
	"time"
)

func TestNonIdempotentWriteIsNeitherRetriedNorRejected(t *testing.T) {
	for _, outcome := range []Outcome{Error, TimedOut, Reset, Cancelled} {
		f := newFixture(t, testConfig(), oneGroup())
		id := f.submit(writeClass)
		f.endAttempt(f.lastAttempt(id), outcome, RoleUnknown, 0)
		if _, isRejected := f.rejected[id]; isRejected || !f.failed[id] || f.attempts[id] != 1 {
			t.Errorf("outcome %d: rejected %v, failed %v after %d attempts, want failed after 1", outcome, isRejected, f.failed[id], f.attempts[id])
		}
	}
}

func TestSilentPrimaryQueuesWrites(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for range 3 {
		f.submit(writeClass)
	}
	// The replicas answer while the primary does not.
	for range 60 {
		s := f.lastAttempt(f.submit(sessionReadClass))
		f.advance(20 * ms)
		f.endAttempt(s, OK, RoleReplica, f.now)
	}
	before := len(f.sends)
	id := f.submit(writeClass)
	for _, s := range f.sends[before:] {
		if s.request == id && s.endpoint == 1 {
			t.Error("a write was sent to the silent primary")
		}
	}
}

// A request whose answer was lost, or whose connection stopped transmitting, must
// not wait until its deadline: it is sent again once its endpoint has answered
// later requests.
func TestStuckAttemptIsReplaced(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	lost := f.lastAttempt(f.submit(idempotentWriteClass))
	for range 2 * int(stuckLatencyMultiple) { // the primary answers the later requests
		s := f.lastAttempt(f.submit(idempotentWriteClass))
		f.advance(20 * ms)
		f.endAttempt(s, OK, RolePrimary, 0)
	}
	if s := f.lastAttempt(lost.request); s.attempt != 1 || s.endpoint != lost.endpoint {
		t.Fatalf("last attempt of the stuck request: number %d at endpoint %d, want number 1 at endpoint %d", s.attempt, s.endpoint, lost.endpoint)
	}
	if len(f.cancels) != 1 || f.cancels[0].request != lost.request || f.cancels[0].attempt != 0 {
		t.Errorf("cancelled attempts = %v, want only the first attempt of the stuck request", f.cancels)
	}
	// An attempt is not stuck if no later one has overtaken it.
	late := f.lastAttempt(f.submit(sessionReadClass))
	f.advance(time.Second)
	if s := f.lastAttempt(late.request); s != late {
		t.Errorf("last attempt = %v, want no retry while no later request was answered", s)
	}
}

// An attempt without an outcome does not show that its endpoint is silent if nothing
// was sent since the endpoint last answered. Otherwise the circuit breaker of a
// primary would open in every short pause between writes.
func TestOldAttemptDoesNotMakeItsEndpointSilent(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for range 3 {
		f.submit(writeClass)
	}
	for range 3 {
		s := f.lastAttempt(f.submit(writeClass))
		f.advance(20 * ms)
		f.endAttempt(s, OK, RolePrimary, 0)
	}
	f.advance(4 * f.router.latency)
	if f.router.endpoints[1].breaker.open {
		t.Error("circuit breaker opened because of attempts that were sent before the last answer")
	}
	f.submit(writeClass)
	f.advance(7 * f.router.latency)
	if !f.router.endpoints[1].breaker.open {
		t.Error("circuit breaker is closed though an attempt sent after the last answer is not answered")
	}
}

// If all endpoints stall at once, they must be used again as soon as they answer.
func TestEndpointsAreUsedAgainAfterAllWereSilent(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	var inFlight []sentAttempt
	for range 4 {
		inFlight = append(inFlight, f.lastAttempt(f.submit(sessionReadClass)), f.lastAttempt(f.submit(writeClass)))
	}
	f.advance(450 * ms)
	for _, s := range inFlight {
		f.endAttempt(s, OK, RoleUnknown, f.now)
	}
	if s := f.lastAttempt(f.submit(writeClass)); s.endpoint != 1 {
		t.Errorf("write was sent to endpoint %d after all have answered again, want primary 1", s.endpoint)
	}
	if s := f.lastAttempt(f.submit(sessionReadClass)); s.endpoint != 2 {
		t.Errorf("session read was sent to endpoint %d after all have answered again, want replica 2", s.endpoint)
	}
}

// An endpoint whose connections are used up refuses further ones, so the router
// closes its idle connections to it. The host of a process that has crashed also
// refuses connections. A refusal must not close idle connections to the other
// endpoints, as it once did after every answer for ten seconds.
func TestRefusedConnectionClosesIdleOnesToItsEndpoint(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	if len(f.closedIdle) > 0 {
		t.Fatal("idle connections were closed though no connection was refused")
	}
	s := f.lastAttempt(f.submit(sessionReadClass))
	refusing := s.endpoint
	f.endAttempt(s, ConnectFailed, RoleUnknown, 0)
	if f.router.endpoints[refusing].breaker.open {
		t.Error("a refused connection opened the circuit breaker")
	}
	if s = f.lastAttempt(s.request); s.endpoint == refusing {
		t.Fatal("request was retried at the endpoint that refused the connection")
	}
	f.advance(20 * ms)
	f.endAttempt(s, OK, RoleReplica, f.now)
	if len(f.closedIdle) != 1 || f.closedIdle[0] != refusing {
		t.Errorf("idle connections were closed to endpoints %v, want endpoint %d only", f.closedIdle, refusing)
	}
}

func TestRefusedConnectionsOfThePrimaryStartPrimaryDiscovery(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	id := f.submit(writeClass)
	for range 200 {
		f.advance(tickInterval)
		s := f.lastAttempt(id)
		if s.endpoint != 1 {
			return
		}
		if request := f.router.requests[id]; request != nil && request.inFlight > 0 {
			f.endAttempt(s, ConnectFailed, RoleUnknown, 0)
		}
	}
	t.Error("the write was not sent to another endpoint within 200 ticks")
}

func TestOverloadedPrimariesGetFewerReads(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	toPrimary := func() (n int) {
		for range 40 {
			id := f.submit(boundedReadClass) // no replica's position is known
			if f.attempts[id] > 0 {
				n++
				f.advance(20 * ms)
				f.endAttempt(f.lastAttempt(id), OK, RolePrimary, f.now)
			} else {
				f.router.failEarly(f.router.requests[id])
			}
		}
		return n
	}
	if n := toPrimary(); n < 40 {
		t.Fatalf("%d of 40 reads were sent to an idle primary, want all", n)
	}
	for range 15 {
		s := f.lastAttempt(f.submit(writeClass))
		f.advance(600 * ms) // the latency objective is 500 ms
		f.endAttempt(s, OK, RolePrimary, f.now)
	}
	f.router.endpoints[1].limit.value = initialConcurrency
	if n := toPrimary(); n > 30 {
		t.Errorf("%d of 40 reads were sent to the overloaded primary, want at most 30", n)
	}
	f.advance(10 * time.Second)
	if n := toPrimary() + toPrimary(); n < 40 {
		t.Errorf("%d of 80 reads were sent to a primary that has recovered, want at least 40", n)
	}
}

func TestFullQueuesAdmitFewerReads(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for i := range uint64(12) {
		f.submit(sessionReadClass)
		for range 20 {
			for id := f.lastID - min(i, 9); id <= f.lastID; id++ {
				if request := f.router.requests[id]; request != nil && request.inFlight > 0 {
					f.endAttempt(f.lastAttempt(id), Overloaded, RoleUnknown, 0)
				}
			}
			f.advance(tickInterval)
		}
	}
	f.advance(time.Second)
	for id := range f.router.requests {
		t.Fatalf("request %d is not finished", id)
	}
	f.advance(5 * time.Second) // longer than any backoff
	sent := func() (n int) {
		for range 40 {
			id := f.submit(sessionReadClass)
			if n += f.attempts[id]; f.attempts[id] > 0 {
				f.advance(20 * ms)
				f.endAttempt(f.lastAttempt(id), OK, RoleUnknown, f.now)
			} else {
				f.router.failEarly(f.router.requests[id])
			}
		}
		return n
	}
	if n := sent(); n > 30 {
		t.Errorf("%d of 40 reads were admitted while queues were full, want at most 30", n)
	}
	f.advance(50 * time.Second)
	if n := sent(); n < 35 {
		t.Errorf("%d of 40 reads were admitted 50 s after the overload, want at least 35", n)
	}
}

func TestRetryBudgetOfAnIdleRouterStaysSmall(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.advance(time.Minute)
	retries := 0
	for range 5 {
		id := f.submit(sessionReadClass)
		for f.router.requests[id] != nil && f.router.requests[id].inFlight > 0 {
			f.endAttempt(f.lastAttempt(id), Reset, RoleUnknown, 0)
		}
		retries += f.attempts[id] - 1
		f.advance(5 * time.Second) // longer than any backoff
	}
	if retries > 2 { // a retry after the first failure of an endpoint costs less than a token
		t.Errorf("%d retries of 5 requests after an idle minute, want at most 2", retries)
	}
}

func TestOpenCircuitBreakerRecovers(t *testing.T) {
	config := testConfig()
	f := newFixture(t, config, oneGroup())
	f.learnPosition(2)
	endpoint := f.router.endpoints[2]
	f.router.openCircuit(endpoint, f.now)
	f.advance(maxTrialBackoff + time.Second)
	s := f.lastAttempt(f.submit(sessionReadClass))
	if s.endpoint != 2 {
		t.Fatalf("read was sent to endpoint %d, want a trial of endpoint 2", s.endpoint)
	}
	f.advance(20 * ms)
	f.endAttempt(s, OK, RoleReplica, f.now)
	if endpoint.breaker.open {
		t.Error("circuit breaker is open after an answer")
	}
}

// A statement that every endpoint would reject says nothing about the health of the
// endpoint that rejected it, and a retry would only put load on another one.
func TestInvalidRequestIsNoFailureOfItsEndpoint(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	s := f.lastAttempt(f.submit(sessionReadClass))
	f.endAttempt(s, InvalidRequest, RoleUnknown, 0)
	if endpoint := f.router.endpoints[s.endpoint]; !f.failed[s.request] || f.attempts[s.request] != 1 || endpoint.consecutiveFailures > 0 || endpoint.busyUntil > 0 {
		t.Errorf("failed %v after %d attempts, want after 1; endpoint has %d failures and is busy until %v, want none",
			f.failed[s.request], f.attempts[s.request], endpoint.consecutiveFailures, endpoint.busyUntil)
	}
}

// An endpoint that can be reached again after a network failure or a restart must
// not stay unused until its backoff ends or its trial is due, which takes up to
// four seconds. A health check ends the wait, but only for an endpoint that was
// unreachable: one that accepts requests without answering them may still answer
// health checks.
func TestEndpointThatCanBeReachedAgainIsTriedAtOnce(t *testing.T) {
	config := testConfig()
	config.HealthChecks = true
	for _, outcome := range []Outcome{ConnectFailed, TimedOut} {
		f := newFixture(t, config, oneGroup())
		for _, id := range []uint32{1, 2, 3} { // the results of the first health checks
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Outcome: OK})
		}
		f.learnPosition(2)
		endpoint := f.router.endpoints[2]
		f.endAttempt(f.lastAttempt(f.submit(sessionReadClass)), outcome, RoleUnknown, 0)
		endpoint.consecutiveFailures = maxBackoffDoublings
		f.router.openCircuit(endpoint, f.now)
		endpoint.breaker.nextTrialAt = f.now + maxTrialBackoff
		started := len(f.healthChecks)
		f.advance(reconnectInterval + 2*tickInterval)
		if outcome == TimedOut {
			if len(f.healthChecks) > started {
				t.Error("a health check was started of an endpoint that timed out")
			}
			continue
		}
		if len(f.healthChecks) != started+1 {
			t.Fatalf("%d health checks of an unreachable endpoint, want 1", len(f.healthChecks)-started)
		}
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: ConnectFailed})
		if endpoint.breaker.nextTrialAt <= f.now {
			t.Error("a failed health check made the trial due")
		}
		f.advance(reconnectInterval + 2*tickInterval)
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: OK})
		if s := f.lastAttempt(f.submit(sessionReadClass)); s.endpoint != 2 {
			t.Errorf("read was sent to endpoint %d, want a trial of endpoint 2", s.endpoint)
		}
	}
}

// A faulty network corrupts or cuts off answers of every endpoint alike. Putting
// each endpoint in backoff, and spending the retry budget that is meant for
// overload, would cost more than the faults themselves.
func TestOneMalformedAnswerIsNoFailureOfItsEndpoint(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for _, outcome := range []Outcome{Malformed, Reset, Malformed} { // more retries than the budget covers at full cost
		s := f.lastAttempt(f.submit(idempotentWriteClass))
		f.advance(20 * ms)
		f.endAttempt(s, outcome, RoleUnknown, 0)
		if endpoint := f.router.endpoints[1]; endpoint.backoffUntil > f.now || endpoint.busyUntil > f.now {
			t.Fatalf("primary is in backoff until %v and busy until %v at %v, want neither", endpoint.backoffUntil, endpoint.busyUntil, f.now)
		}
		f.advance(200 * ms) // longer than a request avoids an endpoint after an attempt
		second := f.lastAttempt(s.request)
		if second.attempt != 1 {
			t.Fatal("request was not retried")
		}
		f.endAttempt(second, OK, RolePrimary, 0)
	}
	s := f.lastAttempt(f.submit(idempotentWriteClass))
	f.endAttempt(s, Malformed, RoleUnknown, 0)
	f.advance(200 * ms)
	f.endAttempt(f.lastAttempt(s.request), Malformed, RoleUnknown, 0)
	if endpoint := f.router.endpoints[1]; endpoint.backoffUntil <= f.now {
		t.Error("endpoint is not in backoff after consecutive malformed answers")
	}
}

// A malformed health check reports no role, which fresh reads wait for. It is
// repeated, but not at once, and does not open the circuit breaker, as the endpoint
// has answered.
func TestMalformedHealthCheckIsRepeated(t *testing.T) {
	config := testConfig()
	config.HealthChecks = true
	f := newFixture(t, config, oneGroup())
	f.advance(tickInterval)
	started := len(f.healthChecks)
	for range 3 {
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: Error})
		f.advance(2 * tickInterval)
	}
	if endpoint := f.router.endpoints[2]; endpoint.breaker.open || !endpoint.healthCheckWanted || len(f.healthChecks) != started {
		t.Errorf("circuit open %v, health check wanted %v, %d started at once; want false, true, 0", endpoint.breaker.open, endpoint.healthCheckWanted, len(f.healthChecks)-started)
	}
	f.advance(primaryDiscoveryInterval)
	if len(f.healthChecks) != started+1 {
		t.Errorf("%d health checks were started after the interval, want 1", len(f.healthChecks)-started)
	}
}

func TestEndpointFailingFastBacksOff(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	id := f.submit(sessionReadClass)
	for range 4 {
		if s := f.lastAttempt(id); s.endpoint == 2 {
			f.endAttempt(s, Overloaded, RoleReplica, f.now)
		}
	}
	for range 5 {
		if s := f.lastAttempt(f.submit(sessionReadClass)); s.endpoint == 2 {
			t.Error("a read was sent to endpoint 2 right after it was overloaded")
		}
	}
}

func TestLateRetryIsRejectedAtOnce(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.router.failEarly(f.router.requests[f.submit(boundedReadClass)])
	f.router.RequestArrived(f.now, Request{ID: 77, Class: boundedReadClass, TimeLeft: 900 * ms})
	if _, ok := f.rejected[77]; !ok {
		t.Error("a client's retry was accepted after the latency objective of its first request had passed")
	}
}

func TestSingleResetOpensNoCircuitBreaker(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.endAttempt(f.lastAttempt(f.submit(sessionReadClass)), Reset, RoleUnknown, 0)
	for _, endpoint := range f.router.ordered {
		if endpoint.breaker.open {
			t.Errorf("circuit breaker of endpoint %d is open after one reset connection", endpoint.ID)
		}
	}
}

func TestFirstRequestsWithOtherTimeLeftAreNotRetries(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.submit(boundedReadClass)
	f.router.RequestArrived(f.now, Request{ID: 77, Class: boundedReadClass, TimeLeft: 900 * ms})
	if _, isRejected := f.rejected[77]; isRejected || f.attempts[77] != 1 {
		t.Error("a first request with less time left was taken for a client's retry though no request was answered early")
	}
}

// Requests reach an endpoint and its answers are lost, while its health checks
// succeed: the health checks must not close its circuit breaker.
func TestOneWayLossIsAvoidedThoughHealthChecksSucceed(t *testing.T) {
	config := testConfig()
	config.HealthChecks = true
	f := newFixture(t, config, oneGroup())
	f.learnPosition(2)
	var toLossy int
	for range 100 {
		s := f.lastAttempt(f.submit(sessionReadClass))
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: OK})
		if s.endpoint == 2 {
			toLossy++
			if f.advance(time.Second); !f.router.endpoints[2].breaker.open {
				t.Fatal("successful health checks keep the circuit breaker of a silent endpoint closed")
			}
			continue
		}
		f.advance(20 * ms)
		f.endAttempt(s, OK, RoleUnknown, f.now)
	}
	if toLossy > 20 {
		t.Errorf("%d of 100 reads were sent to an endpoint whose answers are lost, want at most 20", toLossy)
	}
}
