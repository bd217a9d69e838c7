package router

import (
	"fmt"
	"testing"
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/slotmap"
)

// scriptedTransport is a transport whose attempts end only when the test ends
// them. It is also the requests' client, and ignores their answers.
type scriptedTransport struct {
	sent         []AttemptID
	maybeWritten bool // returned by Cancel
}

func (s *scriptedTransport) Send(_ uint32, attemptID AttemptID, _ Statement, _ float64) slotmap.Handle {
	s.sent = append(s.sent, attemptID)
	return slotmap.FromID(uint64(len(s.sent)))
}
func (s *scriptedTransport) Cancel(slotmap.Handle) bool    { return s.maybeWritten }
func (s *scriptedTransport) CheckHealth(uint32)            {}
func (s *scriptedTransport) CloseIdle(uint32)              {}
func (s *scriptedTransport) Answer(slotmap.Handle, Answer) {}

// observedRouter is a router in zone 0 with an observer and a manual clock. Its
// endpoint list has a replica (ID 1) and a primary (ID 2), both in zone 1.
type observedRouter struct {
	*scriptedTransport
	router *Router
	clock  *clock.Clock
	loop   *clock.Loop
}

func newObservedRouter(t *testing.T) *observedRouter {
	t.Helper()
	o := &observedRouter{scriptedTransport: &scriptedTransport{maybeWritten: true}, clock: clock.Manual(1e6)}
	o.loop = clock.NewLoop(o.clock)
	cfg := decide.Config{
		Routers:                4,
		StaleReadPolicy:        decide.RejectStale,
		AnswersCarryPosition:   true,
		SessionTokens:          true,
		HealthChecksReportRole: true,
		CancelAttempts:         true,
		ParallelAttempts:       true,
		MaxAttempts:            6,
		Classes: []decide.Class{{
			Name:             "any",
			LatencyObjective: 500 * time.Millisecond,
			Deadline:         1200 * time.Millisecond,
			PriorityWeight:   2,
			Consistency:      decide.Any,
		}},
	}
	var err error
	if o.router, err = New(o.loop, cfg, 1); err != nil {
		t.Fatal(err)
	}
	o.loop.Do(func() {
		o.router.StartObserving()
		o.router.Start(o, []decide.Endpoint{
			{ID: 1, State: decide.Ready, Zone: 1},
			{ID: 2, State: decide.Ready, Zone: 1, Primary: true},
		})
	})
	return o
}

// advance moves the clock by the given milliseconds, in steps of 10 ms.
func (o *observedRouter) advance(millis float64) {
	for end := o.clock.Now() + millis; o.clock.Now() < end; {
		o.clock.Set(min(o.clock.Now()+10, end))
		o.loop.Fire()
	}
}

func (o *observedRouter) submit() {
	o.loop.Do(func() { o.router.Submit(Request{TimeLeft: 1200}, o, slotmap.Handle{}) })
}

// end ends the attempt that was sent as the number-th, counted from 0.
func (o *observedRouter) end(number int, outcome decide.Outcome) {
	o.loop.Do(func() {
		o.router.AttemptEnded(o.sent[number], AttemptReport{
			Outcome: outcome,
			Row:     &Row{},
			Status: decide.ReplicationStatus{
				Role:     decide.RoleReplica,
				Position: clock.Duration(o.clock.Now()),
			},
		})
	})
}

func (o *observedRouter) observe() (observation fleetstate.Observation) {
	o.loop.Do(func() {
		observation = o.router.Observe(func(id uint32) string { return fmt.Sprint("h", id) })
	})
	return observation
}

// health returns the observed health of the replica.
func (o *observedRouter) health() (health fleetstate.EndpointHealth) {
	for _, endpoint := range o.observe().Endpoints {
		if endpoint.Name == "h1" {
			health = endpoint
		}
	}
	return health
}

// Each event is counted once and reported in one observation only. An attempt that
// was cancelled before any byte was written is not counted.
func TestCountersReportedOnce(t *testing.T) {
	o := newObservedRouter(t)
	o.submit()
	o.end(0, decide.Error)
	o.advance(200) // past the backoff before the retry
	if len(o.sent) < 2 {
		t.Fatalf("%d attempts sent 200 ms after an error, want a retry", len(o.sent))
	}
	o.end(1, decide.OK)
	got := o.observe().Counters
	for kind, want := range map[fleetstate.CounterKind]uint64{
		fleetstate.Requests:          1,
		fleetstate.Rejections:        0,
		fleetstate.Retries:           1,
		fleetstate.CrossZoneAttempts: 2,
		fleetstate.Attempts:          2,
	} {
		if n := got.Get(0, kind); n != want {
			t.Errorf("counter %s = %d, want %d", fleetstate.CounterKindNames()[kind], n, want)
		}
	}
	if again := o.observe().Counters; len(again) > 0 {
		t.Errorf("second Observe returned counters %v, want none", again)
	}
	o.maybeWritten = false // the next attempt is cancelled before a byte is written
	o.submit()
	o.advance(1300) // past the client's deadline
	if n := o.observe().Counters.Get(0, fleetstate.Attempts); n != 0 {
		t.Errorf("attempts = %d after an attempt that was not written, want 0", n)
	}
}

// An endpoint that does not answer an attempt for several times its latency is
// reported as unresponsive since the attempt was sent, until it answers.
func TestUnresponsiveEndpointReportedUntilAnswer(t *testing.T) {
	o := newObservedRouter(t)
	for range 20 { // so that the router has measured the latency
		o.submit()
		o.advance(20)
		o.end(len(o.sent)-1, decide.OK)
		o.advance(30)
	}
	if health := o.health(); health.Fault != 0 || health.Overdue || health.AnsweredSentAt == 0 {
		t.Fatalf("health of an endpoint that answers = %+v, want no fault", health)
	}
	o.submit()
	sentAt := int64(o.clock.Now())
	o.advance(60)
	if health := o.health(); !health.Overdue {
		t.Fatalf("health after 60 ms without an answer = %+v, want overdue", health)
	}
	o.advance(300)
	if health := o.health(); health.Fault != fleetstate.Unresponsive || health.FaultAt != sentAt {
		t.Fatalf("health after 360 ms without an answer = %+v, want unresponsive since %d", health, sentAt)
	}
	o.end(len(o.sent)-1, decide.OK) // late, but a valid answer
	if health := o.health(); health.Fault != 0 {
		t.Errorf("health after a late answer = %+v, want no fault", health)
	}
}

// The answer to a cancelled attempt updates the role of its endpoint.
func TestLateAnswerUpdatesRole(t *testing.T) {
	o := newObservedRouter(t)
	isPrimary := func() (primary bool) {
		o.router.decider.View(o.router.now(), func(view decide.EndpointView) {
			primary = primary || view.ID == 2 && view.Primary
		})
		return primary
	}
	o.loop.Do(func() {
		if !isPrimary() {
			t.Fatal("endpoint 2 is not the primary, though the endpoint list says so")
		}
		o.router.LateAnswer(2, AttemptReport{
			Outcome: decide.Ineligible,
			Status:  decide.ReplicationStatus{Role: decide.RoleReplica},
		})
		if isPrimary() {
			t.Error("endpoint 2 is the primary after it reported the role of a replica")
		}
	})
}
