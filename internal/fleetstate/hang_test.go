package fleetstate_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// hangFleet plays real routers (module and embedding) on one manual clock
// before groups of hosts, one replica of which takes requests and answers
// none for a while, with the shared state carried by a network in memory.
type hangFleet struct {
	loop    *clock.Loop
	clk     *clock.Clock
	rng     *rand.Rand // of the network: arrivals and answers have their own, the same alone and together
	routers []*hangRouter
	hung    uint32  // the host that hangs
	from    float64 // ms, its hang
	to      float64
	work    [2]float64 // ms, an answer's time
	wrong   float64    // most of a group's ready members wrongly passed over by one router, beside the hung one
	byName  map[string]*hangRouter
}

type hangRouter struct {
	f     *hangFleet
	name  string
	r     *router.Router
	node  *fleetstate.Node
	guide fleetstate.FleetAdapter
	sent  map[slotmap.Handle]*sentTo
	next  uint32
	liar  bool
	come  *rand.Rand // arrivals
	take  *rand.Rand // how long answers take

	swallowed int // attempts, by the hang
}

type sentTo struct{ end *clock.Deadline }

const (
	hangStart = 4000.0
	hangFor   = 12_000.0
	hangGroup = 10 // groups of a primary and three replicas
	aimMs     = 500
)

func hostName(id uint32) string { return fmt.Sprint("h", id) }

func playHang(seed uint64, routers, liars int, lie faultinjection.Fault, together bool) *hangFleet {
	f := &hangFleet{
		byName: map[string]*hangRouter{},
		clk:    clock.Manual(1e6),
		rng:    rand.New(rand.NewPCG(seed, 99)),
		work:   [2]float64{15, 35},
		from:   1e6 + hangStart, to: 1e6 + hangStart + hangFor,
	}
	f.loop = clock.NewLoop(f.clk)
	var members []decide.Endpoint
	for g := range hangGroup {
		for i := range 4 {
			members = append(members, decide.Endpoint{ID: uint32(4*g + i + 1), Group: g, State: decide.Ready, Primary: i == 0})
		}
	}
	f.hung = 2 + uint32(f.rng.IntN(3)) // a replica of the first group
	cfg := decide.Config{
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
		OverloadFactor:         2, OverloadDuration: time.Second,
		Classes: []decide.Class{
			{
				Name:             "view",
				LatencyObjective: aimMs * time.Millisecond,
				Deadline:         1200 * time.Millisecond,
				PriorityWeight:   2,
				Consistency:      decide.Bounded,
				MaxStaleness:     800 * time.Millisecond,
			},
		},
	}
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprint("r", i))
	}
	f.loop.Do(func() {
		for i := range routers {
			h := &hangRouter{f: f, name: names[i], liar: i < liars, sent: map[slotmap.Handle]*sentTo{},
				come: rand.New(rand.NewPCG(seed, uint64(2*i+1))), take: rand.New(rand.NewPCG(seed, uint64(2*i+2)))}
			r, err := router.New(f.loop, cfg, seed*1000+uint64(i))
			if err != nil {
				panic(err)
			}
			h.r = r
			if together {
				c := fleetstate.Defaults()
				c.Name, c.Start, c.Seed = h.name, int64(f.loop.Now()), seed+uint64(i)
				if h.liar {
					c.FaultInjection = lie
				}
				h.node = fleetstate.New(c, routers, int64(f.loop.Now()))
				var peers []string
				for _, n := range names {
					if n != h.name {
						peers = append(peers, n)
					}
				}
				h.node.SetView(peers, routers, int64(f.loop.Now()))
				r.StartObserving()
				r.JoinFleet(&h.guide)
			}
			r.Start(h, members)
			f.routers = append(f.routers, h)
			f.byName[h.name] = h
		}
	})
	f.loop.Do(func() {
		for _, h := range f.routers {
			f.loop.At(f.loop.Now()+h.come.Float64()*50, h.arrive)
			if together {
				f.loop.At(f.loop.Now()+f.rng.Float64()*100, h.observe)
			}
		}
	})
	for end := f.to + 2000; ; {
		at, ok := f.loop.Next()
		if !ok || at > end {
			return f
		}
		f.clk.Set(max(at, f.clk.Now()))
		f.loop.Fire()
	}
}

// arrive brings a request, 20 a second at each router, and the next one.
func (h *hangRouter) arrive() {
	f := h.f
	h.r.Submit(router.Request{Class: 0, Group: h.come.IntN(hangGroup), TimeLeft: 1200}, h, slotmap.Handle{})
	f.loop.At(f.loop.Now()+h.come.ExpFloat64()*50, h.arrive)
}

// observe tells the shared state what was seen, and takes its advice.
func (h *hangRouter) observe() {
	f, now := h.f, int64(h.f.loop.Now())
	h.node.Observe(h.r.Observe(hostName))
	h.post(h.node.Tick(now))
	h.advise()
	f.loop.At(f.loop.Now()+50, h.observe)
}

func (h *hangRouter) advise() {
	now := int64(h.f.loop.Now())
	a := h.node.Advice(now)
	if !h.liar {
		wrong := map[string]int{}
		for _, x := range a.Ejections {
			var id uint32
			if _, err := fmt.Sscanf(x.Endpoint, "h%d", &id); err == nil && id != h.f.hung && !x.ObservedHere {
				k := fmt.Sprint((id - 1) / 4)
				wrong[k]++
				h.f.wrong = max(h.f.wrong, float64(wrong[k])/4)
			}
		}
	}
	h.guide.Set(a, func(name string) (id uint32, ok bool) {
		_, err := fmt.Sscanf(name, "h%d", &id)
		return id, err == nil
	}, now)
}

func (h *hangRouter) post(r fleetstate.Ready) {
	for _, m := range r.Messages {
		if to := h.f.byName[m.To]; to != nil {
			h.f.loop.At(h.f.loop.Now()+1+2*h.f.rng.Float64(), func() {
				to.post(to.node.Receive(h.name, m.Message, int64(h.f.loop.Now())))
			})
		}
	}
}

// Send implements router.Transport.
func (h *hangRouter) Send(host uint32, a router.Attempt, _ router.Statement, _ float64) slotmap.Handle {
	f := h.f
	h.next++
	ref := slotmap.FromID(uint64(h.next))
	s := &sentTo{}
	h.sent[ref] = s
	now := f.loop.Now()
	if host == f.hung && now >= f.from && now < f.to {
		h.swallowed++
		return ref
	}
	s.end = f.loop.At(now+f.work[0]+h.take.Float64()*(f.work[1]-f.work[0]), func() {
		if h.sent[ref] == nil || host == f.hung && f.loop.Now() >= f.from && f.loop.Now() < f.to {
			return
		}
		delete(h.sent, ref)
		role := decide.RoleReplica
		if (host-1)%4 == 0 {
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
func (h *hangRouter) Cancel(ref slotmap.Handle) bool {
	if s := h.sent[ref]; s != nil {
		h.f.loop.Cancel(s.end)
		delete(h.sent, ref)
	}
	return true
}

// CheckHealth implements router.Transport: a hung host answers health checks, as real
// ones may.
func (h *hangRouter) CheckHealth(host uint32) {
	h.f.loop.At(h.f.loop.Now()+1, func() {
		role := decide.RoleReplica
		if (host-1)%4 == 0 {
			role = decide.RolePrimary
		}
		h.r.HealthChecked(host, router.AttemptReport{
			Outcome: decide.OK,
			Status:  decide.ReplicationStatus{Role: role, Position: clock.Duration(h.f.loop.Now() - 8)},
		})
	})
}

// CloseIdle implements router.Transport.
func (h *hangRouter) CloseIdle(uint32) {}

// Answer implements router.Client.
func (h *hangRouter) Answer(slotmap.Handle, router.Answer) {}

// swallowed adds up what the hung host swallowed, liars' own requests apart.
func (f *hangFleet) swallowed() (n int) {
	for _, h := range f.routers {
		if !h.liar {
			n += h.swallowed
		}
	}
	return n
}

// hangRow is one case: attempts that the hung host swallowed, over all seeds,
// and the most of a group's members that hearsay wrongly passed over.
type hangRow struct {
	routers, liars  int
	lie             faultinjection.Fault
	alone, together int
	wrong           float64
}

func hangCase(routers, liars int, lie faultinjection.Fault, seeds uint64) hangRow {
	row := hangRow{routers: routers, liars: liars, lie: lie}
	for seed := range seeds {
		row.alone += playHang(seed, routers, liars, lie, false).swallowed()
		f := playHang(seed, routers, liars, lie, true)
		row.together += f.swallowed()
		row.wrong = max(row.wrong, f.wrong)
	}
	return row
}

// TestHungHostAloneAndTogether counts the requests that a host swallows which
// hangs for 12 s, by routers that act alone and by routers that tell each
// other, some of which lie in concert. At 20 routers telling must cut it to a
// third; with liars it must not be worse than alone, and nobody may wrongly
// pass over more than the stated share of a group. With LOTUSBEND_LARGE=1 the
// table of docs/shared-state.md (some minutes), with LOTUSBEND_FIGURES=DIR its
// plot as well.
func TestHungHostAloneAndTogether(t *testing.T) {
	seeds, cases := uint64(4), []hangRow{
		{routers: 20},
		{routers: 20, liars: 6, lie: faultinjection.AllUnresponsive},
		{routers: 20, liars: 6, lie: faultinjection.AllHealthy},
	}
	large := os.Getenv("LOTUSBEND_LARGE") == "1"
	if large {
		seeds, cases = 10, nil
		for _, n := range []int{2, 20, 300} {
			cases = append(cases, hangRow{routers: n})
			for _, lie := range []faultinjection.Fault{faultinjection.AllUnresponsive, faultinjection.AllHealthy} {
				cases = append(cases, hangRow{routers: n, liars: 1, lie: lie})
				if n > 2 {
					cases = append(cases, hangRow{routers: n, liars: n / 3, lie: lie})
				}
				if n == 20 {
					cases = append(cases, hangRow{
						routers: n,
						liars:   n / 2,
						lie:     lie,
					}, hangRow{routers: n, liars: n * 9 / 10, lie: lie})
				}
			}
		}
	}
	var rows []hangRow
	for _, c := range cases {
		k := seeds
		if c.routers > 100 {
			k = 1
		}
		row := hangCase(c.routers, c.liars, c.lie, k)
		rows = append(rows, row)
		ratio := float64(row.together) / float64(row.alone)
		t.Logf("| %d | %d | %s | %d | %d | %.2f | %.2f |",
			row.routers, row.liars, row.lie, row.alone, row.together, ratio, row.wrong)
		if row.alone == 0 {
			t.Fatal("the hung host swallowed nothing: nothing is measured")
		}
		if row.routers >= 20 && row.liars == 0 && 3*row.together > row.alone {
			t.Errorf("%d routers: %d requests lost together, %d alone: not down by two thirds",
				row.routers, row.together, row.alone)
		}
		// A handful of losses differ by chance: the square root of their number.
		if most := float64(row.alone) + 2*math.Sqrt(float64(row.alone)); float64(row.together) > most {
			t.Errorf("%d routers, %d byzantine (%s): %d lost together, %d standalone",
				row.routers, row.liars, row.lie, row.together, row.alone)
		}
		if row.wrong > fleetstate.Defaults().MaxEjectedFraction {
			t.Errorf("%d routers, %d lying (%s): %.2f of a group wrongly passed over", row.routers, row.liars, row.lie, row.wrong)
		}
	}
	plotHang(t, rows)
}

// plotHang draws requests lost together as a share of those lost alone,
// against the share of routers that lie, where LOTUSBEND_FIGURES names a
// directory.
func plotHang(t *testing.T, rows []hangRow) {
	dir := os.Getenv("LOTUSBEND_FIGURES")
	if dir == "" {
		return
	}
	lines := map[string]plotter.XYs{}
	for _, r := range rows {
		y := float64(r.together) / float64(r.alone)
		x := float64(r.liars) / float64(r.routers)
		for lie, says := range map[faultinjection.Fault]string{
			faultinjection.AllUnresponsive: "every host hangs", faultinjection.AllHealthy: "every host is well"} {
			if r.lie == lie || r.liars == 0 {
				k := fmt.Sprintf("%d routers, told that %s", r.routers, says)
				lines[k] = append(lines[k], plotter.XY{X: x, Y: y})
			}
		}
	}
	p := plot.New()
	p.Title.Text = "Requests lost to a hung host, told by peers"
	p.X.Label.Text = "share of the routers that lie"
	p.Y.Label.Text = "lost together / lost alone"
	p.Y.Min, p.Y.Max, p.Legend.Top, p.Legend.Left = 0, 2, true, true
	var args []any
	for _, k := range slices.Sorted(maps.Keys(lines)) {
		slices.SortFunc(lines[k], func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		args = append(args, k, lines[k])
	}
	err := plotutil.AddLinePoints(p, args...)
	for _, ext := range []string{"svg", "png"} {
		if err == nil {
			err = p.Save(8*vg.Inch, 5*vg.Inch, filepath.Join(dir, "shared-hang."+ext))
		}
	}
	if err != nil {
		t.Error(err)
	}
}
