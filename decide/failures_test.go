package decide

import (
	"testing"
	"time"
)

func TestNonIdempotentWriteIsNeitherRetriedNorRejected(t *testing.T) {
	for _, outcome := range []Outcome{Error, TimedOut, Reset, Cancelled} {
		f := newFixture(t, testConfig(), oneGroup())
		id := f.submit(writeClass)
		f.end(f.last(id), outcome, RoleUnknown, 0)
		if _, refused := f.rejected[id]; refused || !f.failed[id] || f.attempts[id] != 1 {
			t.Errorf("outcome %d: refused %v, failed %v, tries %d", outcome, refused, f.failed[id], f.attempts[id])
		}
	}
}

func TestSilentPrimaryQueuesWrites(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for range 3 {
		f.submit(writeClass)
	}
	// The replicas go on answering while the primary is silent.
	for range 60 {
		s := f.last(f.submit(sessionReadClass))
		f.wait(20 * ms)
		f.end(s, OK, RoleReplica, f.now)
	}
	before := len(f.sends)
	id := f.submit(writeClass)
	for _, s := range f.sends[before:] {
		if s.request == id && s.endpoint == 1 {
			t.Error("a write was sent into the silent primary")
		}
	}
}

// A lost answer, or a connection that fell silent, must not cost a request its
// whole wait: once its endpoint has answered what came later, it is sent again.
func TestStuckAttemptIsReplaced(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	lost := f.last(f.submit(idempotentWriteClass))
	for range 2 * int(stuckLatencies) { // the primary answers the others, slowly
		s := f.last(f.submit(idempotentWriteClass))
		f.wait(20 * ms)
		f.end(s, OK, RolePrimary, 0)
	}
	if s := f.last(lost.request); s.attempt != 1 || s.endpoint != lost.endpoint {
		t.Fatalf("attempt %d at %d, want another at %d", s.attempt, s.endpoint, lost.endpoint)
	}
	if len(f.cancels) != 1 || f.cancels[0].request != lost.request || f.cancels[0].attempt != 0 {
		t.Errorf("called off %v, want the first attempt", f.cancels)
	}
	// A queue that is long for all is no reason: nothing was overtaken.
	late := f.last(f.submit(sessionReadClass))
	f.wait(time.Second)
	if s := f.last(late.request); s != late {
		t.Errorf("sent again as %v though nothing sent later was answered", s)
	}
}

// An attempt that never ends is no sign that its endpoint is silent when nothing
// was sent since the endpoint last answered: breakers of primaries opened on it
// in every short pause.
func TestOldAttemptDoesNotMakeItsEndpointSilent(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for range 3 {
		f.submit(writeClass)
	}
	for range 3 {
		s := f.last(f.submit(writeClass))
		f.wait(20 * ms)
		f.end(s, OK, RolePrimary, 0)
	}
	f.wait(4 * f.router.latency)
	if f.router.endpoints[1].breaker.open {
		t.Error("the breaker opened on attempts from before the last answer")
	}
	f.submit(writeClass)
	f.wait(7 * f.router.latency)
	if !f.router.endpoints[1].breaker.open {
		t.Error("the breaker stays shut though what was sent since is not answered")
	}
}

func TestSilenceOfAllPasses(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	var out []sent
	for range 4 {
		out = append(out, f.last(f.submit(sessionReadClass)), f.last(f.submit(writeClass)))
	}
	f.wait(450 * ms)
	for _, s := range out {
		f.end(s, OK, RoleUnknown, f.now)
	}
	if s := f.last(f.submit(writeClass)); s.endpoint != 1 {
		t.Errorf("a write went to %d", s.endpoint)
	}
	if s := f.last(f.submit(sessionReadClass)); s.endpoint != 2 {
		t.Errorf("a read went to %d after all answered again", s.endpoint)
	}
}

// A process that died refuses too: that must not cost the connections to all
// the others, which one refusal once closed after every answer for ten seconds.
func TestRefusedConnectionClosesIdleOnesToItsEndpoint(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	if len(f.closed) > 0 {
		t.Fatal("idle connections closed though none were scarce")
	}
	s := f.last(f.submit(sessionReadClass))
	refusing := s.endpoint
	f.end(s, ConnectFailed, RoleUnknown, 0)
	if f.router.endpoints[refusing].breaker.open {
		t.Error("a refused connection opened the breaker")
	}
	if s = f.last(s.request); s.endpoint == refusing {
		t.Fatal("sent again where the connection was refused")
	}
	f.wait(20 * ms)
	f.end(s, OK, RoleReplica, f.now)
	if len(f.closed) != 1 || f.closed[0] != refusing {
		t.Errorf("closed the idle connections to %v, want those to %d", f.closed, refusing)
	}
}

func TestPrimaryThatRefusesConnectionsIsLookedForElsewhere(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	id := f.submit(writeClass)
	for range 200 {
		f.wait(tickInterval)
		s := f.last(id)
		if s.endpoint != 1 {
			return
		}
		if request := f.router.requests[id]; request != nil && request.inFlight > 0 {
			f.end(s, ConnectFailed, RoleUnknown, 0)
		}
	}
	t.Error("no other member was asked")
}

func TestOverloadedPrimariesGetFewerReads(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	toPrimary := func() (n int) {
		for range 40 {
			id := f.submit(boundedReadClass) // no replica's position is known
			if f.attempts[id] > 0 {
				n++
				f.wait(20 * ms)
				f.end(f.last(id), OK, RolePrimary, f.now)
			} else {
				f.router.failEarly(f.router.requests[id])
			}
		}
		return n
	}
	if n := toPrimary(); n < 40 {
		t.Fatalf("%d of 40 reads went to an idle primary", n)
	}
	for range 15 {
		s := f.last(f.submit(writeClass))
		f.wait(600 * ms) // of an aim of 500
		f.end(s, OK, RolePrimary, f.now)
	}
	f.router.endpoints[1].limit.value = initialConcurrency
	if n := toPrimary(); n > 30 {
		t.Errorf("%d of 40 reads went to the crowded primary", n)
	}
	f.wait(10 * time.Second)
	if n := toPrimary() + toPrimary(); n < 40 {
		t.Errorf("%d of 80 reads went to a primary that is quick again", n)
	}
}

func TestFullQueuesAdmitFewerReads(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for i := range uint64(12) {
		f.submit(sessionReadClass)
		for range 20 {
			for id := f.next - min(i, 9); id <= f.next; id++ {
				if request := f.router.requests[id]; request != nil && request.inFlight > 0 {
					f.end(f.last(id), Overloaded, RoleUnknown, 0)
				}
			}
			f.wait(tickInterval)
		}
	}
	f.wait(time.Second)
	for id := range f.router.requests {
		t.Fatalf("request %d is still open", id)
	}
	f.wait(5 * time.Second) // no endpoint rests any longer
	sent := func() (n int) {
		for range 40 {
			id := f.submit(sessionReadClass)
			if n += f.attempts[id]; f.attempts[id] > 0 {
				f.wait(20 * ms)
				f.end(f.last(id), OK, RoleUnknown, f.now)
			} else {
				f.router.failEarly(f.router.requests[id])
			}
		}
		return n
	}
	if n := sent(); n > 30 {
		t.Errorf("%d of 40 reads let in while queues were full", n)
	}
	f.wait(50 * time.Second)
	if n := sent(); n < 35 {
		t.Errorf("%d of 40 reads let in a while after", n)
	}
}

func TestSavedRetriesOfManyRoutersStayFew(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.wait(time.Minute)
	repeats := 0
	for range 5 {
		id := f.submit(sessionReadClass)
		for f.router.requests[id] != nil && f.router.requests[id].inFlight > 0 {
			f.end(f.last(id), Reset, RoleUnknown, 0)
		}
		repeats += f.attempts[id] - 1
		f.wait(5 * time.Second) // no endpoint rests any longer
	}
	if repeats > 2 { // the first failure of a endpoint alone costs its repeat less
		t.Errorf("%d repeats of 5 requests after a quiet minute", repeats)
	}
}

func TestOpenCircuitBreakerRecovers(t *testing.T) {
	config := testConfig()
	f := newFixture(t, config, oneGroup())
	f.learnPosition(2)
	endpoint := f.router.endpoints[2]
	f.router.openCircuit(endpoint, f.now)
	f.wait(maxTrialBackoff + time.Second)
	s := f.last(f.submit(sessionReadClass))
	if s.endpoint != 2 {
		t.Fatalf("the due trial went to %d", s.endpoint)
	}
	f.wait(20 * ms)
	f.end(s, OK, RoleReplica, f.now)
	if endpoint.breaker.open {
		t.Error("still open after an answer")
	}
}

// A statement that no endpoint would take says nothing of the one that was asked,
// and a repeat elsewhere would only cost that one, too.
func TestInvalidRequestIsNoFailureOfItsEndpoint(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	s := f.last(f.submit(sessionReadClass))
	f.end(s, InvalidRequest, RoleUnknown, 0)
	if endpoint := f.router.endpoints[s.endpoint]; !f.failed[s.request] || f.attempts[s.request] != 1 || endpoint.consecutiveFailures > 0 || endpoint.busyUntil > 0 {
		t.Errorf("failed %v after %d tries; failures of the member %d, busy until %v",
			f.failed[s.request], f.attempts[s.request], endpoint.consecutiveFailures, endpoint.busyUntil)
	}
}

// After a cut or a restart a endpoint waited out its rest, or up to four seconds
// for its trial, though it could be reached again. One that merely answers
// nothing may answer health checks, so that is no way back for it.
func TestEndpointThatCanBeReachedAgainIsTriedAtOnce(t *testing.T) {
	config := testConfig()
	config.HealthChecks = true
	for _, outcome := range []Outcome{ConnectFailed, TimedOut} {
		f := newFixture(t, config, oneGroup())
		for _, id := range []uint32{1, 2, 3} { // as each endpoint is asked at the start
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Outcome: OK})
		}
		f.learnPosition(2)
		endpoint := f.router.endpoints[2]
		f.end(f.last(f.submit(sessionReadClass)), outcome, RoleUnknown, 0)
		endpoint.consecutiveFailures = maxBackoffDoublings
		f.router.openCircuit(endpoint, f.now)
		endpoint.breaker.nextTrialAt = f.now + maxTrialBackoff
		asked := len(f.healthChecks)
		f.wait(reconnectInterval + 2*tickInterval)
		if outcome == TimedOut {
			if len(f.healthChecks) > asked {
				t.Error("a member that takes work and answers none is probed")
			}
			continue
		}
		if len(f.healthChecks) != asked+1 {
			t.Fatalf("%d probes of a member that could not be reached, want one", len(f.healthChecks)-asked)
		}
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: ConnectFailed})
		if endpoint.breaker.nextTrialAt <= f.now {
			t.Error("a failed probe is taken for a way back")
		}
		f.wait(reconnectInterval + 2*tickInterval)
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: OK})
		if s := f.last(f.submit(sessionReadClass)); s.endpoint != 2 {
			t.Errorf("the trial went to %d", s.endpoint)
		}
	}
}

// Answers spoilt or broken off on their way come from every endpoint alike:
// resting each of them, and spending the retries meant for overload, cost more
// than they did.
func TestOneMalformedAnswerIsNoFailureOfItsEndpoint(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	for _, outcome := range []Outcome{Malformed, Reset, Malformed} { // more than an overloaded group would be granted
		s := f.last(f.submit(idempotentWriteClass))
		f.wait(20 * ms)
		f.end(s, outcome, RoleUnknown, 0)
		if endpoint := f.router.endpoints[1]; endpoint.backoffUntil > f.now || endpoint.busyUntil > f.now {
			t.Fatalf("the primary rests until %v, busy until %v, at %v", endpoint.backoffUntil, endpoint.busyUntil, f.now)
		}
		f.wait(200 * ms) // longer than the same endpoint is left out after its attempt
		again := f.last(s.request)
		if again.attempt != 1 {
			t.Fatal("not sent again")
		}
		f.end(again, OK, RolePrimary, 0)
	}
	s := f.last(f.submit(idempotentWriteClass))
	f.end(s, Malformed, RoleUnknown, 0)
	f.wait(200 * ms)
	f.end(f.last(s.request), Malformed, RoleUnknown, 0)
	if endpoint := f.router.endpoints[1]; endpoint.backoffUntil <= f.now {
		t.Error("a member that spoils its answers in a row does not rest")
	}
}

// A report that can't be read tells of no role, which fresh reads wait for: it
// is asked for again, at a pace, and a endpoint that answers is not shut out.
func TestMalformedHealthCheckIsRepeated(t *testing.T) {
	config := testConfig()
	config.HealthChecks = true
	f := newFixture(t, config, oneGroup())
	f.wait(tickInterval)
	asked := len(f.healthChecks)
	for range 3 {
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: Error})
		f.wait(2 * tickInterval)
	}
	if endpoint := f.router.endpoints[2]; endpoint.breaker.open || !endpoint.awaitsHealthCheck || len(f.healthChecks) != asked {
		t.Errorf("open %v, waits %v, %d probes more at once", endpoint.breaker.open, endpoint.awaitsHealthCheck, len(f.healthChecks)-asked)
	}
	f.wait(primaryDiscoveryInterval)
	if len(f.healthChecks) != asked+1 {
		t.Errorf("%d probes more, want one", len(f.healthChecks)-asked)
	}
}

func TestEndpointFailingFastBacksOff(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	id := f.submit(sessionReadClass)
	for range 4 {
		if s := f.last(id); s.endpoint == 2 {
			f.end(s, Overloaded, RoleReplica, f.now)
		}
	}
	for range 5 {
		if s := f.last(f.submit(sessionReadClass)); s.endpoint == 2 {
			t.Error("a member that has just been full was sent more at once")
		}
	}
}

func TestLateRetryIsRejectedAtOnce(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.router.failEarly(f.router.requests[f.submit(boundedReadClass)])
	f.router.RequestArrived(f.now, Request{ID: 77, Class: boundedReadClass, TimeLeft: 900 * ms})
	if _, ok := f.rejected[77]; !ok {
		t.Error("a repeat whose aim passed with its first try was taken")
	}
}

func TestSingleResetOpensNoCircuitBreaker(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.end(f.last(f.submit(sessionReadClass)), Reset, RoleUnknown, 0)
	for _, endpoint := range f.router.ordered {
		if endpoint.breaker.open {
			t.Errorf("breaker of %d open after one broken connection", endpoint.ID)
		}
	}
}

func TestUnevenClientTimesAreNotRetries(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.submit(boundedReadClass)
	f.router.RequestArrived(f.now, Request{ID: 77, Class: boundedReadClass, TimeLeft: 900 * ms})
	if _, refused := f.rejected[77]; refused || f.attempts[77] != 1 {
		t.Error("a first try with a shorter time was taken for a repeat though nothing had been given up")
	}
}

// Requests reach a endpoint and its answers are lost, while health checks are answered.
func TestOneWayLossIsAvoidedThoughHealthChecksSucceed(t *testing.T) {
	config := testConfig()
	config.HealthChecks = true
	f := newFixture(t, config, oneGroup())
	f.learnPosition(2)
	var toLossy int
	for range 100 {
		s := f.last(f.submit(sessionReadClass))
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Outcome: OK})
		if s.endpoint == 2 {
			toLossy++
			if f.wait(time.Second); !f.router.endpoints[2].breaker.open {
				t.Fatal("answered probes keep the breaker of a silent member shut")
			}
			continue
		}
		f.wait(20 * ms)
		f.end(s, OK, RoleUnknown, f.now)
	}
	if toLossy > 20 {
		t.Errorf("%d of 100 reads went to a member whose answers are lost", toLossy)
	}
}
