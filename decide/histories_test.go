package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// checker checks the invariants of a router by its events and actions, without
// access to the router's state: one answer by the deadline, no unsafe duplicate, no
// attempt beyond the limits or at an endpoint that is not ready, and no stale read.
type checker struct {
	cfg             Config
	now             time.Duration
	checkedRequests map[uint64]*checkedRequest
	positions       map[uint32]time.Duration // greatest reported position
	primaries       map[uint32]bool          // named or reported as primary, and not reported as replica by a later answer
	stopped         map[uint32]bool          // draining or removed
	zones           map[uint32]int
	violations      []string
}

// checkedRequest is the checker's state of one request.
type checkedRequest struct {
	class            *Class
	expiresAt        time.Duration
	requiredPosition time.Duration // of the session's last commit
	endpoints        []uint32      // by attempt
	ended            []bool        // by attempt
	inFlight         int
	mayHaveExecuted  bool
	firstSentAt      time.Duration
	firstZone        int
	answers          int
}

// report records a violation of an invariant.
func (c *checker) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// send checks an attempt that the router sends.
func (c *checker) send(id uint64, endpoint uint32) {
	checked := c.checkedRequests[id]
	switch {
	case checked == nil || checked.answers > 0:
		c.report("attempt of request %d was sent after its answer", id)
		return
	case len(checked.endpoints) >= c.cfg.MaxAttempts:
		c.report("request %d has more attempts than allowed", id)
	case checked.inFlight > 0 && !c.cfg.ParallelAttempts:
		c.report("request %d has two attempts in flight", id)
	}
	if duplicate := checked.mayHaveExecuted || checked.inFlight > 0; duplicate {
		switch {
		case checked.class.Idempotency == NonIdempotent:
			c.report("non-idempotent request %d was sent again", id)
		case checked.class.Idempotency == IdempotencyKey && c.now > checked.firstSentAt+checked.class.IdempotencyWindow:
			c.report("request %d was sent again after its idempotency window", id)
		case checked.class.Idempotency == IdempotencyKey && checked.class.IdempotencyScope == ScopeZone && c.zones[endpoint] != checked.firstZone:
			c.report("request %d was sent again outside the zone of its idempotency key", id)
		}
	} else {
		checked.firstSentAt, checked.firstZone = c.now, c.zones[endpoint]
	}
	if c.stopped[endpoint] {
		c.report("request %d was sent to endpoint %d, which is draining or removed", id, endpoint)
	}
	if c.cfg.StaleReadPolicy == ServeStale && checked.class.Consistency != Write && !c.primaries[endpoint] {
		required := time.Duration(0)
		switch checked.class.Consistency {
		case Fresh:
			c.report("fresh read %d was sent to replica %d", id, endpoint)
		case Bounded:
			required = c.now - checked.class.MaxStaleness
		case Session:
			required = checked.requiredPosition
		}
		if c.positions[endpoint] < required {
			c.report("read %d was sent to endpoint %d at position %v, requires %v", id, endpoint, c.positions[endpoint], required)
		}
	}
	checked.endpoints = append(checked.endpoints, endpoint)
	checked.ended = append(checked.ended, false)
	checked.inFlight++
}

// answer checks an error answer of the router.
func (c *checker) answer(id uint64, rejected bool) {
	checked := c.checkedRequests[id]
	if checked == nil {
		return
	}
	if checked.answers++; checked.answers > 1 {
		c.report("request %d was answered twice", id)
	}
	duplicatesUnsafe := checked.class.Idempotency == NonIdempotent || (checked.class.Idempotency == IdempotencyKey && checked.class.IdempotencyScope != ScopeAll)
	if rejected && duplicatesUnsafe && (checked.mayHaveExecuted || checked.inFlight > 0) {
		c.report("request %d was rejected though it may have been executed", id)
	}
}

// checkDeadlines checks that every request is answered at most slack after its deadline.
func (c *checker) checkDeadlines(slack time.Duration) {
	for id, checked := range c.checkedRequests {
		if checked.answers == 0 && c.now > checked.expiresAt+slack {
			c.report("request %d was not answered by its deadline", id)
			checked.answers = 1
		}
	}
}

// TestRandomHistoriesViolateNoInvariant plays seeded random histories of requests,
// outcomes, endpoint list updates, restarts and lost outcomes under random
// configurations.
func TestRandomHistoriesViolateNoInvariant(t *testing.T) {
	seeds := 300
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		if violations := history(t, uint64(seed)); len(violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(violations), violations[0])
		}
	}
}

// FuzzHistories is TestRandomHistoriesViolateNoInvariant with seeds of the fuzzer.
func FuzzHistories(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if violations := history(t, seed); len(violations) > 0 {
			t.Fatal(violations[0])
		}
	})
}

// history plays one random history and returns the violations.
func history(t *testing.T, seed uint64) []string { return historyWith(t, seed, standalone{}) }

// historyWith plays one random history for a router that uses the given Fleet.
func historyWith(t *testing.T, seed uint64, fleet Fleet) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	coin := func() bool { return rng.IntN(2) == 0 }
	config := testConfig()
	config.ParallelAttempts, config.CancelAttempts, config.HealthChecks = coin(), coin(), coin()
	if coin() {
		config.MaxRetryAfter = 0
	}
	config.StaleReadPolicy, config.AnswersCarryPosition, config.HealthChecksReportRole = StaleReadPolicy(rng.IntN(3)), true, coin()
	if config.StaleReadPolicy != ServeStale {
		config.AnswersCarryPosition, config.SessionTokens, config.StaleReadWait = coin(), coin(), 50*ms
	}
	config.PollOnly, config.MaxAttempts = coin(), 1+rng.IntN(9)
	config.RemovalEnforced, config.Routers = coin(), rng.IntN(150)
	for i := range config.Classes {
		config.Classes[i].LateWeight = float64(rng.IntN(2)) / 2
		config.Classes[i].IdempotencyScope = IdempotencyScope(rng.IntN(3))
		config.Classes[i].IdempotencyWindow = time.Duration(rng.IntN(2000)) * ms
	}
	c := &checker{cfg: config, now: time.Hour, checkedRequests: map[uint64]*checkedRequest{}, positions: map[uint32]time.Duration{},
		primaries: map[uint32]bool{}, stopped: map[uint32]bool{}, zones: map[uint32]int{}}
	recorder := newRecorder()
	recorder.onSend, recorder.onAnswer = c.send, c.answer
	router, err := New(config, seed, recorder)
	if err != nil {
		t.Fatal(err)
	}
	router.JoinFleet(fleet)
	commits := map[uint64]time.Duration{}
	endpoints := make([]Endpoint, 2+rng.IntN(7))
	for i := range endpoints {
		endpoints[i] = Endpoint{ID: uint32(i + 1), Group: i % 2, Zone: rng.IntN(2), State: Ready, Primary: i < 2}
		c.zones[endpoints[i].ID] = endpoints[i].Zone
	}
	updateList := func(kind EndpointUpdateKind, entries []Endpoint) {
		for _, entry := range entries {
			if config.RemovalEnforced || entry.State != Removed { // a removal that is not enforced leaves the endpoint as it was
				c.stopped[entry.ID] = entry.State != Ready
			}
			if entry.Primary {
				c.primaries[entry.ID] = true
			}
		}
		router.EndpointsUpdated(c.now, kind, entries)
	}
	router.Start(c.now)
	updateList(UpdateCachedSnapshot, endpoints)
	finished := map[int]bool{} // by index in sends, whether the outcome was delivered or lost
	allFinished := 0           // every send before this index is finished
	for step := range 600 {
		switch rng.IntN(8) {
		case 0, 1, 2:
			class := rng.IntN(len(config.Classes))
			request := Request{ID: uint64(step + 1), Class: class, Group: rng.IntN(2), Session: uint64(rng.IntN(4)),
				TimeLeft: time.Duration(rng.IntN(2000)-50) * ms}
			checked := &checkedRequest{class: &config.Classes[class], expiresAt: c.now + max(request.TimeLeft, 0)}
			if config.SessionTokens {
				request.SinceCommit = time.Duration(rng.IntN(500)) * ms
			} else if request.Session != 0 {
				checked.requiredPosition = commits[request.Session+uint64(request.Group)<<8]
			}
			c.checkedRequests[request.ID] = checked
			router.RequestArrived(c.now, request)
		case 3, 4, 5:
			for i := allFinished; i < len(recorder.sends); i++ {
				s := recorder.sends[i]
				if finished[i] || rng.IntN(3) > 0 {
					continue
				}
				finished[i] = true // the outcome is delivered now or never
				if rng.IntN(12) > 0 {
					endRandomly(c, router, rng, commits, s)
				}
			}
			for allFinished < len(recorder.sends) && finished[allFinished] {
				allFinished++
			}
		case 6:
			entry := &endpoints[rng.IntN(len(endpoints))]
			switch rng.IntN(4) {
			case 0:
				entry.State = EndpointState(rng.IntN(3))
			case 1:
				entry.StartedAt, entry.State = c.now, Ready
			case 2:
				for i := range endpoints {
					if endpoints[i].Group == entry.Group {
						endpoints[i].Primary = endpoints[i].ID == entry.ID
					}
				}
			default:
				updateList(WatchFailed, nil)
			}
			if coin() {
				updateList(UpdateSnapshot, endpoints)
			} else {
				updateList(UpdateDelta, []Endpoint{*entry})
			}
		case 7:
			for _, id := range recorder.healthChecks {
				status := ReplicationStatus{}
				if config.HealthChecksReportRole {
					status = ReplicationStatus{Role: Role(1 + rng.IntN(2)), Position: c.now - time.Duration(rng.IntN(900))*ms}
					c.positions[id] = max(c.positions[id], status.Position)
					c.primaries[id] = c.primaries[id] || status.Role == RolePrimary
				}
				router.HealthChecked(c.now, HealthCheckResult{Endpoint: id, Outcome: Outcome(rng.IntN(2) * int(TimedOut)), Status: status})
			}
			recorder.healthChecks = recorder.healthChecks[:0]
		}
		for range rng.IntN(6) {
			c.now += tickInterval
			router.TimerFired(c.now, tickToken)
			c.checkDeadlines(2 * tickInterval)
		}
	}
	for range 300 {
		c.now += tickInterval
		router.TimerFired(c.now, tickToken)
	}
	c.checkDeadlines(2 * tickInterval)
	return c.violations
}

// endRandomly ends an attempt with a random outcome, and updates the checker by what
// the outcome reports.
func endRandomly(c *checker, router *Router, rng *rand.Rand, commits map[uint64]time.Duration, s sentAttempt) {
	checked := c.checkedRequests[s.request]
	outcome := []Outcome{OK, OK, OK, Error, Overloaded, TimedOut, ConnectFailed, Reset, Cancelled, NotSent, Ineligible, Ineligible}[rng.IntN(12)]
	result := AttemptResult{Request: s.request, Attempt: s.attempt, Endpoint: s.endpoint, Outcome: outcome, ClientAnswered: checked.answers > 0 || outcome == OK}
	if outcome == OK || outcome == Ineligible || outcome == Overloaded || outcome == Error {
		result.Status.Role = Role(1 + rng.IntN(2))
		write := checked.class.Consistency == Write
		if outcome == OK && write {
			result.Status.Role = RolePrimary
		}
		if router.cfg.AnswersCarryPosition {
			result.Status.Position = c.now - time.Duration(rng.IntN(900))*ms
			if outcome != OK || !write {
				c.positions[s.endpoint] = max(c.positions[s.endpoint], result.Status.Position)
			}
		}
		c.primaries[s.endpoint] = result.Status.Role == RolePrimary
		if tracked := router.requests[s.request]; outcome == OK && write && tracked != nil && tracked.Session != 0 {
			key := tracked.Session + uint64(tracked.Group)<<8
			commits[key] = max(commits[key], result.Status.Position)
		}
	}
	checked.ended[s.attempt] = true
	checked.inFlight--
	if outcome == OK || outcome == Error || outcome == TimedOut || outcome == Reset || outcome == Cancelled {
		checked.mayHaveExecuted = true
	}
	if outcome == OK && checked.answers == 0 {
		checked.answers = 1
	}
	router.AttemptEnded(c.now, result)
}

// TestCheckerReportsViolations tests the checker itself with actions that violate
// the invariants.
func TestCheckerReportsViolations(t *testing.T) {
	config := testConfig()
	for name, violate := range map[string]func(c *checker){
		"two answers":       func(c *checker) { c.answer(1, false); c.answer(1, false) },
		"sent after answer": func(c *checker) { c.answer(1, false); c.send(1, 1) },
		"sent twice":        func(c *checker) { c.send(1, 1); c.send(1, 1) },
		"unsafe rejection":  func(c *checker) { c.send(1, 1); c.answer(1, true) },
		"sent to draining":  func(c *checker) { c.send(1, 2) },
		"stale read":        func(c *checker) { c.send(2, 3) },
		"no answer":         func(c *checker) { c.now += time.Minute; c.checkDeadlines(0) },
	} {
		c := &checker{cfg: config, now: time.Hour, positions: map[uint32]time.Duration{}, zones: map[uint32]int{},
			primaries: map[uint32]bool{1: true}, stopped: map[uint32]bool{2: true},
			checkedRequests: map[uint64]*checkedRequest{1: {class: &config.Classes[writeClass], expiresAt: time.Hour + time.Second},
				2: {class: &config.Classes[boundedReadClass], expiresAt: time.Hour + time.Second}}}
		violate(c)
		if len(c.violations) == 0 {
			t.Errorf("%s: the checker reported no violation", name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() string {
		f := newFixture(t, testConfig(), oneGroup())
		for i := range 200 {
			id := f.submit(i % 5)
			if f.attempts[id] > 0 && i%3 > 0 {
				f.endAttempt(f.lastAttempt(id), Outcome(i%3), RoleUnknown, f.now)
			}
			f.advance(20 * ms)
		}
		return fmt.Sprint(f.sends, f.healthChecks, f.cancels)
	}
	if first, second := play(), play(); first != second {
		t.Error("two routers with equal seeds and events took different actions")
	}
}
