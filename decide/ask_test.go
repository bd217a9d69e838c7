package decide

import (
	"testing"
	"time"
)

// A replica that serves unchecked takes a read only by a proven position. Where
// all that are known have aged, as among many routers they do, the read waits
// for a probe's word instead of falling to the primary; not for long, and not
// where the word is that it is behind.
func TestAgedPositionIsAskedForBeforeAReadFallsToThePrimary(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		config func(*Config)
		answer func(g *rig, member uint32) // to the probe
		probed bool
		to     uint32
		none   bool
	}{
		"it is fresh": {answer: func(g *rig, m uint32) {
			g.r.Probed(g.now, ProbeResult{Member: m, Note: Note{Role: RoleReplica, Position: g.now - 100*ms}})
		}, probed: true, to: 2},
		"no class has a bound": {answer: func(g *rig, m uint32) {
			g.r.Probed(g.now, ProbeResult{Member: m, Note: Note{Role: RoleReplica, Position: g.now}})
		}, probed: true, to: 2, none: true},
		"it is behind": {answer: func(g *rig, m uint32) {
			g.r.Probed(g.now, ProbeResult{Member: m, Note: Note{Role: RoleReplica, Position: g.now - second}})
		}, probed: true, to: 1},
		"it says nothing": {answer: func(*rig, uint32) {}, probed: true, to: 1},
		"it checks":       {config: func(c *Config) { c.Check = RefuseStale }, to: 2},
		"nobody probes":   {config: func(c *Config) { c.Probes = false }, to: 1},
	} {
		cfg := testConfig()
		cfg.Check, cfg.Probes, cfg.ReportsRole = Unchecked, true, true
		if c.config != nil {
			c.config(&cfg)
		}
		if c.none { // no class names a bound: a session's reads ask as well
			cfg.Classes[bounded].Consistency = Session
		}
		g := newRig(t, cfg, trio())
		for m := uint32(1); m <= 3; m++ {
			g.r.Probed(g.now, ProbeResult{Member: m, Note: Note{Role: RoleReplica, Position: g.now}})
		}
		g.r.heardRole(g.r.members[1], RolePrimary, g.now)
		g.now += 2 * second
		g.r.members[3].State = Draining // one replica is left
		g.probes = nil
		if c.none {
			g.committed(g.r.members[1].g, 9, g.now-100*ms)
		}
		id := g.arrive(bounded)
		for range 15 {
			g.wait(beat)
			if len(g.probes) == 1 && c.answer != nil {
				c.answer(g, g.probes[0])
			}
		}
		if got := g.last(id).member; got != c.to || len(g.probes) > 0 != c.probed {
			t.Errorf("%s: %d probes, the read went to %d", name, len(g.probes), got)
		}
	}
}

// Where answers tell no positions each replica is probed about once per bound
// while reads come for its group, and not at all while none does.
func TestReplicasThatTellNoPositionAreProbedOncePerBound(t *testing.T) {
	cfg := testConfig()
	cfg.Check, cfg.Positions, cfg.Probes, cfg.ReportsRole = RefuseStale, false, true, true
	g := newRig(t, cfg, trio())
	tell := func() {
		for _, m := range g.probes {
			g.r.Probed(g.now, ProbeResult{Member: m, Note: Note{Role: RoleReplica, Position: g.now}})
		}
	}
	g.wait(100 * ms)
	tell()
	for _, reads := range []bool{true, false} {
		counts := map[uint32]int{}
		for range 300 { // ten bounds of 300 ms
			g.probes = nil
			if reads {
				g.arrive(bounded)
				if n := len(g.sends); n > 0 {
					g.end(g.sends[n-1], OK, RoleReplica, 0)
				}
			}
			g.wait(beat)
			for _, m := range g.probes {
				counts[m]++
			}
			tell()
		}
		if n := counts[2]; reads && (n < 7 || n > 11) || !reads && n > 1 {
			t.Errorf("reads come: %v; a replica was probed %d times in ten bounds", reads, n)
		}
	}
}
