package decide

import (
	"testing"
	"time"
)

// An attempt may wait for its connection, and what allowed it may end
// meanwhile: it is asked again at the moment of its writing.
func TestWhatAllowedAnAttemptMustHoldWhenItLeaves(t *testing.T) {
	unchecked := func(c *Config) { c.Check = Unchecked }
	for name, c := range map[string]struct {
		class  int
		config func(*Config)
		before func(g *rig) // what came before the attempt was sent
		then   func(g *rig, id uint64)
		may    bool
	}{
		"nothing has changed":        {class: write, may: true},
		"its member drains":          {class: write, then: func(g *rig, _ uint64) { g.list(1, Draining) }},
		"its member has gone":        {class: write, then: func(g *rig, _ uint64) { g.list(1, Gone) }},
		"its client has gone":        {class: write, then: func(g *rig, id uint64) { g.r.Lapsed(g.now, id) }},
		"its client waits no longer": {class: write, then: func(g *rig, _ uint64) { g.now += 2 * time.Second }},
		"time alone":                 {class: write, then: func(g *rig, _ uint64) { g.now += 250 * ms }, may: true},
		"a replica's data grew old": {class: bounded, config: unchecked, before: func(g *rig) { g.at(2, g.now-100*ms) },
			then: func(g *rig, _ uint64) { g.now += 250 * ms }},
		"a replica's data are young": {class: bounded, config: unchecked, before: func(g *rig) { g.at(2, g.now-100*ms) },
			then: func(g *rig, _ uint64) { g.now += 150 * ms }, may: true},
		"a replica that checks": {class: bounded, config: func(c *Config) { c.Check = RefuseStale }, before: func(g *rig) { g.at(2, g.now) },
			then: func(g *rig, _ uint64) { g.now += 900 * ms }, may: true},
		"the primary is none": {class: freshRead, config: unchecked, then: func(g *rig, _ uint64) { g.r.heardRole(g.r.members[1], RoleReplica, g.now) }},
	} {
		cfg := testConfig()
		if c.config != nil {
			c.config(&cfg)
		}
		g := newRig(t, cfg, trio())
		if c.before != nil {
			c.before(g)
		}
		id := g.arrive(c.class)
		if len(g.sends) != 1 {
			t.Fatalf("%s: %d attempts", name, len(g.sends))
		}
		if c.then != nil {
			c.then(g, id)
		}
		if g.r.MayLeave(g.now, id, 0) != c.may {
			t.Errorf("%s: the attempt may leave: %v", name, !c.may)
		}
	}
}

// at has a member be heard with a position.
func (g *rig) at(id uint32, pos time.Duration) {
	g.r.heard(g.r.members[id], g.now)
	g.r.heardRole(g.r.members[id], RoleReplica, g.now)
	g.r.heardPosition(g.r.members[id], pos, g.now)
}

// A repeat of a write that may have run must leave within the key's window,
// which counts from the first attempt, with the way to the host on top; one
// that surely never ran has no window.
func TestRepeatMustLeaveWithinTheKeysWindow(t *testing.T) {
	for _, c := range []struct {
		first  Outcome
		at, on time.Duration // when the repeat is sent, and how long it waits
		sent   bool
		may    bool
	}{
		{Reset, 100 * ms, 100 * ms, true, true},
		{Reset, 800 * ms, 150 * ms, true, true},
		{Reset, 800 * ms, 195 * ms, true, false},
		{Reset, 995 * ms, 0, false, false},
		{ConnectFailed, 800 * ms, 250 * ms, true, true},
	} {
		cfg := testConfig()
		cfg.Classes[keyed].KeyTTL = time.Second
		cfg.Classes[keyed].Aim, cfg.Classes[keyed].LateWorth = 2*time.Second, 0.5
		g := newRig(t, cfg, trio())
		id := g.arrive(keyed)
		g.now += c.at
		g.r.Ended(g.now, Result{Request: id, Member: 1, Outcome: c.first, Latency: c.at})
		if q, m := g.r.requests[id], g.r.members[1]; q != nil { // the member need not rest, nor was it just tried
			m.restUntil, m.unreached, m.open, m.fails = 0, false, false, 0
			q.attempts[0].ended = 1
			g.r.release(m.g, g.now)
		}
		if len(g.sends) > 1 != c.sent {
			t.Errorf("%+v: %d attempts", c, len(g.sends))
			continue
		}
		if g.now += c.on; c.sent && g.r.MayLeave(g.now, id, 1) != c.may {
			t.Errorf("%+v: the repeat may leave: %v", c, !c.may)
		}
	}
}
