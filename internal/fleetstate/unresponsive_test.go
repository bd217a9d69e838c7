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

// testFleet plays real routers (module and embedding) on one manual clock
// before groups of endpoints, one replica of which takes requests and answers
// none for a while, with the shared state sent by a network in memory.
type testFleet struct {
	loop           *clock.Loop
	clk            *clock.Clock
	rng            *rand.Rand // of the network: arrivalRNG and answers have their own, the same standalone and shared
	routers        []*testRouter
	unresponsive   uint32  // the endpoint that is unresponsive
	from           float64 // ms, the beginning and end of that
	to             float64
	answerTimeMs   [2]float64 // ms, an answer's time
	wronglyEjected float64    // most of a group's ready endpoints wrongly ejected by one router, beside the unresponsive one
	byName         map[string]*testRouter
}

type testRouter struct {
	f             *testFleet
	name          string
	r             *router.Router
	node          *fleetstate.Node
	adapter       fleetstate.FleetAdapter
	sent          map[slotmap.Handle]*pendingAttempt
	next          uint32
	byzantine     bool
	arrivalRNG    *rand.Rand // arrivalRNG
	answerTimeRNG *rand.Rand // how long answers answerTimeRNG

	unanswered int // attempts, by the hang
}

type pendingAttempt struct{ end *clock.Deadline }

const (
	unresponsiveAfterMs = 4000.0
	unresponsiveForMs   = 12_000.0
	groupCount          = 10 // groups of a primary and three replicas
	latencyObjectiveMs  = 500
)

func endpointName(id uint32) string { return fmt.Sprint("h", id) }

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

// run fires the loop's events up to a time in ms.
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

// share starts the shared state of a router.
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

// testEndpoints are groups of a primary and three replicas.
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

// submitNext brings a request, 20 a second at each router, and the next one.
func (h *testRouter) submitNext() {
	f := h.f
	h.r.Submit(router.Request{Class: 0, Group: h.arrivalRNG.IntN(groupCount), TimeLeft: 1200}, h, slotmap.Handle{})
	f.loop.At(f.loop.Now()+h.arrivalRNG.ExpFloat64()*50, h.submitNext)
}

// observe gives the shared state an observation, and takes its advice.
func (h *testRouter) observe() {
	f, now := h.f, int64(h.f.loop.Now())
	h.node.Observe(h.r.Observe(endpointName))
	h.deliver(h.node.Tick(now))
	h.advise()
	f.loop.At(f.loop.Now()+50, h.observe)
}

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

func (h *testRouter) deliver(r fleetstate.Ready) {
	for _, m := range r.Messages {
		if to := h.f.byName[m.To]; to != nil {
			h.f.loop.At(h.f.loop.Now()+1+2*h.f.rng.Float64(), func() {
				to.deliver(to.node.Receive(h.name, m.Message, int64(h.f.loop.Now())))
			})
		}
	}
}

// Send implements router.Transport.
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

// CheckHealth implements router.Transport: an unresponsive endpoint answers health checks, as real ones may.
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

// unanswered adds up what the unresponsive endpoint unanswered, without byzantine routers' requests.
func (f *testFleet) unanswered() (n int) {
	for _, h := range f.routers {
		if !h.byzantine {
			n += h.unanswered
		}
	}
	return n
}

// caseResult is one case: attempts that the unresponsive endpoint unanswered, over all seeds,
// and the most of a group's endpoints that gossip wrongly ejected.
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

// TestUnresponsiveEndpointStandaloneAndShared counts the requests that an endpoint swallows which
// hangs for 12 s, by standalone routers and by routers that share
// state, some of which are byzantine in concert. At 20 routers sharing must cut it to a
// third; with byzantine ones it must not be worse than standalone, and nobody may wrongly
// eject more than the stated fraction of a group. With LOTUSBEND_LARGE=1 the
// table of docs/shared-state.md (some minutes), with LOTUSBEND_FIGURES=DIR its
// plot as well.
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
			t.Fatal("the unresponsive endpoint swallowed nothing: nothing is measured")
		}
		if row.routers >= 20 && row.byzantine == 0 && 3*row.shared > row.standalone {
			t.Errorf("%d routers: %d requests lost with shared state, %d standalone: not down by two thirds",
				row.routers, row.shared, row.standalone)
		}
		// A handful of losses differ by chance: the square root of their number.
		if most := float64(row.standalone) + 2*math.Sqrt(float64(row.standalone)); float64(row.shared) > most {
			t.Errorf("%d routers, %d byzantine (%s): %d lost with shared state, %d standalone",
				row.routers, row.byzantine, row.fault, row.shared, row.standalone)
		}
		if row.wronglyEjected > fleetstate.Defaults().MaxEjectedFraction {
			t.Errorf("%d routers, %d byzantine (%s): %.2f of a group wrongly ejected",
				row.routers, row.byzantine, row.fault, row.wronglyEjected)
		}
	}
	plotResults(t, rows)
}
