package decide

import (
	"testing"
	"time"
)

// A replica that serves stale reads receives a read only if its reported position is
// fresh enough. In a fleet of many routers, a router's last report is often too old.
// The read then waits for a health check instead of going to the primary, but not
// for long, and not if the result shows that the replica is too far behind.
func TestAgedPositionIsCheckedBeforeAReadGoesToThePrimary(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		config  func(*Config)
		answer  func(f *fixture, endpoint uint32) // ends the health check
		checked bool                              // a health check is started
		want    uint32                            // the endpoint that the read is sent to
		unbound bool                              // no class has a staleness bound
	}{
		"the replica is fresh": {answer: func(f *fixture, id uint32) {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Status: ReplicationStatus{Role: RoleReplica, Position: f.now - 100*ms}})
		}, checked: true, want: 2},
		"no class has a staleness bound": {answer: func(f *fixture, id uint32) {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Status: ReplicationStatus{Role: RoleReplica, Position: f.now}})
		}, checked: true, want: 2, unbound: true},
		"the replica is too far behind": {answer: func(f *fixture, id uint32) {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Status: ReplicationStatus{Role: RoleReplica, Position: f.now - second}})
		}, checked: true, want: 1},
		"the health check has no result":   {answer: func(*fixture, uint32) {}, checked: true, want: 1},
		"replicas reject stale reads":      {config: func(c *Config) { c.StaleReadPolicy = RejectStale }, want: 2},
		"endpoints answer no health check": {config: func(c *Config) { c.HealthChecks = false }, want: 1},
	} {
		config := testConfig()
		config.StaleReadPolicy, config.HealthChecks, config.HealthChecksReportRole = ServeStale, true, true
		if c.config != nil {
			c.config(&config)
		}
		if c.unbound { // a session read waits for a health check, too
			config.Classes[boundedReadClass].Consistency = Session
		}
		f := newFixture(t, config, oneGroup())
		for id := uint32(1); id <= 3; id++ {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Status: ReplicationStatus{Role: RoleReplica, Position: f.now}})
		}
		f.router.recordRole(f.router.endpoints[1], RolePrimary, f.now)
		f.now += 2 * second
		f.router.endpoints[3].State = Draining // leaves one replica
		f.healthChecks = nil
		if c.unbound {
			f.recordCommit(f.router.endpoints[1].group, 9, f.now-100*ms)
		}
		read := f.submit(boundedReadClass)
		for range 15 {
			f.advance(tickInterval)
			if len(f.healthChecks) == 1 && c.answer != nil {
				c.answer(f, f.healthChecks[0])
			}
		}
		if got := f.lastAttempt(read).endpoint; got != c.want || len(f.healthChecks) > 0 != c.checked {
			t.Errorf("%s: %d health checks, and the read was sent to endpoint %d; want health checks: %v, endpoint %d",
				name, len(f.healthChecks), got, c.checked, c.want)
		}
	}
}

// Where answers carry no position, each replica is checked about once per staleness
// bound while its group receives reads, and not at all while it receives none.
func TestReplicasWithoutPositionAreCheckedOncePerBound(t *testing.T) {
	config := testConfig()
	config.StaleReadPolicy, config.AnswersCarryPosition, config.HealthChecks, config.HealthChecksReportRole = RejectStale, false, true, true
	f := newFixture(t, config, oneGroup())
	endHealthChecks := func() {
		for _, id := range f.healthChecks {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: id, Status: ReplicationStatus{Role: RoleReplica, Position: f.now}})
		}
	}
	f.advance(100 * ms)
	endHealthChecks()
	for _, reads := range []bool{true, false} {
		counts := map[uint32]int{}
		for range 300 { // ten times the staleness bound of 300 ms
			f.healthChecks = nil
			if reads {
				f.submit(boundedReadClass)
				if n := len(f.sends); n > 0 {
					f.endAttempt(f.sends[n-1], OK, RoleReplica, 0)
				}
			}
			f.advance(tickInterval)
			for _, id := range f.healthChecks {
				counts[id]++
			}
			endHealthChecks()
		}
		if n := counts[2]; reads && (n < 7 || n > 11) || !reads && n > 1 {
			t.Errorf("with reads %v: %d health checks of a replica in ten staleness bounds, want 7 to 11 with and at most 1 without", reads, n)
		}
	}
}
