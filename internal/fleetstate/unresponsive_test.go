package fleetstate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// testFleet simulates real routers, including the decision module, on one manual
// clock. They send requests to groups of endpoints, of which one replica accepts
// requests but does not answer them for a time. A network in memory carries the
// shared state.
type testFleet struct {
	loop         *clock.Loop
	clk          *clock.Clock
	rng          *rand.Rand // of the network; arrivals and answer times have their own, equal with and without sharing
	routers      []*testRouter
	unresponsive uint32     // ID of the endpoint that becomes unresponsive
	from         float64    // when it becomes unresponsive, ms
	to           float64    // when it answers again, ms
	answerTimeMs [2]float64 // shortest and longest time to answer
	// wronglyEjected is the largest fraction of a group's endpoints that one
	// router ejected at a time, without the unresponsive one.
	wronglyEjected float64
	byName         map[string]*testRouter
}

// testRouter is one router with its transport and, if it shares state, its node.
type testRouter struct {
	f             *testFleet
	name          string
	r             *router.Router
	node          *fleetstate.Node
	adapter       fleetstate.FleetAdapter
	sent          map[slotmap.Handle]*pendingAttempt
	next          uint32
	byzantine     bool
	arrivalRNG    *rand.Rand // of the times and groups of requests
	answerTimeRNG *rand.Rand // of the endpoints' answer times

	unanswered int // attempts at the endpoint while it was unresponsive
}

// pendingAttempt is an attempt in flight. Its end is nil if it is never answered.
type pendingAttempt struct{ end *clock.Deadline }

const (
	unresponsiveAfterMs = 4000.0
	unresponsiveForMs   = 12_000.0
	groupCount          = 10 // groups of a primary and three replicas
	latencyObjectiveMs  = 500
)

func endpointName(id uint32) string { return fmt.Sprint("h", id) }

// simulate runs a fleet in which the first byzantine routers inject a fault, with
// or without shared state, until 2 s after the endpoint answers again.
func simulate(seed uint64, routers, byzantine int, fault faultinjection.Fault, shared bool) *testFleet {
	f := &testFleet{
		byName:       map[string]*testRouter{},
		clk:          clock.Manual(1e6),
		rng:          rand.New(rand.NewPCG(seed, 99)),
		answerTimeMs: [2]float64{15, 35},
		from:         1e6 + unresponsiveAfterMs,
		to:           1e6 + unresponsiveAfterMs + unresponsiveForMs,
	}
	f.loop = clock.NewLoop(f.clk)
	f.unresponsive = 2 + uint32(f.rng.IntN(3)) // a replica of the first group
	f.loop.Do(func() {
		for i := range routers {
			h := &testRouter{
				f:             f,
				name:          routerName(i),
				byzantine:     i < byzantine,
				sent:          map[slotmap.Handle]*pendingAttempt{},
				arrivalRNG:    rand.New(rand.NewPCG(seed, uint64(2*i+1))),
				answerTimeRNG: rand.New(rand.NewPCG(seed, uint64(2*i+2))),
			}
			r, err := router.New(f.loop, testConfig(routers), seed*1000+uint64(i))
			if err != nil {
				panic(err)
			}
			h.r = r
			if shared {
				h.share(seed+uint64(i), routers, fault)
			}
			r.Start(h, testEndpoints())
			f.routers = append(f.routers, h)
			f.byName[h.name] = h
		}
	})
	f.loop.Do(func() {
		for _, h := range f.routers {
			f.loop.At(f.loop.Now()+h.arrivalRNG.Float64()*50, h.submitNext)
			if shared {
				f.loop.At(f.loop.Now()+f.rng.Float64()*100, h.observe)
			}
		}
	})
	f.run(f.to + 2000)
	return f
}

// run processes the loop's events up to a time in ms.
func (f *testFleet) run(end float64) {
	for {
		at, ok := f.loop.Next()
		if !ok || at > end {
			return
		}
		f.clk.Set(max(at, f.clk.Now()))
		f.loop.Fire()
	}
}

// share creates the node of a router and connects both.
func (h *testRouter) share(seed uint64, routers int, fault faultinjection.Fault) {
	now := int64(h.f.loop.Now())
	cfg := fleetstate.Defaults()
	cfg.Name = h.name
	cfg.Start = now
	cfg.Seed = seed
	if h.byzantine {
		cfg.FaultInjection = fault
	}
	h.node = fleetstate.New(cfg, routers, now)
	var peers []string
	for i := range routers {
		if peer := routerName(i); peer != h.name {
			peers = append(peers, peer)
		}
	}
	h.node.SetView(peers, routers, now)
	h.r.StartObserving()
	h.r.JoinFleet(&h.adapter)
}

func routerName(i int) string { return fmt.Sprint("r", i) }

// testEndpoints returns groups of a primary and three replicas.
func testEndpoints() (endpoints []decide.Endpoint) {
	for group := range groupCount {
		for i := range 4 {
			endpoints = append(endpoints, decide.Endpoint{
				ID:      uint32(4*group + i + 1),
				Group:   group,
				State:   decide.Ready,
				Primary: i == 0,
			})
		}
	}
	return endpoints
}

func testConfig(routers int) decide.Config {
	return decide.Config{
		Routers:                routers,
		Zone:                   0,
		StaleReadPolicy:        decide.RejectStale,
		AnswersCarryPosition:   true,
		SessionTokens:          true,
		HealthChecksReportRole: true,
		HealthChecks:           true,
		CancelAttempts:         true,
		ParallelAttempts:       true,
		MaxAttempts:            6,
		MaxRetryAfter:          time.Second,
		SlowStartCapacity:      0.21,
		SlowStartDuration:      18 * time.Second,
		OverloadFactor:         2,
		OverloadDuration:       time.Second,
		Classes: []decide.Class{
			{
				Name:             "view",
				LatencyObjective: latencyObjectiveMs * time.Millisecond,
				Deadline:         1200 * time.Millisecond,
				PriorityWeight:   2,
				Consistency:      decide.Bounded,
				MaxStaleness:     800 * time.Millisecond,
			},
		},
	}
}

// submitNext submits a request and schedules the next one. Requests arrive at each
// router in a Poisson process of 20 per second.
func (h *testRouter) submitNext() {
	f := h.f
	h.r.Submit(router.Request{Class: 0, Group: h.arrivalRNG.IntN(groupCount), TimeLeft: 1200}, h, slotmap.Handle{})
	f.loop.At(f.loop.Now()+h.arrivalRNG.ExpFloat64()*50, h.submitNext)
}

// observe passes an observation to the node, sends the node's messages and applies
// its advice, every 50 ms.
func (h *testRouter) observe() {
	f, now := h.f, int64(h.f.loop.Now())
	h.node.Observe(h.r.Observe(endpointName))
	h.deliver(h.node.Tick(now))
	h.advise()
	f.loop.At(f.loop.Now()+50, h.observe)
}

// advise applies the node's advice and records which healthy endpoints it ejects.
func (h *testRouter) advise() {
	now := int64(h.f.loop.Now())
	a := h.node.Advice(now)
	if !h.byzantine {
		wronglyEjected := map[string]int{}
		for _, x := range a.Ejections {
			var id uint32
			if _, err := fmt.Sscanf(x.Endpoint, "h%d", &id); err == nil && id != h.f.unresponsive && !x.ObservedHere {
				k := fmt.Sprint((id - 1) / 4)
				wronglyEjected[k]++
				h.f.wronglyEjected = max(h.f.wronglyEjected, float64(wronglyEjected[k])/4)
			}
		}
	}
	h.adapter.Set(a, func(name string) (id uint32, ok bool) {
		_, err := fmt.Sscanf(name, "h%d", &id)
		return id, err == nil
	}, now)
}

// deliver delivers messages of the node to its peers with a delay of 1 to 3 ms.
func (h *testRouter) deliver(r fleetstate.Ready) {
	for _, m := range r.Messages {
		if to := h.f.byName[m.To]; to != nil {
			h.f.loop.At(h.f.loop.Now()+1+2*h.f.rng.Float64(), func() {
				to.deliver(to.node.Receive(h.name, m.Message, int64(h.f.loop.Now())))
			})
		}
	}
}

// Send implements router.Transport. The unresponsive endpoint does not answer.
func (h *testRouter) Send(endpoint uint32, a router.AttemptID, _ router.Statement, _ float64) slotmap.Handle {
	f := h.f
	h.next++
	ref := slotmap.FromID(uint64(h.next))
	s := &pendingAttempt{}
	h.sent[ref] = s
	now := f.loop.Now()
	if endpoint == f.unresponsive && now >= f.from && now < f.to {
		h.unanswered++
		return ref
	}
	s.end = f.loop.At(now+f.answerTimeMs[0]+h.answerTimeRNG.Float64()*(f.answerTimeMs[1]-f.answerTimeMs[0]), func() {
		if h.sent[ref] == nil || endpoint == f.unresponsive && f.loop.Now() >= f.from && f.loop.Now() < f.to {
			return
		}
		delete(h.sent, ref)
		role := decide.RoleReplica
		if (endpoint-1)%4 == 0 {
			role = decide.RolePrimary
		}
		h.r.AttemptEnded(a, router.AttemptReport{
			Outcome: decide.OK,
			Row:     &router.Row{},
			Status:  decide.ReplicationStatus{Role: role, Position: clock.Duration(f.loop.Now() - 8)},
		})
	})
	return ref
}

// Cancel implements router.Transport.
func (h *testRouter) Cancel(ref slotmap.Handle) bool {
	if s := h.sent[ref]; s != nil {
		h.f.loop.Cancel(s.end)
		delete(h.sent, ref)
	}
	return true
}

// CheckHealth implements router.Transport. The unresponsive endpoint passes health
// checks, as a real one may.
func (h *testRouter) CheckHealth(endpoint uint32) {
	h.f.loop.At(h.f.loop.Now()+1, func() {
		role := decide.RoleReplica
		if (endpoint-1)%4 == 0 {
			role = decide.RolePrimary
		}
		h.r.HealthChecked(endpoint, router.AttemptReport{
			Outcome: decide.OK,
			Status:  decide.ReplicationStatus{Role: role, Position: clock.Duration(h.f.loop.Now() - 8)},
		})
	})
}

// CloseIdle implements router.Transport.
func (h *testRouter) CloseIdle(uint32) {}

// Answer implements router.Client.
func (h *testRouter) Answer(slotmap.Handle, router.Answer) {}

// unanswered returns the number of attempts that were not answered, without those
// of byzantine routers.
func (f *testFleet) unanswered() (n int) {
	for _, h := range f.routers {
		if !h.byzantine {
			n += h.unanswered
		}
	}
	return n
}

// caseResult is one case with the number of unanswered attempts over all seeds, and
// the largest fraction of a group's endpoints that gossip wrongly ejected.
type caseResult struct {
	routers, byzantine int
	fault              faultinjection.Fault
	standalone, shared int
	wronglyEjected     float64
}

func runCase(routers, byzantine int, fault faultinjection.Fault, seeds uint64) caseResult {
	row := caseResult{routers: routers, byzantine: byzantine, fault: fault}
	for seed := range seeds {
		row.standalone += simulate(seed, routers, byzantine, fault, false).unanswered()
		f := simulate(seed, routers, byzantine, fault, true)
		row.shared += f.unanswered()
		row.wronglyEjected = max(row.wronglyEjected, f.wronglyEjected)
	}
	return row
}

// TestUnresponsiveEndpointStandaloneAndShared counts the requests lost to an
// endpoint that accepts requests for 12 s without answering, with standalone
// routers and with routers that share state, some of which are byzantine and
// collude. With 20 routers, sharing must reduce the losses to a third. With
// byzantine routers the losses must not exceed those of standalone routers, and no
// router may wrongly eject more than MaxEjectedFraction of a group.
//
// With LOTUSBEND_LARGE=1 it logs the table of docs/shared-state.md, which takes
// some minutes. With LOTUSBEND_FIGURES=DIR it also plots the table.
func TestUnresponsiveEndpointStandaloneAndShared(t *testing.T) {
	seeds, cases := uint64(4), []caseResult{
		{routers: 20},
		{routers: 20, byzantine: 6, fault: faultinjection.AllUnresponsive},
		{routers: 20, byzantine: 6, fault: faultinjection.AllHealthy},
	}
	large := os.Getenv("LOTUSBEND_LARGE") == "1"
	if large {
		seeds, cases = 10, nil
		for _, n := range []int{2, 20, 300} {
			cases = append(cases, caseResult{routers: n})
			for _, fault := range []faultinjection.Fault{faultinjection.AllUnresponsive, faultinjection.AllHealthy} {
				cases = append(cases, caseResult{routers: n, byzantine: 1, fault: fault})
				if n > 2 {
					cases = append(cases, caseResult{routers: n, byzantine: n / 3, fault: fault})
				}
				if n == 20 {
					cases = append(cases, caseResult{
						routers:   n,
						byzantine: n / 2,
						fault:     fault,
					}, caseResult{routers: n, byzantine: n * 9 / 10, fault: fault})
				}
			}
		}
	}
	var rows []caseResult
	for _, c := range cases {
		k := seeds
		if c.routers > 100 {
			k = 1
		}
		row := runCase(c.routers, c.byzantine, c.fault, k)
		rows = append(rows, row)
		ratio := float64(row.shared) / float64(row.standalone)
		t.Logf("| %d | %d | %s | %d | %d | %.2f | %.2f |",
			row.routers, row.byzantine, row.fault, row.standalone, row.shared, ratio, row.wronglyEjected)
		if row.standalone == 0 {
			t.Fatal("no attempt was unanswered standalone, want some to compare with")
		}
		if row.routers >= 20 && row.byzantine == 0 && 3*row.shared > row.standalone {
			t.Errorf("%d routers: %d requests lost with shared state, %d standalone, want at most a third of them",
				row.routers, row.shared, row.standalone)
		}
		// The numbers of losses vary at random, with a standard deviation of about
		// the square root of their number.
		if most := float64(row.standalone) + 2*math.Sqrt(float64(row.standalone)); float64(row.shared) > most {
			t.Errorf("%d routers, %d byzantine (%s): %d lost with shared state, %d standalone, want no more beyond chance",
				row.routers, row.byzantine, row.fault, row.shared, row.standalone)
		}
		if row.wronglyEjected > fleetstate.Defaults().MaxEjectedFraction {
			t.Errorf("%d routers, %d byzantine (%s): %.2f of a group wrongly ejected, want at most MaxEjectedFraction",
				row.routers, row.byzantine, row.fault, row.wronglyEjected)
		}
	}
	plotResults(t, rows)
}
