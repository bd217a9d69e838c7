package fleetstate

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate/faultinjection"
)

// leaseFleet simulates the leases of one budget among routers. Messages are
// delivered in any order, twice or never. Clocks are far apart and step by up to a
// quarter of SkewMs in either direction. Routers pause, and restart without their
// state. Each router uses the quota that it was last advised.
type leaseFleet struct {
	cfg      Config
	now      int64
	offset   []int64 // of each router's clock
	step     []int64 // of each router's clock, within a quarter of SkewMs in either direction
	leases   []*leaseTable
	advised  []Quota // quota that each router uses, computed when it last ran
	inFlight []envelope
}

// envelope is a request or a grant in flight between two routers.
type envelope struct {
	from, to int
	request  *LeaseRequest
	grant    *LeaseGrant
}

const endpoint = "h"

func newLeaseFleet(cfg Config, n int) *leaseFleet {
	f := &leaseFleet{
		cfg:     cfg,
		offset:  make([]int64, n),
		step:    make([]int64, n),
		leases:  make([]*leaseTable, n),
		advised: make([]Quota, n),
	}
	for i := range n {
		f.offset[i] = int64(i) * 1_000_000
		f.restart(i)
	}
	return f
}

func (f *leaseFleet) clock(i int) int64 { return f.now + f.offset[i] + f.step[i] }

func (f *leaseFleet) stake() float64 { return 1 / float64(len(f.leases)) }

// restart starts router i without the state of its earlier incarnation.
func (f *leaseFleet) restart(i int) {
	f.leases[i] = newLeaseTable(f.cfg, f.clock(i))
	f.advise(i)
}

// advise computes the quota that router i uses until it is advised again.
func (f *leaseFleet) advise(i int) {
	f.leases[i].expire(f.clock(i))
	f.advised[i] = f.leases[i].quota(endpoint, f.stake(), f.clock(i))
}

func (f *leaseFleet) request(from, to int) {
	if newRequest, ok := f.leases[from].request(endpoint, fmt.Sprint(to), f.stake(), f.clock(from)); ok {
		f.inFlight = append(f.inFlight, envelope{from: from, to: to, request: &newRequest})
	}
}

// deliver delivers message k and, unless twice is set, removes it from those in
// flight.
func (f *leaseFleet) deliver(k int, twice bool) {
	message := f.inFlight[k]
	if !twice {
		f.inFlight = slices.Delete(f.inFlight, k, k+1)
	}
	if message.request != nil {
		if newGrant, ok := f.leases[message.to].grant(fmt.Sprint(message.from), *message.request, f.stake(), false, f.clock(message.to)); ok {
			f.advise(message.to) // the grant is sent only after the lender applies its reduced quota
			f.inFlight = append(f.inFlight, envelope{from: message.to, to: message.from, grant: &newGrant})
		}
		return
	}
	f.leases[message.to].accept(fmt.Sprint(message.from), *message.grant, f.stake(), f.clock(message.to))
	f.advise(message.to)
}

// totalQuota returns the sum of the quotas that all routers use now.
func (f *leaseFleet) totalQuota() (total float64) {
	for i := range f.leases {
		total += f.advised[i].At(f.clock(i))
	}
	return total
}

// In any order of events, the sum of the quotas never exceeds the budget.
func TestQuotasNeverExceedTheBudget(t *testing.T) {
	for range 10 { // ten times the usual number of cases: some faults show in one of a thousand
		rapid.Check(t, func(t *rapid.T) { checkQuotasInAnyOrder(t) })
	}
}

// A restarted borrower reuses request IDs. The lender must not take its request
// for a duplicate from the earlier incarnation, whose lease expires sooner.
func TestRestartedBorrowerRequestIsNotADuplicate(t *testing.T) {
	f := newLeaseFleet(Defaults(), 3)
	f.now += f.cfg.LeaseMs + f.cfg.SkewMs
	for i := range 3 {
		f.advise(i)
	}
	f.request(0, 1)
	f.request(0, 2)
	f.deliver(0, false)
	f.deliver(0, false)
	f.inFlight = nil // the grants are lost, and the restart loses the borrower's state
	f.now += f.cfg.LeaseMs - 1
	f.restart(0)
	f.request(0, 1)
	f.request(0, 2)
	for len(f.inFlight) > 0 {
		f.deliver(0, false)
	}
	for range 100 {
		f.now += 50
		for i := range 3 {
			f.advise(i)
		}
		if s := f.totalQuota(); s > 1+1e-9 {
			t.Fatalf("sum of the quotas = %.3f, want at most 1", s)
		}
	}
}

// With the injected faults, a lender that does not wait and leases that never
// expire exceed the budget, so that the test of the budget detects them.
func TestInjectedLeaseFaultsExceedTheBudget(t *testing.T) {
	for _, fault := range []faultinjection.Fault{faultinjection.NoLeaseWait, faultinjection.NeverExpire} {
		cfg := Defaults()
		cfg.FaultInjection = fault
		f := newLeaseFleet(cfg, 2)
		f.now += cfg.LeaseMs + cfg.SkewMs
		worst := 0.0
		for range 50 {
			f.request(0, 1)
			for len(f.inFlight) > 0 {
				f.deliver(0, false)
			}
			f.now += 500
			f.advise(0)
			f.advise(1)
			worst = max(worst, f.totalQuota())
		}
		if worst <= 1 {
			t.Errorf("%s: largest sum of the quotas = %.2f, want more than 1", fault, worst)
		}
	}
}

func checkQuotasInAnyOrder(t *rapid.T) {
	cfg := Defaults()
	f := newLeaseFleet(cfg, rapid.IntRange(2, 5).Draw(t, "routers"))
	n := len(f.leases)
	one := func(what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
	f.now += rapid.SampledFrom([]int64{0, cfg.LeaseMs + cfg.SkewMs}).Draw(t, "warm")
	for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
		switch ev := rapid.IntRange(0, 9).Draw(t, fmt.Sprint("event", step)); {
		case ev < 3:
			if from, to := one("borrower"), one("lender"); from != to {
				f.request(from, to)
			}
		case ev < 6 && len(f.inFlight) > 0:
			f.deliver(rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "which"), rapid.Bool().Draw(t, "twice"))
		case ev < 7 && len(f.inFlight) > 0:
			k := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "lost")
			f.inFlight = slices.Delete(f.inFlight, k, k+1)
		case ev < 8:
			i := one("steps")
			f.step[i] = rapid.Int64Range(-cfg.SkewMs/4, cfg.SkewMs/4).Draw(t, "by")
		case ev < 9:
			f.restart(one("restarts")) // it forgets what it lent; its messages may still be in flight
		default:
			f.now += rapid.Int64Range(1, 2*cfg.LeaseMs).Draw(t, "ms")
			for i := range n {
				if !rapid.Bool().Draw(t, "paused") { // a paused router keeps its last advised quota
					f.advise(i)
				}
			}
		}
		if len(f.inFlight) > 200 {
			f.inFlight = f.inFlight[100:]
		}
		if s := f.totalQuota(); s > 1+1e-9 {
			t.Fatalf("after %d steps the sum of the quotas = %.4f, want at most 1: %+v", step, s, f.advised)
		}
	}
}

// TestExhaustiveTwoRoutersOneEndpoint simulates two routers over every sequence of
// depth actions: either router requests a lease or restarts, one of the two oldest
// messages in flight arrives, the oldest arrives and stays in flight as a
// duplicate, all messages are lost, or the clock advances by half a lease with both
// routers running or one paused. A lease is granted before the sequence begins. The
// quotas must never exceed the budget, and once all leases have expired each router
// must have exactly its stake.
func TestExhaustiveTwoRoutersOneEndpoint(t *testing.T) {
	const depth = 6
	count, played := 0, 0
	worst := 0.0
	path := make([]int, depth)
	for more := true; more; {
		f := fleetWithLease()
		ended := depth
		for step, action := range path {
			if !fleetActions[action](f) { // no effect, so that every sequence with this prefix is redundant
				ended = step
				break
			}
			played++
			s := f.totalQuota()
			if worst = max(worst, s); s > 1+1e-9 {
				t.Fatalf("actions %v: after %d the sum of the quotas = %.4f, want at most 1", path, step+1, s)
			}
		}
		if ended == depth {
			count++
			f.checkSilence(t, path)
			ended = depth - 1
		}
		more = nextPath(path, ended)
	}
	t.Logf("%d sequences of %d actions, %d actions run; largest sum of the quotas %.3f of the budget",
		count, depth, played, worst)
	if count == 0 || worst < 0.99 {
		t.Errorf("%d sequences, largest sum of the quotas %.3f, want some sequences and at least 0.99", count, worst)
	}
}

// fleetActions are the possible actions of a step. They return false if they have
// no effect.
var fleetActions = []func(f *leaseFleet) bool{
	func(f *leaseFleet) bool { f.request(0, 1); return true },
	func(f *leaseFleet) bool { f.request(1, 0); return true },
	func(f *leaseFleet) bool { return f.deliverInFlight(0, false) },
	func(f *leaseFleet) bool { return f.deliverInFlight(0, true) },
	func(f *leaseFleet) bool { return f.deliverInFlight(1, false) },
	func(f *leaseFleet) bool { return f.loseAll() },
	func(f *leaseFleet) bool { return f.advance(true, true) },
	func(f *leaseFleet) bool { return f.advance(true, false) },
	func(f *leaseFleet) bool { return f.advance(false, true) },
	func(f *leaseFleet) bool { f.restart(0); return true },
	func(f *leaseFleet) bool { f.restart(1); return true },
}

// fleetWithLease returns two routers, the first of which has borrowed from the
// second.
func fleetWithLease() *leaseFleet {
	f := newLeaseFleet(Defaults(), 2)
	f.advance(true, true)
	f.now += f.cfg.SkewMs + f.cfg.LeaseMs
	f.advance(true, true)
	f.request(0, 1)
	f.deliver(0, false)
	f.deliver(0, false)
	return f
}

// checkSilence lets every lease expire without another message and checks that
// each router has exactly its stake.
func (f *leaseFleet) checkSilence(t *testing.T, path []int) {
	t.Helper()
	f.inFlight = nil
	f.now += 2 * (f.cfg.LeaseMs + f.cfg.SkewMs)
	for i := range 2 {
		f.advise(i)
		if s := f.advised[i].At(f.clock(i)); s != f.stake() {
			t.Fatalf("actions %v: quota of router %d after all leases expired = %.4f, want its stake %.4f",
				path, i, s, f.stake())
		}
	}
}

// nextPath advances to the next path that differs at step or before, and returns
// false after the last path. The actions of later steps start again at the first.
func nextPath(path []int, step int) bool {
	clear(path[step+1:])
	for ; step >= 0; step-- {
		path[step]++
		if path[step] < len(fleetActions) {
			return true
		}
		path[step] = 0
	}
	return false
}

// deliverInFlight delivers the k-th oldest message in flight, if there is one.
func (f *leaseFleet) deliverInFlight(k int, twice bool) bool {
	if len(f.inFlight) <= k {
		return false
	}
	f.deliver(k, twice)
	return true
}

// loseAll loses all messages in flight, as a partition does.
func (f *leaseFleet) loseAll() bool {
	lost := len(f.inFlight) > 0
	f.inFlight = nil
	return lost
}

// advance advances the clock by half a lease and advises the selected routers;
// the others are paused.
func (f *leaseFleet) advance(first, second bool) bool {
	f.now += f.cfg.LeaseMs / 2
	if first {
		f.advise(0)
	}
	if second {
		f.advise(1)
	}
	return true
}

// A router that was paused past the end of a lease, or partitioned until then, must
// not use the borrowed quota before it gets new advice. The lender must not use the
// lent quota until SkewMs later.
func TestPausedRouterLosesItsBorrowedQuota(t *testing.T) {
	f := newLeaseFleet(Defaults(), 2)
	f.now += f.cfg.LeaseMs + f.cfg.SkewMs
	f.advise(0)
	f.request(0, 1)
	f.deliver(0, false)
	f.deliver(0, false)
	if s := f.advised[0].At(f.clock(0)); s != 0.75 {
		t.Fatalf("quota of the borrower = %.2f, want 0.75 (its stake and half of the lender's)", s)
	}
	f.now += f.cfg.LeaseMs
	if s := f.advised[0].At(f.clock(0)); s != 0.5 {
		t.Errorf("quota of the borrower after the lease = %.2f, want its stake 0.5", s)
	}
	if s := f.advised[1].At(f.clock(1)); s != 0.25 {
		t.Errorf("quota of the lender within the skew = %.2f, want 0.25", s)
	}
}
