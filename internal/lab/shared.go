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

// SharedDrill tests the shared state of the routers: budgets by lease while an endpoint
// warms up during a cut, counters after the cut, and ejections of an endpoint that
// hangs. Each router is a process. The result is computed from the statements that the
// stand-ins counted and from the routers' admin pages.
type SharedDrill struct {
	Seed      uint64
	Procs     int       // number of routers
	Loss      float64   // probability on every link for the whole run
	Cut       string    // "zones" or "oneway", see memberFleet.cut; any other value cuts nothing
	CutMs     int64     // least time from the start of the warm-up phase to the end of the cut
	ColdMs    int64     // duration of the warm-up of the restarted endpoint
	Pause     int       // number of routers paused past their leases
	Kill      int       // number of routers killed and restarted
	Liars     int       // number of byzantine routers, which report that every endpoint hangs
	SkewMs    int64     // how far the clock of every second router is ahead
	Sabotage  string    // safeguard that the routers disable; "" for none
	Binary    string    // path of the router program
	Progress  io.Writer // receives the progress log; nil to discard it
	RouterLog io.Writer // receives the routers' standard error; nil to discard it
}

// SharedResult is the result of the drill. "Standalone" is a fleet without shared state,
// "sharing" one with it.
type SharedResult struct {
	Drill string `json:"drill"`
	Seed  uint64 `json:"seed"`
	Procs int    `json:"procs"`
	// BudgetOverrun is the largest number of statements that the warming endpoint
	// received in a second, as a fraction of its budget for that second.
	BudgetOverrun   float64 `json:"budget_overrun"`
	WarmingReceived int     `json:"cold_received"` // statements that the audit of the budget counted
	// MaxBorrowed is the largest fraction of a budget, other than the retry budget,
	// that all honest routers together had borrowed at one poll.
	MaxBorrowed float64 `json:"borrowed_most"`
	// CountsExact reports whether every router's total of attempts equals HostsCounted.
	CountsExact    bool   `json:"counts_exact"`
	HostsCounted   uint64 `json:"hosts_counted"`    // statements that the endpoints received
	MinTotal       uint64 `json:"totals_least"`     // smallest total of a router
	MaxTotal       uint64 `json:"totals_most"`      // largest total of a router
	CountsSettleMs int64  `json:"counts_settle_ms"` // time until the totals were exact, or of the whole wait
	// WronglyEjected is the largest fraction of a group that a router ejected
	// without cause on the reports of others; EjectedBound is its bound.
	WronglyEjected float64 `json:"wrongly_excluded_share"`
	EjectedBound   float64 `json:"wrongly_excluded_bound"`
	StaleReads     int     `json:"stale_reads"` // reads answered with data past the staleness bound
	// RemainingEjections counts the honest routers that still ejected the endpoint on
	// others' reports ejectionExpiryMs after its hang.
	RemainingEjections int `json:"judgements_outlived"`
	// DetectStandaloneMs and DetectSharingMs are the mean time, over the honest
	// routers, from the start of the hang to the router's last statement to the
	// endpoint.
	DetectStandaloneMs float64 `json:"detect_ms_alone"`
	DetectSharingMs    float64 `json:"detect_ms_together"`
	// LostStandalone and LostSharing count the statements from honest routers that
	// the endpoint received while it hung.
	LostStandalone  int      `json:"requests_lost_to_hung_host_alone"`
	LostSharing     int      `json:"requests_lost_to_hung_host_together"`
	Served          int64    `json:"served"`
	BytesPerMemberS float64  `json:"bytes_per_member_s"`
	Seconds         float64  `json:"seconds"`
	Violations      []string `json:"faults_seen,omitempty"`
	OK              bool     `json:"ok"`
}

const (
	hangGroup = 1 // group with a primary and four replicas, one of which hangs
	warmGroup = 2 // group with only a primary, which restarts and warms up
	// hostWorkMs is the execution time of each statement.
	hostWorkMs = 5.0
	// warmUpRequestsPerSecond is the demand of all routers together for the warming
	// endpoint. It is more than twice what a warm endpoint may receive.
	warmUpRequestsPerSecond = 1000.0
	hangDurationMs          = 8000
	// discoveryDelayMs is the time after an endpoint's start until every router knows
	// the start from discovery, which lists it after 500 ms.
	discoveryDelayMs = 800
	// leaseMs and leaseSkewMs are the routers' lease_ms and skew_ms settings.
	leaseMs     = 3000
	leaseSkewMs = 2000
	// ejectionExpiryMs is the time after a hang when no ejection on others' reports
	// may be left: the longest validity of a report, the end of the ejection and the
	// next check.
	ejectionExpiryMs = 10_000 + 500 + 1500
)

// Run runs the drill. It stops every process that it started before it returns.
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

// runStandalone measures a hang in a fleet without shared state.
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
	standalone.log.Info("hang measured without shared state", "lost", result.LostStandalone,
		"detect_ms", math.Round(result.DetectStandaloneMs))
	return nil
}

// addViolations adds a violation for each bound that the result exceeds, and for each
// safeguard that the run did not test.
func (r *SharedResult) addViolations(o SharedDrill) {
	check := func(violated bool, format string, args ...any) {
		if violated {
			r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
		}
	}
	check(r.BudgetOverrun > 1,
		"the warming endpoint received %.2f times its budget in a second", r.BudgetOverrun)
	check(r.WarmingReceived == 0, "the warming endpoint received no statement: its budget was not tested")
	check(o.Procs > 3 && r.MaxBorrowed == 0, "no router borrowed budget: leases were not tested")
	check(!r.CountsExact,
		"totals of routers from %d to %d, the endpoints counted %d", r.MinTotal, r.MaxTotal, r.HostsCounted)
	check(r.WronglyEjected > r.EjectedBound,
		"a router wrongly ejected %.2f of the endpoints of a group", r.WronglyEjected)
	check(r.RemainingEjections > 0,
		"%d routers still eject the endpoint on others' reports %d ms after its hang",
		r.RemainingEjections, ejectionExpiryMs)
	check(r.StaleReads > 0, "%d reads were answered with stale data", r.StaleReads)
	// The number of losses varies at random. With shared state it must not exceed the
	// number without it by more than two standard deviations.
	lostBound := float64(r.LostStandalone) + 2*math.Sqrt(float64(r.LostStandalone))
	check(float64(r.LostSharing) > lostBound,
		"%d requests were lost with shared state, %d without", r.LostSharing, r.LostStandalone)
}

// isByzantine reports whether router i sends false reports. The last routers do.
func (o SharedDrill) isByzantine(i int) bool { return i >= o.Procs-o.Liars }

// sharedSettings returns the shared-state settings of router i.
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

// routerSettings returns the routing settings of the drill. The endpoints answer reads
// however stale their data is, so that only the routers enforce the staleness bound. A
// further class, browse, accepts the data of any replica.
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

// standinOptions returns options for endpoints that answer every statement and count it.
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
