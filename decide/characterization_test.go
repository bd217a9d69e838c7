package decide_test

import (
	"bufio"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lotusbend/decide"
)

var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; use it only for an intended change of the decisions")

// scenario is the setup of one simulation.
type scenario struct {
	name     string
	seed     uint64
	groups   int
	arrivals float64 // requests a second
	sessions int
	length   time.Duration
	fleet    bool // the router uses a Fleet
	config   decide.Config
}

// classes returns classes that cover each consistency level, each kind of idempotency
// and each idempotency scope.
func classes() []decide.Class {
	return []decide.Class{
		{Name: "plain write", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 4,
			Idempotency: decide.NonIdempotent, Consistency: decide.Write},
		{Name: "keyed write", LatencyObjective: 400 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, LateWeight: 0.5,
			Idempotency: decide.IdempotencyKey, IdempotencyScope: decide.ScopeGroup, IdempotencyWindow: 900 * time.Millisecond, Consistency: decide.Write},
		{Name: "zone-keyed write", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 2, LateWeight: 0.2,
			Idempotency: decide.IdempotencyKey, IdempotencyScope: decide.ScopeZone, IdempotencyWindow: 2 * time.Second, Consistency: decide.Write},
		{Name: "everywhere-keyed write", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1,
			Idempotency: decide.IdempotencyKey, IdempotencyScope: decide.ScopeAll, IdempotencyWindow: 5 * time.Second, Consistency: decide.Write},
		{Name: "fresh read", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 2,
			Idempotency: decide.Idempotent, Consistency: decide.Fresh},
		{Name: "session read", LatencyObjective: 250 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateWeight: 0.3,
			Idempotency: decide.Idempotent, Consistency: decide.Session},
		{Name: "bounded read", LatencyObjective: 150 * time.Millisecond, Deadline: 800 * time.Millisecond, PriorityWeight: 1,
			Idempotency: decide.Idempotent, Consistency: decide.Bounded, MaxStaleness: 400 * time.Millisecond},
		{Name: "any read", LatencyObjective: 600 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 0.5, LateWeight: 1,
			Idempotency: decide.Idempotent, Consistency: decide.Any},
	}
}

// scenarios returns the scenarios. Their names are the keys of the golden file.
func scenarios() []scenario {
	base := decide.Config{
		Routers: 3, Classes: classes(), StaleReadPolicy: decide.RejectStale, AnswersCarryPosition: true, HealthChecksReportRole: true,
		MaxAttempts: 6, ParallelAttempts: true, HealthChecks: true, CancelAttempts: true, MaxRetryAfter: time.Second,
		PollInterval: 4 * time.Second, SlowStartCapacity: 0.2, SlowStartDuration: 3 * time.Second, OverloadFactor: 2,
		OverloadDuration: time.Second, RemovalEnforced: true,
	}
	serveStale := base
	serveStale.StaleReadPolicy, serveStale.SessionTokens, serveStale.PollOnly = decide.ServeStale, true, true
	waitThenReject := base
	waitThenReject.StaleReadPolicy, waitThenReject.StaleReadWait, waitThenReject.AnswersCarryPosition = decide.WaitThenReject, 80*time.Millisecond, false
	waitThenReject.ParallelAttempts, waitThenReject.CancelAttempts, waitThenReject.RemovalEnforced = false, false, false
	twoAttempts := base
	twoAttempts.HealthChecks, twoAttempts.HealthChecksReportRole, twoAttempts.MaxAttempts = false, false, 2
	unlimited := serveStale
	unlimited.SessionTokens, unlimited.MaxAttempts, unlimited.AnswersCarryPosition, unlimited.PollOnly = false, 0, false, false
	minute := time.Minute
	return []scenario{
		{"checking", 1, 4, 200, 20, minute, false, base},
		{"checking, another seed", 2, 2, 300, 40, minute, false, base},
		{"unchecked, tokens carried, polled", 3, 3, 150, 20, minute, false, serveStale},
		{"waiting, one attempt at a time, no cancels", 4, 3, 150, 20, minute, false, waitThenReject},
		{"two attempts, no probes", 5, 3, 150, 20, minute, false, twoAttempts},
		{"unchecked, tokens remembered, any number of attempts", 6, 3, 150, 20, minute, false, unlimited},
		{"overload", 7, 1, 1200, 20, 20 * time.Second, false, base},
		{"with a fleet", 8, 4, 200, 20, minute, true, base},
		{"with a fleet, unchecked", 9, 3, 200, 20, minute, true, serveStale},
		{"more sessions than are remembered", 10, 1, 2000, 1 << 20, 45 * time.Second, false, unlimited},
	}
}

// TestCharacterization compares a digest of the actions of each scenario with the
// golden file, to detect any change of the decisions. Only numbers are hashed, so
// names may change.
func TestCharacterization(t *testing.T) {
	path := filepath.Join("testdata", "characterization.txt")
	got := map[string]string{}
	for _, s := range scenarios() {
		digest, counts := simulate(t, s)
		got[s.name] = digest
		t.Logf("%s: actions by kind %v", s.name, counts)
	}
	if *update {
		writeDigests(t, path, got)
	}
	want := readDigests(t, path)
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if got[name] != want[name] {
			t.Errorf("%s: digest %s, want %s", name, got[name], want[name])
		}
		delete(want, name)
	}
	for name := range want {
		t.Errorf("%s: the golden file has a digest of an unknown scenario", name)
	}
}

// writeDigests writes the golden file.
func writeDigests(t *testing.T, path string, digests map[string]string) {
	t.Helper()
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		fmt.Fprintf(&text, "%s\t%s\n", name, digests[name])
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readDigests reads the golden file.
func readDigests(t *testing.T, path string) map[string]string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	digests := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, digest, found := strings.Cut(lines.Text(), "\t")
		if !found {
			t.Fatalf("%s: no tab in %q", path, lines.Text())
		}
		digests[name] = digest
	}
	return digests
}

// condition is how a simulated host behaves.
type condition int

const (
	healthy condition = iota
	hung
	refusing
	failing
	slow
	conditionCount
)

// host is a simulated database host.
type host struct {
	entry     decide.Endpoint // in the endpoint list
	primary   bool            // the actual role, which the list may not show yet
	condition condition
	latency   time.Duration
	lag       time.Duration
}

// simulation drives one router through scheduled events and hashes its actions.
type simulation struct {
	scenario
	rng      *rand.Rand
	now      time.Duration
	router   *decide.Router
	hosts    []*host
	events   eventQueue
	order    int // number of the events scheduled so far
	nextID   uint64
	attempts map[uint64][]bool        // by request, whether each attempt has ended
	class    map[uint64]int           // by request
	deadline map[uint64]time.Duration // by request
	digest   hash.Hash
	counts   [9]int // of calls of record, by kind
}

// simulate plays a scenario and returns the digest and the counts of its actions.
func simulate(t *testing.T, s scenario) (digest string, counts [9]int) {
	t.Helper()
	sim := &simulation{
		scenario: s, rng: rand.New(rand.NewPCG(s.seed, 77)), now: time.Hour,
		attempts: map[uint64][]bool{}, class: map[uint64]int{}, deadline: map[uint64]time.Duration{},
		digest: sha256.New(),
	}
	router, err := decide.New(s.config, s.seed, sim)
	if err != nil {
		t.Fatal(err)
	}
	sim.router = router
	if s.fleet {
		router.JoinFleet(fleetStub{})
	}
	sim.addHosts()
	end := sim.now + s.length
	router.Start(sim.now)
	router.EndpointsUpdated(sim.now, decide.UpdateCachedSnapshot, sim.list())
	sim.after(0, sim.arrive)
	sim.after(200*time.Millisecond, sim.injectFault)
	sim.after(time.Second, sim.observe)
	for len(sim.events) > 0 && sim.now < end {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.observe()
	return hex.EncodeToString(sim.digest.Sum(nil)), sim.counts
}

// addHosts creates four hosts per group.
func (s *simulation) addHosts() {
	for group := range s.groups {
		for i := range 4 {
			s.hosts = append(s.hosts, &host{
				entry: decide.Endpoint{ID: uint32(len(s.hosts) + 1), Zone: (group + i) % 2, Group: group,
					State: decide.Ready, Primary: i == 0},
				primary: i == 0,
				latency: time.Duration(5+10*i) * time.Millisecond,
				lag:     time.Duration(30*i) * time.Millisecond,
			})
		}
	}
}

// list returns the current endpoint list.
func (s *simulation) list() []decide.Endpoint {
	var entries []decide.Endpoint
	for _, h := range s.hosts {
		if h.entry.State != decide.Removed {
			entries = append(entries, h.entry)
		}
	}
	return entries
}

func (s *simulation) host(id uint32) *host { return s.hosts[id-1] }

// chance returns true with probability p.
func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// randomDuration returns a random duration of at least d/2 with the mean d.
func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + s.rng.ExpFloat64()/2))
}

// arrive delivers a new request and schedules the next one. Some requests have an ID
// that is in use or an unknown class, and some are cancelled by their client.
func (s *simulation) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.arrivals*float64(time.Second)), s.arrive)
	class := s.rng.IntN(len(s.config.Classes))
	s.request(class, s.config.Classes[class].Deadline)
	switch {
	case s.chance(0.002):
		s.router.RequestArrived(s.now, decide.Request{ID: s.nextID, Class: class}) // the ID is in use
	case s.chance(0.001):
		s.nextID++
		s.router.RequestArrived(s.now, decide.Request{ID: s.nextID, Class: len(s.config.Classes)})
	case s.chance(0.005):
		id := s.nextID - uint64(s.rng.IntN(20))
		s.after(s.randomDuration(30*time.Millisecond), func() { s.router.ClientCancelled(s.now, id) })
	}
}

// request delivers a request of the class to the router.
func (s *simulation) request(class int, timeLeft time.Duration) {
	s.nextID++
	request := decide.Request{ID: s.nextID, Group: s.rng.IntN(s.groups), Class: class,
		Session: uint64(s.rng.IntN(s.sessions)), TimeLeft: timeLeft}
	if s.chance(0.5) {
		request.SinceCommit = s.randomDuration(200 * time.Millisecond)
	}
	s.class[request.ID], s.deadline[request.ID] = class, s.now+timeLeft
	s.router.RequestArrived(s.now, request)
}

// injectFault injects or ends a fault and schedules the next call.
func (s *simulation) injectFault() {
	s.after(s.randomDuration(250*time.Millisecond), s.injectFault)
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(12) {
	case 0, 1, 2, 3, 4:
		h.condition = healthy
	case 5, 6:
		h.condition = condition(s.rng.IntN(int(conditionCount)))
	case 7:
		h.lag = s.randomDuration(300 * time.Millisecond)
	case 8:
		s.advanceState(h)
	case 9:
		s.failOver(h)
	case 10:
		s.notify([]decide.EndpointUpdateKind{decide.UpdateSnapshot, decide.UpdateCachedSnapshot, decide.WatchFailed}[s.rng.IntN(3)], s.list())
	case 11:
		s.router.AttemptEnded(s.now, decide.AttemptResult{Request: s.nextID + 1000, Endpoint: h.entry.ID, Outcome: decide.OK,
			Status: decide.ReplicationStatus{Role: decide.RoleReplica, Position: s.now - h.lag}})
	}
}

// advanceState drains a ready host, removes a draining one, or restarts a removed one.
func (s *simulation) advanceState(h *host) {
	switch h.entry.State {
	case decide.Ready:
		h.entry.State = decide.Draining
	case decide.Draining:
		h.entry.State = decide.Removed
	case decide.Removed:
		h.entry.State, h.entry.StartedAt, h.condition = decide.Ready, s.now, healthy
	}
	s.notify(decide.UpdateDelta, []decide.Endpoint{h.entry})
}

// failOver makes h its group's primary; the endpoint list follows later.
func (s *simulation) failOver(h *host) {
	var changed []*host
	for _, other := range s.hosts {
		if other.entry.Group == h.entry.Group && other.primary != (other == h) {
			other.primary = other == h
			changed = append(changed, other)
		}
	}
	s.after(s.randomDuration(400*time.Millisecond), func() {
		var entries []decide.Endpoint
		for _, other := range changed {
			other.entry.Primary = other.primary
			entries = append(entries, other.entry)
		}
		s.notify(decide.UpdateDelta, entries)
	})
}

// notify delivers an update of the endpoint list.
func (s *simulation) notify(kind decide.EndpointUpdateKind, entries []decide.Endpoint) {
	s.router.EndpointsUpdated(s.now, kind, entries)
}

// observe hashes the router's view of its endpoints and its retry budget, and schedules
// the next call.
func (s *simulation) observe() {
	s.after(time.Second, s.observe)
	s.router.View(s.now, func(v decide.EndpointView) {
		s.record(7, uint64(v.ID), uint64(v.Group), flags(v.Ready, v.Primary, v.CircuitOpen, v.Failing, v.WarmingUp, v.RequestsQueued, v.PrimaryUnknown),
			uint64(v.PrimaryReportedAt), uint64(v.Latency), uint64(v.TypicalLatency), uint64(v.Lag), uint64(v.LagMeasuredAt))
	})
	saved, limit, earned := s.router.RetryBudget()
	s.record(8, math.Float64bits(saved), math.Float64bits(limit), math.Float64bits(earned))
}

// flags packs values into bits, the first into the lowest.
func flags(values ...bool) uint64 {
	var bits uint64
	for i, value := range values {
		if value {
			bits |= 1 << i
		}
	}
	return bits
}

// record hashes an action or a result with its kind and time. The kinds are 0 Send,
// 1 Cancel, 2 Reject, 3 Fail, 4 CheckHealth, 5 CloseIdle and WatchEndpoints,
// 6 MaySend, 7 View and 8 RetryBudget.
func (s *simulation) record(kind byte, values ...uint64) {
	s.counts[kind]++
	buffer := binary.LittleEndian.AppendUint64([]byte{kind}, uint64(s.now))
	for _, value := range values {
		buffer = binary.LittleEndian.AppendUint64(buffer, value)
	}
	s.digest.Write(buffer)
}

// The simulation implements decide.Actions. The consequences of an action are scheduled
// as events, because actions must not call the router.

func (s *simulation) Send(request uint64, endpoint uint32, timeout time.Duration) {
	s.record(0, request, uint64(endpoint), uint64(timeout))
	attempt := len(s.attempts[request])
	s.attempts[request] = append(s.attempts[request], false)
	h := s.host(endpoint)
	if s.chance(0.1) { // the attempt waits for a connection, after which it may no longer be allowed
		s.after(s.randomDuration(20*time.Millisecond), func() {
			if s.attempts[request][attempt] {
				return
			}
			allowed := s.router.MaySend(s.now, request, attempt)
			s.record(6, request, uint64(attempt), flags(allowed))
			if allowed {
				s.serve(request, attempt, h, timeout)
			} else {
				s.end(request, attempt, h, decide.NotSent, 0)
			}
		})
		return
	}
	s.serve(request, attempt, h, timeout)
}

// serve schedules the end of an attempt at h.
func (s *simulation) serve(request uint64, attempt int, h *host, timeout time.Duration) {
	elapsed, outcome := s.randomDuration(h.latency), decide.OK
	class := s.config.Classes[s.class[request]]
	switch h.condition {
	case hung:
		outcome, elapsed = decide.TimedOut, s.randomDuration(3*time.Second)
		if timeout > 0 {
			elapsed = timeout
		}
		if s.chance(0.1) { // the outcome is lost
			return
		}
	case refusing:
		outcome, elapsed = decide.ConnectFailed, time.Millisecond
	case failing:
		outcome = []decide.Outcome{decide.Error, decide.Overloaded, decide.Reset, decide.Malformed}[s.rng.IntN(4)]
	case slow:
		elapsed *= 6
	default:
		outcome = s.outcome(h, class)
	}
	if outcome == decide.OK && s.chance(0.05) {
		s.after(elapsed/2, func() {
			if !s.attempts[request][attempt] {
				s.router.AnswerStarted(s.now, request, attempt)
			}
		})
	}
	s.after(elapsed, func() { s.end(request, attempt, h, outcome, elapsed) })
}

// outcome returns the outcome of an attempt at a healthy host.
func (s *simulation) outcome(h *host, class decide.Class) decide.Outcome {
	needsPrimary := class.Consistency <= decide.Fresh
	tooOld := class.Consistency == decide.Bounded && h.lag > class.MaxStaleness
	switch {
	case needsPrimary && !h.primary:
		return decide.Ineligible
	case tooOld && !h.primary && s.config.StaleReadPolicy != decide.ServeStale:
		return decide.Ineligible
	case s.chance(0.01):
		return decide.Error + decide.Outcome(s.rng.IntN(int(decide.InvalidRequest)))
	}
	return decide.OK
}

// end reports the end of an attempt to the router, unless it was already reported.
func (s *simulation) end(request uint64, attempt int, h *host, outcome decide.Outcome, elapsed time.Duration) {
	if s.attempts[request][attempt] {
		return
	}
	s.attempts[request][attempt] = true
	s.router.AttemptEnded(s.now, decide.AttemptResult{Request: request, Attempt: attempt, Endpoint: h.entry.ID, Outcome: outcome,
		Latency: elapsed, ClientAnswered: outcome == decide.OK, Status: s.status(h)})
}

// status returns the status that h reports in an answer or a health check.
func (s *simulation) status(h *host) decide.ReplicationStatus {
	status := decide.ReplicationStatus{Role: decide.RoleReplica, Position: s.now - h.lag}
	if h.primary {
		status = decide.ReplicationStatus{Role: decide.RolePrimary, Position: s.now}
	}
	if !s.config.AnswersCarryPosition && s.chance(0.7) {
		status.Position = 0
	}
	if s.chance(0.02) {
		status = decide.ReplicationStatus{}
	}
	return status
}

func (s *simulation) Cancel(request uint64, attempt int) {
	s.record(1, request, uint64(attempt))
	h := s.hosts[int(request)%len(s.hosts)] // any host: the status of a cancelled attempt is not used
	s.after(s.randomDuration(4*time.Millisecond), func() { s.end(request, attempt, h, decide.Cancelled, 0) })
}

func (s *simulation) Reject(request uint64, retryAfter time.Duration) {
	s.record(2, request, uint64(retryAfter))
	class, known := s.class[request]
	timeLeft := s.deadline[request] - s.now - retryAfter
	if known && timeLeft > 0 && s.chance(0.5) {
		s.after(retryAfter, func() { s.request(class, timeLeft) })
	}
}

func (s *simulation) Fail(request uint64) { s.record(3, request) }

func (s *simulation) CheckHealth(endpoint uint32) {
	s.record(4, uint64(endpoint))
	h := s.host(endpoint)
	s.after(s.randomDuration(8*time.Millisecond), func() {
		result := decide.HealthCheckResult{Endpoint: endpoint, Outcome: decide.OK, Status: s.status(h)}
		switch h.condition {
		case hung:
			result.Outcome = decide.TimedOut
		case refusing:
			result.Outcome = decide.ConnectFailed
		case failing:
			result.Outcome = decide.Error
		}
		if result.Outcome == decide.OK && s.chance(0.1) {
			return // the result is lost
		}
		s.router.HealthChecked(s.now, result)
	})
}

func (s *simulation) CloseIdle(endpoint uint32) { s.record(5, uint64(endpoint)) }

func (s *simulation) WatchEndpoints() {
	s.record(5, 0)
	s.after(s.randomDuration(30*time.Millisecond), func() {
		if s.chance(0.4) {
			s.notify(decide.WatchFailed, nil)
		} else {
			s.notify(decide.UpdateSnapshot, s.list())
		}
	})
}

func (s *simulation) SetTimer(after time.Duration, token uint32) {
	s.after(after, func() { s.router.TimerFired(s.now, token) })
}

// fleetStub is a Fleet whose results depend only on the arguments.
type fleetStub struct{}

func (fleetStub) Routers() int { return 5 }
func (fleetStub) SlowStartRate(endpoint uint32, ownRate, singleRequestRate float64, _ time.Duration) float64 {
	return ownRate*0.7 + singleRequestRate*float64(endpoint%3)
}
func (fleetStub) RetryRate(now time.Duration) float64 { return 0.5 * math.Sin(now.Seconds()) }
func (fleetStub) Deprioritized(endpoint uint32, now time.Duration) bool {
	return (uint32(now/time.Second)+endpoint)%7 == 0
}
func (fleetStub) SuggestedPrimary(endpoint uint32, now time.Duration) bool {
	return (uint32(now/time.Second)+endpoint)%5 == 0
}

// event is a scheduled function call.
type event struct {
	at    time.Duration
	order int // order among events of the same time
	run   func()
}

// after schedules a call of run.
func (s *simulation) after(wait time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + max(wait, 0), order: s.order, run: run})
}

// eventQueue is a heap of events with the earliest on top.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
