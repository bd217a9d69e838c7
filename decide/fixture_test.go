package decide

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// sentAttempt is one attempt that a recorder was told to send.
type sentAttempt struct {
	request  uint64
	endpoint uint32
	attempt  int
	timeout  time.Duration
}

// recorder implements Actions by recording the calls.
type recorder struct {
	sends        []sentAttempt            // in the order of the calls
	attempts     map[uint64]int           // number of attempts, by request
	rejected     map[uint64]time.Duration // Retry-After, by request
	failed       map[uint64]bool          // by request
	cancels      []sentAttempt
	healthChecks []uint32
	closedIdle   []uint32
	polls        int
	onSend       func(request uint64, endpoint uint32)  // called by Send, if not nil
	onAnswer     func(request uint64, isRejection bool) // called by Reject and Fail, if not nil
}

func newRecorder() *recorder {
	return &recorder{attempts: map[uint64]int{}, rejected: map[uint64]time.Duration{}, failed: map[uint64]bool{}}
}

func (r *recorder) Send(request uint64, endpoint uint32, timeout time.Duration) {
	if r.onSend != nil {
		r.onSend(request, endpoint)
	}
	r.sends = append(r.sends, sentAttempt{request, endpoint, r.attempts[request], timeout})
	r.attempts[request]++
}
func (r *recorder) Cancel(request uint64, attempt int) {
	r.cancels = append(r.cancels, sentAttempt{request: request, attempt: attempt})
}
func (r *recorder) Reject(request uint64, after time.Duration) {
	r.rejected[request] = after
	if r.onAnswer != nil {
		r.onAnswer(request, true)
	}
}
func (r *recorder) Fail(request uint64) {
	r.failed[request] = true
	if r.onAnswer != nil {
		r.onAnswer(request, false)
	}
}
func (r *recorder) CheckHealth(endpoint uint32)    { r.healthChecks = append(r.healthChecks, endpoint) }
func (r *recorder) WatchEndpoints()                { r.polls++ }
func (r *recorder) CloseIdle(endpoint uint32)      { r.closedIdle = append(r.closedIdle, endpoint) }
func (r *recorder) SetTimer(time.Duration, uint32) {}

// The indices of the classes of testConfig.
const (
	writeClass = iota
	freshReadClass
	sessionReadClass
	boundedReadClass
	idempotentWriteClass
)

// testConfig returns a configuration with one class per consistency level but Any,
// and a write with an idempotency key.
func testConfig() Config {
	class := func(name string, consistency Consistency, idempotency Idempotency) Class {
		return Class{Name: name, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: idempotency,
			Consistency: consistency, MaxStaleness: 300 * ms, IdempotencyWindow: 5 * time.Second}
	}
	return Config{
		Classes: []Class{class("write", Write, NonIdempotent), class("fresh", Fresh, Idempotent),
			class("session", Session, Idempotent), class("bounded", Bounded, Idempotent), class("keyed", Write, IdempotencyKey)},
		AnswersCarryPosition: true, MaxAttempts: 8, ParallelAttempts: true, CancelAttempts: true,
		MaxRetryAfter: time.Second, SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second,
		OverloadFactor: 2, OverloadDuration: time.Second, RemovalEnforced: true, PollInterval: 10 * time.Second,
	}
}

// oneGroup returns one replica group: primary 1, replica 2 in the router's zone, and
// replica 3 in another zone.
func oneGroup() []Endpoint {
	return []Endpoint{{ID: 1, State: Ready, Primary: true, Zone: 1}, {ID: 2, State: Ready},
		{ID: 3, State: Ready, Zone: 1}}
}

// fixture drives one router on a simulated clock.
type fixture struct {
	t *testing.T
	*recorder
	router *Router
	now    time.Duration
	lastID uint64
}

// newFixture returns a started router that has received the endpoints. Its clock
// starts at one hour.
func newFixture(t *testing.T, config Config, endpoints []Endpoint) *fixture {
	t.Helper()
	return newSeededFixture(t, config, endpoints, 1)
}

// newSeededFixture is newFixture with a given random seed.
func newSeededFixture(t *testing.T, config Config, endpoints []Endpoint, seed uint64) *fixture {
	t.Helper()
	f := &fixture{t: t, recorder: newRecorder(), now: time.Hour}
	r, err := New(config, seed, f.recorder)
	if err != nil {
		t.Fatal(err)
	}
	f.router = r
	r.Start(f.now)
	r.EndpointsUpdated(f.now, UpdateCachedSnapshot, endpoints)
	return f
}

// submit delivers a request of the class to the router and returns its ID.
func (f *fixture) submit(class int) uint64 {
	f.lastID++
	f.router.RequestArrived(f.now, Request{ID: f.lastID, Class: class, Session: 9, TimeLeft: 2 * time.Second})
	return f.lastID
}

// advance moves the clock forward by d in ticks.
func (f *fixture) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tickInterval
		f.router.TimerFired(f.now, tickToken)
	}
}

// lastAttempt returns the last attempt of a request and fails the test if there is
// none.
func (f *fixture) lastAttempt(request uint64) sentAttempt {
	f.t.Helper()
	for i := len(f.sends) - 1; i >= 0; i-- {
		if f.sends[i].request == request {
			return f.sends[i]
		}
	}
	f.t.Fatalf("request %d: no attempt was sent", request)
	return sentAttempt{}
}

// endAttempt reports the end of an attempt to the router.
func (f *fixture) endAttempt(s sentAttempt, outcome Outcome, role Role, position time.Duration) {
	f.router.AttemptEnded(f.now, AttemptResult{Request: s.request, Attempt: s.attempt, Endpoint: s.endpoint, Outcome: outcome,
		ClientAnswered: outcome == OK, Status: ReplicationStatus{Role: role, Position: position}})
}

// learnPosition sends session reads, which are answered with the current position,
// until the endpoint has served one.
func (f *fixture) learnPosition(endpoint uint32) {
	f.t.Helper()
	for range 50 {
		id := f.submit(sessionReadClass)
		s := f.lastAttempt(id)
		f.advance(20 * ms)
		f.endAttempt(s, OK, RoleReplica, f.now)
		if s.endpoint == endpoint {
			return
		}
	}
	f.t.Fatalf("endpoint %d was not selected for any of 50 session reads", endpoint)
}
