package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fleetStub is a Fleet whose results are set by a test.
type fleetStub struct {
	counted
	slowStartRate func(ownRate, singleRequestRate float64) float64
	retryRate     float64
	deprioritized map[uint32]bool
	primary       uint32
}

func (f *fleetStub) SlowStartRate(_ uint32, ownRate, singleRequestRate float64, _ time.Duration) float64 {
	if f.slowStartRate == nil {
		return ownRate
	}
	return f.slowStartRate(ownRate, singleRequestRate)
}
func (f *fleetStub) RetryRate(time.Duration) float64                  { return f.retryRate }
func (f *fleetStub) Deprioritized(id uint32, _ time.Duration) bool    { return f.deprioritized[id] }
func (f *fleetStub) SuggestedPrimary(id uint32, _ time.Duration) bool { return id == f.primary }

// A replica that the fleet deprioritizes is selected last among those that are
// fresh enough, and is still used if no other is left: reports of peers change the
// order of endpoints but never exclude one.
func TestDeprioritizedReplicaIsSelectedLastAndStillUsed(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.router.recordPosition(f.router.endpoints[3], f.now, f.now)
	fleet := &fleetStub{deprioritized: map[uint32]bool{2: true}}
	f.router.JoinFleet(fleet)
	if s := f.lastAttempt(f.submit(sessionReadClass)); s.endpoint != 3 {
		t.Fatalf("read was sent to endpoint %d, want remote replica 3, which is not deprioritized", s.endpoint)
	}
	fleet.deprioritized[3] = true
	if s := f.lastAttempt(f.submit(sessionReadClass)); s.endpoint != 2 {
		t.Fatalf("read was sent to endpoint %d with all replicas deprioritized, want local replica 2", s.endpoint)
	}
}

// The trial of an open circuit breaker waits while the fleet deprioritizes the
// endpoint.
func TestTrialOfDeprioritizedEndpointWaits(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup()[:2])
	f.learnPosition(2)
	f.router.openCircuit(f.router.endpoints[2], f.now)
	fleet := &fleetStub{deprioritized: map[uint32]bool{2: true}}
	f.router.JoinFleet(fleet)
	f.advance(maxTrialBackoff + time.Second)
	if s := f.lastAttempt(f.submit(sessionReadClass)); s.endpoint == 2 {
		t.Fatal("the trial was sent to a deprioritized endpoint")
	}
	fleet.deprioritized[2] = false
	f.advance(10 * ms)
	if s := f.lastAttempt(f.submit(sessionReadClass)); s.endpoint != 2 {
		t.Errorf("read was sent to endpoint %d, want a trial of endpoint 2, which is no longer deprioritized", s.endpoint)
	}
}

// Primary discovery first tries the endpoint that has reported to another router
// to be the primary.
func TestSuggestedPrimaryIsTriedFirst(t *testing.T) {
	for _, suggested := range []uint32{2, 3} {
		f := newFixture(t, testConfig(), oneGroup())
		f.router.JoinFleet(&fleetStub{primary: suggested})
		id := f.submit(writeClass)
		f.endAttempt(f.lastAttempt(id), Ineligible, RoleReplica, 0)
		f.advance(500 * ms)
		if s := f.lastAttempt(id); s.endpoint != suggested {
			t.Errorf("write was sent to endpoint %d next, want suggested primary %d", s.endpoint, suggested)
		}
	}
}

// The rate to a warming endpoint follows the Fleet: the router's own rate, half of
// it, or none.
func TestFleetSetsSlowStartRate(t *testing.T) {
	sent := func(fleetRate func(own, singleRequestRate float64) float64) (n int) {
		f := newFixture(t, testConfig(), oneGroup()[:2])
		f.learnPosition(2)
		if fleetRate != nil {
			f.router.JoinFleet(&fleetStub{slowStartRate: fleetRate})
		}
		f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: Ready, StartedAt: f.now}, {ID: 1, State: Draining, Primary: true}})
		done := len(f.sends)
		for range 400 {
			f.submit(sessionReadClass)
			f.advance(10 * ms)
			for ; done < len(f.sends); done++ {
				n++
				f.endAttempt(f.sends[done], OK, RoleReplica, f.now)
			}
		}
		return n
	}
	own := sent(nil)
	same := sent(func(own, _ float64) float64 { return own })
	half := sent(func(own, _ float64) float64 { return own / 2 })
	none := sent(func(float64, float64) float64 { return 0 })
	if own < 10 || same != own || half >= own*3/4 || none > 1 {
		t.Errorf("attempts at the warming endpoint: %d standalone, %d at the own rate, %d at half of it, %d at rate 0; want at least 10, as many, less than three quarters, at most 1",
			own, same, half, none)
	}
}

// Retries lent to other routers overdraw the retry budget, down to a bound. Borrowed
// retries fill it, up to its size.
func TestLentRetriesOverdrawTheRetryBudget(t *testing.T) {
	tokensAt := func(rate float64) float64 {
		f := newFixture(t, testConfig(), oneGroup())
		f.router.retries.tokens = 0
		f.router.JoinFleet(&fleetStub{retryRate: rate})
		f.advance(2 * time.Second)
		return f.router.retries.tokens
	}
	if none, lent, borrowed := tokensAt(0), tokensAt(-0.2), tokensAt(10); none != 0 || lent > -0.39 || lent < -0.41 || borrowed != maxRetryTokens {
		t.Errorf("tokens after 2 s: %.2f at rate 0, %.2f with 0.2 a second lent, %.2f with 10 a second borrowed; want 0, -0.41 to -0.39, %.2f",
			none, lent, borrowed, maxRetryTokens)
	}
	if overdraft := tokensAt(-100); overdraft != -maxRetryTokens {
		t.Errorf("tokens with 100 a second lent = %.2f, want -%.2f", overdraft, maxRetryTokens)
	}
}

// randomFleet is a Fleet that returns random results.
type randomFleet struct{ rng *rand.Rand }

func (f randomFleet) Routers() int { return f.rng.IntN(400) }
func (f randomFleet) SlowStartRate(_ uint32, ownRate, _ float64, _ time.Duration) float64 {
	return ownRate * f.rng.Float64()
}
func (f randomFleet) RetryRate(time.Duration) float64             { return 4 * (f.rng.Float64() - 0.5) }
func (f randomFleet) Deprioritized(uint32, time.Duration) bool    { return f.rng.IntN(2) == 0 }
func (f randomFleet) SuggestedPrimary(uint32, time.Duration) bool { return f.rng.IntN(2) == 0 }

// No result of a Fleet may make the router violate an invariant: this plays the
// random histories of histories_test.go with a random Fleet.
func TestRandomFleetViolatesNoInvariant(t *testing.T) {
	for seed := range uint64(150) {
		if violations := historyWith(t, seed, randomFleet{rand.New(rand.NewPCG(seed, 11))}); len(violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(violations), violations[0])
		}
	}
}
