package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// net is a deterministic network of members in memory: one clock, packets
// delayed, lost, cut or held by the seed, processes killed, paused and
// restarted. It plays what the drill does with processes, at any size.
type net struct {
	t       testing.TB
	rng     *rand.Rand
	now     int64
	step    int64
	cfg     Config
	procs   []*proc
	byAddr  map[string]*proc
	flights []flight
	loss    float64
	delay   [2]int64                  // ms, drawn between
	cut     func(from, to *proc) bool // a packet from to to is lost
	late    map[string]int64          // ms added to what a member sends
	bytes   uint64

	quiet             bool // no log lines: the sabotage tests expect failures
	falseDead, ghosts int
	deadAt            map[string]int64 // name -> when some running member first took it for dead
}

type proc struct {
	node    *Node
	name    string
	addr    string
	zone    string
	running bool
	paused  int64 // until then, SIGSTOP: it neither hears nor ticks
	killed  int64
}

type flight struct {
	at       int64
	from, to string
	msg      Message
}

func newNet(t testing.TB, seed uint64, count int, zones int) *net {
	cfg := Defaults()
	w := &net{t: t, rng: rand.New(rand.NewPCG(seed, 7)), step: 10, cfg: cfg, byAddr: map[string]*proc{},
		delay: [2]int64{1, 5}, late: map[string]int64{}, deadAt: map[string]int64{}}
	for i := range count {
		p := &proc{name: fmt.Sprintf("r%04d", i), addr: fmt.Sprintf("127.0.0.%d:%d", 1+i/250, 7000+i), zone: fmt.Sprintf("z%d", i%max(1, zones))}
		w.procs = append(w.procs, p)
		w.byAddr[p.addr] = p
	}
	return w
}

// boot starts p as a new process: a new Start, nothing remembered.
func (w *net) boot(p *proc, seeds []string) {
	c := w.cfg
	c.Name, c.Addr, c.Zone, c.Start, c.Seed = p.name, p.addr, p.zone, w.now, w.rng.Uint64()
	if err := c.Check(); err != nil {
		w.t.Fatal(err)
	}
	p.node, p.running, p.paused = New(c, w.now), true, 0
	w.take(p, p.node.Join(seeds, w.now))
}

func (w *net) kill(p *proc) { p.running, p.killed = false, w.now }

func (w *net) up(p *proc) bool { return p.running && w.now >= p.paused }

// take carries what a member asked for and judges its changes.
func (w *net) take(p *proc, r Ready) {
	for _, c := range r.Changes {
		w.judge(p, c)
	}
	for _, pk := range r.Packets {
		w.bytes += uint64(pk.Message.size())
		to := w.byAddr[pk.To]
		if to == nil || w.rng.Float64() < w.loss || w.cut != nil && w.cut(p, to) {
			continue
		}
		d := w.delay[0] + w.rng.Int64N(w.delay[1]-w.delay[0]+1) + w.late[p.name]
		w.flights = append(w.flights, flight{at: w.now + d, from: p.addr, to: pk.To, msg: pk.Message})
	}
}

// judge counts a death of a member that runs, can be reached and is not
// paused (false_dead), and a return to life without a higher incarnation or
// a restart (a ghost).
func (w *net) judge(p *proc, c Change) {
	if c.Kind != Changed {
		return
	}
	subject := w.find(c.Member.Name)
	if c.Member.State == Dead && subject != nil && w.up(subject) && subject.node.self.Start == c.Member.Start &&
		(w.cut == nil || !w.cut(p, subject) && !w.cut(subject, p)) {
		w.falseDead++
		w.logf("%d ms: %s took %s for dead while it ran", w.now, p.name, c.Member.Name)
	}
	if c.Member.State == Alive && c.Previous >= Dead && subject != nil && (!subject.running || subject.node.self.Start != c.Member.Start) {
		w.ghosts++
		w.logf("%d ms: %s took %s for alive again, which does not run", w.now, p.name, c.Member.Name)
	}
	if c.Member.State == Dead {
		if _, ok := w.deadAt[c.Member.Name]; !ok {
			w.deadAt[c.Member.Name] = w.now
		}
	}
}

func (w *net) find(name string) *proc {
	for _, p := range w.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

// run moves the clock by ms: packets arrive, members tick.
func (w *net) run(ms int64) {
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
			if to := w.byAddr[f.to]; to.running && w.up(to) {
				w.take(to, to.node.Receive(f.from, f.msg, w.now))
			}
		}
		for _, p := range w.procs {
			if w.up(p) {
				w.take(p, p.node.Tick(w.now))
			}
		}
	}
}

// settled reports whether every running member holds every running one
// alive and no stopped one alive or suspect, or, with right set, whatever
// right says of the pair.
func (w *net) settled(right func(viewer, subject *proc) bool) bool {
	for _, v := range w.procs {
		if !w.up(v) {
			continue
		}
		held := map[string]Update{}
		for _, e := range v.node.members {
			held[e.Name] = e.Update
		}
		for _, s := range w.procs {
			if s == v {
				continue
			}
			r, ok := held[s.name]
			alive := ok && r.State <= Suspect && r.Start == s.node.self.Start // a suspect is still a member
			want := s.running
			if right != nil {
				want = right(v, s)
			}
			if alive != want {
				return false
			}
		}
	}
	return true
}

func (w *net) logf(format string, args ...any) {
	if !w.quiet {
		w.t.Logf(format, args...)
	}
}

// settles runs until settled, at most limit ms, and says whether it did.
func (w *net) settles(limit int64) bool {
	for from := w.now; w.now-from < limit; w.run(50) {
		if w.settled(nil) {
			return true
		}
	}
	return false
}

// settle runs until settled, at most limit ms, and says how long it took.
func (w *net) settle(limit int64, right func(viewer, subject *proc) bool) int64 {
	from := w.now
	for w.now-from < limit {
		if w.settled(right) {
			return w.now - from
		}
		w.run(50)
	}
	w.t.Fatalf("no settled view within %d ms", limit)
	return limit
}

// start boots count members, all joining through the first.
func (w *net) start() {
	w.boot(w.procs[0], nil)
	for _, p := range w.procs[1:] {
		w.boot(p, []string{w.procs[0].addr})
	}
}
