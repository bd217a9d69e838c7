package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/standin"
)

// SharedDrill checks the fleet's shared state: budgets by lease while an
// endpoint warms up during a cut, counters after the cut, ejections of an
// endpoint that hangs. Routers are processes; what endpoints received is what
// the stand-ins counted.
type SharedDrill struct {
	Seed      uint64
	Procs     int       // routers
	Loss      float64   // chance on every link for the whole run
	Cut       string    // "zones", "oneway" or "" for neither
	CutMs     int64     // how long the cut lasts at least, milliseconds
	ColdMs    int64     // how long the endpoint that restarts warms up, milliseconds
	Pause     int       // routers paused past their leases
	Kill      int       // routers killed and started again
	Liars     int       // byzantine routers, which report that every endpoint hangs
	SkewMs    int64     // how far every second router's clock is ahead, milliseconds
	Sabotage  string    // a safeguard that the routers leave out, "" for none
	Binary    string    // the router's program
	Progress  io.Writer // nil for none
	RouterLog io.Writer // the routers' standard error, nil for none
}

// SharedResult is what the drill found. "Standalone" is a fleet without shared
// state, "sharing" one with it.
type SharedResult struct {
	Drill string `json:"drill"`
	Seed  uint64 `json:"seed"`
	Procs int    `json:"procs"`
	// BudgetOverrun is the most that the warming endpoint received in a second,
	// as a fraction of its budget.
	BudgetOverrun   float64 `json:"budget_overrun"`
	WarmingReceived int     `json:"cold_received"` // statements at the endpoint while it warmed up
	// MaxBorrowed is the most of its budget that was borrowed by all routers
	// together at one poll.
	MaxBorrowed float64 `json:"borrowed_most"`
	// CountsExact reports that every router's total is what the endpoints
	// counted.
	CountsExact    bool   `json:"counts_exact"`
	HostsCounted   uint64 `json:"hosts_counted"` // statements received
	MinTotal       uint64 `json:"totals_least"`  // of all routers
	MaxTotal       uint64 `json:"totals_most"`   // of all routers
	CountsSettleMs int64  `json:"counts_settle_ms"`
	// WronglyEjected is the largest fraction of a group that a router ejected on
	// others' reports without cause, EjectedBound its bound.
	WronglyEjected float64 `json:"wrongly_excluded_share"`
	EjectedBound   float64 `json:"wrongly_excluded_bound"`
	StaleReads     int     `json:"stale_reads"`
	// RemainingEjections counts the routers that ejected the endpoint on others'
	// reports long after its hang.
	RemainingEjections int `json:"judgements_outlived"`
	// The mean over all routers of when each sent its last statement to the
	// endpoint that hangs, after the hang's begin.
	DetectStandaloneMs float64  `json:"detect_ms_alone"`
	DetectSharingMs    float64  `json:"detect_ms_together"`
	LostStandalone     int      `json:"requests_lost_to_hung_host_alone"`
	LostSharing        int      `json:"requests_lost_to_hung_host_together"`
	Served             int64    `json:"served"`
	BytesPerMemberS    float64  `json:"bytes_per_member_s"`
	Seconds            float64  `json:"seconds"`
	Violations         []string `json:"faults_seen,omitempty"`
	OK                 bool     `json:"ok"`
}

const (
	hangGroup = 1 // a primary and four replicas, one of which hangs
	warmGroup = 2 // only a primary, which restarts and warms up
	// hostWorkMs is the work of each statement.
	hostWorkMs = 5.0
	// warmUpRequestsPerSecond is what all routers together would send the warming endpoint a
	// second: more than twice what it may receive when it is warm.
	warmUpRequestsPerSecond = 1000.0
	hangDurationMs          = 8000
	// discoveryDelayMs is when every router has a start from discovery, which lists it
	// half a second late.
	discoveryDelayMs = 800
	// leaseMs and leaseSkewMs are the drill's lease settings.
	leaseMs     = 3000
	leaseSkewMs = 2000
	// ejectionExpiryMs after a hang no ejection on others' reports may be left: the
	// longest time that a report counts, the ejection's own end, and the next
	// check.
	ejectionExpiryMs = 10_000 + 500 + 1500
)

// Run runs the drill. It ends every process that it started.
func (o SharedDrill) Run(ctx context.Context) (result SharedResult, err error) {
	began := time.Now()
	result = SharedResult{
		Drill:        "shared",
		Seed:         o.Seed,
		Procs:        o.Procs,
		EjectedBound: fleetstate.Defaults().MaxEjectedFraction,
	}
	if err := o.runStandalone(ctx, &result); err != nil {
		return result, err
	}
	sharing, err := o.start(&result, o.sharedSettings)
	defer sharing.close()
	if err != nil {
		return result, err
	}
	if err := sharing.runPhases(ctx); err != nil {
		return result, err
	}
	result.Seconds = time.Since(began).Seconds()
	perMember := float64(sharing.fleet.relay.Bytes.Load()) / float64(o.Procs)
	result.BytesPerMemberS = perMember / time.Since(began).Seconds()
	result.addViolations(o)
	result.OK = len(result.Violations) == 0
	return result, ctx.Err()
}

// runStandalone measures a hang on a fleet without shared state.
func (o SharedDrill) runStandalone(ctx context.Context, result *SharedResult) error {
	standalone, err := o.start(result, nil)
	defer standalone.close()
	if err != nil {
		return err
	}
	result.LostStandalone, result.DetectStandaloneMs, err = standalone.measureHang(ctx)
	if err != nil {
		return err
	}
	standalone.log.Info("hang measured standalone", "lost", result.LostStandalone,
		"detect_ms", math.Round(result.DetectStandaloneMs))
	return nil
}

// addViolations adds what must not be to the faults.
func (r *SharedResult) addViolations(o SharedDrill) {
	fault := func(bad bool, format string, args ...any) {
		if bad {
			r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
		}
	}
	fault(r.BudgetOverrun > 1,
		"the warming endpoint received %.2f of its budget in a second", r.BudgetOverrun)
	fault(r.WarmingReceived == 0, "the warming endpoint received nothing: its budget was not tested")
	fault(o.Procs > 3 && r.MaxBorrowed == 0, "no budget was ever borrowed: leases were not tested")
	fault(!r.CountsExact,
		"totals from %d to %d, the endpoints counted %d", r.MinTotal, r.MaxTotal, r.HostsCounted)
	fault(r.WronglyEjected > r.EjectedBound, "%.2f of a group's endpoints wrongly ejected", r.WronglyEjected)
	fault(r.RemainingEjections > 0, "%d routers eject the endpoint on others' reports %d ms after its hang",
		r.RemainingEjections, ejectionExpiryMs)
	fault(r.StaleReads > 0, "%d reads answered from stale data", r.StaleReads)
	// Single losses are chance; sharing must not add to them.
	lostBound := float64(r.LostStandalone) + 2*math.Sqrt(float64(r.LostStandalone))
	fault(float64(r.LostSharing) > lostBound,
		"%d requests lost sharing, %d standalone", r.LostSharing, r.LostStandalone)
}

// isByzantine reports whether the i-th router is one that reports falsely: the
// last ones do.
func (o SharedDrill) isByzantine(i int) bool { return i >= o.Procs-o.Liars }

// sharedSettings is the i-th router's settings of shared state.
func (o SharedDrill) sharedSettings(i int) string {
	settings := fmt.Sprintf(`"lease_ms": %d, "skew_ms": %d`, leaseMs, leaseSkewMs)
	if i%2 == 1 && o.SkewMs > 0 {
		settings += fmt.Sprintf(`, "clock_offset_ms": %d`, o.SkewMs)
	}
	if o.isByzantine(i) {
		return settings + `, "sabotage": "liar"`
	}
	if o.Sabotage != "" {
		settings += fmt.Sprintf(`, "sabotage": %q`, o.Sabotage)
	}
	return settings
}

// routerSettings let endpoints answer reads however stale they are, so that
// only the routers keep the bound of staleness, and add a class for which any
// replica's data will do.
func (o SharedDrill) routerSettings() string {
	const lastClass = `"Semantics": "token"}]`
	const browseClass = `"Semantics": "token"},
 {"AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "KeyTtlMs": 5000, "LateWorth": 0,
  "Name": "browse", "Semantics": "pure"}]`
	return strings.NewReplacer(
		`"WhenBehind": "refuse"`, `"WhenBehind": "off"`,
		lastClass, browseClass,
		`["bounded", "fresh", "write"]`, `["bounded", "fresh", "write", "any"]`,
		`[800, 0, 0]`, `[800, 0, 0, 0]`,
		`"ColdMs": 18000`, fmt.Sprintf(`"ColdMs": %d`, o.ColdMs),
	).Replace(routerSettings)
}

// standinOptions are the endpoints of the drill: they answer whatever is sent
// to them, and count it.
func (o SharedDrill) standinOptions() standin.Options {
	opt := standin.Defaults()
	opt.Seed = o.Seed
	opt.Groups = 1
	opt.Replicas = 4
	opt.StandaloneGroups = 1
	opt.IgnoresLoad = true
	opt.WorkMinMs = hostWorkMs
	opt.WorkMaxMs = hostWorkMs
	opt.BoundedClass = "park-view"
	opt.MaxStalenessMs = 800
	opt.WarmUpMs = float64(o.ColdMs)
	opt.ResetChance = 0
	opt.RejectChance = 0
	opt.QueueLimit = 1 << 20
	return opt
}
