package decide

import (
	"math"
	"testing"
	"time"
)

// The tests in this file drive many routers that share nothing, each with its
// own seed, and count over all of them.

// groups returns n groups of a primary and two replicas in two zones.
func groups(n int) []Member {
	var ms []Member
	for g := range n {
		for i := range 3 {
			ms = append(ms, Member{ID: uint32(3*g + i + 1), Group: g, Zone: (g + i) % 2, State: Ready, Primary: i == 0})
		}
	}
	return ms
}

// checkingConfig is that of a fleet in which answers tell all that a probe does.
func checkingConfig(routers int) Config {
	cfg := testConfig()
	cfg.Routers, cfg.Probes, cfg.Check, cfg.ReportsRole = routers, true, RefuseStale, true
	return cfg
}

// When all routers start together, the fleet sends no more probes than its
// requests pay for, whatever its size, and a fresh read waits for none.
func TestProbesOfAFleetArePaidByItsRequests(t *testing.T) {
	for _, routers := range []int{1, 3, 100} {
		probes, requests := 0, 0
		for i := range routers {
			g := newSeededRig(t, checkingConfig(routers), groups(20), uint64(i+1))

			for n := range 200 {
				g.next++
				g.r.Arrived(g.now, Request{ID: g.next, Class: n % 4, Group: n % 20, Session: 9, TimeLeft: 2 * time.Second})
				if n == 1 && len(g.sends) != 2 {
					t.Fatal("a fresh read waited for a probe")
				}
				for _, s := range g.sends[len(g.sends)-1:] {
					g.r.Ended(g.now, Result{Request: s.req, Attempt: s.attempt, Member: s.member, Outcome: OK, Over: true})
				}
				g.wait(beat)
				for _, m := range g.probes[min(probesHeard(g), len(g.probes)):] {
					g.r.Probed(g.now, ProbeResult{Member: m, Outcome: OK, Note: Note{Position: g.now}})
				}
			}
			probes, requests = probes+len(g.probes), requests+200
		}
		if paid := int(math.Ceil(probeShare * float64(requests))); probes > paid || probes == 0 {
			t.Errorf("%d routers sent %d probes, their %d requests paid for %d", routers, probes, requests, paid)
		}
	}
}

// probesHeard is how many of a rig's probes have been answered.
func probesHeard(g *rig) int {
	n := len(g.probes)
	for _, m := range g.r.order {
		if m.probing {
			n--
		}
	}
	return n
}

// Where replicas serve unchecked, each member is still probed before its use.
func TestUncheckedMembersAreProbedFirst(t *testing.T) {
	cfg := checkingConfig(100)
	cfg.Check = Unchecked
	g := newRig(t, cfg, groups(20))
	g.wait(beat)
	if len(g.probes) != 60 {
		t.Errorf("%d of 60 members were probed", len(g.probes))
	}
	if q := g.arrive(freshRead); len(g.sends) != 0 {
		t.Errorf("fresh read %d did not wait for the probe of its primary", q)
	}
}

// A router of many meets a cold member seldom, and then not evenly: what came
// due meanwhile is not lost to it.
func TestSeldomMetColdMemberKeepsItsTurns(t *testing.T) {
	cfg := testConfig()
	cfg.Routers, cfg.ColdFor = 100, time.Hour
	g := newRig(t, cfg, groups(1))
	g.r.peak = 0.5 // answers a second that a member gives this router
	g.r.Listed(g.now, ListDelta, []Member{{ID: 1, State: Ready, Primary: true, Started: g.now - 1}})
	g.r.groups[0].primary = g.r.members[1]
	rate := g.r.peak * cfg.StartCapacity * cfg.OverloadFactor * coldShare
	for range 10 {
		g.wait(time.Duration(2.1 / rate * float64(time.Second)))
		for range 2 {
			if id := g.arrive(write); g.tries[id] > 0 {
				g.end(g.last(id), OK, RolePrimary, 0)
			}
		}
	}
	if len(g.sends) != 20 {
		t.Errorf("%d of 20 attempts that were due were sent", len(g.sends))
	}
}

// Clients that give each try a part of their wait give a last one all that is
// left, which is more: first tries are no repeats because of that.
func TestLongLastTriesMakeFirstTriesNoRepeats(t *testing.T) {
	g := newRig(t, checkingConfig(80), groups(1))
	try := func(left time.Duration) uint64 {
		g.next++
		g.r.Arrived(g.now, Request{ID: g.next, Class: bounded, Session: 9, TimeLeft: left})
		return g.next
	}
	for range 10 {
		g.end(g.last(try(800*ms)), OK, RoleReplica, g.now)
	}
	g.r.owed = 100 // so many were given up
	for range 20 {
		g.end(g.last(try(800*ms)), OK, RoleReplica, g.now)
		if id := try(1900 * ms); g.tries[id] != 1 {
			t.Fatal("a repeat with most of its aim left was not sent")
		}
		g.end(g.last(g.next), OK, RoleReplica, g.now)
	}
	if id := try(800 * ms); g.tries[id] != 1 {
		t.Error("a first try was refused as a late repeat")
	}
	if id := try(700 * ms); g.tries[id] != 0 {
		t.Error("a repeat whose aim has passed was sent")
	}
}

// An error that comes at once cost its member next to no work: a router that
// meets an erring member seldom can repeat each such read, where late errors
// exhaust the budget.
func TestEarlyErrorsAreRepeated(t *testing.T) {
	served := func(took time.Duration) (n int) {
		g := newRig(t, checkingConfig(80), groups(1))
		g.teach(3)
		for range 10 {
			for range 4 { // one request in five fails
				g.end(g.last(g.arrive(write)), OK, RolePrimary, 0)
			}
			id := g.arrive(session)
			s := g.last(id)
			g.now += took
			g.end(s, Error, RoleReplica, g.now)
			n += g.tries[id] - 1
			if g.tries[id] > 1 {
				g.end(g.last(id), OK, RoleReplica, g.now)
			}
			g.wait(5 * time.Second) // longer than any rest
		}
		return n
	}
	if early, late := served(ms), served(60*ms); early != 10 || late > 6 {
		t.Errorf("of 10 reads that failed at once %d were repeated, of 10 that failed late %d", early, late)
	}
}

// Routers that have just started have seen no load: what they may send to cold
// members must not wait for answers that only such sends could bring.
func TestRestartedFleetServesColdMembers(t *testing.T) {
	const routers, took = 80, 40 * ms // an answer's time: a member bears 25 a second at least
	cfg := checkingConfig(routers)
	cfg.ColdFor = time.Hour
	served, asked := 0, 0
	for i := range routers {
		ms := groups(1)
		for j := range ms {
			ms[j].Started = time.Hour / 2 // at three fifths of their capacity
		}
		g := newSeededRig(t, cfg, ms, uint64(i+1))
		g.wait(time.Duration(i) * time.Second / 10)
		for range 20 {
			asked++
			id := g.arrive(write) // one in 8 s from each: ten a second from all
			g.wait(took)
			if g.tries[id] > 0 {
				served++
				g.end(g.last(id), OK, RolePrimary, 0)
			}
			g.wait(8*time.Second - took)
		}
	}
	if served < asked*4/5 {
		t.Errorf("%d of %d writes were sent, at two fifths of what the primary bears when warm", served, asked)
	}
}

// A router that meets a member once in seconds passes over one that fell
// silent, until it is heard again: each further try would cost a read.
func TestSilentMemberIsPassedOverUntilHeard(t *testing.T) {
	for _, o := range []Outcome{TimedOut, ConnectFailed} {
		members := append(groups(1), Member{ID: 4, Zone: 0, State: Ready})
		g := newRig(t, checkingConfig(80), members) // 3 and 4 are replicas here
		g.teach(3)
		g.teach(4)
		local := g.last(g.arrive(bounded))
		g.wait(150 * ms)
		g.r.Ended(g.now, Result{Request: local.req, Member: local.member, Attempt: local.attempt, Outcome: o, Latency: 150 * ms})
		before := len(g.sends)
		for range 4 {
			g.wait(time.Second)
			if s := g.last(g.arrive(bounded)); s.member == local.member {
				t.Errorf("outcome %d: the silent member was sent a read", o)
			} else {
				g.end(s, OK, RoleReplica, g.now)
			}
		}
		if len(g.sends) == before {
			t.Fatal("nothing was sent")
		}
		// A late answer tells that it is there: it is used again well before silentFor is over.
		g.r.Ended(g.now, Result{Request: 1 << 40, Member: local.member, Outcome: OK})
		g.wait(2 * time.Second)
		back := false
		for range 20 {
			s := g.last(g.arrive(bounded))
			back = back || s.member == local.member
			g.end(s, OK, RoleReplica, g.now)
		}
		if !back {
			t.Errorf("outcome %d: a member that was heard again is still passed over", o)
		}
	}
}

// longestWithoutAttempt plays ten seconds of a router of 300 that has just
// started on the list that it was given, which nobody brings up to date. Half
// of the members have just been replaced, and some groups have another primary
// than the list names. It returns the longest time in which every request was
// turned away.
func longestWithoutAttempt(t *testing.T, cfg Config, seed uint64) time.Duration {
	const nGroups, every, took = 8, 50 * ms, 40 * ms
	members := groups(nGroups)
	leads := map[int]uint32{}
	for i := range members {
		if m := &members[i]; i%2 == 0 {
			m.Started = time.Hour // now
		}
		if m := members[i]; m.Primary {
			leads[m.Group] = m.ID + uint32(m.Group%2)
		}
	}
	g := newSeededRig(t, cfg, members, seed)
	lastAttempt, longest := g.now, time.Duration(0)
	for n := range int(10 * time.Second / every) {
		heard := len(g.sends)
		g.next++
		g.r.Arrived(g.now, Request{ID: g.next, Class: n % len(cfg.Classes), Group: n / len(cfg.Classes) % nGroups,
			Session: uint64(n), TimeLeft: 2 * time.Second})
		g.wait(took)
		for ; heard < len(g.sends); heard++ { // what is sent for an answer is answered too
			s := g.sends[heard]
			lastAttempt = g.now
			role, outcome := RoleReplica, OK
			if leads[int(s.member-1)/3] == s.member {
				role = RolePrimary
			} else if class := cfg.Classes[(s.req-1)%uint64(len(cfg.Classes))]; class.Consistency == Write {
				outcome = Miss
			}
			g.end(s, outcome, role, g.now)
		}
		g.wait(every - took)
		longest = max(longest, g.now-lastAttempt)
	}
	return longest
}

// A router that has just started never turns away all that it gets for 4 s.
func TestRestartedRouterNeverTurnsAllAway(t *testing.T) {
	unchecked := testConfig()
	unchecked.Routers = 300
	probing := unchecked
	probing.Probes = true
	for name, cfg := range map[string]Config{"checking": checkingConfig(300), "unchecked": unchecked, "probing": probing} {
		for seed := range uint64(20) {
			if longest := longestWithoutAttempt(t, cfg, seed); longest >= 4*time.Second {
				t.Errorf("%s, seed %d: no attempt for %v", name, seed, longest)
			}
		}
	}
}
