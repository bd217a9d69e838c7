package decide

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestWarmingEndpointGetsNoBurst(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: Ready, StartedAt: f.now}})
	before := len(f.sends)
	for range 50 {
		f.submit(sessionReadClass)
	}
	f.wait(100 * ms)
	n := 0
	for _, s := range f.sends[before:] {
		if s.endpoint == 2 {
			n++
		}
	}
	if n > 1 {
		t.Errorf("%d attempts at once to a member that has just started", n)
	}
}

func TestWholeGroupInSlowStartStillServes(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	ms3 := oneGroup()
	for i := range ms3 {
		ms3[i].StartedAt = f.now
	}
	f.router.EndpointsUpdated(f.now, UpdateSnapshot, ms3)
	before := len(f.sends)
	for range 30 {
		f.submit(sessionReadClass)
		f.submit(writeClass)
		f.wait(100 * ms)
	}
	if len(f.sends) == before {
		t.Error("nothing was sent for three seconds")
	}
}

func TestWarmingEndpointThatAnswersFastIsNotFlooded(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.learnPosition(2)
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: Ready, StartedAt: f.now}})
	n := 0
	for range 45 {
		id := f.submit(sessionReadClass)
		if f.attempts[id] == 0 {
			continue
		}
		s := f.last(id)
		if s.endpoint == 2 {
			n++
		}
		f.wait(20 * ms)
		f.end(s, OK, RoleReplica, f.now)
	}
	// An answer in 20 ms tells of 50 a second at least; the rule allows twice a fifth of that.
	if n > 15 {
		t.Errorf("%d of 45 reads went to a member at a fifth of its capacity within a second", n)
	}
}

// counted is a Fleet that only counts routers.
type counted int

func (n counted) Routers() int                                                  { return int(n) }
func (counted) SlowStartRate(_ uint32, own, _ float64, _ time.Duration) float64 { return own }
func (counted) RetryRate(time.Duration) float64                                 { return 0 }
func (counted) Deprioritized(uint32, time.Duration) bool                        { return false }
func (counted) SuggestedPrimary(uint32, time.Duration) bool                     { return false }

// coldFleet plays many routers, each with its own seed and traffic, of which
// one endpoint starts anew; it returns the most that all sent it within the
// time that the rule counts over, as a share of what the rule allows then.
func coldFleet(t *testing.T, routers int, told int, load float64, seen ...int) (worst float64) {
	config := testConfig()
	config.Routers = told
	const warmRate = 60 // requests a second that a warm endpoint bears at full load
	endpoints := oneGroup()[:2]
	rigs := make([]*fixture, routers)
	for i := range rigs {
		rigs[i] = newFixture(t, config, endpoints)
		rigs[i].router.rng = rand.New(rand.NewPCG(uint64(i), 7))
		for _, n := range seen { // the fleet view's counts, in order
			rigs[i].router.JoinFleet(counted(n))
		}
	}
	rng := rand.New(rand.NewPCG(3, 4))
	var sends []time.Duration // to endpoint 2 since it started
	var started time.Duration
	due := make([][]sent, routers)                                           // attempts out, by the step of their answers
	share := 2 * load * warmRate / float64(routers) * tickInterval.Seconds() // a router's requests in a beat
	for step := range 1000 {
		for i, f := range rigs {
			for len(due[i]) > 0 && due[i][0].timeout <= time.Duration(step) {
				f.end(due[i][0], OK, RoleUnknown, 0)
				due[i] = due[i][1:]
			}
			if step == 500 { // it restarts, and the list says so
				started = f.now
				f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: Ready, StartedAt: started}})
			}
			if rng.Float64() < share {
				before := len(f.sends)
				id := f.submit(sessionReadClass)
				for _, s := range f.sends[before:] {
					if s.endpoint == 2 && started > 0 {
						sends = append(sends, f.now)
					}
				}
				if f.attempts[id] > 0 { // an answer takes longer than 1 / warmRate, as one core would
					s := f.last(id)
					s.timeout = time.Duration(step + 2)
					due[i] = append(due[i], s)
				}
			}
			f.wait(tickInterval)
		}
	}
	for i, from := range sends {
		n := 0
		for _, at := range sends[i:] {
			if at < from+config.OverloadDuration {
				n++
			}
		}
		warm := config.SlowStartCapacity + (1-config.SlowStartCapacity)*(from-started).Seconds()/config.SlowStartDuration.Seconds()
		worst = max(worst, float64(n)/(config.OverloadFactor*warm*warmRate*config.OverloadDuration.Seconds()))
	}
	return worst
}

func TestManyRoutersShareOneSlowStartBudget(t *testing.T) {
	for _, load := range []float64{0.7, 1} {
		for _, routers := range []int{1, 3, 40, 140} {
			if worst := coldFleet(t, routers, routers, load); worst > 1 || worst == 0 {
				t.Errorf("%d routers sent a cold member %.2f of what the rule allows", routers, worst)
			}
		}
	}
	for _, absurd := range []int{0, -5, math.MaxInt} {
		coldFleet(t, 1, absurd, 0.7)
	}
}

// Settings that tell of too few routers overrun a warming endpoint; a fleet view
// that counts them all keeps it within the rule, and one that counts fewer
// than told, or no view at all, changes nothing.
func TestRoutersBeyondTheConfiguredNumberShareSlowStart(t *testing.T) {
	worst := coldFleet(t, 140, 20, 1)
	if worst <= 1 {
		t.Fatalf("140 routers told of 20 sent a cold member %.2f of the rule: the case does not test", worst)
	}
	t.Logf("140 routers told of 20, no view: %.2f of the rule's rate", worst)
	if worst = coldFleet(t, 140, 20, 1, 140); worst > 1 || worst == 0 {
		t.Errorf("140 routers that saw 140 sent a cold member %.2f of what the rule allows", worst)
	}
	t.Logf("seeing 140: %.2f", worst)
	if worst := coldFleet(t, 140, 20, 1, 200, 140); worst > 1 || worst == 0 {
		t.Errorf("after 200 seen, then 140: %.2f of what the rule allows", worst)
	}
	told, fewer := coldFleet(t, 40, 40, 0.7), coldFleet(t, 40, 40, 0.7, 3)
	if told != fewer {
		t.Errorf("fewer routers seen than told changed the sends: %.4f, %.4f without a view", fewer, told)
	}
}

// A router that restarts while the list is wrong hears of most endpoints late.
func TestEndpointListedLateIsWarm(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup()[:1])
	f.wait(10 * time.Second)
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: Ready}, {ID: 4, State: Ready, StartedAt: f.now - ms}})
	if f.router.endpoints[2].slowStart.active {
		t.Error("a member with no start told counts as cold")
	}
	if !f.router.endpoints[4].slowStart.active {
		t.Error("a member that has just started does not count as cold")
	}
}
