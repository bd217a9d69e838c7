package decide

import (
	"testing"
	"time"
)

// The report of a health check may be outdated: that of a host that hangs is as old
// as the hang. A report that an endpoint is the primary is only used if it is recent
// and newer than the last answer that said otherwise, or if no answer has said so.
// Where replicas serve stale reads, a fresh read would otherwise be answered with
// old data.
func TestOldReportDoesNotMakeAReplicaPrimary(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		answerAge, reportAge time.Duration // answerAge 0: no answer
		isPrimary            bool
	}{
		"no answer":                         {0, 100 * ms, true},
		"no answer, outdated report":        {0, 9 * second, true},
		"report older than the answer":      {200 * ms, 300 * ms, false},
		"report newer than the answer":      {600 * ms, 100 * ms, true},
		"report newer than an old answer":   {9 * second, 2 * second, false},
		"report newer than a recent answer": {200 * ms, 100 * ms, true},
	} {
		config := testConfig()
		config.StaleReadPolicy, config.HealthChecks, config.HealthChecksReportRole = ServeStale, true, true
		f := newFixture(t, config, oneGroup())
		endpoint := f.router.endpoints[2]
		f.now += 10 * second
		endpoint.roleReportedAt = 0
		if c.answerAge > 0 {
			f.router.recordRole(endpoint, RoleReplica, f.now-c.answerAge)
		}
		f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: 2, Status: ReplicationStatus{Role: RolePrimary, Position: f.now - c.reportAge}})
		if isPrimary := endpoint.group.primary == endpoint; isPrimary != c.isPrimary {
			t.Errorf("%s: the endpoint is assumed to be the primary: %v, want %v", name, isPrimary, c.isPrimary)
		}
	}
}
