package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation is a deterministic network of members in memory with one clock.
// Packets are delayed and lost at random, links fail, and processes are killed,
// paused and restarted. The seed determines all random choices.
type simulation struct {
	t            testing.TB
	rng          *rand.Rand
	now          int64 // ms
	step         int64 // ms
	cfg          Config
	processes    []*process
	byAddress    map[string]*process
	inFlight     []inFlightPacket
	loss         float64
	delay        [2]int64                     // ms, minimum and maximum of the random delay of a packet
	linkDown     func(from, to *process) bool // whether a link loses all packets, nil for none
	extraDelayMs map[string]int64             // additional delay of the packets from a member, by name
	bytes        uint64                       // sent by all members

	quiet          bool             // no log lines, for tests that expect failures
	falseDeaths    int              // times that a running, reachable member was declared dead
	resurrected    int              // times that a stopped member was believed alive again
	declaredDeadAt map[string]int64 // ms, when a member was first declared dead, by name
}

// process is a member of the simulation. A restarted process has a new node.
type process struct {
	node        *Node
	name        string
	addr        string
	zone        string
	running     bool
	pausedUntil int64 // ms; a paused process neither receives nor ticks, as after SIGSTOP
	killedAt    int64 // ms
}

// inFlightPacket is a packet that has not arrived yet.
type inFlightPacket struct {
	at      int64  // ms, the time of arrival
	from    string // an address
	to      string // an address
	message Message
}

// newSimulation returns count stopped processes, assigned to the zones in turn.
func newSimulation(t testing.TB, seed uint64, count int, zones int) *simulation {
	cfg := Defaults()
	sim := &simulation{
		t:              t,
		rng:            rand.New(rand.NewPCG(seed, 7)),
		step:           10,
		cfg:            cfg,
		byAddress:      map[string]*process{},
		delay:          [2]int64{1, 5},
		extraDelayMs:   map[string]int64{},
		declaredDeadAt: map[string]int64{},
	}
	for i := range count {
		p := &process{
			name: fmt.Sprintf("r%04d", i),
			addr: fmt.Sprintf("127.0.0.%d:%d", 1+i/250, 7000+i),
			zone: fmt.Sprintf("z%d", i%max(1, zones)),
		}
		sim.processes = append(sim.processes, p)
		sim.byAddress[p.addr] = p
	}
	return sim
}

// boot starts p as a new instance, which has a new Start and an empty view.
func (sim *simulation) boot(p *process, seeds []string) {
	c := sim.cfg
	c.Name = p.name
	c.Addr = p.addr
	c.Zone = p.zone
	c.Start = sim.now
	c.Seed = sim.rng.Uint64()
	if err := c.Check(); err != nil {
		sim.t.Fatal(err)
	}
	p.node = New(c, sim.now)
	p.running = true
	p.pausedUntil = 0
	sim.execute(p, p.node.Join(seeds, sim.now))
}

func (sim *simulation) kill(p *process) {
	p.running = false
	p.killedAt = sim.now
}

// isUp reports whether a process is running and not paused.
func (sim *simulation) isUp(p *process) bool { return p.running && sim.now >= p.pausedUntil }

// execute sends the packets and checks the changes in the result of an event.
func (sim *simulation) execute(p *process, r Ready) {
	for _, c := range r.Changes {
		sim.checkChange(p, c)
	}
	for _, packet := range r.Packets {
		sim.bytes += uint64(packet.Message.size())
		to := sim.byAddress[packet.To]
		if to == nil || sim.rng.Float64() < sim.loss || sim.linkDown != nil && sim.linkDown(p, to) {
			continue
		}
		delayMs := sim.delay[0] + sim.rng.Int64N(sim.delay[1]-sim.delay[0]+1) + sim.extraDelayMs[p.name]
		sim.inFlight = append(sim.inFlight,
			inFlightPacket{at: sim.now + delayMs, from: p.addr, to: packet.To, message: packet.Message})
	}
}

// checkChange counts a false death if a process that is up and reachable is
// declared dead, and a resurrected member if an instance that does not run is
// believed alive again.
func (sim *simulation) checkChange(p *process, c Change) {
	if c.Kind != Changed {
		return
	}
	subject := sim.find(c.Member.Name)
	if c.Member.State == Dead && subject != nil && sim.isUp(subject) && subject.node.self.Start == c.Member.Start &&
		(sim.linkDown == nil || !sim.linkDown(p, subject) && !sim.linkDown(subject, p)) {
		sim.falseDeaths++
		sim.logf("%d ms: %s declared the running member %s dead", sim.now, p.name, c.Member.Name)
	}
	if c.Member.State == Alive && c.Previous >= Dead && subject != nil &&
		(!subject.running || subject.node.self.Start != c.Member.Start) {
		sim.resurrected++
		sim.logf("%d ms: %s believes the stopped member %s alive again", sim.now, p.name, c.Member.Name)
	}
	if c.Member.State == Dead {
		if _, ok := sim.declaredDeadAt[c.Member.Name]; !ok {
			sim.declaredDeadAt[c.Member.Name] = sim.now
		}
	}
}

func (sim *simulation) find(name string) *process {
	for _, p := range sim.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// run advances the clock by ms in steps. In each step the due packets arrive and
// the members tick.
func (sim *simulation) run(ms int64) {
	for end := sim.now + ms; sim.now < end; {
		sim.now += sim.step
		due := sim.inFlight[:0:0]
		keep := sim.inFlight[:0]
		for _, f := range sim.inFlight {
			if f.at <= sim.now {
				due = append(due, f)
			} else {
				keep = append(keep, f)
			}
		}
		sim.inFlight = keep
		slices.SortStableFunc(due, func(a, b inFlightPacket) int { return int(a.at - b.at) })
		for _, f := range due {
			if to := sim.byAddress[f.to]; to.running && sim.isUp(to) {
				sim.execute(to, to.node.Receive(f.from, f.message, sim.now))
			}
		}
		for _, p := range sim.processes {
			if sim.isUp(p) {
				sim.execute(p, p.node.Tick(sim.now))
			}
		}
	}
}

// settled reports whether every member that is up believes exactly the running
// members, paused ones included, alive or suspect. If expected is not nil, it
// returns instead which members a member must believe alive or suspect.
func (sim *simulation) settled(expected func(viewer, subject *process) bool) bool {
	for _, v := range sim.processes {
		if !sim.isUp(v) {
			continue
		}
		view := map[string]Update{}
		for _, e := range v.node.members {
			view[e.Name] = e.Update
		}
		for _, s := range sim.processes {
			if s == v {
				continue
			}
			update, ok := view[s.name]
			alive := ok && update.State <= Suspect && update.Start == s.node.self.Start // a suspect is still a member
			want := s.running
			if expected != nil {
				want = expected(v, s)
			}
			if alive != want {
				return false
			}
		}
	}
	return true
}

// logf logs a line unless the simulation is quiet.
func (sim *simulation) logf(format string, args ...any) {
	if !sim.quiet {
		sim.t.Logf(format, args...)
	}
}

// settles runs the simulation until it is settled, for at most limit ms, and
// reports whether it is.
func (sim *simulation) settles(limit int64) bool {
	for from := sim.now; sim.now-from < limit; sim.run(50) {
		if sim.settled(nil) {
			return true
		}
	}
	return false
}

// settle runs the simulation until it is settled and returns the time that took in
// ms. It fails the test after limit ms.
func (sim *simulation) settle(limit int64, expected func(viewer, subject *process) bool) int64 {
	from := sim.now
	for sim.now-from < limit {
		if sim.settled(expected) {
			return sim.now - from
		}
		sim.run(50)
	}
	sim.t.Fatalf("the views did not settle within %d ms", limit)
	return limit
}

// start boots all processes, which join through the first.
func (sim *simulation) start() {
	sim.boot(sim.processes[0], nil)
	for _, p := range sim.processes[1:] {
		sim.boot(p, []string{sim.processes[0].addr})
	}
}
