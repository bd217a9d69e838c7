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

// script is hosts that end each attempt as a test says.
type script struct {
	sent  []Attempt
	hosts []uint32
	begun bool
}

func (s *script) Send(host uint32, a Attempt, _ Statement, _ float64) slotmap.Handle {
	s.sent, s.hosts = append(s.sent, a), append(s.hosts, host)
	return slotmap.FromID(uint64(len(s.sent)))
}
func (s *script) Cancel(slotmap.Handle) bool    { return s.begun }
func (s *script) CheckHealth(uint32)            {}
func (s *script) CloseIdle(uint32)              {}
func (s *script) Answer(slotmap.Handle, Answer) {}

type watched struct {
	*script
	r    *Router
	clk  *clock.Clock
	loop *clock.Loop
}

func newWatched(t *testing.T) *watched {
	t.Helper()
	w := &watched{script: &script{begun: true}, clk: clock.Manual(1e6)}
	w.loop = clock.NewLoop(w.clk)
	cfg := decide.Config{Routers: 4, StaleReadPolicy: decide.RejectStale, AnswersCarryPosition: true, SessionTokens: true, HealthChecksReportRole: true, CancelAttempts: true, ParallelAttempts: true, MaxAttempts: 6,
		Classes: []decide.Class{{Name: "any", LatencyObjective: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 2, Consistency: decide.Any}}}
	var err error
	if w.r, err = New(w.loop, cfg, 1); err != nil {
		t.Fatal(err)
	}
	w.loop.Do(func() {
		w.r.StartObserving()
		w.r.Start(w, []decide.Endpoint{{ID: 1, State: decide.Ready, Zone: 1}, {ID: 2, State: decide.Ready, Zone: 1, Primary: true}})
	})
	return w
}

func (w *watched) pass(ms float64) {
	for end := w.clk.Now() + ms; w.clk.Now() < end; {
		w.clk.Set(min(w.clk.Now()+10, end))
		w.loop.Fire()
	}
}

func (w *watched) submit() {
	w.loop.Do(func() { w.r.Submit(Request{TimeLeft: 1200}, w, slotmap.Handle{}) })
}

func (w *watched) end(n int, o decide.Outcome) {
	w.loop.Do(func() {
		w.r.AttemptEnded(w.sent[n], AttemptReport{Outcome: o, Row: &Row{}, Status: decide.ReplicationStatus{Role: decide.RoleReplica, Position: clock.Duration(w.clk.Now())}})
	})
}

func (w *watched) seen() (s fleetstate.Observation) {
	w.loop.Do(func() { s = w.r.Observe(func(id uint32) string { return fmt.Sprint("h", id) }) })
	return s
}

// What a router carried is counted once, and told once; an attempt of which
// surely nothing left is not one that a host got.
func TestWhatWasCarriedIsCounted(t *testing.T) {
	w := newWatched(t)
	w.submit()
	w.end(0, decide.Error)
	w.pass(200) // the repeat
	if len(w.sent) < 2 {
		t.Fatalf("%d attempts, want a repeat", len(w.sent))
	}
	w.end(1, decide.OK)
	got := w.seen().Counters
	for kind, want := range map[fleetstate.CounterKind]uint64{fleetstate.Requests: 1, fleetstate.Rejections: 0, fleetstate.Retries: 1, fleetstate.CrossZoneAttempts: 2, fleetstate.Attempts: 2} {
		if n := got.Get(0, kind); n != want {
			t.Errorf("%s: %d, want %d", fleetstate.CounterKindNames()[kind], n, want)
		}
	}
	if again := w.seen().Counters; len(again) > 0 {
		t.Errorf("told again: %v", again)
	}
	w.begun = false // nothing of the next leaves
	w.submit()
	w.pass(1300) // its client gives up
	if n := w.seen().Counters.Get(0, fleetstate.Attempts); n != 0 {
		t.Errorf("%d attempts counted of which no byte left", n)
	}
}

// A host that leaves an attempt without an answer for several latencies is
// told to hang, from that attempt's sending on, until it answers a later one.
func TestSilenceIsEvidenceUntilAnAnswer(t *testing.T) {
	w := newWatched(t)
	find := func() (h fleetstate.EndpointHealth) {
		for _, x := range w.seen().Endpoints {
			if x.Name == "h1" {
				h = x
			}
		}
		return h
	}
	for range 20 { // it learns what an answer takes
		w.submit()
		w.pass(20)
		w.end(len(w.sent)-1, decide.OK)
		w.pass(30)
	}
	if h := find(); h.Fault != 0 || h.Overdue || h.AnsweredSentAt == 0 {
		t.Fatalf("a host that answers is told as %+v", h)
	}
	w.submit()
	sent := int64(w.clk.Now())
	w.pass(60)
	if h := find(); !h.Overdue {
		t.Fatalf("an attempt out for 60 ms is not waited for: %+v", h)
	}
	w.pass(300)
	if h := find(); h.Fault != fleetstate.Unresponsive || h.FaultAt != sent {
		t.Fatalf("told as %+v, want hanging since %d", h, sent)
	}
	w.end(len(w.sent)-1, decide.OK) // late, but an answer
	if h := find(); h.Fault != 0 {
		t.Errorf("it answered, and is told as %+v", h)
	}
}

// An answer to an attempt that was given up is news of its host's role.
func TestLateAnswerTellsTheRole(t *testing.T) {
	w := newWatched(t)
	leads := func() (leads bool) {
		w.r.module.View(w.r.now(), func(v decide.EndpointView) { leads = leads || v.ID == 2 && v.Primary })
		return leads
	}
	w.loop.Do(func() {
		if !leads() {
			t.Fatal("the list's primary is not taken for one")
		}
		w.r.LateAnswer(2, AttemptReport{Outcome: decide.Ineligible, Status: decide.ReplicationStatus{Role: decide.RoleReplica}})
		if leads() {
			t.Error("a host that says it is a replica is taken for the primary")
		}
	})
}
