package fleetstate

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate/faultinjection"
)

// fleet plays leases of one budget among routers: messages in flight that are
// delivered in any order, twice or never, clocks far apart that also step by
// up to a quarter of the skew either way, routers that pause, restart without
// their state, and quotas that are acted on as last advised.
type fleet struct {
	cfg      Config
	now      int64
	offset   []int64 // of each clock
	step     []int64 // within a quarter of the skew either way
	leases   []*leaseTable
	advised  []Quota // what each router acts on, taken when it last ran
	inFlight []envelope
}

type envelope struct {
	from, to int
	request  *LeaseRequest
	grant    *LeaseGrant
}

const endpoint = "h"

func newFleet(cfg Config, n int) *fleet {
	f := &fleet{
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

func (f *fleet) clock(i int) int64 { return f.now + f.offset[i] + f.step[i] }

func (f *fleet) stake() float64 { return 1 / float64(len(f.leases)) }

// restart starts router i without state: nothing of an earlier incarnation is known.
func (f *fleet) restart(i int) {
	f.leases[i] = newLeases(f.cfg, f.clock(i))
	f.advise(i)
}

func (f *fleet) advise(i int) {
	f.leases[i].expire(f.clock(i))
	f.advised[i] = f.leases[i].quota(endpoint, f.stake(), f.clock(i))
}

func (f *fleet) request(from, to int) {
	if a, ok := f.leases[from].request(endpoint, fmt.Sprint(to), f.stake(), f.clock(from)); ok {
		f.inFlight = append(f.inFlight, envelope{from: from, to: to, request: &a})
	}
}

func (f *fleet) deliver(k int, twice bool) {
	l := f.inFlight[k]
	if !twice {
		f.inFlight = slices.Delete(f.inFlight, k, k+1)
	}
	if l.request != nil {
		if g, ok := f.leases[l.to].grant(fmt.Sprint(l.from), *l.request, f.stake(), false, f.clock(l.to)); ok {
			f.advise(l.to) // the grant is sent once the router acts on what it has left
			f.inFlight = append(f.inFlight, envelope{from: l.to, to: l.from, grant: &g})
		}
		return
	}
	f.leases[l.to].accept(fmt.Sprint(l.from), *l.grant, f.stake(), f.clock(l.to))
	f.advise(l.to)
}

// sum is what all routers would send now, each on what it was last advised.
func (f *fleet) sum() (total float64) {
	for i := range f.leases {
		total += f.advised[i].At(f.clock(i))
	}
	return total
}

// TestQuotasNeverExceedTheBudget holds the invariant of the leases for any
// order of events: at every moment the quotas add up to the budget at most.
func TestQuotasNeverExceedTheBudget(t *testing.T) {
	for range 10 { // ten times the usual number of cases: some guards show in one of a thousand
		rapid.Check(t, func(t *rapid.T) { checkQuotasInAnyOrder(t) })
	}
}

// A borrower that restarted numbers its requests anew: its request must not be
// taken for one of its earlier incarnation, whose lease expires sooner.
func TestRequestOfAnotherIncarnationIsAnother(t *testing.T) {
	f := newFleet(Defaults(), 3)
	f.now += f.cfg.LeaseMs + f.cfg.SkewMs
	for i := range 3 {
		f.advise(i)
	}
	f.request(0, 1)
	f.request(0, 2)
	f.deliver(0, false)
	f.deliver(0, false)
	f.inFlight = nil // the grants are lost, and the borrower's state with it
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
		if s := f.sum(); s > 1+1e-9 {
			t.Fatalf("the quotas add up to %.3f", s)
		}
	}
}

// The same search finds a lender that does not wait, and leases without end.
func TestInjectedLeaseFaultsExceedTheBudget(t *testing.T) {
	for _, s := range []faultinjection.Fault{faultinjection.NoLeaseWait, faultinjection.NeverExpire} {
		cfg := Defaults()
		cfg.FaultInjection = s
		f := newFleet(cfg, 2)
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
			worst = max(worst, f.sum())
		}
		if worst <= 1 {
			t.Errorf("%s: the quotas add up to %.2f at most", s, worst)
		}
	}
}

func checkQuotasInAnyOrder(t *rapid.T) {
	cfg := Defaults()
	f := newFleet(cfg, rapid.IntRange(2, 5).Draw(t, "routers"))
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
			f.restart(one("restarts")) // what it lent is forgotten; its messages may still be under way
		default:
			f.now += rapid.Int64Range(1, 2*cfg.LeaseMs).Draw(t, "ms")
			for i := range n {
				if !rapid.Bool().Draw(t, "paused") { // who is paused acts on what it was last advised
					f.advise(i)
				}
			}
		}
		if len(f.inFlight) > 200 {
			f.inFlight = f.inFlight[100:]
		}
		if s := f.sum(); s > 1+1e-9 {
			t.Fatalf("after %d steps the quotas add up to %.4f: %+v", step, s, f.advised)
		}
	}
}

// TestExhaustiveTwoRoutersOneEndpoint plays two routers over every sequence of
// choices to a stated depth: either requests, a message in flight (the two oldest)
// arrives or is lost or arrives and stays, the clock moves half a lease (both
// advised, or either paused), either restarts, a partition that loses all, with
// leases granted before the sequence begins. The quotas must never exceed the
// budget, and after a lease and its skew in silence each must be back at its
// own stake.
func TestExhaustiveTwoRoutersOneEndpoint(t *testing.T) {
	const depth = 6
	count, played := 0, 0
	worst := 0.0
	path := make([]int, depth)
	for more := true; more; {
		f := fleetWithALease()
		ended := depth
		for step, choice := range path {
			if !fleetChoices[choice](f) { // it does nothing here: so would all that begin like it
				ended = step
				break
			}
			played++
			s := f.sum()
			if worst = max(worst, s); s > 1+1e-9 {
				t.Fatalf("choices %v: after %d the quotas add up to %.4f", path, step+1, s)
			}
		}
		if ended == depth {
			count++
			f.checkSilence(t, path)
			ended = depth - 1
		}
		more = nextPath(path, ended)
	}
	t.Logf("%d sequences of %d choices, %d played; the quotas reach %.3f of the budget at most",
		count, depth, played, worst)
	if count == 0 || worst < 0.99 {
		t.Errorf("%d sequences, at most %.3f of the budget: little was explored", count, worst)
	}
}

// fleetChoices are what can happen in a step; false where it changes nothing.
var fleetChoices = []func(f *fleet) bool{
	func(f *fleet) bool { f.request(0, 1); return true },
	func(f *fleet) bool { f.request(1, 0); return true },
	func(f *fleet) bool { return f.oldest(0, false) },
	func(f *fleet) bool { return f.oldest(0, true) },
	func(f *fleet) bool { return f.oldest(1, false) },
	func(f *fleet) bool { return f.lose() },
	func(f *fleet) bool { return f.pass(true, true) },
	func(f *fleet) bool { return f.pass(true, false) },
	func(f *fleet) bool { return f.pass(false, true) },
	func(f *fleet) bool { f.restart(0); return true },
	func(f *fleet) bool { f.restart(1); return true },
}

// fleetWithALease is two routers, the first of which has borrowed.
func fleetWithALease() *fleet {
	f := newFleet(Defaults(), 2)
	f.pass(true, true)
	f.now += f.cfg.SkewMs + f.cfg.LeaseMs
	f.pass(true, true)
	f.request(0, 1)
	f.deliver(0, false)
	f.deliver(0, false)
	return f
}

// checkSilence lets every lease expire without another message.
func (f *fleet) checkSilence(t *testing.T, path []int) {
	t.Helper()
	f.inFlight = nil
	f.now += 2 * (f.cfg.LeaseMs + f.cfg.SkewMs)
	for i := range 2 {
		f.advise(i)
		if s := f.advised[i].At(f.clock(i)); s != f.stake() {
			t.Fatalf("choices %v: router %d has %.4f after silence, want its stake %.4f", path, i, s, f.stake())
		}
	}
}

// nextPath counts up the choice at a step and returns false after the last
// path. Later choices begin anew.
func nextPath(path []int, step int) bool {
	clear(path[step+1:])
	for ; step >= 0; step-- {
		path[step]++
		if path[step] < len(fleetChoices) {
			return true
		}
		path[step] = 0
	}
	return false
}

func (f *fleet) oldest(k int, twice bool) bool {
	if len(f.inFlight) <= k {
		return false
	}
	f.deliver(k, twice)
	return true
}

func (f *fleet) lose() bool {
	lost := len(f.inFlight) > 0
	f.inFlight = nil
	return lost
}

func (f *fleet) pass(first, second bool) bool {
	f.now += f.cfg.LeaseMs / 2
	if first {
		f.advise(0)
	}
	if second {
		f.advise(1)
	}
	return true
}

// A router paused past its lease must not act on it when it resumes, before
// anything new was advised; nor one that is partitioned.
func TestPausedRouterLosesItsBorrowedQuota(t *testing.T) {
	f := newFleet(Defaults(), 2)
	f.now += f.cfg.LeaseMs + f.cfg.SkewMs
	f.advise(0)
	f.request(0, 1)
	f.deliver(0, false)
	f.deliver(0, false)
	if s := f.advised[0].At(f.clock(0)); s != 0.75 {
		t.Fatalf("the borrower has %.2f, want its half and half of the other's", s)
	}
	f.now += f.cfg.LeaseMs
	if s := f.advised[0].At(f.clock(0)); s != 0.5 {
		t.Errorf("after the lease it acts on %.2f, want its own half", s)
	}
	if s := f.advised[1].At(f.clock(1)); s != 0.25 {
		t.Errorf("the lender is back at %.2f within the skew, want a quarter until then", s)
	}
}
