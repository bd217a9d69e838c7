package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// checker asserts the five rules from what a router was told and did, without
// looking at the router's own state.
type checker struct {
	cfg     Config
	now     time.Duration
	reqs    map[uint64]*checked
	pos     map[uint32]time.Duration // proven
	primary map[uint32]bool          // told primary, and not denied by an answer
	stopped map[uint32]bool
	zone    map[uint32]int
	faults  []string
}

type checked struct {
	class    *Class
	expires  time.Duration
	token    time.Duration
	members  []uint32
	ended    []bool
	out      int
	mayRun   bool
	firstRan time.Duration
	ranZone  int
	answers  int
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) send(id uint64, m uint32) {
	q := c.reqs[id]
	switch {
	case q == nil || q.answers > 0:
		c.fault("request %d sent after its answer", id)
		return
	case len(q.members) >= c.cfg.MaxAttempts:
		c.fault("request %d sent too often", id)
	case q.out > 0 && !c.cfg.ParallelAttempts:
		c.fault("request %d has two attempts out", id)
	}
	if risky := q.mayRun || q.out > 0; risky {
		switch {
		case q.class.Idempotency == NonIdempotent:
			c.fault("unsafe request %d repeated", id)
		case q.class.Idempotency == IdempotencyKey && c.now > q.firstRan+q.class.IdempotencyWindow:
			c.fault("keyed request %d repeated past its window", id)
		case q.class.Idempotency == IdempotencyKey && q.class.IdempotencyScope == ScopeZone && c.zone[m] != q.ranZone:
			c.fault("keyed request %d repeated out of its zone", id)
		}
	} else {
		q.firstRan, q.ranZone = c.now, c.zone[m]
	}
	if c.stopped[m] {
		c.fault("request %d sent to member %d, which drains or is gone", id, m)
	}
	if c.cfg.StaleReadPolicy == ServeStale && q.class.Consistency != Write && !c.primary[m] {
		need := time.Duration(0)
		switch q.class.Consistency {
		case Fresh:
			c.fault("fresh read %d sent to replica %d", id, m)
		case Bounded:
			need = c.now - q.class.MaxStaleness
		case Session:
			need = q.token
		}
		if c.pos[m] < need {
			c.fault("read %d sent to member %d at %v, needs %v", id, m, c.pos[m], need)
		}
	}
	q.members = append(q.members, m)
	q.ended = append(q.ended, false)
	q.out++
}

func (c *checker) answer(id uint64, refused bool) {
	q := c.reqs[id]
	if q == nil {
		return
	}
	if q.answers++; q.answers > 1 {
		c.fault("request %d answered twice", id)
	}
	keptFrom := q.class.Idempotency == NonIdempotent || (q.class.Idempotency == IdempotencyKey && q.class.IdempotencyScope != ScopeAll)
	if refused && keptFrom && (q.mayRun || q.out > 0) {
		c.fault("request %d refused though it may have run", id)
	}
}

func (c *checker) overdue(slack time.Duration) {
	for id, q := range c.reqs {
		if q.answers == 0 && c.now > q.expires+slack {
			c.fault("request %d has no answer in time", id)
			q.answers = 1
		}
	}
}

// TestRandomHistoriesKeepTheRules feeds seeded random histories of arrivals,
// outcomes, lists, restarts and losses under varied settings.
func TestRandomHistoriesKeepTheRules(t *testing.T) {
	seeds := 300
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		if faults := history(t, uint64(seed)); len(faults) > 0 {
			t.Fatalf("seed %d: %d faults, first: %s", seed, len(faults), faults[0])
		}
	}
}

func FuzzHistories(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if faults := history(t, seed); len(faults) > 0 {
			t.Fatal(faults[0])
		}
	})
}

// history plays one random history and returns the broken rules.
func history(t *testing.T, seed uint64) []string { return historyWith(t, seed, standalone{}) }

// historyWith plays it for a router that hears of its peers from f.
func historyWith(t *testing.T, seed uint64, f Fleet) []string {
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
	c := &checker{cfg: config, now: time.Hour, reqs: map[uint64]*checked{}, pos: map[uint32]time.Duration{},
		primary: map[uint32]bool{}, stopped: map[uint32]bool{}, zone: map[uint32]int{}}
	act := newRecorder()
	act.onSend, act.onAnswer = c.send, c.answer
	r, err := New(config, seed, act)
	if err != nil {
		t.Fatal(err)
	}
	r.JoinFleet(f)
	tokens := map[uint64]time.Duration{}
	endpoints := make([]Endpoint, 2+rng.IntN(7))
	for i := range endpoints {
		endpoints[i] = Endpoint{ID: uint32(i + 1), Group: i % 2, Zone: rng.IntN(2), State: Ready, Primary: i < 2}
		c.zone[endpoints[i].ID] = endpoints[i].Zone
	}
	list := func(kind EndpointUpdateKind, ms []Endpoint) {
		for _, m := range ms {
			if config.RemovalEnforced || m.State != Removed { // else gone alone proves nothing: it is as it was
				c.stopped[m.ID] = m.State != Ready
			}
			if m.Primary {
				c.primary[m.ID] = true
			}
		}
		r.EndpointsUpdated(c.now, kind, ms)
	}
	r.Start(c.now)
	list(UpdateCachedSnapshot, endpoints)
	lost := map[int]bool{} // sends whose outcome never comes
	done := 0
	for step := range 600 {
		switch rng.IntN(8) {
		case 0, 1, 2:
			class := rng.IntN(len(config.Classes))
			q := Request{ID: uint64(step + 1), Class: class, Group: rng.IntN(2), Session: uint64(rng.IntN(4)),
				TimeLeft: time.Duration(rng.IntN(2000)-50) * ms}
			k := &checked{class: &config.Classes[class], expires: c.now + max(q.TimeLeft, 0)}
			if config.SessionTokens {
				q.SinceCommit = time.Duration(rng.IntN(500)) * ms
			} else if q.Session != 0 {
				k.token = tokens[q.Session+uint64(q.Group)<<8]
			}
			c.reqs[q.ID] = k
			r.RequestArrived(c.now, q)
		case 3, 4, 5:
			for i := done; i < len(act.sends); i++ {
				s := act.sends[i]
				if lost[i] || rng.IntN(3) > 0 {
					continue
				}
				lost[i] = true // it ends now, or is lost
				if rng.IntN(12) > 0 {
					end(c, r, rng, tokens, s)
				}
			}
			for done < len(act.sends) && lost[done] {
				done++
			}
		case 6:
			m := &endpoints[rng.IntN(len(endpoints))]
			switch rng.IntN(4) {
			case 0:
				m.State = EndpointState(rng.IntN(3))
			case 1:
				m.StartedAt, m.State = c.now, Ready
			case 2:
				for i := range endpoints {
					if endpoints[i].Group == m.Group {
						endpoints[i].Primary = endpoints[i].ID == m.ID
					}
				}
			default:
				list(WatchFailed, nil)
			}
			if coin() {
				list(UpdateSnapshot, endpoints)
			} else {
				list(UpdateDelta, []Endpoint{*m})
			}
		case 7:
			for _, id := range act.healthChecks {
				note := ReplicationStatus{}
				if config.HealthChecksReportRole {
					note = ReplicationStatus{Role: Role(1 + rng.IntN(2)), Position: c.now - time.Duration(rng.IntN(900))*ms}
					c.pos[id] = max(c.pos[id], note.Position)
					c.primary[id] = c.primary[id] || note.Role == RolePrimary
				}
				r.HealthChecked(c.now, HealthCheckResult{Endpoint: id, Outcome: Outcome(rng.IntN(2) * int(TimedOut)), Status: note})
			}
			act.healthChecks = act.healthChecks[:0]
		}
		for range rng.IntN(6) {
			c.now += tickInterval
			r.TimerFired(c.now, tickToken)
			c.overdue(2 * tickInterval)
		}
	}
	for range 300 {
		c.now += tickInterval
		r.TimerFired(c.now, tickToken)
	}
	c.overdue(2 * tickInterval)
	return c.faults
}

// end gives an attempt a random outcome and tells the checker what it shows.
func end(c *checker, r *Router, rng *rand.Rand, tokens map[uint64]time.Duration, s sent) {
	q := c.reqs[s.request]
	outcome := []Outcome{OK, OK, OK, Error, Overloaded, TimedOut, ConnectFailed, Reset, Cancelled, NotSent, Ineligible, Ineligible}[rng.IntN(12)]
	res := AttemptResult{Request: s.request, Attempt: s.attempt, Endpoint: s.endpoint, Outcome: outcome, ClientAnswered: q.answers > 0 || outcome == OK}
	if outcome == OK || outcome == Ineligible || outcome == Overloaded || outcome == Error {
		res.Status.Role = Role(1 + rng.IntN(2))
		write := q.class.Consistency == Write
		if outcome == OK && write {
			res.Status.Role = RolePrimary
		}
		if r.cfg.AnswersCarryPosition {
			res.Status.Position = c.now - time.Duration(rng.IntN(900))*ms
			if outcome != OK || !write {
				c.pos[s.endpoint] = max(c.pos[s.endpoint], res.Status.Position)
			}
		}
		c.primary[s.endpoint] = res.Status.Role == RolePrimary
		if in := r.requests[s.request]; outcome == OK && write && in != nil && in.Session != 0 {
			key := in.Session + uint64(in.Group)<<8
			tokens[key] = max(tokens[key], res.Status.Position)
		}
	}
	q.ended[s.attempt] = true
	q.out--
	if outcome == OK || outcome == Error || outcome == TimedOut || outcome == Reset || outcome == Cancelled {
		q.mayRun = true
	}
	if outcome == OK && q.answers == 0 {
		q.answers = 1
	}
	r.AttemptEnded(c.now, res)
}

// TestCheckerCatchesBrokenRules shows that the checker can fail: it is given
// the acts of a router that breaks each rule.
func TestCheckerCatchesBrokenRules(t *testing.T) {
	config := testConfig()
	for name, act := range map[string]func(c *checker){
		"two answers":      func(c *checker) { c.answer(1, false); c.answer(1, false) },
		"send when over":   func(c *checker) { c.answer(1, false); c.send(1, 1) },
		"unsafe twice":     func(c *checker) { c.send(1, 1); c.send(1, 1) },
		"refused unsafe":   func(c *checker) { c.send(1, 1); c.answer(1, true) },
		"sent to draining": func(c *checker) { c.send(1, 2) },
		"stale read":       func(c *checker) { c.send(2, 3) },
		"no answer":        func(c *checker) { c.now += time.Minute; c.overdue(0) },
	} {
		c := &checker{cfg: config, now: time.Hour, pos: map[uint32]time.Duration{}, zone: map[uint32]int{},
			primary: map[uint32]bool{1: true}, stopped: map[uint32]bool{2: true},
			reqs: map[uint64]*checked{1: {class: &config.Classes[writeClass], expires: time.Hour + time.Second},
				2: {class: &config.Classes[boundedReadClass], expires: time.Hour + time.Second}}}
		act(c)
		if len(c.faults) == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() string {
		f := newFixture(t, testConfig(), oneGroup())
		for i := range 200 {
			id := f.submit(i % 5)
			if f.attempts[id] > 0 && i%3 > 0 {
				f.end(f.last(id), Outcome(i%3), RoleUnknown, f.now)
			}
			f.wait(20 * ms)
		}
		return fmt.Sprint(f.sends, f.healthChecks, f.cancels)
	}
	if first, second := play(), play(); first != second {
		t.Error("two runs of the same events differ")
	}
}
