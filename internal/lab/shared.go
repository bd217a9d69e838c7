package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lotusbend/internal/faultnet"
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/standin"
)

// SharedDrill checks the state that routers share: budgets by lease while a
// cold host returns in a cut, counters after the heal, judgements on a host
// that hangs. Routers are processes; what hosts received is what the stand-ins
// counted. Times are in ms.
type SharedDrill struct {
	Seed      uint64
	Procs     int
	Loss      float64
	Cut       string // "zones", "oneway" or "" for neither
	CutMs     int64
	ColdMs    int64 // how long the host that returns is cold
	Pause     int   // routers paused past their leases
	Kill      int   // routers killed and started again
	Liars     int   // routers that claim that every host hangs
	SkewMs    int64
	Sabotage  string
	Binary    string
	Progress  io.Writer
	RouterLog io.Writer
}

// SharedResult is what the drill found.
type SharedResult struct {
	Drill           string   `json:"drill"`
	Seed            uint64   `json:"seed"`
	Procs           int      `json:"procs"`
	BudgetOverrun   float64  `json:"budget_overrun"`         // most that the cold host received in a second, over its budget
	ColdReceived    int      `json:"cold_received"`          // while it was cold
	BorrowedMost    float64  `json:"borrowed_most"`          // of its allowance, held by all together at one poll
	CountsExact     bool     `json:"counts_exact"`           // every router's total is what the hosts counted
	HostsCounted    uint64   `json:"hosts_counted"`          // statements received
	TotalsLeast     uint64   `json:"totals_least"`           // of all routers
	TotalsMost      uint64   `json:"totals_most"`            //
	CountsSettleMs  int64    `json:"counts_settle_ms"`       // after the last request
	WronglyExcluded float64  `json:"wrongly_excluded_share"` // of a group's members, by hearsay, most at one router
	ExcludedBound   float64  `json:"wrongly_excluded_bound"`
	StaleReads      int      `json:"stale_reads"`
	Outlived        int      `json:"judgements_outlived"` // routers that pass the host over by hearsay long after it hung
	DetectAlone     float64  `json:"detect_ms_alone"`     // mean over routers, until each last sent to the hung host
	DetectTogether  float64  `json:"detect_ms_together"`
	LostAlone       int      `json:"requests_lost_to_hung_host_alone"`
	LostTogether    int      `json:"requests_lost_to_hung_host_together"`
	Served          int64    `json:"served"`
	BytesPerMemberS float64  `json:"bytes_per_member_s"`
	Seconds         float64  `json:"seconds"`
	Faults          []string `json:"faults_seen,omitempty"`
	OK              bool     `json:"ok"`
}

const (
	hangGroup = 1 // a primary and four replicas
	coldGroup = 2 // a primary alone
	coldWork  = 5.0
	// coldDemand is what all routers together would send the cold host a
	// second: more than twice what it may be sent when it is warm.
	coldDemand = 1000.0
	hangForMs  = 8000
	// toldMs is when every router has been told of a start: the list says it
	// half a second later.
	toldMs = 800
	// leaseMs and leaseSkewMs are the drill's lease settings.
	leaseMs, leaseSkewMs = 3000, 2000
	// outliveMs after a hang no judgement by hearsay may be left: the longest
	// that a claim counts, the judgement's own end, and time to look.
	outliveMs = 10_000 + 500 + 1500
)

// sharedDrillRun is one fleet of the drill.
type sharedRun struct {
	o      SharedDrill
	f      *members
	askers []*asker
	res    *SharedResult
	client http.Client
	mu     sync.Mutex
	excuse map[string]bool // hosts that may rightly be passed over
	hung   string
	rnd    *rand.Rand
}

// Run plays the drill; it ends every process it started.
func (o SharedDrill) Run(ctx context.Context) (res SharedResult, err error) {
	began := time.Now()
	res = SharedResult{Drill: "shared", Seed: o.Seed, Procs: o.Procs, ExcludedBound: fleetstate.Defaults().MaxEjectedFraction}
	o.Progress = cmp.Or[io.Writer](o.Progress, io.Discard)
	alone, err := o.start(&res, nil)
	if err == nil {
		res.LostAlone, res.DetectAlone, err = alone.hang(ctx)
	}
	alone.close()
	if err != nil {
		return res, err
	}
	o.say("alone: %d requests lost, %.0f ms", res.LostAlone, res.DetectAlone)
	together, err := o.start(&res, func(i int) string {
		s := fmt.Sprintf(`"lease_ms": %d, "skew_ms": %d`, leaseMs, leaseSkewMs)
		if i%2 == 1 && o.SkewMs > 0 {
			s += fmt.Sprintf(`, "clock_offset_ms": %d`, o.SkewMs)
		}
		if o.liar(i) {
			return s + `, "sabotage": "liar"`
		}
		if o.Sabotage != "" {
			s += fmt.Sprintf(`, "sabotage": %q`, o.Sabotage)
		}
		return s
	})
	defer together.close()
	if err != nil {
		return res, err
	}
	if err := together.play(ctx); err != nil {
		return res, err
	}
	res.Seconds = time.Since(began).Seconds()
	res.BytesPerMemberS = float64(together.f.relay.Bytes.Load()) / float64(o.Procs) / time.Since(began).Seconds()
	fault := func(bad bool, format string, args ...any) {
		if bad {
			res.Faults = append(res.Faults, fmt.Sprintf(format, args...))
		}
	}
	fault(res.BudgetOverrun > 1, "the cold host received %.2f of its budget in a second", res.BudgetOverrun)
	fault(res.ColdReceived == 0, "the cold host received nothing: its budget was not tested")
	fault(o.Procs > 3 && res.BorrowedMost == 0, "no share was ever borrowed: leases were not tested")
	fault(!res.CountsExact, "totals from %d to %d, the hosts counted %d", res.TotalsLeast, res.TotalsMost, res.HostsCounted)
	fault(res.WronglyExcluded > res.ExcludedBound, "%.2f of a group's members wrongly passed over", res.WronglyExcluded)
	fault(res.Outlived > 0, "%d routers pass the host over by hearsay %d ms after it hung", res.Outlived, outliveMs)
	fault(res.StaleReads > 0, "%d reads answered from stale data", res.StaleReads)
	// Single losses are chance; telling must not make them more.
	fault(float64(res.LostTogether) > float64(res.LostAlone)+2*math.Sqrt(float64(res.LostAlone)), "%d requests lost together, %d alone", res.LostTogether, res.LostAlone)
	res.OK = len(res.Faults) == 0
	return res, ctx.Err()
}

// sharedSettings make hosts answer whatever is asked of them, as old as it may
// be, so that staying clear of stale data is the routers' part alone; and add a
// class that any member's data will do for.
var sharedSettings = strings.NewReplacer(`"WhenBehind": "refuse"`, `"WhenBehind": "off"`,
	`"Semantics": "token"}]`, `"Semantics": "token"},
 {"AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "KeyTtlMs": 5000, "LateWorth": 0, "Name": "browse", "Semantics": "pure"}]`,
	`["bounded", "fresh", "write"]`, `["bounded", "fresh", "write", "any"]`, `[800, 0, 0]`, `[800, 0, 0, 0]`)

func (o SharedDrill) say(format string, args ...any) {
	fmt.Fprintf(o.Progress, "shared drill: "+format+"\n", args...)
}

// liar tells whether the i-th router lies: the last ones do.
func (o SharedDrill) liar(i int) bool { return i >= o.Procs-o.Liars }

func (o SharedDrill) start(res *SharedResult, shared func(int) string) (r *sharedRun, err error) {
	so := standin.Defaults()
	so.Seed, so.Groups, so.Replicas, so.StandaloneGroups = o.Seed, 1, 4, 1
	so.Steady, so.WorkMin, so.WorkMax, so.MaxStalenessMs, so.BoundedClass = true, coldWork, coldWork, 800, "park-view"
	so.WarmUp = float64(o.ColdMs)
	so.ResetChance, so.RejectChance, so.QueueLimit = 0, 0, 1<<20
	r = &sharedRun{o: o, res: res, excuse: map[string]bool{}, rnd: rand.New(rand.NewPCG(o.Seed, 0x5a4ed))}
	r.client.Timeout = 500 * time.Millisecond
	if r.f, err = startMembers(memberOptions{Seed: o.Seed, Procs: o.Procs, Binary: o.Binary, Log: o.RouterLog, Level: "info", Standin: so,
		Faults:   faultnet.Faults{Loss: o.Loss, Dup: 0.02, DelayMs: 1, JitterMs: 4},
		Settings: strings.Replace(sharedSettings.Replace(settings), `"ColdMs": 18000`, fmt.Sprintf(`"ColdMs": %d`, o.ColdMs), 1), Shared: shared}); err != nil {
		return r, err
	}
	for i, m := range r.f.ms {
		r.askers = append(r.askers, newAsker(i, m.r.Listen, o.Seed))
	}
	// One replica falls back: it must be sent no bounded read.
	late := r.f.cluster.Hosts(hangGroup)[4]
	late.SetLag(3000)
	r.excuse[late.Name] = true
	return r, nil
}

func (r *sharedRun) close() {
	if r != nil && r.f != nil {
		r.f.close()
	}
}

func sleep(ctx context.Context, ms int64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
}

// hang has every router read from the group of replicas, one of which hangs;
// it returns the requests that this host swallowed, and how long until a
// router last sent it one, the mean over all routers that are honest.
func (r *sharedRun) hang(ctx context.Context) (lost int, detectMs float64, err error) {
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	for _, a := range r.askers {
		// Spread thin, as on the deployment: a router meets each host about
		// once a second.
		a.run(traffic, hangGroup, "browse", func() float64 { return 4 })
		a.run(traffic, hangGroup, "park-view", func() float64 { return 1 })
	}
	sleep(ctx, 4000)
	h := r.f.cluster.Hosts(hangGroup)[1+r.rnd.IntN(3)]
	r.excused(h.Name)
	r.hung = h.Name
	from := float64(time.Now().UnixMicro()) / 1e3
	r.f.cluster.Hang(h, hangForMs)
	sleep(ctx, hangForMs-200)
	last := make([]float64, len(r.askers))
	for _, x := range h.Received() {
		id, err := strconv.ParseUint(x.ID, 16, 64)
		i := int(id >> 48)
		if !x.Hung || x.At < from || err != nil || i >= len(last) || r.o.liar(i) {
			continue
		}
		lost++
		last[i] = x.At - from
	}
	stop()
	for _, a := range r.askers {
		a.wg.Wait()
	}
	honest := len(last) - r.o.Liars
	for _, l := range last {
		detectMs += l / float64(honest)
	}
	return lost, detectMs, ctx.Err()
}

func (r *sharedRun) excused(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excuse[host] = true
}

// play runs the phases of a fleet that shares state.
func (r *sharedRun) play(ctx context.Context) error {
	watch, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for watch.Err() == nil {
			r.poll()
			sleep(watch, 150)
		}
	})
	defer wg.Wait()
	defer stop()
	if err := r.settled(ctx, 15_000); err != nil {
		return err
	}
	sleep(ctx, leaseMs+leaseSkewMs) // what an earlier life may have lent
	if err := r.cold(ctx); err != nil {
		return err
	}
	if err := r.settled(ctx, 20_000); err != nil {
		return err
	}
	var err error
	if r.res.LostTogether, r.res.DetectTogether, err = r.hang(ctx); err != nil {
		return err
	}
	r.o.say("together: %d requests lost, %.0f ms", r.res.LostTogether, r.res.DetectTogether)
	hung := time.Now()
	if err := r.counts(ctx); err != nil {
		return err
	}
	sleep(ctx, outliveMs-time.Since(hung).Milliseconds())
	for i := range r.f.ms {
		if p, err := r.page(i); err == nil && !r.o.liar(i) && slices.ContainsFunc(p.Shared.Ejections, func(j fleetstate.Ejection) bool { return !j.ObservedHere && j.Endpoint == r.hung }) {
			r.res.Outlived++
		}
	}
	return ctx.Err()
}

// cold cuts the fleet, has a host return cold in the cut, and lets half of
// the routers want all of it, always, and the others now and then: these lend
// while they want nothing. Routers are paused past their leases and killed
// meanwhile.
func (r *sharedRun) cold(ctx context.Context) error {
	cut := map[string]func(a, b int) bool{
		"zones":  func(a, b int) bool { return r.f.ms[a].zone != r.f.ms[b].zone },
		"oneway": func(a, b int) bool { return r.f.ms[a].zone == 1 && r.f.ms[b].zone == 0 },
	}[r.o.Cut]
	h := r.f.cluster.Hosts(coldGroup)[0]
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	quiet := make([]atomic.Bool, len(r.askers)) // of those that are to be killed, before they are
	var open atomic.Bool
	begun := time.Now()
	for i, a := range r.askers {
		for _, class := range []string{"browse", "park-view"} {
			a.run(traffic, hangGroup, class, func() float64 {
				if quiet[i].Load() {
					return 0
				}
				return 4
			})
		}
		a.run(traffic, coldGroup, "invoice-check", func() float64 {
			// Half want it always; the others every second two seconds.
			if quiet[i].Load() || !open.Load() || (i/2)%2 == 1 && int(time.Since(begun).Seconds()/2)%2 == 0 {
				return 0
			}
			return coldDemand / float64(len(r.askers))
		})
	}
	sleep(ctx, 1500)
	r.f.cluster.Crash(h, 1000)
	if cut != nil {
		r.f.relay.Cut(cut)
		r.o.say("cut: %s", r.o.Cut)
	}
	sleep(ctx, 1000+toldMs)
	open.Store(true)
	since := h.StartedAt()
	order := r.rnd.Perm(len(r.askers) - 1)
	draw := func(k int) (got []int) {
		for _, i := range order[:k] {
			got = append(got, i+1) // the first router, the others' seed, is spared
		}
		order = order[k:]
		return got
	}
	paused, killed := draw(min(r.o.Pause, len(order))), []int(nil)
	killed = draw(min(r.o.Kill, len(order)))
	sleep(ctx, 2500)
	// Nothing may be on its way to a host when the process stops: what is being
	// handed to the system just then, a router cannot know to have left. What
	// clients send meanwhile waits for the router, and is read as it resumes.
	for _, i := range paused {
		quiet[i].Store(true)
	}
	sleep(ctx, 500)
	for _, i := range paused {
		m := r.f.ms[i]
		m.signal(syscall.SIGSTOP)
		r.mu.Lock()
		m.pausedUntil = time.Now().Add(time.Hour)
		r.mu.Unlock()
		quiet[i].Store(false)
	}
	r.o.say("paused %d past their leases", len(paused))
	for _, i := range killed {
		quiet[i].Store(true)
	}
	sleep(ctx, leaseMs+leaseSkewMs)
	for _, i := range paused {
		m := r.f.ms[i]
		r.mu.Lock()
		m.pausedUntil = time.Time{}
		r.mu.Unlock()
		m.signal(syscall.SIGCONT)
	}
	for _, i := range killed {
		if !r.toldAll(ctx, i) {
			r.res.Faults = append(r.res.Faults, fmt.Sprintf("m%d told nobody what it carried within 10 s", i+1))
		}
		m := r.f.ms[i]
		r.mu.Lock()
		m.running = false
		r.mu.Unlock()
		m.r.Kill()
	}
	sleep(ctx, 1000)
	for _, i := range killed {
		m := r.f.ms[i]
		if err := m.r.Start(); err != nil {
			return err
		}
		if err := m.r.waitReady(10 * time.Second); err != nil {
			return err
		}
		r.mu.Lock()
		m.running = true
		r.mu.Unlock()
		quiet[i].Store(false)
	}
	r.o.say("killed and started %d", len(killed))
	so := standin.Defaults()
	so.WarmUp = float64(r.o.ColdMs)
	sleep(ctx, int64(since+so.WarmUp-float64(time.Now().UnixMilli())))
	r.budget(h, since, so)
	r.o.say("the cold host received %d, at most %.2f of its budget in a second", r.res.ColdReceived, r.res.BudgetOverrun)
	if cut != nil {
		sleep(ctx, r.o.CutMs-time.Since(begun).Milliseconds())
		r.f.relay.Cut(nil)
	}
	stop()
	for _, a := range r.askers {
		a.wg.Wait()
	}
	return ctx.Err()
}

// toldAll waits until some other router holds all that the i-th has carried:
// what it told nobody ends with it.
func (r *sharedRun) toldAll(ctx context.Context, i int) bool {
	for end := time.Now().Add(10 * time.Second); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, 100) {
		own, err := r.page(i)
		if err != nil {
			continue
		}
		want := own.Shared.Counters[0]
		for k := range r.f.ms {
			p, err := r.page(k)
			if k != i && err == nil && slices.ContainsFunc(p.Shared.Counters, func(e fleetstate.CounterEntry) bool {
				return e.Name == want.Name && e.Epoch == want.Epoch && slices.Equal(e.Counters, want.Counters)
			}) {
				return true
			}
		}
	}
	return false
}
