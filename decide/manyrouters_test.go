package decide

import (
	"math"
	"testing"
	"time"
)

// The tests in this file drive many routers without a Fleet, each with its own seed,
// and check the sums over all of them.

// groups returns the endpoints of n replica groups, each of a primary and two
// replicas in two zones.
func groups(n int) []Endpoint {
	var endpoints []Endpoint
	for group := range n {
		for i := range 3 {
			endpoints = append(endpoints, Endpoint{ID: uint32(3*group + i + 1), Group: group, Zone: (group + i) % 2, State: Ready, Primary: i == 0})
		}
	}
	return endpoints
}

// rejectStaleConfig returns the configuration of a fleet in which answers report all
// that a health check does, and replicas reject stale reads.
func rejectStaleConfig(routers int) Config {
	config := testConfig()
	config.Routers, config.HealthChecks, config.StaleReadPolicy, config.HealthChecksReportRole = routers, true, RejectStale, true
	return config
}

// When all routers start at the same time, the fleet starts no more health checks than
// its requests have added to the budgets, whatever its size, and a fresh read waits
// for none.
func TestHealthChecksOfAFleetAreLimitedByItsRequests(t *testing.T) {
	for _, routers := range []int{1, 3, 100} {
		checks, requests := 0, 0
		for i := range routers {
			f := newSeededFixture(t, rejectStaleConfig(routers), groups(20), uint64(i+1))
			for n := range 200 {
				f.lastID++
				f.router.RequestArrived(f.now, Request{ID: f.lastID, Class: n % 4, Group: n % 20, Session: 9, TimeLeft: 2 * time.Second})
				if n == 1 && len(f.sends) != 2 {
					t.Fatal("a fresh read waited for a health check")
				}
				for _, s := range f.sends[len(f.sends)-1:] {
					f.router.AttemptEnded(f.now, AttemptResult{Request: s.request, Attempt: s.attempt, Endpoint: s.endpoint, Outcome: OK, ClientAnswered: true})
				}
				f.advance(tickInterval)
				for _, id := range f.healthChecks[min(endedHealthChecks(f), len(f.healthChecks)):] {
					f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Outcome: OK, Status: ReplicationStatus{Position: f.now}})
				}
			}
			checks, requests = checks+len(f.healthChecks), requests+200
		}
		if allowed := int(math.Ceil(healthCheckTokensPerRequest * float64(requests))); checks > allowed || checks == 0 {
			t.Errorf("%d routers started %d health checks for %d requests, want 1 to %d", routers, checks, requests, allowed)
		}
	}
}

// endedHealthChecks returns the number of health checks of a fixture that have ended.
func endedHealthChecks(f *fixture) int {
	n := len(f.healthChecks)
	for _, endpoint := range f.router.ordered {
		if endpoint.healthCheckInFlight {
			n--
		}
	}
	return n
}

// Where replicas serve stale reads, each endpoint is checked before its first use.
func TestEndpointsThatServeStaleAreCheckedFirst(t *testing.T) {
	config := rejectStaleConfig(100)
	config.StaleReadPolicy = ServeStale
	f := newFixture(t, config, groups(20))
	f.advance(tickInterval)
	if len(f.healthChecks) != 60 {
		t.Errorf("%d health checks were started, want one of each of the 60 endpoints", len(f.healthChecks))
	}
	if id := f.submit(freshReadClass); len(f.sends) != 0 {
		t.Errorf("fresh read %d did not wait for the health check of its primary", id)
	}
}

// In a large fleet, each router sends to a warming endpoint rarely and at irregular
// times. It must not lose the tokens of the slow start that accrue in between.
func TestRarelyUsedWarmingEndpointKeepsItsTokens(t *testing.T) {
	config := testConfig()
	config.Routers, config.SlowStartDuration = 100, time.Hour
	f := newFixture(t, config, groups(1))
	f.router.answers.peak = 0.5 // answers a second
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Primary: true, StartedAt: f.now - 1}})
	f.router.groups[0].primary = f.router.endpoints[1]
	rate := f.router.answers.peak * config.SlowStartCapacity * config.OverloadFactor * slowStartRateFraction
	for range 10 {
		f.advance(time.Duration(2.1 / rate * float64(time.Second)))
		for range 2 {
			if id := f.submit(writeClass); f.attempts[id] > 0 {
				f.endAttempt(f.lastAttempt(id), OK, RolePrimary, 0)
			}
		}
	}
	if len(f.sends) != 20 {
		t.Errorf("%d attempts were sent, want the 20 that the tokens allow", len(f.sends))
	}
}

// Some clients give each attempt a part of their deadline and the last retry all that
// remains, which is more. The longer time left of such retries must not make the
// router take first requests for retries.
func TestRetriesWithMoreTimeLeftDoNotMakeFirstRequestsRetries(t *testing.T) {
	f := newFixture(t, rejectStaleConfig(80), groups(1))
	submitWith := func(timeLeft time.Duration) uint64 {
		f.lastID++
		f.router.RequestArrived(f.now, Request{ID: f.lastID, Class: boundedReadClass, Session: 9, TimeLeft: timeLeft})
		return f.lastID
	}
	for range 10 {
		f.endAttempt(f.lastAttempt(submitWith(800*ms)), OK, RoleReplica, f.now)
	}
	f.router.clientRetries.pending = 100
	for range 20 {
		f.endAttempt(f.lastAttempt(submitWith(800*ms)), OK, RoleReplica, f.now)
		if id := submitWith(1900 * ms); f.attempts[id] != 1 {
			t.Fatal("a retry within its latency objective was not sent")
		}
		f.endAttempt(f.lastAttempt(f.lastID), OK, RoleReplica, f.now)
	}
	if id := submitWith(800 * ms); f.attempts[id] != 1 {
		t.Error("a first request was taken for a late retry and rejected")
	}
	if id := submitWith(700 * ms); f.attempts[id] != 0 {
		t.Error("a retry after its latency objective was sent")
	}
}

// An early error cost its endpoint almost no work, so its retry costs few tokens: the
// budget covers a retry of each read, while late errors exhaust the budget.
func TestEarlyErrorsAreRetried(t *testing.T) {
	retries := func(latency time.Duration) (n int) {
		f := newFixture(t, rejectStaleConfig(80), groups(1))
		f.learnPosition(3)
		for range 10 {
			for range 4 { // one request in five fails
				f.endAttempt(f.lastAttempt(f.submit(writeClass)), OK, RolePrimary, 0)
			}
			id := f.submit(sessionReadClass)
			s := f.lastAttempt(id)
			f.now += latency
			f.endAttempt(s, Error, RoleReplica, f.now)
			n += f.attempts[id] - 1
			if f.attempts[id] > 1 {
				f.endAttempt(f.lastAttempt(id), OK, RoleReplica, f.now)
			}
			f.advance(5 * time.Second) // longer than any backoff
		}
		return n
	}
	if early, late := retries(ms), retries(60*ms); early != 10 || late > 6 {
		t.Errorf("retries of 10 reads: %d after early errors and %d after late ones, want 10 and at most 6", early, late)
	}
}

// Routers that have just started have not measured any rate of answers. They must
// still send to warming endpoints, as only the answers to those attempts can raise
// the measured rate.
func TestRestartedFleetServesFromWarmingEndpoints(t *testing.T) {
	const routers, latency = 80, 40 * ms // an endpoint serves at least 25 requests a second
	config := rejectStaleConfig(routers)
	config.SlowStartDuration = time.Hour
	served, requests := 0, 0
	for i := range routers {
		endpoints := groups(1)
		for j := range endpoints {
			endpoints[j].StartedAt = time.Hour / 2 // three fifths of their capacity
		}
		f := newSeededFixture(t, config, endpoints, uint64(i+1))
		f.advance(time.Duration(i) * time.Second / 10)
		for range 20 {
			requests++
			id := f.submit(writeClass) // one in 8 s per router, ten a second in total
			f.advance(latency)
			if f.attempts[id] > 0 {
				served++
				f.endAttempt(f.lastAttempt(id), OK, RolePrimary, 0)
			}
			f.advance(8*time.Second - latency)
		}
	}
	if served < requests*4/5 {
		t.Errorf("%d of %d writes were sent at two fifths of the warm primary's capacity, want at least four fifths", served, requests)
	}
}

// A router that sends to an endpoint only every few seconds avoids it after a timeout
// or an unanswered connection attempt, until it answers again: each further attempt
// would cost a read.
func TestSilentEndpointIsAvoidedUntilItAnswers(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, ConnectFailed} {
		endpoints := append(groups(1), Endpoint{ID: 4, Zone: 0, State: Ready})
		f := newFixture(t, rejectStaleConfig(80), endpoints) // 3 and 4 are local replicas
		f.learnPosition(3)
		f.learnPosition(4)
		local := f.lastAttempt(f.submit(boundedReadClass))
		f.advance(150 * ms)
		f.router.AttemptEnded(f.now, AttemptResult{Request: local.request, Endpoint: local.endpoint, Attempt: local.attempt, Outcome: outcome, Latency: 150 * ms})
		before := len(f.sends)
		for range 4 {
			f.advance(time.Second)
			if s := f.lastAttempt(f.submit(boundedReadClass)); s.endpoint == local.endpoint {
				t.Errorf("outcome %d: a read was sent to the silent endpoint", outcome)
			} else {
				f.endAttempt(s, OK, RoleReplica, f.now)
			}
		}
		if len(f.sends) == before {
			t.Fatal("no read was sent")
		}
		// A late answer shows that the endpoint runs: it is used again well before
		// silentBusyDuration has passed.
		f.router.AttemptEnded(f.now, AttemptResult{Request: 1 << 40, Endpoint: local.endpoint, Outcome: OK})
		f.advance(2 * time.Second)
		usedAgain := false
		for range 20 {
			s := f.lastAttempt(f.submit(boundedReadClass))
			usedAgain = usedAgain || s.endpoint == local.endpoint
			f.endAttempt(s, OK, RoleReplica, f.now)
		}
		if !usedAgain {
			t.Errorf("outcome %d: the endpoint is not used after it has answered again", outcome)
		}
	}
}

// longestWithoutAttempt plays the first ten seconds of one of 300 routers whose
// endpoint list is outdated and never updated. Half of the endpoints have just
// started, and some groups have another primary than the list names. It returns the
// longest time in which no attempt was sent.
func longestWithoutAttempt(t *testing.T, config Config, seed uint64) time.Duration {
	const groupCount, interval, latency = 8, 50 * ms, 40 * ms
	endpoints := groups(groupCount)
	primaries := map[int]uint32{} // the actual primaries by group
	for i := range endpoints {
		if entry := &endpoints[i]; i%2 == 0 {
			entry.StartedAt = time.Hour // now
		}
		if entry := endpoints[i]; entry.Primary {
			primaries[entry.Group] = entry.ID + uint32(entry.Group%2)
		}
	}
	f := newSeededFixture(t, config, endpoints, seed)
	lastAttempt, longest := f.now, time.Duration(0)
	for n := range int(10 * time.Second / interval) {
		answered := len(f.sends)
		f.lastID++
		f.router.RequestArrived(f.now, Request{ID: f.lastID, Class: n % len(config.Classes), Group: n / len(config.Classes) % groupCount,
			Session: uint64(n), TimeLeft: 2 * time.Second})
		f.advance(latency)
		for ; answered < len(f.sends); answered++ { // includes attempts that an answer causes
			s := f.sends[answered]
			lastAttempt = f.now
			role, outcome := RoleReplica, OK
			if primaries[int(s.endpoint-1)/3] == s.endpoint {
				role = RolePrimary
			} else if class := config.Classes[(s.request-1)%uint64(len(config.Classes))]; class.Consistency == Write {
				outcome = Ineligible
			}
			f.endAttempt(s, outcome, role, f.now)
		}
		f.advance(interval - latency)
		longest = max(longest, f.now-lastAttempt)
	}
	return longest
}

// A router that has just started must not leave all requests unsent for 4 s.
func TestRestartedRouterNeverRejectsEverything(t *testing.T) {
	serveStale := testConfig()
	serveStale.Routers = 300
	healthChecked := serveStale
	healthChecked.HealthChecks = true
	for name, config := range map[string]Config{"reject stale": rejectStaleConfig(300), "serve stale": serveStale, "health checks": healthChecked} {
		for seed := range uint64(20) {
			if longest := longestWithoutAttempt(t, config, seed); longest >= 4*time.Second {
				t.Errorf("%s, seed %d: no attempt was sent for %v, want less than 4 s", name, seed, longest)
			}
		}
	}
}
