package decide

import (
	"testing"
	"time"
)

// A report may be old: of a host that hangs it is as old as the hang. Its word
// that a endpoint is the primary counts only where it was made after the last
// answer that told otherwise, and lately: where hosts do not check, a fresh
// read would be answered from old data.
func TestOldReportDoesNotMakeAReplicaPrimary(t *testing.T) {
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
		config := testConfig()
		config.StaleReadPolicy, config.HealthChecks, config.HealthChecksReportRole = ServeStale, true, true
		f := newFixture(t, config, oneGroup())
		endpoint := f.router.endpoints[2]
		f.now += 10 * second
		endpoint.roleReportedAt = 0
		if c.told > 0 {
			f.router.recordRole(endpoint, RoleReplica, f.now-c.told)
		}
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Status: ReplicationStatus{Role: RolePrimary, Position: f.now - c.made}})
		if leads := endpoint.group.primary == endpoint; leads != c.leads {
			t.Errorf("%s: the report makes a primary: %v", name, leads)
		}
	}
}
