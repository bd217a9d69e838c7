package fleetstate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lotusbend/internal/fleetstate"
)

// shortConfig returns a configuration with short durations, so that leases, reports
// and counter entries expire within a simulation of half a minute.
func shortConfig(change func(*fleetstate.Config)) fleetstate.Config {
	config := fleetstate.Defaults()
	config.LeaseMs, config.SkewMs, config.CounterRetentionMs = 600, 300, 9000
	config.ReportTTLMs, config.GossipEjectionMs = 2000, 2500
	if change != nil {
		change(&config)
	}
	return config
}

// database is the actual state of an endpoint.
type database struct {
	name      string
	group     int
	primary   bool
	unlisted  bool
	warmingUp bool
	condition fleetstate.HealthStatus // fleetstate.Healthy without a fault
}

// simulatedRouter is one router with its node, which may be restarted, and its
// observations.
type simulatedRouter struct {
	name        string
	node        *fleetstate.Node
	running     bool
	pausedUntil int64
	falseStatus fleetstate.HealthStatus // status that it reports of every endpoint, 0 for the observed one
	endpoints   []fleetstate.EndpointHealth
	counted     fleetstate.Counters
	retryBudget fleetstate.RetryBudget
	adapter     fleetstate.FleetAdapter
}

// delivery is a message in flight, which arrives at a time in ms.
type delivery struct {
	at       int64
	from, to int
	message  fleetstate.Message
}

const (
	stepMs    = 50   // step of the simulated clock
	adviseMs  = 250  // interval of computing advice
	recordMs  = 1000 // interval of hashing every node's state
	routers   = 7
	databases = 9 // in three groups
	classes   = 3
)

// cluster simulates routers and the network between them on one clock. All of its
// random numbers derive from the scenario's seed.
type cluster struct {
	t             *testing.T
	random        *rand.Rand
	digest        *digest
	config        fleetstate.Config
	now           int64
	routers       []*simulatedRouter
	databases     []database
	inFlight      []delivery
	loss          float64
	duplication   float64
	longestDelay  int64                   // ms
	attemptChance float64                 // probability of an attempt by one router at one endpoint in a step
	cut           func(from, to int) bool // whether messages between two routers are lost, nil for never
}

// newCluster returns the cluster of a scenario. No router runs yet.
func newCluster(t *testing.T, s scenario) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(s.seed, 2)), digest: newDigest(), config: shortConfig(s.config),
		now: 1_000_000, longestDelay: 20, attemptChance: 0.2}
	for i := range databases {
		c.databases = append(c.databases, database{
			name:      fmt.Sprint("db-", i),
			group:     i / 3,
			primary:   i%3 == 0,
			condition: fleetstate.Healthy,
		})
	}
	for i := range routers {
		c.routers = append(c.routers, &simulatedRouter{name: fmt.Sprint("router-", i)})
	}
	return c
}

// boot starts router i as a new incarnation without state.
func (c *cluster) boot(i int) {
	c.t.Helper()
	config, r := c.config, c.routers[i]
	config.Name, config.Start, config.Seed = r.name, c.now, c.random.Uint64()
	if err := config.Check(); err != nil {
		c.t.Fatal(err)
	}
	r.node, r.running, r.pausedUntil, r.counted = fleetstate.New(config, 4, c.now), true, 0, nil
	r.endpoints = nil
	for _, d := range c.databases {
		r.endpoints = append(r.endpoints, fleetstate.EndpointHealth{Name: d.name, Group: d.group})
	}
}

func (c *cluster) bootAll() {
	c.t.Helper()
	for i := range c.routers {
		c.boot(i)
	}
}

func (c *cluster) kill(i int) { c.routers[i].running = false }

func (c *cluster) pause(i int, ms int64) { c.routers[i].pausedUntil = c.now + ms }

func (c *cluster) isUp(i int) bool {
	return c.routers[i].running && c.now >= c.routers[i].pausedUntil
}

// isCut reports whether messages from one router to another are lost.
func (c *cluster) isCut(from, to int) bool { return c.cut != nil && c.cut(from, to) }

// peers returns the names of the running routers whose messages reach router i.
func (c *cluster) peers(i int) (names []string) {
	for j, r := range c.routers {
		if j != i && r.running && !c.isCut(j, i) {
			names = append(names, r.name)
		}
	}
	return names
}

// attempt updates what router i observes of each endpoint and lets it send an
// attempt with probability attemptChance.
func (c *cluster) attempt(i int) {
	r := c.routers[i]
	for j, d := range c.databases {
		h := &r.endpoints[j]
		h.Ready, h.Primary, h.WarmingUp, h.RequestsQueued = !d.unlisted, d.primary, d.warmingUp, d.warmingUp && (i+j)%2 == 0
		h.PrimaryUnknown = !c.primaryAnswers(d.group)
		if h.Overdue && c.now-h.LastSentAt >= 800 { // the attempt was not answered
			h.Overdue, h.Fault, h.FaultAt = false, fleetstate.Unresponsive, c.now
		}
		if !h.Overdue && c.random.Float64() < c.attemptChance {
			h.LastSentAt = c.now
			recordAttempt(h, d, c.now)
		}
		if r.falseStatus != 0 {
			h.Fault, h.FaultAt = r.falseStatus, c.now
		}
	}
}

func (c *cluster) primaryAnswers(group int) bool {
	return slices.ContainsFunc(c.databases, func(d database) bool {
		return d.group == group && d.primary && d.condition == fleetstate.Healthy
	})
}

// recordAttempt updates the observed health by the result of an attempt at d.
func recordAttempt(h *fleetstate.EndpointHealth, d database, now int64) {
	switch d.condition {
	case fleetstate.Unresponsive:
		h.Overdue = true
		return
	case fleetstate.Failing:
		h.Fault, h.FaultAt = d.condition, now
		return
	case fleetstate.Slow:
		h.Fault, h.FaultAt, h.FreshAt = d.condition, now, now
	case fleetstate.Lagging:
		h.Fault, h.FaultAt = d.condition, now
	default:
		h.Fault, h.FreshAt = 0, now
	}
	h.AnsweredSentAt = now
	if d.primary {
		h.PrimaryReportedAt = now
	}
}

// observe passes the observations of router i to its node.
func (c *cluster) observe(i int) {
	r := c.routers[i]
	c.attempt(i)
	var observed fleetstate.Counters
	for kind := range len(fleetstate.CounterKindNames()) {
		observed.Add(c.random.IntN(classes), fleetstate.CounterKind(kind), c.random.Uint64N(50))
	}
	for k, v := range observed {
		r.counted.Add(k/len(fleetstate.CounterKindNames()), fleetstate.CounterKind(k%len(fleetstate.CounterKindNames())), v)
	}
	r.node.Observe(fleetstate.Observation{Counters: observed, Endpoints: r.endpoints, RetryBudget: r.retryBudget})
}

// record hashes the messages and events that node i returned and sends the
// messages, some of which are lost or duplicated.
func (c *cluster) record(i int, ready fleetstate.Ready) {
	c.digest.numbers(c.now, int64(i))
	c.digest.ready(ready)
	for _, out := range ready.Messages {
		to := slices.IndexFunc(c.routers, func(r *simulatedRouter) bool { return r.name == out.To })
		if to < 0 || c.isCut(i, to) || c.random.Float64() < c.loss {
			continue
		}
		c.send(i, to, out.Message)
		if c.random.Float64() < c.duplication {
			c.send(i, to, out.Message)
		}
	}
}

func (c *cluster) send(from, to int, m fleetstate.Message) {
	c.inFlight = append(c.inFlight, delivery{c.now + 1 + c.random.Int64N(c.longestDelay), from, to, m})
}

// deliver delivers the messages that are due. A paused router receives them when
// it resumes, a stopped one never.
func (c *cluster) deliver() {
	var due []delivery
	c.inFlight = slices.DeleteFunc(c.inFlight, func(f delivery) bool {
		if f.at > c.now || c.routers[f.to].running && c.now < c.routers[f.to].pausedUntil {
			return false
		}
		due = append(due, f)
		return true
	})
	slices.SortStableFunc(due, func(a, b delivery) int { return int(a.at - b.at) })
	for _, f := range due {
		if c.isUp(f.to) {
			c.inject(c.routers[f.from].name, f.to, f.message)
		}
	}
}

// inject delivers a message of any sender to a router at once.
func (c *cluster) inject(from string, to int, m fleetstate.Message) {
	c.record(to, c.routers[to].node.Receive(from, m, c.now))
}

// run advances the clock by ms, in steps in which messages arrive and running
// routers observe and tick.
func (c *cluster) run(ms int64) {
	for end := c.now + ms; c.now < end; {
		c.now += stepMs
		c.deliver()
		for i, r := range c.routers {
			if !c.isUp(i) {
				continue
			}
			peers := c.peers(i)
			r.node.SetView(peers, len(peers)+1, c.now)
			c.observe(i)
			c.record(i, r.node.Tick(c.now))
			if c.now%adviseMs == 0 {
				c.advise(i)
			}
		}
		if c.now%recordMs == 0 {
			c.recordNodes()
		}
	}
}

// advise hashes the advice of router i and the results of its adapter.
func (c *cluster) advise(i int) {
	r := c.routers[i]
	advice := r.node.Advice(c.now)
	c.digest.advice(advice)
	r.adapter.Set(advice, numberOf, c.now)
	for _, later := range []int64{0, 400, 1100} {
		c.digest.adapter(&r.adapter, c.now+later)
	}
}

// numberOf returns the identifier of an endpoint name. The last endpoint has none.
func numberOf(name string) (uint32, bool) {
	var number uint32
	if _, err := fmt.Sscanf(name, "db-%d", &number); err != nil {
		return 0, false
	}
	return number + 1, number+1 < databases
}

// adapter hashes the results of an adapter at a time in ms, for each endpoint and
// an unknown one.
func (d *digest) adapter(fleet *fleetstate.FleetAdapter, at int64) {
	now := time.Duration(at) * time.Millisecond
	d.numbers(int64(fleet.Routers()))
	d.amounts(fleet.RetryRate(now))
	for number := range uint32(databases + 1) {
		d.amounts(fleet.SlowStartRate(number, 0.75, 0.5, now))
		d.flag(fleet.Deprioritized(number, now))
		d.flag(fleet.SuggestedPrimary(number, now))
	}
}

// recordNodes hashes the totals and the status page of every router.
func (c *cluster) recordNodes() {
	for i, r := range c.routers {
		if r.node != nil {
			c.digest.numbers(int64(i))
			c.digest.counters(r.node.Totals())
			c.digest.page(r.node.StatusPage(c.now))
		}
	}
}
