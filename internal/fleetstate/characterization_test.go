package fleetstate_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
)

// update rewrites the expected digests. They pin what the package does, so
// they may change only with a deliberate change of behaviour, never to make a
// refactoring pass.
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt, only with a deliberate change of behaviour")

var goldenFile = filepath.Join("testdata", "characterization.txt")

// TestCharacterization replays seeded scenarios of routers that share state
// over bad links and compares a digest of everything the nodes emitted with
// the recorded one. The digests cover numbers, positions and bytes alone:
// renaming a type, a field or a kind does not move them.
func TestCharacterization(t *testing.T) {
	golden, got := readGolden(t), map[string]string{}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(t, s)
			s.script(c)
			c.recordNodes()
			got[s.name] = c.digest.sum()
			if !*update && got[s.name] != golden[s.name] {
				t.Errorf("digest %s, want %q", got[s.name], golden[s.name])
			}
		})
	}
	if *update {
		writeGolden(t, got)
		return
	}
	for name := range golden {
		if !slices.ContainsFunc(scenarios, func(s scenario) bool { return s.name == name }) {
			t.Errorf("%s has a digest for %q, which is no scenario", goldenFile, name)
		}
	}
}

// readGolden reads lines of a scenario's name and its digest.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open(goldenFile)
	if os.IsNotExist(err) && *update {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	golden := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, value, found := strings.Cut(lines.Text(), " ")
		if _, twice := golden[name]; !found || twice {
			t.Fatalf("%s: line %q is malformed or repeated", goldenFile, lines.Text())
		}
		golden[name] = value
	}
	return golden
}

func writeGolden(t *testing.T, got map[string]string) {
	t.Helper()
	if len(got) != len(scenarios) {
		t.Fatalf("only %d of %d scenarios ran: update with all of them", len(got), len(scenarios))
	}
	var content strings.Builder
	for _, name := range slices.Sorted(maps.Keys(got)) {
		fmt.Fprintln(&content, name, got[name])
	}
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, []byte(content.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// digest is a running SHA-256 of numbers and byte strings.
type digest struct {
	hash     hash.Hash
	buffered *bufio.Writer
}

func newDigest() *digest {
	h := sha256.New()
	return &digest{hash: h, buffered: bufio.NewWriter(h)}
}

func (d *digest) numbers(values ...int64) {
	for _, v := range values {
		d.buffered.Write(binary.BigEndian.AppendUint64(d.buffered.AvailableBuffer(), uint64(v)))
	}
}

// amounts writes each value in steps of 1e-9: the last bits of a sum may differ
// between processors, where one fuses multiplication and addition.
func (d *digest) amounts(values ...float64) {
	for _, v := range values {
		d.numbers(int64(math.Round(v * 1e9)))
	}
}

func (d *digest) flag(b bool) {
	if b {
		d.numbers(1)
	} else {
		d.numbers(0)
	}
}

// texts writes each string after its length, so that no two lists collide.
func (d *digest) texts(values ...string) {
	for _, v := range values {
		d.numbers(int64(len(v)))
		d.buffered.WriteString(v)
	}
}

func (d *digest) sum() string {
	d.buffered.Flush()
	return hex.EncodeToString(d.hash.Sum(nil))
}

// The functions from here to page turn the package's types into numbers and
// bytes; a renamed field or type is adapted here.

func (d *digest) cells(cells fleetstate.Counters) {
	d.numbers(int64(len(cells)))
	for _, v := range cells {
		d.numbers(int64(v))
	}
}

func (d *digest) entries(entries []fleetstate.CounterEntry) {
	d.numbers(int64(len(entries)))
	for _, e := range entries {
		d.texts(e.Name)
		d.numbers(e.Epoch, e.Stamp)
		d.cells(e.Counters)
	}
}

func (d *digest) message(m fleetstate.Message) {
	d.numbers(int64(m.Size()))
	d.entries(m.Counters)
	d.numbers(int64(len(m.HealthReports)), int64(len(m.LeaseRequests)), int64(len(m.LeaseGrants)))
	for _, c := range m.HealthReports {
		d.texts(c.Endpoint)
		d.numbers(int64(c.Status), c.AgeMs)
	}
	for _, a := range m.LeaseRequests {
		d.texts(a.Key)
		d.amounts(a.Wanted)
		d.numbers(int64(a.ID), a.RequestedAt)
	}
	for _, g := range m.LeaseGrants {
		d.texts(g.Key)
		d.amounts(g.Amount)
		d.numbers(int64(g.ID), g.RequestedAt, g.DurationMs)
	}
}

func (d *digest) ready(r fleetstate.Ready) {
	d.numbers(int64(len(r.Messages)))
	for _, out := range r.Messages {
		d.texts(out.To)
		d.message(out.Message)
	}
	d.numbers(int64(len(r.Events)))
	for _, e := range r.Events {
		d.texts(e.Key, e.Peer)
		d.numbers(int64(e.Kind), int64(e.Status))
		d.amounts(e.Amount)
		d.flag(e.Reason != "")
	}
}

func (d *digest) share(s fleetstate.Quota) {
	d.amounts(s.Own, s.Borrowed)
	d.numbers(s.Until)
}

func (d *digest) shares(shares map[string]fleetstate.Quota) {
	d.numbers(int64(len(shares)))
	for _, key := range slices.Sorted(maps.Keys(shares)) {
		d.texts(key)
		d.share(shares[key])
	}
}

func (d *digest) judgements(judgements []fleetstate.Ejection) {
	d.numbers(int64(len(judgements)))
	for _, j := range judgements {
		d.texts(j.Endpoint)
		d.numbers(int64(j.Status), j.Until)
		d.amounts(j.Support)
		d.flag(j.ObservedHere)
	}
}

func (d *digest) advice(a fleetstate.Advice) {
	d.numbers(int64(a.Routers), int64(len(a.SuggestedPrimaries)))
	d.shares(a.SlowStart)
	d.amounts(a.RemainingStake)
	d.share(a.RetryQuota)
	d.judgements(a.Ejections)
	for _, group := range slices.Sorted(maps.Keys(a.SuggestedPrimaries)) {
		d.numbers(int64(group))
		d.texts(a.SuggestedPrimaries[group])
	}
}

func (d *digest) amountsByName(amounts map[string]float64) {
	d.numbers(int64(len(amounts)))
	for _, name := range slices.Sorted(maps.Keys(amounts)) {
		d.texts(name)
		d.amounts(amounts[name])
	}
}

func (d *digest) hosts(hosts []fleetstate.EndpointHealth) {
	for _, h := range hosts {
		d.texts(h.Name)
		d.numbers(int64(h.Group), int64(h.Fault), h.PrimaryReportedAt, h.FaultAt, h.AnsweredSentAt, h.FreshAt, h.LastSentAt)
		for _, b := range []bool{h.Ready, h.Primary, h.Overdue, h.WarmingUp, h.RequestsQueued, h.PrimaryUnknown} {
			d.flag(b)
		}
	}
}

func (d *digest) page(p fleetstate.StatusPage) {
	d.numbers(int64(p.Routers), int64(p.RejectedCounters), int64(p.UnknownSenders))
	d.shares(p.SlowStart)
	d.amounts(p.Stake)
	d.amountsByName(p.Lent)
	d.amountsByName(p.Borrowed)
	d.amountsByName(p.Reputation)
	d.share(p.RetryQuota)
	d.cells(p.Totals)
	d.entries(p.Counters)
	d.judgements(p.Ejections)
}

// settings are short leases, claims and folds, so that a scenario of half
// a minute sees all of them end.
func settings(change func(*fleetstate.Config)) fleetstate.Config {
	config := fleetstate.Defaults()
	config.LeaseMs, config.SkewMs, config.CounterRetentionMs = 600, 300, 9000
	config.ReportTTLMs, config.GossipEjectionMs = 2000, 2500
	if change != nil {
		change(&config)
	}
	return config
}

// database is a host as it is in truth.
type database struct {
	name      string
	group     int
	primary   bool
	unlisted  bool
	cold      bool
	condition fleetstate.HealthStatus // fleetstate.Healthy where nothing is wrong with it
}

// member is one router: its node, restarted at times, and what it saw.
type member struct {
	name        string
	node        *fleetstate.Node
	running     bool
	pausedUntil int64
	lies        fleetstate.HealthStatus // what it says of every host, 0 for the truth
	hosts       []fleetstate.EndpointHealth
	counted     fleetstate.Counters
	repeats     fleetstate.RetryBudget
	guide       fleetstate.FleetAdapter
}

type flight struct {
	at       int64
	from, to int
	message  fleetstate.Message
}

const (
	stepMs    = 50 // the simulated clock's step
	adviseMs  = 250
	recordMs  = 1000
	routers   = 7
	databases = 9 // in three groups
	classes   = 3
)

// cluster carries messages between routers on one simulated clock. All of its
// randomness comes from the scenario's seed.
type cluster struct {
	t            *testing.T
	random       *rand.Rand
	digest       *digest
	config       fleetstate.Config
	now          int64
	routers      []*member
	databases    []database
	inFlight     []flight
	loss         float64
	duplication  float64
	longestDelay int64                   // ms
	tries        float64                 // chance of an attempt by one router at one host in a step
	cut          func(from, to int) bool // whether messages between two routers are lost
}

func newCluster(t *testing.T, s scenario) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(s.seed, 2)), digest: newDigest(), config: settings(s.config),
		now: 1_000_000, longestDelay: 20, tries: 0.2}
	for i := range databases {
		c.databases = append(c.databases, database{
			name:      fmt.Sprint("db-", i),
			group:     i / 3,
			primary:   i%3 == 0,
			condition: fleetstate.Healthy,
		})
	}
	for i := range routers {
		c.routers = append(c.routers, &member{name: fmt.Sprint("router-", i)})
	}
	return c
}

// boot starts router i as a new instance, which knows nothing.
func (c *cluster) boot(i int) {
	c.t.Helper()
	config, r := c.config, c.routers[i]
	config.Name, config.Start, config.Seed = r.name, c.now, c.random.Uint64()
	if err := config.Check(); err != nil {
		c.t.Fatal(err)
	}
	r.node, r.running, r.pausedUntil, r.counted = fleetstate.New(config, 4, c.now), true, 0, nil
	r.hosts = nil
	for _, d := range c.databases {
		r.hosts = append(r.hosts, fleetstate.EndpointHealth{Name: d.name, Group: d.group})
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

func (c *cluster) up(i int) bool {
	return c.routers[i].running && c.now >= c.routers[i].pausedUntil
}

// isCut tells whether messages of one router to another are lost.
func (c *cluster) isCut(from, to int) bool { return c.cut != nil && c.cut(from, to) }

// peers are the running routers that router i can hear.
func (c *cluster) peers(i int) (names []string) {
	for j, r := range c.routers {
		if j != i && r.running && !c.isCut(j, i) {
			names = append(names, r.name)
		}
	}
	return names
}

// try lets router i send an attempt to each host by chance.
func (c *cluster) try(i int) {
	r := c.routers[i]
	for j, d := range c.databases {
		h := &r.hosts[j]
		h.Ready, h.Primary, h.WarmingUp, h.RequestsQueued = !d.unlisted, d.primary, d.cold, d.cold && (i+j)%2 == 0
		h.PrimaryUnknown = !c.primaryAnswers(d.group)
		if h.Overdue && c.now-h.LastSentAt >= 800 { // no answer came to it
			h.Overdue, h.Fault, h.FaultAt = false, fleetstate.Unresponsive, c.now
		}
		if !h.Overdue && c.random.Float64() < c.tries {
			h.LastSentAt = c.now
			see(h, d, c.now)
		}
		if r.lies != 0 {
			h.Fault, h.FaultAt = r.lies, c.now
		}
	}
}

func (c *cluster) primaryAnswers(group int) bool {
	return slices.ContainsFunc(c.databases, func(d database) bool {
		return d.group == group && d.primary && d.condition == fleetstate.Healthy
	})
}

// see is what an attempt at d tells of it.
func see(h *fleetstate.EndpointHealth, d database, now int64) {
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

// observe tells node i what its router saw.
func (c *cluster) observe(i int) {
	r := c.routers[i]
	c.try(i)
	var carried fleetstate.Counters
	for kind := range len(fleetstate.CounterKindNames()) {
		carried.Add(c.random.IntN(classes), fleetstate.CounterKind(kind), c.random.Uint64N(50))
	}
	for k, v := range carried {
		r.counted.Add(k/len(fleetstate.CounterKindNames()), fleetstate.CounterKind(k%len(fleetstate.CounterKindNames())), v)
	}
	r.node.Observe(fleetstate.Observation{Counters: carried, Endpoints: r.hosts, RetryBudget: r.repeats})
}

// record hashes what an event of router i asked for, and sends its messages.
func (c *cluster) record(i int, ready fleetstate.Ready) {
	c.digest.numbers(c.now, int64(i))
	c.digest.ready(ready)
	for _, out := range ready.Messages {
		to := slices.IndexFunc(c.routers, func(r *member) bool { return r.name == out.To })
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
	c.inFlight = append(c.inFlight, flight{c.now + 1 + c.random.Int64N(c.longestDelay), from, to, m})
}

// deliver hands over the messages that are due. A paused router gets them once
// it goes on, a stopped one never.
func (c *cluster) deliver() {
	var due []flight
	c.inFlight = slices.DeleteFunc(c.inFlight, func(f flight) bool {
		if f.at > c.now || c.routers[f.to].running && c.now < c.routers[f.to].pausedUntil {
			return false
		}
		due = append(due, f)
		return true
	})
	slices.SortStableFunc(due, func(a, b flight) int { return int(a.at - b.at) })
	for _, f := range due {
		if c.up(f.to) {
			c.inject(c.routers[f.from].name, f.to, f.message)
		}
	}
}

// inject hands router to a message of any peer at once.
func (c *cluster) inject(from string, to int, m fleetstate.Message) {
	c.record(to, c.routers[to].node.Receive(from, m, c.now))
}

// run moves the clock by ms: messages arrive, routers observe and tick.
func (c *cluster) run(ms int64) {
	for end := c.now + ms; c.now < end; {
		c.now += stepMs
		c.deliver()
		for i, r := range c.routers {
			if !c.up(i) {
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

// advise hashes the advice of router i and what its guide makes of it.
func (c *cluster) advise(i int) {
	r := c.routers[i]
	advice := r.node.Advice(c.now)
	c.digest.advice(advice)
	r.guide.Set(advice, numberOf, c.now)
	for _, later := range []int64{0, 400, 1100} {
		c.digest.guide(&r.guide, c.now+later)
	}
}

// numberOf is the number of a host's name; the last host has none.
func numberOf(name string) (uint32, bool) {
	var number uint32
	if _, err := fmt.Sscanf(name, "db-%d", &number); err != nil {
		return 0, false
	}
	return number + 1, number+1 < databases
}

// guide hashes what a guide answers at a time, for each host and one unknown.
func (d *digest) guide(g *fleetstate.FleetAdapter, at int64) {
	now := time.Duration(at) * time.Millisecond
	d.numbers(int64(g.Routers()))
	d.amounts(g.RetryRate(now))
	for number := range uint32(databases + 1) {
		d.amounts(g.SlowStartRate(number, 0.75, 0.5, now))
		d.flag(g.Deprioritized(number, now))
		d.flag(g.SuggestedPrimary(number, now))
	}
}

// recordNodes hashes the totals and the page of every router.
func (c *cluster) recordNodes() {
	for i, r := range c.routers {
		if r.node != nil {
			c.digest.numbers(int64(i))
			c.digest.cells(r.node.Totals())
			c.digest.page(r.node.StatusPage(c.now))
		}
	}
}

// scenario is one seeded run of a cluster.
type scenario struct {
	name   string
	seed   uint64
	config func(*fleetstate.Config)
	script func(*cluster)
}

var scenarios = []scenario{
	{name: "calm", seed: 1, script: calm},
	{name: "every-condition", seed: 2, script: everyCondition},
	{name: "every-condition-bad-links", seed: 3, script: onBadLinks(everyCondition)},
	{name: "every-condition-few-tries", seed: 4, script: withFewTries(everyCondition)},
	{name: "liars", seed: 5, script: liars},
	{name: "liars-few-tries", seed: 6, script: withFewTries(liars)},
	{
		name:   "liars-long-names",
		seed:   29,
		config: func(c *fleetstate.Config) { c.MaxMessageBytes = 400 },
		script: withLongNames(liars),
	},
	{
		name:   "liars-most",
		seed:   7,
		config: func(c *fleetstate.Config) { c.MaxEjectedFraction, c.RequiredSupport = 0.9, 0.8 },
		script: withFewTries(liars),
	},
	{name: "cold-hosts", seed: 8, script: coldHosts},
	{name: "cold-hosts-bad-links", seed: 9, script: onBadLinks(coldHosts)},
	{name: "cold-hosts-long-skew", seed: 10, config: longSkew, script: onBadLinks(coldHosts)},
	{name: "restarts-and-folds", seed: 11, script: restartsAndFolds},
	{
		name:   "restarts-small-tables",
		seed:   12,
		config: func(c *fleetstate.Config) { c.MaxCounterEntries, c.MaxMessageBytes = 5, 400 },
		script: onBadLinks(restartsAndFolds),
	},
	{name: "splits", seed: 13, script: splits},
	{name: "retry-budget", seed: 14, script: retryBudget},
	{name: "odd-messages", seed: 15, script: oddMessages},
	{name: "forged-grants", seed: 30, script: forgedGrants},
	{name: "many-witnesses", seed: 31, script: manyWitnesses},
	{name: "many-loans", seed: 32, config: inject(faultinjection.NoLeaseWait), script: manyLoans},
	{
		name:   "many-lenders",
		seed:   33,
		config: func(c *fleetstate.Config) { c.LeaseMs, c.CounterRetentionMs, c.LendersPerTick = 60_000, 700_000, 500 },
		script: manyLenders,
	},
	{name: "guide", seed: 16, script: guideOverTime},
	{name: "shifted-clocks", seed: 17, script: shiftedClocks},
	{name: "sabotage-1", seed: 18, config: inject(faultinjection.NoLeaseWait), script: coldHosts},
	{name: "sabotage-2", seed: 19, config: inject(faultinjection.TrustOne), script: everyCondition},
	{name: "sabotage-3", seed: 20, config: inject(faultinjection.CountsBySum), script: restartsAndFolds},
	{name: "sabotage-4", seed: 21, config: inject(faultinjection.NeverExpire), script: coldHosts},
	{name: "sabotage-5", seed: 22, config: inject(faultinjection.AllUnresponsive), script: calm},
	{name: "sabotage-6", seed: 23, config: inject(faultinjection.AllHealthy), script: everyCondition},
	{name: "churn-1", seed: 24, script: churn},
	{name: "churn-2", seed: 25, config: longSkew, script: onBadLinks(churn)},
	{name: "churn-3", seed: 26, script: withFewTries(churn)},
	{name: "settings", seed: 27, script: checkSettings},
	{name: "cells-and-texts", seed: 28, script: cellsAndTexts},
}

func longSkew(c *fleetstate.Config) {
	c.LeaseMs = 600
	c.SkewMs = 1200
	c.CounterRetentionMs = 18_000
	c.MaxLentFraction = 0.8
	c.MaxBorrowedStakes = 1
	c.LendersPerTick = 2
	c.FanOut = 2
}

func inject(fault faultinjection.Fault) func(*fleetstate.Config) {
	return func(c *fleetstate.Config) { c.FaultInjection = fault }
}

func onBadLinks(script func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		c.loss, c.duplication, c.longestDelay = 0.2, 0.1, 600
		script(c)
	}
}

func withFewTries(script func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		c.tries = 0.01
		script(c)
	}
}

// withLongNames makes claims too long for one message to hold all of them.
func withLongNames(script func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		for i := range c.databases {
			c.databases[i].name += strings.Repeat("x", 90)
		}
		script(c)
	}
}

func calm(c *cluster) {
	c.bootAll()
	c.run(8000)
}

// everyCondition puts hosts into each condition, one after another, primaries
// among them, and for a while all of a group.
func everyCondition(c *cluster) {
	c.bootAll()
	c.run(3000)
	for k, condition := range []fleetstate.HealthStatus{
		fleetstate.Unresponsive,
		fleetstate.Failing,
		fleetstate.Slow,
		fleetstate.Lagging,
	} {
		for _, i := range []int{k, 4 + k, 1} {
			c.databases[i].condition = condition
		}
		c.run(2000)
		for i := range c.databases {
			c.databases[i].condition = fleetstate.Healthy
		}
		c.run(1000)
	}
	c.wholeGroup()
}

// wholeGroup fails over in one group and loses all of another.
func (c *cluster) wholeGroup() {
	c.databases[0].condition = fleetstate.Failing
	for i := 3; i < 6; i++ {
		c.databases[i].condition = fleetstate.Unresponsive
	}
	c.run(2000)
	c.databases[0].primary, c.databases[1].primary = false, true
	c.databases[8].unlisted = true
	c.databases[8].condition = fleetstate.Unresponsive
	c.run(3000)
	c.forgetLastDatabase()
	c.run(1500)
}

// forgetLastDatabase takes it off every router's list, with what was said of it.
func (c *cluster) forgetLastDatabase() {
	c.databases = c.databases[:databases-1]
	for _, r := range c.routers {
		r.hosts = r.hosts[:databases-1]
	}
}

// liars doubt hosts that are well, alone and in concert, and stop.
func liars(c *cluster) {
	c.bootAll()
	c.run(2500)
	for _, kind := range []fleetstate.HealthStatus{
		fleetstate.Unresponsive,
		fleetstate.Failing,
		fleetstate.Slow,
		fleetstate.Lagging,
	} {
		c.routers[1].lies = kind
		c.run(1500)
		c.routers[2].lies, c.routers[3].lies = kind, kind
		c.databases[2].condition = fleetstate.Unresponsive
		c.run(2000)
		c.databases[2].condition = fleetstate.Healthy
		for i := range c.routers {
			c.routers[i].lies = 0
		}
		c.run(1000)
	}
	c.run(6000)
}

// coldHosts lends and borrows shares of cold hosts, through pauses longer than
// a lease and restarts.
func coldHosts(c *cluster) {
	c.bootAll()
	c.databases[1].cold = true
	c.run(3000)
	c.databases[5].cold = true
	c.run(3000)
	c.pause(0, 2500)
	c.pause(2, 700)
	c.run(3500)
	c.boot(3)
	c.kill(4)
	c.run(3000)
	c.databases[1].cold = false
	c.run(2500)
	c.databases[8].cold = true
	c.run(3000)
}

// restartsAndFolds lets counters of stopped routers and of earlier instances
// get old, and silences one router for longer than half of the fold's time.
func restartsAndFolds(c *cluster) {
	c.bootAll()
	c.run(2000)
	c.kill(1)
	c.boot(2)
	c.run(4000)
	c.boot(2)
	c.boot(1)
	c.kill(5)
	c.run(c.config.CounterRetentionMs + 1000)
	c.cut = func(from, to int) bool { return from == 0 || to == 0 }
	c.run(c.config.CounterRetentionMs/2 + 2000)
	c.cut = nil
	c.run(3000)
	c.pause(3, c.config.CounterRetentionMs+500)
	c.run(c.config.CounterRetentionMs + 4000)
}

// splits cut the fleet in two, whose sizes fall late, and heal it.
func splits(c *cluster) {
	c.databases[4].cold = true
	c.bootAll()
	c.run(3000)
	c.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
	c.databases[1].condition = fleetstate.Unresponsive
	c.run(c.config.CounterRetentionMs + 2000)
	c.cut = nil
	c.run(4000)
	c.cut = func(from, to int) bool { return from == 6 }
	c.run(3000)
}

// retryBudget gives some routers repeats to spare and lets others want them.
func retryBudget(c *cluster) {
	c.bootAll()
	for round := range 8 {
		for i, r := range c.routers {
			r.repeats = fleetstate.RetryBudget{
				EarnedPerSecond: 0.5 * float64(i),
				Surplus:         (i+round)%3 == 0,
				Depleted:        (i+round)%3 == 1,
			}
		}
		c.run(1500)
	}
	c.pause(2, 4000)
	c.run(6000)
}

// oddMessages sends what no router in order sends.
func oddMessages(c *cluster) {
	c.databases[1].cold = true
	c.bootAll()
	c.run(2500)
	peer, host := c.routers[1].name, c.databases[1].name
	for _, m := range []fleetstate.Message{
		{
			Counters: []fleetstate.CounterEntry{
				{},
				{Name: "x", Counters: make(fleetstate.Counters, 1000)},
				{Name: "x", Epoch: 1, Stamp: 1, Counters: fleetstate.Counters{1}},
			},
		},
		{
			Counters: []fleetstate.CounterEntry{
				{Name: "y", Epoch: 1, Stamp: c.now + 1_000_000, Counters: fleetstate.Counters{300, 70_000, 1 << 33, 5}},
			},
		},
		{
			Counters: []fleetstate.CounterEntry{
				{Name: "y", Epoch: 1, Stamp: c.now + 2_000_000, Counters: fleetstate.Counters{1, 80_000}},
			},
		},
		{
			Counters: []fleetstate.CounterEntry{
				{Name: c.routers[0].name, Epoch: 1_000_000, Stamp: c.now, Counters: fleetstate.Counters{1 << 40}},
			},
		},
		{
			HealthReports: []fleetstate.HealthReport{
				{Endpoint: "unknown", Status: fleetstate.Unresponsive},
				{Endpoint: host},
				{Endpoint: host, Status: 200},
				{Endpoint: host, Status: fleetstate.Unresponsive, AgeMs: -1},
				{Endpoint: host, Status: fleetstate.Unresponsive, AgeMs: 1 << 40},
			},
		},
		{
			HealthReports: []fleetstate.HealthReport{
				{Endpoint: host, Status: fleetstate.Unresponsive, AgeMs: 10},
				{Endpoint: host, Status: fleetstate.Unresponsive, AgeMs: 500},
				{Endpoint: host, Status: fleetstate.Primary},
				{Endpoint: host, Status: fleetstate.Healthy},
			},
		},
		{
			LeaseRequests: []fleetstate.LeaseRequest{
				{Key: "unknown", ID: 1, Wanted: 1, RequestedAt: c.now},
				{Key: host, ID: 2, Wanted: 0, RequestedAt: c.now},
				{Key: host, ID: 3, Wanted: -1, RequestedAt: c.now},
				{Key: host, ID: 4, Wanted: math.NaN(), RequestedAt: c.now},
			},
		},
		{
			LeaseRequests: []fleetstate.LeaseRequest{
				{Key: host, ID: 5, Wanted: 0.01, RequestedAt: c.now},
				{Key: host, ID: 5, Wanted: 0.01, RequestedAt: c.now},
				{Key: host, ID: 6, Wanted: 100, RequestedAt: c.now},
				{Key: host, ID: 7, Wanted: 100, RequestedAt: c.now},
			},
		},
		{
			LeaseGrants: []fleetstate.LeaseGrant{
				{Key: host, ID: 1, Amount: 0.5, RequestedAt: c.now, DurationMs: 1000},
				{Key: "unknown", ID: 1, Amount: -1, DurationMs: 1 << 40},
			},
		},
	} {
		c.inject(peer, 0, m)
		c.inject("stranger", 0, m)
		c.run(300)
	}
	c.flood(peer)
	c.run(5000)
}

// flood tells of many routers and asks for shares without end.
func (c *cluster) flood(peer string) {
	for i := range 300 {
		m := fleetstate.Message{
			Counters: []fleetstate.CounterEntry{
				{
					Name:     fmt.Sprint("invented-", i),
					Epoch:    int64(i),
					Stamp:    c.now - int64(i),
					Counters: fleetstate.Counters{1, uint64(i)},
				},
			},
		}
		for k := range 20 { // more answers than one message holds
			m.LeaseRequests = append(m.LeaseRequests, fleetstate.LeaseRequest{
				Key:         c.databases[k%databases].name,
				ID:          uint64(1000*i + k),
				Wanted:      0.002,
				RequestedAt: c.now,
			})
		}
		c.inject(peer, 3, m)
	}
}

// forgedGrants answers asks with grants that were not asked for so: of another
// number, another time, another peer, and twice.
func forgedGrants(c *cluster) {
	c.databases[2].cold = true // router 0 needs it
	c.bootAll()
	for range 60 {
		c.run(stepMs)
		for _, f := range slices.Clone(c.inFlight) {
			if f.from == 0 && len(f.message.LeaseRequests) > 0 {
				c.forge(f.message.LeaseRequests[0], f.to)
			}
		}
	}
}

// forge sends router 0 grants for an ask to lender, the true one last.
func (c *cluster) forge(ask fleetstate.LeaseRequest, lender int) {
	for k := range 7 {
		g := fleetstate.LeaseGrant{
			Key:         ask.Key,
			ID:          ask.ID,
			Amount:      ask.Wanted / 16,
			RequestedAt: ask.RequestedAt,
			DurationMs:  400,
		}
		from := c.routers[lender].name
		switch k {
		case 0:
			g.ID++
		case 1:
			g.RequestedAt--
		case 2:
			from = c.routers[1+lender%(routers-1)].name
		case 3:
			g.Amount = 0
		case 4:
			g.DurationMs = -1000
		}
		c.inject(from, 0, fleetstate.Message{LeaseGrants: []fleetstate.LeaseGrant{g}})
		c.digest.page(c.routers[0].node.StatusPage(c.now))
	}
}

// manyPeers gives router 0 more peers than it keeps witnesses or loans of.
func (c *cluster) manyPeers() (names []string) {
	c.boot(0)
	c.run(2000)
	for i := range 4200 {
		names = append(names, fmt.Sprint("peer-", i))
	}
	c.routers[0].node.SetView(names, len(names)+1, c.now)
	return names
}

// manyWitnesses lets more peers doubt a host than are kept.
func manyWitnesses(c *cluster) {
	for i, peer := range c.manyPeers() {
		c.inject(peer, 0, fleetstate.Message{
			HealthReports: []fleetstate.HealthReport{
				{Endpoint: c.databases[4].name, Status: fleetstate.Slow, AgeMs: int64(i % 50)},
			},
		})
	}
	c.advise(0)
	c.run(1000)
}

// manyLoans asks for more loans of one budget than are kept.
func manyLoans(c *cluster) {
	peer := c.manyPeers()[0]
	for i := range 4200 {
		c.inject(peer, 0, fleetstate.Message{
			LeaseRequests: []fleetstate.LeaseRequest{{Key: c.databases[4].name, ID: uint64(i), Wanted: 1, RequestedAt: c.now}},
		})
	}
	c.advise(0)
	c.run(1500)
}

// manyLenders grants more loans of one budget than are kept, each of next to
// nothing.
func manyLenders(c *cluster) {
	c.databases[2].cold = true // router 0 needs it
	c.manyPeers()
	node := c.routers[0].node
	for range 11 {
		c.now += c.config.TickMs
		ready := node.Tick(c.now)
		c.record(0, ready)
		for _, out := range ready.Messages {
			for _, ask := range out.Message.LeaseRequests {
				c.inject(out.To, 0, fleetstate.Message{
					LeaseGrants: []fleetstate.LeaseGrant{
						{Key: ask.Key, ID: ask.ID, Amount: 1e-8, RequestedAt: ask.RequestedAt, DurationMs: 60_000},
					},
				})
			}
		}
	}
	c.advise(0)
	c.run(500)
}

// guideOverTime asks guides at many moments before and after what they were
// told ends.
func guideOverTime(c *cluster) {
	guide := &fleetstate.FleetAdapter{}
	c.digest.guide(guide, c.now)
	guide.SetRouters(12)
	c.digest.guide(guide, c.now)
	for range 200 {
		guide.Set(c.randomAdvice(), numberOf, c.now)
		for range 12 {
			c.digest.guide(guide, c.now+c.random.Int64N(3000)-500)
		}
		c.now += c.random.Int64N(2000)
	}
	guide.Set(fleetstate.Advice{}, numberOf, c.now)
	c.digest.guide(guide, c.now)
	guide.SetRouters(3)
	c.digest.guide(guide, c.now)
}

// randomAdvice ends within three seconds of now, or not at all.
func (c *cluster) randomAdvice() fleetstate.Advice {
	share := func() fleetstate.Quota {
		s := fleetstate.Quota{Own: c.random.Float64(), Borrowed: c.random.Float64(), Until: c.now + c.random.Int64N(3000)}
		if c.random.IntN(4) == 0 {
			s.Until = math.MaxInt64
		}
		return s
	}
	a := fleetstate.Advice{Routers: c.random.IntN(9), RemainingStake: c.random.Float64(), RetryQuota: share(),
		SlowStart: map[string]fleetstate.Quota{}, SuggestedPrimaries: map[int]string{}}
	for _, d := range c.databases {
		switch c.random.IntN(4) {
		case 0:
			a.SlowStart[d.name] = share()
		case 1:
			a.Ejections = append(a.Ejections, fleetstate.Ejection{
				Endpoint: d.name,
				Status:   fleetstate.Unresponsive,
				Until:    share().Until,
			})
		case 2:
			a.SuggestedPrimaries[d.group] = d.name
		}
	}
	return a
}

// shiftedClocks moves what was seen and advised to other clocks.
func shiftedClocks(c *cluster) {
	c.databases[1].cold = true
	c.databases[2].condition = fleetstate.Unresponsive
	c.bootAll()
	c.run(4000)
	for _, ms := range []int64{0, 1, -500_000, 1 << 40} {
		for _, r := range c.routers {
			advice := r.node.Advice(c.now)
			c.digest.advice(advice.OnClockAhead(ms))
			c.digest.advice(advice)
			seen := fleetstate.Observation{Endpoints: r.hosts, RetryBudget: r.repeats, Counters: r.counted}
			c.digest.hosts(seen.OnClockAhead(ms).Endpoints)
			c.digest.hosts(seen.Endpoints)
			c.digest.cells(seen.OnClockAhead(ms).Counters)
		}
	}
}

// churn lets the seed choose what befalls routers and hosts.
func churn(c *cluster) {
	c.bootAll()
	c.run(2000)
	for range 50 {
		c.mishap(c.random.IntN(len(c.routers)), &c.databases[c.random.IntN(len(c.databases))])
		c.run(100 + 50*c.random.Int64N(15))
	}
	c.cut = nil
	c.run(3000)
}

func (c *cluster) mishap(i int, d *database) {
	r := c.routers[i]
	switch c.random.IntN(10) {
	case 0:
		c.kill(i)
	case 1:
		c.boot(i)
	case 2:
		c.pause(i, 200+c.random.Int64N(3000))
	case 3:
		c.cut = func(from, to int) bool { return (from < i) != (to < i) }
	case 4:
		c.cut = nil
	case 5:
		d.condition = fleetstate.Healthy + fleetstate.HealthStatus(c.random.IntN(5))
	case 6:
		d.condition, d.unlisted = fleetstate.Healthy, c.random.IntN(5) == 0
	case 7:
		d.cold = !d.cold
	case 8:
		r.lies = fleetstate.HealthStatus(max(0, c.random.IntN(10)-4))
	case 9:
		r.repeats = fleetstate.RetryBudget{
			EarnedPerSecond: c.random.Float64(),
			Surplus:         c.random.IntN(2) == 0,
			Depleted:        c.random.IntN(2) == 0,
		}
	}
}

// checkSettings hashes which settings are accepted.
func checkSettings(c *cluster) {
	for _, change := range []func(*fleetstate.Config){
		func(c *fleetstate.Config) {},
		func(c *fleetstate.Config) { c.Name = "" },
		func(c *fleetstate.Config) { c.Name = strings.Repeat("a", 128) },
		func(c *fleetstate.Config) { c.Name = strings.Repeat("a", 129) },
		func(c *fleetstate.Config) { c.TickMs = 0 },
		func(c *fleetstate.Config) { c.CounterIntervalMs = c.TickMs - 1 },
		func(c *fleetstate.Config) { c.LeaseMs = 2*c.TickMs - 1 },
		func(c *fleetstate.Config) { c.SkewMs = -1 },
		func(c *fleetstate.Config) { c.MaxLentFraction = -0.1 },
		func(c *fleetstate.Config) { c.MaxLentFraction = 1 },
		func(c *fleetstate.Config) { c.MaxBorrowedStakes = -1 },
		func(c *fleetstate.Config) { c.LendersPerTick = -1 },
		func(c *fleetstate.Config) { c.CounterRetentionMs = 10*(c.LeaseMs+c.SkewMs) - 1 },
		func(c *fleetstate.Config) { c.MaxCounterEntries = 0 },
		func(c *fleetstate.Config) { c.ReportTTLMs = 0 },
		func(c *fleetstate.Config) { c.EjectionMs = c.TickMs - 1 },
		func(c *fleetstate.Config) { c.GossipEjectionMs = c.EjectionMs - 1 },
		func(c *fleetstate.Config) { c.FanOut = 0 },
		func(c *fleetstate.Config) { c.MaxEjectedFraction = -0.1 },
		func(c *fleetstate.Config) { c.MaxEjectedFraction = 1 },
		func(c *fleetstate.Config) { c.RequiredSupport = 0 },
		func(c *fleetstate.Config) { c.MaxMessageBytes = 399 },
	} {
		config := fleetstate.Defaults()
		config.Name = "a"
		change(&config)
		c.digest.flag(config.Check() == nil)
	}
	_, err := faultinjection.Parse("unknown")
	c.digest.flag(err == nil)
}

// cellsAndTexts reads and counts at the bounds of the cells, and reads each
// kind of claim back from its text; the number alone is hashed.
func cellsAndTexts(c *cluster) {
	var cells fleetstate.Counters
	for _, class := range []int{-1, 0, 2, 63, 64} {
		cells.Add(class, fleetstate.CounterKind(1), 7)
		c.digest.cells(cells)
	}
	for _, class := range []int{0, 1, 63, 64, 1000} {
		c.digest.numbers(int64(cells.Get(class, fleetstate.CounterKind(1))))
	}
	for kind := fleetstate.Healthy; kind <= fleetstate.Primary; kind++ {
		text, err := kind.MarshalText()
		var back fleetstate.HealthStatus
		if err == nil {
			err = back.UnmarshalText(text)
		}
		c.digest.flag(err == nil)
		c.digest.numbers(int64(back))
	}
	unknown := fleetstate.Healthy
	c.digest.flag(unknown.UnmarshalText([]byte("no claim has this text")) == nil)
	for event := fleetstate.LeaseGranted; event <= fleetstate.ReportRefuted; event++ {
		c.digest.flag(event.String() != "")
	}
}
