package routingconfig

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lotusbend/decide"
)

// fleet simulates many routers that share nothing but the endpoints. Its clock
// advances from event to event.
type fleet struct {
	now        time.Duration
	events     events
	lastSerial uint64
	routers    []*instance
	restarted  uint32          // the endpoint that restarts
	sends      []time.Duration // times of the requests sent to it since the restart
}

// instance is one router. It implements decide.Actions: every request sent to an
// endpoint is answered after serviceTime.
type instance struct {
	fleet    *fleet
	router   *decide.Router
	attempts map[uint64]int // number of attempts, by request
}

type event struct {
	at     time.Duration
	serial uint64
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) {
	f.lastSerial++
	heap.Push(&f.events, event{f.now + d, f.lastSerial, do})
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

const (
	serviceTime   = 75 * time.Millisecond
	warmCapacity  = 40.0 // requests per second of a warm endpoint with three cores
	endpointCount = 4    // one of them is the primary
)

func (i *instance) Send(request uint64, endpoint uint32, _ time.Duration) {
	f, n := i.fleet, i.attempts[request]
	i.attempts[request]++
	if endpoint == f.restarted {
		f.sends = append(f.sends, f.now)
	}
	f.after(serviceTime, func() {
		role := decide.RoleReplica
		if endpoint == 1 {
			role = decide.RolePrimary
		}
		i.router.AttemptEnded(f.now, decide.AttemptResult{
			Request: request, Attempt: n, Endpoint: endpoint, Outcome: decide.OK, Latency: serviceTime, ClientAnswered: true,
			Status: decide.ReplicationStatus{Role: role, Position: f.now - 10*time.Millisecond},
		})
		delete(i.attempts, request)
	})
}
func (i *instance) Cancel(uint64, int)                     {}
func (i *instance) Reject(request uint64, _ time.Duration) { delete(i.attempts, request) }
func (i *instance) Fail(request uint64)                    { delete(i.attempts, request) }
func (i *instance) CheckHealth(uint32)                     {}
func (i *instance) CloseIdle(uint32)                       {}
func (i *instance) WatchEndpoints()                        {}
func (i *instance) SetTimer(after time.Duration, token uint32) {
	i.fleet.after(after, func() { i.router.TimerFired(i.fleet.now, token) })
}

// slowStartSettings returns routing settings for a number of routers, with factor as
// OverloadFactor and whenBehind as WhenBehind.
func slowStartSettings(routers int, factor float64, whenBehind string) []byte {
	return fmt.Appendf(nil, `{"Classes": [{"AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "LateWorth": 0, "Name": "view", "Semantics": "pure"}],
	"Discovery": "push", "FamilyInfo": {"ClassRead": ["bounded"], "OldestDataMs": [800], "Stamps": true, "Tokens": "carried", "WhenBehind": %q},
	"Feedback": {"Fields": ["x0", "x1"], "Via": "on_probe"}, "FleetSize": %d, "Limits": {"MaxAttempts": 6},
	"Rules": {"ColdMs": 18000, "OverloadFactor": %v, "OverloadForMs": 1000, "StartCapacity": 0.21}, "Zones": ["a"]}`, whenBehind, routers, factor)
}

// An endpoint that restarts must not be overloaded by 20 or 30 routers that know
// nothing of each other: in no window of OverloadDuration may they send it more
// than the N requests that the settings allow, plus 2*sqrt(N) + 2 for random
// variation.
func TestManyRoutersDoNotOverloadWarmingEndpoint(t *testing.T) {
	for _, routers := range []int{20, 30} {
		for _, factor := range []float64{2, 4} {
			for _, seed := range []uint64{1, 2, 3} {
				over, sent := simulateRestart(t, routers, factor, seed)
				if over > 0 || sent == 0 {
					t.Errorf("%d routers, factor %v, seed %d: %d requests sent, %.1f over the bound in the worst window; want some sent, 0 over",
						routers, factor, seed, sent, over)
				}
			}
		}
	}
}

// simulateRestart returns by how many requests the worst window exceeded the bound,
// and how many requests the restarted endpoint was sent.
func simulateRestart(t *testing.T, routers int, factor float64, seed uint64) (over float64, sent int) {
	t.Helper()
	s, err := Parse(slowStartSettings(routers, factor, "refuse"))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{}
	rng := rand.New(rand.NewPCG(seed, 9))
	list := func(started time.Duration) (endpoints []decide.Endpoint) {
		for id := range uint32(endpointCount) {
			endpoints = append(endpoints, decide.Endpoint{ID: id + 1, State: decide.Ready, Primary: id == 0})
		}
		endpoints[1].StartedAt = started
		return endpoints
	}
	request := uint64(0)
	for n := range routers {
		i := &instance{fleet: f, attempts: map[uint64]int{}}
		if i.router, err = decide.New(s.Config, seed<<16+uint64(n), i); err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, i)
		i.router.Start(0)
		i.router.EndpointsUpdated(0, decide.UpdateSnapshot, list(0))
		mean := float64(routers) / (0.9 * warmCapacity * (endpointCount - 1)) // seconds between one router's requests
		var arrive func()
		arrive = func() {
			request++
			i.router.RequestArrived(f.now, decide.Request{ID: request, TimeLeft: 1200 * time.Millisecond})
			f.after(time.Duration(rng.ExpFloat64()*mean*float64(time.Second)), arrive)
		}
		f.after(time.Duration(rng.Float64()*mean*float64(time.Second)), arrive)
	}
	const restart = 20 * time.Second
	f.run(restart)
	f.restarted = 2
	for _, i := range f.routers {
		i.router.EndpointsUpdated(f.now, decide.UpdateDelta, list(restart)[1:2])
	}
	f.run(restart + s.Config.SlowStartDuration)
	for n, from := range f.sends {
		count := 0
		for _, at := range f.sends[n:] {
			if at < from+s.Config.OverloadDuration {
				count++
			}
		}
		warmth := s.Config.SlowStartCapacity + (1-s.Config.SlowStartCapacity)*(from-restart).Seconds()/s.Config.SlowStartDuration.Seconds()
		allowed := factor * warmth * warmCapacity * s.Config.OverloadDuration.Seconds()
		over = max(over, float64(count)-(allowed+2*math.Sqrt(allowed)+2))
	}
	return over, len(f.sends)
}
