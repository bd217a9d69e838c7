package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// told is a Fleet that says what a test sets.
type told struct {
	counted
	cold    func(own, one float64) float64
	repeats float64
	last    map[uint32]bool
	leads   uint32
}

func (f *told) Cold(_ uint32, own, one float64, _ time.Duration) float64 {
	if f.cold == nil {
		return own
	}
	return f.cold(own, one)
}
func (f *told) Repeats(time.Duration) float64        { return f.repeats }
func (f *told) Last(m uint32, _ time.Duration) bool  { return f.last[m] }
func (f *told) Leads(m uint32, _ time.Duration) bool { return m == f.leads }

// A replica that peers doubt goes last among those fresh enough, and is used
// where it is the only one: hearsay orders, it never takes the last away.
func TestADoubtedReplicaGoesLastAndIsStillUsed(t *testing.T) {
	g := newRig(t, testConfig(), trio())
	g.teach(2)
	g.r.heardPosition(g.r.members[3], g.now, g.now)
	f := &told{last: map[uint32]bool{2: true}}
	g.r.Join(f)
	if s := g.last(g.arrive(session)); s.member != 3 {
		t.Fatalf("the read went to %d, want the replica in the other zone that nobody doubts", s.member)
	}
	f.last[3] = true
	if s := g.last(g.arrive(session)); s.member != 2 {
		t.Fatalf("with all replicas doubted the read went to %d, want 2 as without peers", s.member)
	}
}

// A member whose breaker is open here is not tried while peers doubt it.
func TestADoubtedMembersTrialWaits(t *testing.T) {
	g := newRig(t, testConfig(), trio()[:2])
	g.teach(2)
	g.r.open(g.r.members[2], g.now)
	f := &told{last: map[uint32]bool{2: true}}
	g.r.Join(f)
	g.wait(trialWaitMax + time.Second)
	if s := g.last(g.arrive(session)); s.member == 2 {
		t.Fatal("the trial went out though peers' evidence is fresher")
	}
	f.last[2] = false
	g.wait(10 * ms)
	if s := g.last(g.arrive(session)); s.member != 2 {
		t.Errorf("nobody doubts it any more, and the trial went to %d", s.member)
	}
}

// A group that seeks its primary asks the one first that a peer heard lead.
func TestAHeardLeaderIsAskedFirst(t *testing.T) {
	for _, leads := range []uint32{2, 3} {
		g := newRig(t, testConfig(), trio())
		g.r.Join(&told{leads: leads})
		id := g.arrive(write)
		g.end(g.last(id), Miss, RoleReplica, 0)
		g.wait(500 * ms)
		if s := g.last(id); s.member != leads {
			t.Errorf("the write asked %d next, want %d", s.member, leads)
		}
	}
}

// A cold member's allowance is what the shares say: none, and no more than the
// rate without peers where nothing was borrowed.
func TestSharesRuleAColdMembersAllowance(t *testing.T) {
	sent := func(cold func(own, one float64) float64) (n int) {
		g := newRig(t, testConfig(), trio()[:2])
		g.teach(2)
		if cold != nil {
			g.r.Join(&told{cold: cold})
		}
		g.r.Listed(g.now, ListDelta, []Member{{ID: 2, State: Ready, Started: g.now}, {ID: 1, State: Draining, Primary: true}})
		done := len(g.sends)
		for range 400 {
			g.arrive(session)
			g.wait(10 * ms)
			for ; done < len(g.sends); done++ {
				n++
				g.end(g.sends[done], OK, RoleReplica, g.now)
			}
		}
		return n
	}
	own := sent(nil)
	same := sent(func(own, _ float64) float64 { return own })
	half := sent(func(own, _ float64) float64 { return own / 2 })
	none := sent(func(float64, float64) float64 { return 0 })
	if own < 10 || same != own || half >= own*3/4 || none > 1 {
		t.Errorf("sent alone %d, with its own rate %d, with half %d, with none %d", own, same, half, none)
	}
}

// Repeats lent are a debt that a router pays before it repeats again; what is
// borrowed adds to its own, up to what may be saved.
func TestLentRepeatsAreADebt(t *testing.T) {
	saved := func(rate float64) float64 {
		g := newRig(t, testConfig(), trio())
		g.r.budget = 0
		g.r.Join(&told{repeats: rate})
		g.wait(2 * time.Second)
		return g.r.budget
	}
	if a, b, c := saved(0), saved(-0.2), saved(10); a != 0 || b > -0.39 || b < -0.41 || c != retryBurst {
		t.Errorf("after 2 s saved %.2f alone, %.2f with 0.2 a second lent, %.2f with 10 borrowed", a, b, c)
	}
	if d := saved(-100); d != -retryBurst {
		t.Errorf("the debt is %.2f, want %.2f at most", d, retryBurst)
	}
}

// atRandom is a Fleet that says anything at any time.
type atRandom struct{ rng *rand.Rand }

func (f atRandom) Routers() int { return f.rng.IntN(400) }
func (f atRandom) Cold(_ uint32, own, _ float64, _ time.Duration) float64 {
	return own * f.rng.Float64()
}
func (f atRandom) Repeats(time.Duration) float64    { return 4 * (f.rng.Float64() - 0.5) }
func (f atRandom) Last(uint32, time.Duration) bool  { return f.rng.IntN(2) == 0 }
func (f atRandom) Leads(uint32, time.Duration) bool { return f.rng.IntN(2) == 0 }

// Whatever peers say, no rule is broken: the random histories that the module
// is held to, with a Fleet that says anything.
func TestNothingPeersSayBreaksARule(t *testing.T) {
	for seed := range uint64(150) {
		if faults := historyWith(t, seed, atRandom{rand.New(rand.NewPCG(seed, 11))}); len(faults) > 0 {
			t.Fatalf("seed %d: %d faults, first: %s", seed, len(faults), faults[0])
		}
	}
}
