package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fleetStub is a Fleet that answers as a test sets it.
type fleetStub struct {
	counted
	slowStartRate func(own, one float64) float64
	retryRate     float64
	deprioritized map[uint32]bool
	primary       uint32
}

func (f *fleetStub) SlowStartRate(_ uint32, own, one float64, _ time.Duration) float64 {
	if f.slowStartRate == nil {
		return own
	}
	return f.slowStartRate(own, one)
}
func (f *fleetStub) RetryRate(time.Duration) float64                 { return f.retryRate }
func (f *fleetStub) Deprioritized(m uint32, _ time.Duration) bool    { return f.deprioritized[m] }
func (f *fleetStub) SuggestedPrimary(m uint32, _ time.Duration) bool { return m == f.primary }

// A replica that peers doubt goes last among those fresh enough, and is used
// where it is the only one: gossip orders, it never takes the last away.
func TestDeprioritizedReplicaIsSelectedLastAndStillUsed(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.router.recordPosition(f.router.endpoints[3], f.now, f.now)
	advice := &fleetStub{deprioritized: map[uint32]bool{2: true}}
	f.router.JoinFleet(advice)
	if s := f.last(f.submit(sessionReadClass)); s.endpoint != 3 {
		t.Fatalf("the read went to %d, want the replica in the other zone that nobody doubts", s.endpoint)
	}
	advice.deprioritized[3] = true
	if s := f.last(f.submit(sessionReadClass)); s.endpoint != 2 {
		t.Fatalf("with all replicas doubted the read went to %d, want 2 as without peers", s.endpoint)
	}
}

// A endpoint whose breaker is open here is not tried while peers doubt it.
func TestTrialOfDeprioritizedEndpointWaits(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup()[:2])
	f.learnPosition(2)
	f.router.openCircuit(f.router.endpoints[2], f.now)
	advice := &fleetStub{deprioritized: map[uint32]bool{2: true}}
	f.router.JoinFleet(advice)
	f.wait(maxTrialBackoff + time.Second)
	if s := f.last(f.submit(sessionReadClass)); s.endpoint == 2 {
		t.Fatal("the trial went out though peers' evidence is fresher")
	}
	advice.deprioritized[2] = false
	f.wait(10 * ms)
	if s := f.last(f.submit(sessionReadClass)); s.endpoint != 2 {
		t.Errorf("nobody doubts it any more, and the trial went to %d", s.endpoint)
	}
}

// A group that seeks its primary asks the one first that a peer heard lead.
func TestSuggestedPrimaryIsTriedFirst(t *testing.T) {
	for _, leads := range []uint32{2, 3} {
		f := newFixture(t, testConfig(), oneGroup())
		f.router.JoinFleet(&fleetStub{primary: leads})
		id := f.submit(writeClass)
		f.end(f.last(id), Ineligible, RoleReplica, 0)
		f.wait(500 * ms)
		if s := f.last(id); s.endpoint != leads {
			t.Errorf("the write asked %d next, want %d", s.endpoint, leads)
		}
	}
}

// A warming endpoint's allowance is what the shares say: none, and no more than the
// rate without peers where nothing was borrowed.
func TestFleetSetsSlowStartRate(t *testing.T) {
	sent := func(cold func(own, one float64) float64) (n int) {
		f := newFixture(t, testConfig(), oneGroup()[:2])
		f.learnPosition(2)
		if cold != nil {
			f.router.JoinFleet(&fleetStub{slowStartRate: cold})
		}
		f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: Ready, StartedAt: f.now}, {ID: 1, State: Draining, Primary: true}})
		done := len(f.sends)
		for range 400 {
			f.submit(sessionReadClass)
			f.wait(10 * ms)
			for ; done < len(f.sends); done++ {
				n++
				f.end(f.sends[done], OK, RoleReplica, f.now)
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
func TestLentRetriesAreADebt(t *testing.T) {
	saved := func(rate float64) float64 {
		f := newFixture(t, testConfig(), oneGroup())
		f.router.retries.tokens = 0
		f.router.JoinFleet(&fleetStub{retryRate: rate})
		f.wait(2 * time.Second)
		return f.router.retries.tokens
	}
	if a, b, c := saved(0), saved(-0.2), saved(10); a != 0 || b > -0.39 || b < -0.41 || c != maxRetryTokens {
		t.Errorf("after 2 s saved %.2f alone, %.2f with 0.2 a second lent, %.2f with 10 borrowed", a, b, c)
	}
	if d := saved(-100); d != -maxRetryTokens {
		t.Errorf("the debt is %.2f, want %.2f at most", d, maxRetryTokens)
	}
}

// atRandom is a Fleet that says anything at any time.
type atRandom struct{ rng *rand.Rand }

func (f atRandom) Routers() int { return f.rng.IntN(400) }
func (f atRandom) SlowStartRate(_ uint32, own, _ float64, _ time.Duration) float64 {
	return own * f.rng.Float64()
}
func (f atRandom) RetryRate(time.Duration) float64             { return 4 * (f.rng.Float64() - 0.5) }
func (f atRandom) Deprioritized(uint32, time.Duration) bool    { return f.rng.IntN(2) == 0 }
func (f atRandom) SuggestedPrimary(uint32, time.Duration) bool { return f.rng.IntN(2) == 0 }

// Whatever peers say, no rule is broken: the random histories that the module
// is held to, with a Fleet that says anything.
func TestNoAdviceOfTheFleetBreaksARule(t *testing.T) {
	for seed := range uint64(150) {
		if faults := historyWith(t, seed, atRandom{rand.New(rand.NewPCG(seed, 11))}); len(faults) > 0 {
			t.Fatalf("seed %d: %d faults, first: %s", seed, len(faults), faults[0])
		}
	}
}
