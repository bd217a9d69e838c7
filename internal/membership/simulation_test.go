package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation is a deterministic network of members in memory: one clock, packets
// delayed, lost or cut by the seed, processes killed, paused and restarted. It
// does what the drill does with processes, at any size.
type simulation struct {
	t         testing.TB
	rng       *rand.Rand
	now       int64 // ms
	step      int64 // ms
	cfg       Config
	processes []*process
	byAddress map[string]*process
	flights   []flight
	loss      float64
	delay     [2]int64                     // ms, drawn between
	cut       func(from, to *process) bool // whether a packet is lost
	late      map[string]int64             // ms added to what a member sends
	bytes     uint64                       // sent by all members

	quiet     bool             // no log lines: the tests of disabled guards expect failures
	falseDead int              // running, reachable members declared dead
	ghosts    int              // stopped members believed alive again
	deadAt    map[string]int64 // by name, ms: when a running member first declared it dead
}

type process struct {
	node    *Node
	name    string
	addr    string
	zone    string
	running bool
	paused  int64 // ms, until then as by SIGSTOP: it neither receives nor ticks
	killed  int64 // ms
}

type flight struct {
	at      int64  // ms
	from    string // an address
	to      string // an address
	message Message
}

func newSimulation(t testing.TB, seed uint64, count int, zones int) *simulation {
	cfg := Defaults()
	w := &simulation{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		step:      10,
		cfg:       cfg,
		byAddress: map[string]*process{},
		delay:     [2]int64{1, 5},
		late:      map[string]int64{},
		deadAt:    map[string]int64{},
	}
	for i := range count {
		p := &process{
			name: fmt.Sprintf("r%04d", i),
			addr: fmt.Sprintf("127.0.0.%d:%d", 1+i/250, 7000+i),
			zone: fmt.Sprintf("z%d", i%max(1, zones)),
		}
		w.processes = append(w.processes, p)
		w.byAddress[p.addr] = p
	}
	return w
}

// boot starts p as a new process: a new Start and an empty view.
func (w *simulation) boot(p *process, seeds []string) {
	c := w.cfg
	c.Name = p.name
	c.Addr = p.addr
	c.Zone = p.zone
	c.Start = w.now
	c.Seed = w.rng.Uint64()
	if err := c.Check(); err != nil {
		w.t.Fatal(err)
	}
	p.node = New(c, w.now)
	p.running = true
	p.paused = 0
	w.execute(p, p.node.Join(seeds, w.now))
}

func (w *simulation) kill(p *process) {
	p.running = false
	p.killed = w.now
}

func (w *simulation) up(p *process) bool { return p.running && w.now >= p.paused }

// execute sends the packets that an event requires and checks its changes.
func (w *simulation) execute(p *process, r Ready) {
	for _, c := range r.Changes {
		w.checkChange(p, c)
	}
	for _, pk := range r.Packets {
		w.bytes += uint64(pk.Message.size())
		to := w.byAddress[pk.To]
		if to == nil || w.rng.Float64() < w.loss || w.cut != nil && w.cut(p, to) {
			continue
		}
		d := w.delay[0] + w.rng.Int64N(w.delay[1]-w.delay[0]+1) + w.late[p.name]
		w.flights = append(w.flights, flight{at: w.now + d, from: p.addr, to: pk.To, message: pk.Message})
	}
}

// checkChange counts the death of a member that runs, can be reached and is not
// paused (falseDead), and the return of one that does not run (a ghost).
func (w *simulation) checkChange(p *process, c Change) {
	if c.Kind != Changed {
		return
	}
	subject := w.find(c.Member.Name)
	if c.Member.State == Dead && subject != nil && w.up(subject) && subject.node.self.Start == c.Member.Start &&
		(w.cut == nil || !w.cut(p, subject) && !w.cut(subject, p)) {
		w.falseDead++
		w.logf("%d ms: %s declared %s dead while it ran", w.now, p.name, c.Member.Name)
	}
	if c.Member.State == Alive && c.Previous >= Dead && subject != nil &&
		(!subject.running || subject.node.self.Start != c.Member.Start) {
		w.ghosts++
		w.logf("%d ms: %s believes %s alive again, which does not run", w.now, p.name, c.Member.Name)
	}
	if c.Member.State == Dead {
		if _, ok := w.deadAt[c.Member.Name]; !ok {
			w.deadAt[c.Member.Name] = w.now
		}
	}
}

func (w *simulation) find(name string) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// run moves the clock by ms: packets arrive, members tick.
func (w *simulation) run(ms int64) {
	for end := w.now + ms; w.now < end; {
		w.now += w.step
		due := w.flights[:0:0]
		keep := w.flights[:0]
		for _, f := range w.flights {
			if f.at <= w.now {
				due = append(due, f)
			} else {
				keep = append(keep, f)
			}
		}
		w.flights = keep
		slices.SortStableFunc(due, func(a, b flight) int { return int(a.at - b.at) })
		for _, f := range due {
			if to := w.byAddress[f.to]; to.running && w.up(to) {
				w.execute(to, to.node.Receive(f.from, f.message, w.now))
			}
		}
		for _, p := range w.processes {
			if w.up(p) {
				w.execute(p, p.node.Tick(w.now))
			}
		}
	}
}

// settled reports whether every running member believes every running one alive
// or suspect and no stopped one, or, with expected set, what that returns for the
// pair.
func (w *simulation) settled(expected func(viewer, subject *process) bool) bool {
	for _, v := range w.processes {
		if !w.up(v) {
			continue
		}
		view := map[string]Update{}
		for _, e := range v.node.members {
			view[e.Name] = e.Update
		}
		for _, s := range w.processes {
			if s == v {
				continue
			}
			r, ok := view[s.name]
			alive := ok && r.State <= Suspect && r.Start == s.node.self.Start // a suspect is still a member
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

func (w *simulation) logf(format string, args ...any) {
	if !w.quiet {
		w.t.Logf(format, args...)
	}
}

// settles runs until settled, at most limit ms, and reports whether it did.
func (w *simulation) settles(limit int64) bool {
	for from := w.now; w.now-from < limit; w.run(50) {
		if w.settled(nil) {
			return true
		}
	}
	return false
}

// settle runs until settled, at most limit ms, and returns how long it took.
func (w *simulation) settle(limit int64, expected func(viewer, subject *process) bool) int64 {
	from := w.now
	for w.now-from < limit {
		if w.settled(expected) {
			return w.now - from
		}
		w.run(50)
	}
	w.t.Fatalf("no settled view within %d ms", limit)
	return limit
}

// start boots count members, all joining through the first.
func (w *simulation) start() {
	w.boot(w.processes[0], nil)
	for _, p := range w.processes[1:] {
		w.boot(p, []string{w.processes[0].addr})
	}
}
