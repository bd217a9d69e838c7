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
	f.advance(100 * ms)
	n := 0
	for _, s := range f.sends[before:] {
		if s.endpoint == 2 {
			n++
		}
	}
	if n > 1 {
		t.Errorf("%d attempts were sent at once to an endpoint that has just started, want at most 1", n)
	}
}

func TestWholeGroupInSlowStartStillServes(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	endpoints := oneGroup()
	for i := range endpoints {
		endpoints[i].StartedAt = f.now
	}
	f.router.EndpointsUpdated(f.now, UpdateSnapshot, endpoints)
	before := len(f.sends)
	for range 30 {
		f.submit(sessionReadClass)
		f.submit(writeClass)
		f.advance(100 * ms)
	}
	if len(f.sends) == before {
		t.Error("no attempt was sent within three seconds")
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
		s := f.lastAttempt(id)
		if s.endpoint == 2 {
			n++
		}
		f.advance(20 * ms)
		f.endAttempt(s, OK, RoleReplica, f.now)
	}
	// An answer in 20 ms shows a capacity of at least 50 requests a second; the permitted
	// rate is twice a fifth of that.
	if n > 15 {
		t.Errorf("%d of 45 reads were sent to an endpoint at a fifth of its capacity within a second, want at most 15", n)
	}
}

// counted is a Fleet that only reports the number of routers.
type counted int

func (n counted) Routers() int                                                      { return int(n) }
func (counted) SlowStartRate(_ uint32, ownRate, _ float64, _ time.Duration) float64 { return ownRate }
func (counted) RetryRate(time.Duration) float64                                     { return 0 }
func (counted) Deprioritized(uint32, time.Duration) bool                            { return false }
func (counted) SuggestedPrimary(uint32, time.Duration) bool                         { return false }

// slowStartLoad plays a fleet of routers, each with its own seed and requests, while
// one endpoint restarts. It returns the greatest number of attempts that all routers
// sent to the endpoint within Config.OverloadDuration, as a fraction of the permitted
// number. Config.Routers is configured in each router. The router joins a Fleet for
// each number of reported, which reports that number of routers, and the last one
// counts; without any it has no Fleet.
func slowStartLoad(t *testing.T, routers int, configured int, load float64, reported ...int) (worst float64) {
	config := testConfig()
	config.Routers = configured
	const warmRate = 60 // capacity of a warm endpoint, in requests a second
	endpoints := oneGroup()[:2]
	fixtures := make([]*fixture, routers)
	for i := range fixtures {
		fixtures[i] = newFixture(t, config, endpoints)
		fixtures[i].router.rng = rand.New(rand.NewPCG(uint64(i), 7))
		for _, n := range reported {
			fixtures[i].router.JoinFleet(counted(n))
		}
	}
	rng := rand.New(rand.NewPCG(3, 4))
	var sends []time.Duration // times of the attempts at endpoint 2 since its restart
	var started time.Duration
	due := make([][]sentAttempt, routers)                                    // attempts in flight, with the step of their answers as timeout
	share := 2 * load * warmRate / float64(routers) * tickInterval.Seconds() // requests per router and tick
	for step := range 1000 {
		for i, f := range fixtures {
			for len(due[i]) > 0 && due[i][0].timeout <= time.Duration(step) {
				f.endAttempt(due[i][0], OK, RoleUnknown, 0)
				due[i] = due[i][1:]
			}
			if step == 500 { // endpoint 2 restarts
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
				if f.attempts[id] > 0 { // an answer takes longer than 1 / warmRate, as at a host with one core
					s := f.lastAttempt(id)
					s.timeout = time.Duration(step + 2)
					due[i] = append(due[i], s)
				}
			}
			f.advance(tickInterval)
		}
	}
	for i, from := range sends {
		n := 0
		for _, at := range sends[i:] {
			if at < from+config.OverloadDuration {
				n++
			}
		}
		capacity := config.SlowStartCapacity + (1-config.SlowStartCapacity)*(from-started).Seconds()/config.SlowStartDuration.Seconds()
		worst = max(worst, float64(n)/(config.OverloadFactor*capacity*warmRate*config.OverloadDuration.Seconds()))
	}
	return worst
}

func TestManyRoutersShareTheSlowStartRate(t *testing.T) {
	for _, load := range []float64{0.7, 1} {
		for _, routers := range []int{1, 3, 40, 140} {
			if worst := slowStartLoad(t, routers, routers, load); worst > 1 || worst == 0 {
				t.Errorf("%d routers sent %.2f of the permitted rate to a warming endpoint, want more than 0 and at most 1", routers, worst)
			}
		}
	}
	for _, invalid := range []int{0, -5, math.MaxInt} {
		slowStartLoad(t, 1, invalid, 0.7)
	}
}

// A fleet that is larger than Config.Routers overloads a warming endpoint. A Fleet that
// reports all routers keeps the load within the permitted rate; one that reports fewer
// than Config.Routers changes nothing.
func TestRoutersBeyondTheConfiguredNumberShareSlowStart(t *testing.T) {
	worst := slowStartLoad(t, 140, 20, 1)
	if worst <= 1 {
		t.Fatalf("140 routers configured for 20 sent %.2f of the permitted rate, want more than 1: the scenario causes no overload", worst)
	}
	t.Logf("140 routers configured for 20, no Fleet: %.2f of the permitted rate", worst)
	if worst = slowStartLoad(t, 140, 20, 1, 140); worst > 1 || worst == 0 {
		t.Errorf("140 routers with 140 reported sent %.2f of the permitted rate to a warming endpoint, want more than 0 and at most 1", worst)
	}
	t.Logf("140 routers configured for 20, 140 reported: %.2f of the permitted rate", worst)
	if worst := slowStartLoad(t, 140, 20, 1, 200, 140); worst > 1 || worst == 0 {
		t.Errorf("140 routers with 200 and then 140 reported sent %.2f of the permitted rate, want more than 0 and at most 1", worst)
	}
	standaloneLoad, fewer := slowStartLoad(t, 40, 40, 0.7), slowStartLoad(t, 40, 40, 0.7, 3)
	if standaloneLoad != fewer {
		t.Errorf("load with 3 of 40 routers reported = %.4f, want %.4f as without a Fleet", fewer, standaloneLoad)
	}
}

// A router that starts with an outdated list learns of most endpoints late. Those
// without a recent start time must not go through slow start.
func TestEndpointListedLateIsWarm(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup()[:1])
	f.advance(10 * time.Second)
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: Ready}, {ID: 4, State: Ready, StartedAt: f.now - ms}})
	if f.router.endpoints[2].slowStart.active {
		t.Error("an endpoint without a start time is in slow start")
	}
	if !f.router.endpoints[4].slowStart.active {
		t.Error("an endpoint that has just started is not in slow start")
	}
}
