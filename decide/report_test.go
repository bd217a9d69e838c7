package decide

import (
	"testing"
	"time"
)

// A report may be old: of a host that hangs it is as old as the hang. Its word
// that a member is the primary counts only where it was made after the last
// answer that told otherwise, and lately: where hosts do not check, a fresh
// read would be answered from old data.
func TestOldReportMakesNoPrimaryOfAReplica(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		told, made time.Duration // how long ago; told 0: never
		leads      bool
	}{
		"never told":                          {0, 100 * ms, true},
		"never told, of a host that hangs":    {0, 9 * second, true},
		"made before the answer":              {200 * ms, 300 * ms, false},
		"made after the answer":               {600 * ms, 100 * ms, true},
		"made after the answer, and long ago": {9 * second, 2 * second, false},
		"made after a late answer":            {200 * ms, 100 * ms, true},
	} {
		cfg := testConfig()
		cfg.Check, cfg.Probes, cfg.ReportsRole = Unchecked, true, true
		g := newRig(t, cfg, trio())
		m := g.r.members[2]
		g.now += 10 * second
		m.roleAt = 0
		if c.told > 0 {
			g.r.heardRole(m, RoleReplica, g.now-c.told)
		}
		g.r.Probed(g.now, ProbeResult{Member: 2, Note: Note{Role: RolePrimary, Position: g.now - c.made}})
		if leads := m.g.primary == m; leads != c.leads {
			t.Errorf("%s: the report makes a primary: %v", name, leads)
		}
	}
}
