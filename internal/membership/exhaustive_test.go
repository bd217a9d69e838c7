package membership

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"lotusbend/internal/membership/faultinjection"
)

// The exhaustive check: three members that have met, then every sequence of
// choices to a stated depth, then calm. A choice is one of: the clock moves
// by half a probe timeout and every running member ticks; one of the oldest
// packets in flight (the window) is delivered now, ahead of the others; one
// of them is lost; one member crashes (at most one crash in a sequence).
// After every choice the rules must hold (each running member believes itself
// alive; no member's belief of another goes back in (start, incarnation, state);
// no packet over MaxPacket; no member beyond the three). After the last, the
// network turns calm (every packet delivered, 1 to 5 ms late) and within
// bound(cfg, 3) every running member must believe the others running alive and
// the crashed one dead, and do so for that time again: no member declared
// dead while it ran, no ghost.
//
// Depth and window are LOTUSBEND_EXHAUSTIVE_DEPTH and _WINDOW (default 9
// and 2: 10,512 sequences in about 13 s; depth 10, 43,047 in 44 s).
type explorer struct {
	t         *testing.T
	fault     faultinjection.Fault
	depth     int // choices in a sequence
	window    int // oldest packets that a choice may concern
	played    int // choices played
	sequences int
	worst     int64  // ms, the longest calm settle seen
	failed    string // the first sequence that broke a rule, and how
}

func TestExhaustiveThreeMembers(t *testing.T) {
	x := &explorer{
		t:      t,
		depth:  envInt("LOTUSBEND_EXHAUSTIVE_DEPTH", 9),
		window: envInt("LOTUSBEND_EXHAUSTIVE_WINDOW", 2),
	}
	x.explore(nil)
	if x.failed != "" {
		t.Fatal(x.failed)
	}
	if x.sequences == 0 {
		t.Fatal("nothing was explored")
	}
	t.Logf("depth %d, window %d: %d sequences, %d choices played; longest calm settle %d ms (bound %d)",
		x.depth, x.window, x.sequences, x.played, x.worst, bound(Defaults(), 3))
}

// Each disabled guard is found by the same search, at a depth of 6.
func TestExhaustiveFindsEachFault(t *testing.T) {
	for _, s := range []faultinjection.Fault{faultinjection.NoRefutation, faultinjection.NoSuspicion} {
		x := &explorer{t: t, fault: s, depth: 6, window: 2}
		x.explore(nil)
		if x.failed == "" {
			t.Errorf("%s: %d sequences broke no rule", s, x.sequences)
		}
		t.Logf("%s: %s", s, x.failed)
	}
}

func envInt(key string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(key)); err == nil && n > 0 {
		return n
	}
	return def
}

// met is three members that have joined through the first and agree.
func (x *explorer) met() *simulation {
	w := newSimulation(x.t, 1, 3, 1)
	w.cfg.FaultInjection = x.fault
	w.quiet = true
	w.start()
	w.settle(bound(w.cfg, 3), nil)
	w.run(2 * w.cfg.ProbeIntervalMs) // a settled view, with the join's gossip spent
	return w
}

// choices are what may happen next: 0 ticks, 1..n delivers, n+1..2n loses
// (n the packets in the window), then 2n+1.. crashes one of the running.
func (x *explorer) choices(w *simulation) int {
	n := min(len(w.flights), x.window)
	if slices.ContainsFunc(w.processes, func(p *process) bool { return !p.running }) {
		return 1 + 2*n
	}
	return 1 + 2*n + len(w.processes)
}

// play makes choice c, checking the rules on what it brings.
func (x *explorer) play(w *simulation, c int, believed []map[string]Update) error {
	n := min(len(w.flights), x.window)
	switch {
	case c == 0:
		w.now += w.cfg.ProbeTimeoutMs / 2
		for _, p := range w.processes {
			if p.running {
				w.execute(p, p.node.Tick(w.now))
			}
		}
	case c <= n:
		f := w.flights[c-1]
		w.flights = slices.Delete(w.flights, c-1, c)
		if to := w.byAddress[f.to]; to.running {
			w.execute(to, to.node.Receive(f.from, f.message, w.now))
		}
	case c <= 2*n:
		w.flights = slices.Delete(w.flights, c-n-1, c-n)
	default:
		w.kill(w.processes[c-2*n-1])
	}
	return checkInvariants(w, believed)
}

// checkInvariants checks what must hold after every choice.
func checkInvariants(w *simulation, believed []map[string]Update) error {
	for i, p := range w.processes {
		if !p.running {
			continue
		}
		if p.node.self.State != Alive {
			return fmt.Errorf("%s believes itself %s", p.name, p.node.self.State)
		}
		if len(p.node.members) > len(w.processes)-1 {
			return fmt.Errorf("%s has %d others", p.name, len(p.node.members))
		}
		for name, e := range p.node.members {
			if old, ok := believed[i][name]; ok && old != e.Update && !e.Update.supersedes(old) {
				return fmt.Errorf("%s went back on %s: %+v after %+v", p.name, name, e.Update, old)
			}
			believed[i][name] = e.Update
		}
	}
	for _, f := range w.flights {
		if f.message.size() > w.cfg.MaxPacketBytes {
			return fmt.Errorf("a packet of %d bytes", f.message.size())
		}
	}
	return nil
}

// explore replays path from the start and goes on with every choice; at the
// stated depth it plays the calm network and checks the result.
func (x *explorer) explore(path []int) {
	if x.failed != "" {
		return
	}
	w := x.met()
	believed := make([]map[string]Update, len(w.processes))
	for i := range believed {
		believed[i] = map[string]Update{}
	}
	for step, c := range path {
		x.played++
		if err := x.play(w, c, believed); err != nil {
			x.failed = fmt.Sprintf("choices %v, at %d: %v", path, step, err)
			return
		}
	}
	if len(path) < x.depth {
		for c := range x.choices(w) {
			x.explore(append(slices.Clip(path), c))
		}
		return
	}
	x.sequences++
	for i := range w.flights { // calm: what is in flight arrives, in the order sent
		w.flights[i].at = w.now + 1
	}
	limit := bound(w.cfg, 3)
	from := w.now
	for ; !w.settled(nil); w.run(50) {
		if w.now-from > limit {
			x.failed = fmt.Sprintf("choices %v: no settled view within %d ms of calm", path, limit)
			return
		}
	}
	x.worst = max(x.worst, w.now-from)
	w.run(limit)
	if w.falseDead > 0 || w.ghosts > 0 || !w.settled(nil) {
		x.failed = fmt.Sprintf("choices %v: after calm %d false deaths, %d ghosts, settled %v",
			path, w.falseDead, w.ghosts, w.settled(nil))
	}
}
