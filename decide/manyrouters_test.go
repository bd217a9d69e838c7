package decide

import (
	"math"
	"testing"
	"time"
)

// The tests in this file drive many routers that share nothing, each with its
// own seed, and count over all of them.

// groups returns n groups of a primary and two replicas in two zones.
func groups(n int) []Endpoint {
	var ms []Endpoint
	for g := range n {
		for i := range 3 {
			ms = append(ms, Endpoint{ID: uint32(3*g + i + 1), Group: g, Zone: (g + i) % 2, State: Ready, Primary: i == 0})
		}
	}
	return ms
}

// checkingConfig is that of a fleet in which answers tell all that a health check does.
func checkingConfig(routers int) Config {
	config := testConfig()
	config.Routers, config.HealthChecks, config.StaleReadPolicy, config.HealthChecksReportRole = routers, true, RejectStale, true
	return config
}

// When all routers start together, the fleet sends no more health checks than its
// requests pay for, whatever its size, and a fresh read waits for none.
func TestHealthChecksOfAFleetArePaidByItsRequests(t *testing.T) {
	for _, routers := range []int{1, 3, 100} {
		probes, requests := 0, 0
		for i := range routers {
			f := newSeededFixture(t, checkingConfig(routers), groups(20), uint64(i+1))

			for n := range 200 {
				f.next++
				f.router.RequestArrived(f.now, Request{ID: f.next, Class: n % 4, Group: n % 20, Session: 9, TimeLeft: 2 * time.Second})
				if n == 1 && len(f.sends) != 2 {
					t.Fatal("a fresh read waited for a probe")
				}
				for _, s := range f.sends[len(f.sends)-1:] {
					f.router.AttemptEnded(f.now, AttemptResult{Request: s.request, Attempt: s.attempt, Endpoint: s.endpoint, Outcome: OK, ClientAnswered: true})
				}
				f.wait(tickInterval)
				for _, m := range f.healthChecks[min(probesHeard(f), len(f.healthChecks)):] {
					f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: m, Outcome: OK, Status: ReplicationStatus{Position: f.now}})
				}
			}
			probes, requests = probes+len(f.healthChecks), requests+200
		}
		if paid := int(math.Ceil(healthCheckTokensPerRequest * float64(requests))); probes > paid || probes == 0 {
			t.Errorf("%d routers sent %d probes, their %d requests paid for %d", routers, probes, requests, paid)
		}
	}
}

// probesHeard is how many of a rig's health checks have been answered.
func probesHeard(f *fixture) int {
	n := len(f.healthChecks)
	for _, endpoint := range f.router.ordered {
		if endpoint.healthCheckInFlight {
			n--
		}
	}
	return n
}

// Where replicas serve unchecked, each endpoint is still health-checked before its use.
func TestEndpointsThatServeStaleAreCheckedFirst(t *testing.T) {
	config := checkingConfig(100)
	config.StaleReadPolicy = ServeStale
	f := newFixture(t, config, groups(20))
	f.wait(tickInterval)
	if len(f.healthChecks) != 60 {
		t.Errorf("%d of 60 members were probed", len(f.healthChecks))
	}
	if q := f.submit(freshReadClass); len(f.sends) != 0 {
		t.Errorf("fresh read %d did not wait for the probe of its primary", q)
	}
}

// A router of many meets a warming endpoint seldom, and then not evenly: what came
// due meanwhile is not lost to it.
func TestSeldomUsedWarmingEndpointKeepsItsTokens(t *testing.T) {
	config := testConfig()
	config.Routers, config.SlowStartDuration = 100, time.Hour
	f := newFixture(t, config, groups(1))
	f.router.answers.peak = 0.5 // answers a second that a endpoint gives this router
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Primary: true, StartedAt: f.now - 1}})
	f.router.groups[0].primary = f.router.endpoints[1]
	rate := f.router.answers.peak * config.SlowStartCapacity * config.OverloadFactor * slowStartRateFraction
	for range 10 {
		f.wait(time.Duration(2.1 / rate * float64(time.Second)))
		for range 2 {
			if id := f.submit(writeClass); f.attempts[id] > 0 {
				f.end(f.last(id), OK, RolePrimary, 0)
			}
		}
	}
	if len(f.sends) != 20 {
		t.Errorf("%d of 20 attempts that were due were sent", len(f.sends))
	}
}

// Clients that give each try a part of their wait give a last one all that is
// left, which is more: first tries are no repeats because of that.
func TestLongLastRetriesMakeFirstRequestsNoRetries(t *testing.T) {
	f := newFixture(t, checkingConfig(80), groups(1))
	try := func(left time.Duration) uint64 {
		f.next++
		f.router.RequestArrived(f.now, Request{ID: f.next, Class: boundedReadClass, Session: 9, TimeLeft: left})
		return f.next
	}
	for range 10 {
		f.end(f.last(try(800*ms)), OK, RoleReplica, f.now)
	}
	f.router.clientRetries.pending = 100 // so many were given up
	for range 20 {
		f.end(f.last(try(800*ms)), OK, RoleReplica, f.now)
		if id := try(1900 * ms); f.attempts[id] != 1 {
			t.Fatal("a repeat with most of its aim left was not sent")
		}
		f.end(f.last(f.next), OK, RoleReplica, f.now)
	}
	if id := try(800 * ms); f.attempts[id] != 1 {
		t.Error("a first try was refused as a late repeat")
	}
	if id := try(700 * ms); f.attempts[id] != 0 {
		t.Error("a repeat whose aim has passed was sent")
	}
}

// An error that comes at once cost its endpoint next to no work: a router that
// meets an erring endpoint seldom can repeat each such read, where late errors
// exhaust the budget.
func TestEarlyErrorsAreRetried(t *testing.T) {
	served := func(took time.Duration) (n int) {
		f := newFixture(t, checkingConfig(80), groups(1))
		f.learnPosition(3)
		for range 10 {
			for range 4 { // one request in five fails
				f.end(f.last(f.submit(writeClass)), OK, RolePrimary, 0)
			}
			id := f.submit(sessionReadClass)
			s := f.last(id)
			f.now += took
			f.end(s, Error, RoleReplica, f.now)
			n += f.attempts[id] - 1
			if f.attempts[id] > 1 {
				f.end(f.last(id), OK, RoleReplica, f.now)
			}
			f.wait(5 * time.Second) // longer than any rest
		}
		return n
	}
	if early, late := served(ms), served(60*ms); early != 10 || late > 6 {
		t.Errorf("of 10 reads that failed at once %d were repeated, of 10 that failed late %d", early, late)
	}
}

// Routers that have just started have seen no load: what they may send to cold
// endpoints must not wait for answers that only such sends could bring.
func TestRestartedFleetServesFromWarmingEndpoints(t *testing.T) {
	const routers, took = 80, 40 * ms // an answer's time: a endpoint bears 25 a second at least
	config := checkingConfig(routers)
	config.SlowStartDuration = time.Hour
	served, asked := 0, 0
	for i := range routers {
		ms := groups(1)
		for j := range ms {
			ms[j].StartedAt = time.Hour / 2 // at three fifths of their capacity
		}
		f := newSeededFixture(t, config, ms, uint64(i+1))
		f.wait(time.Duration(i) * time.Second / 10)
		for range 20 {
			asked++
			id := f.submit(writeClass) // one in 8 s from each: ten a second from all
			f.wait(took)
			if f.attempts[id] > 0 {
				served++
				f.end(f.last(id), OK, RolePrimary, 0)
			}
			f.wait(8*time.Second - took)
		}
	}
	if served < asked*4/5 {
		t.Errorf("%d of %d writes were sent, at two fifths of what the primary bears when warm", served, asked)
	}
}

// A router that meets a endpoint once in seconds passes over one that fell
// silent, until it is heard again: each further try would cost a read.
func TestSilentEndpointIsAvoidedUntilItAnswers(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, ConnectFailed} {
		endpoints := append(groups(1), Endpoint{ID: 4, Zone: 0, State: Ready})
		f := newFixture(t, checkingConfig(80), endpoints) // 3 and 4 are replicas here
		f.learnPosition(3)
		f.learnPosition(4)
		local := f.last(f.submit(boundedReadClass))
		f.wait(150 * ms)
		f.router.AttemptEnded(f.now, AttemptResult{Request: local.request, Endpoint: local.endpoint, Attempt: local.attempt, Outcome: outcome, Latency: 150 * ms})
		before := len(f.sends)
		for range 4 {
			f.wait(time.Second)
			if s := f.last(f.submit(boundedReadClass)); s.endpoint == local.endpoint {
				t.Errorf("outcome %d: the silent member was sent a read", outcome)
			} else {
				f.end(s, OK, RoleReplica, f.now)
			}
		}
		if len(f.sends) == before {
			t.Fatal("nothing was sent")
		}
		// A late answer tells that it is there: it is used again well before silentFor is over.
		f.router.AttemptEnded(f.now, AttemptResult{Request: 1 << 40, Endpoint: local.endpoint, Outcome: OK})
		f.wait(2 * time.Second)
		back := false
		for range 20 {
			s := f.last(f.submit(boundedReadClass))
			back = back || s.endpoint == local.endpoint
			f.end(s, OK, RoleReplica, f.now)
		}
		if !back {
			t.Errorf("outcome %d: a member that was heard again is still passed over", outcome)
		}
	}
}

// longestWithoutAttempt plays ten seconds of a router of 300 that has just
// started on the list that it was given, which nobody brings up to date. Half
// of the endpoints have just been replaced, and some groups have another primary
// than the list names. It returns the longest time in which every request was
// turned away.
func longestWithoutAttempt(t *testing.T, config Config, seed uint64) time.Duration {
	const nGroups, every, took = 8, 50 * ms, 40 * ms
	endpoints := groups(nGroups)
	leads := map[int]uint32{}
	for i := range endpoints {
		if m := &endpoints[i]; i%2 == 0 {
			m.StartedAt = time.Hour // now
		}
		if m := endpoints[i]; m.Primary {
			leads[m.Group] = m.ID + uint32(m.Group%2)
		}
	}
	f := newSeededFixture(t, config, endpoints, seed)
	lastAttempt, longest := f.now, time.Duration(0)
	for n := range int(10 * time.Second / every) {
		heard := len(f.sends)
		f.next++
		f.router.RequestArrived(f.now, Request{ID: f.next, Class: n % len(config.Classes), Group: n / len(config.Classes) % nGroups,
			Session: uint64(n), TimeLeft: 2 * time.Second})
		f.wait(took)
		for ; heard < len(f.sends); heard++ { // what is sent for an answer is answered too
			s := f.sends[heard]
			lastAttempt = f.now
			role, outcome := RoleReplica, OK
			if leads[int(s.endpoint-1)/3] == s.endpoint {
				role = RolePrimary
			} else if class := config.Classes[(s.request-1)%uint64(len(config.Classes))]; class.Consistency == Write {
				outcome = Ineligible
			}
			f.end(s, outcome, role, f.now)
		}
		f.wait(every - took)
		longest = max(longest, f.now-lastAttempt)
	}
	return longest
}

// A router that has just started never turns away all that it gets for 4 s.
func TestRestartedRouterNeverRejectsEverything(t *testing.T) {
	unchecked := testConfig()
	unchecked.Routers = 300
	probing := unchecked
	probing.HealthChecks = true
	for name, config := range map[string]Config{"checking": checkingConfig(300), "unchecked": unchecked, "probing": probing} {
		for seed := range uint64(20) {
			if longest := longestWithoutAttempt(t, config, seed); longest >= 4*time.Second {
				t.Errorf("%s, seed %d: no attempt for %v", name, seed, longest)
			}
		}
	}
}
