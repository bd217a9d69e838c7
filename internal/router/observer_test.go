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

// scriptedTransport ends each attempt as the test says.
type scriptedTransport struct {
	sent  []AttemptID
	begun bool // what Cancel returns
}

func (s *scriptedTransport) Send(_ uint32, attempt AttemptID, _ Statement, _ float64) slotmap.Handle {
	s.sent = append(s.sent, attempt)
	return slotmap.FromID(uint64(len(s.sent)))
}
func (s *scriptedTransport) Cancel(slotmap.Handle) bool    { return s.begun }
func (s *scriptedTransport) CheckHealth(uint32)            {}
func (s *scriptedTransport) CloseIdle(uint32)              {}
func (s *scriptedTransport) Answer(slotmap.Handle, Answer) {}

// observedRouter is a router in zone 0 that observes, on a manual clock, with a
// replica (1) and a primary (2) in zone 1.
type observedRouter struct {
	*scriptedTransport
	router *Router
	clock  *clock.Clock
	loop   *clock.Loop
}

func newObservedRouter(t *testing.T) *observedRouter {
	t.Helper()
	o := &observedRouter{scriptedTransport: &scriptedTransport{begun: true}, clock: clock.Manual(1e6)}
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

// advance lets the given milliseconds pass, in steps of 10.
func (o *observedRouter) advance(millis float64) {
	for end := o.clock.Now() + millis; o.clock.Now() < end; {
		o.clock.Set(min(o.clock.Now()+10, end))
		o.loop.Fire()
	}
}

func (o *observedRouter) submit() {
	o.loop.Do(func() { o.router.Submit(Request{TimeLeft: 1200}, o, slotmap.Handle{}) })
}

// end ends an attempt by its number in the order of sending.
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

// health is what is observed of the replica.
func (o *observedRouter) health() (health fleetstate.EndpointHealth) {
	for _, endpoint := range o.observe().Endpoints {
		if endpoint.Name == "h1" {
			health = endpoint
		}
	}
	return health
}

// Counters are counted once and reported once; an attempt of which surely no
// byte was written is not counted.
func TestCountersReportedOnce(t *testing.T) {
	o := newObservedRouter(t)
	o.submit()
	o.end(0, decide.Error)
	o.advance(200) // the retry
	if len(o.sent) < 2 {
		t.Fatalf("%d attempts, want a retry", len(o.sent))
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
			t.Errorf("%s: %d, want %d", fleetstate.CounterKindNames()[kind], n, want)
		}
	}
	if again := o.observe().Counters; len(again) > 0 {
		t.Errorf("reported again: %v", again)
	}
	o.begun = false // no byte of the next attempt is written
	o.submit()
	o.advance(1300) // past the client's deadline
	if n := o.observe().Counters.Get(0, fleetstate.Attempts); n != 0 {
		t.Errorf("%d attempts counted of which no byte was written", n)
	}
}

// An endpoint that leaves an attempt unanswered for several latencies is
// reported as unresponsive since that attempt was sent, until it answers.
func TestSilenceReportedUntilAnswer(t *testing.T) {
	o := newObservedRouter(t)
	for range 20 { // the router measures the latency
		o.submit()
		o.advance(20)
		o.end(len(o.sent)-1, decide.OK)
		o.advance(30)
	}
	if health := o.health(); health.Fault != 0 || health.Overdue || health.AnsweredSentAt == 0 {
		t.Fatalf("an endpoint that answers is reported as %+v", health)
	}
	o.submit()
	sentAt := int64(o.clock.Now())
	o.advance(60)
	if health := o.health(); !health.Overdue {
		t.Fatalf("60 ms without an answer are not overdue: %+v", health)
	}
	o.advance(300)
	if health := o.health(); health.Fault != fleetstate.Unresponsive || health.FaultAt != sentAt {
		t.Fatalf("reported as %+v, want unresponsive since %d", health, sentAt)
	}
	o.end(len(o.sent)-1, decide.OK) // late, but an answer
	if health := o.health(); health.Fault != 0 {
		t.Errorf("it answered, and is reported as %+v", health)
	}
}

// The answer to an attempt that was cancelled reports its endpoint's role.
func TestLateAnswerReportsRole(t *testing.T) {
	o := newObservedRouter(t)
	isPrimary := func() (primary bool) {
		o.router.decider.View(o.router.now(), func(view decide.EndpointView) {
			primary = primary || view.ID == 2 && view.Primary
		})
		return primary
	}
	o.loop.Do(func() {
		if !isPrimary() {
			t.Fatal("the endpoint list's primary is not taken as the primary")
		}
		o.router.LateAnswer(2, AttemptReport{
			Outcome: decide.Ineligible,
			Status:  decide.ReplicationStatus{Role: decide.RoleReplica},
		})
		if isPrimary() {
			t.Error("an endpoint that reports that it is a replica is taken as the primary")
		}
	})
}
