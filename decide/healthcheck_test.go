package decide

import (
	"testing"
	"time"
)

// A replica that serves unchecked takes a read only by a proven position. Where
// all that are known have aged, as among many routers they do, the read waits
// for a health check's word instead of falling to the primary; not for long, and not
// where the word is that it is behind.
func TestAgedPositionIsCheckedBeforeAReadGoesToThePrimary(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		config func(*Config)
		answer func(f *fixture, endpoint uint32) // to the health check
		probed bool
		to     uint32
		none   bool
	}{
		"it is fresh": {answer: func(f *fixture, m uint32) {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: m, Status: ReplicationStatus{Role: RoleReplica, Position: f.now - 100*ms}})
		}, probed: true, to: 2},
		"no class has a bound": {answer: func(f *fixture, m uint32) {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: m, Status: ReplicationStatus{Role: RoleReplica, Position: f.now}})
		}, probed: true, to: 2, none: true},
		"it is behind": {answer: func(f *fixture, m uint32) {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: m, Status: ReplicationStatus{Role: RoleReplica, Position: f.now - second}})
		}, probed: true, to: 1},
		"it says nothing": {answer: func(*fixture, uint32) {}, probed: true, to: 1},
		"it checks":       {config: func(c *Config) { c.StaleReadPolicy = RejectStale }, to: 2},
		"nobody probes":   {config: func(c *Config) { c.HealthChecks = false }, to: 1},
	} {
		config := testConfig()
		config.StaleReadPolicy, config.HealthChecks, config.HealthChecksReportRole = ServeStale, true, true
		if c.config != nil {
			c.config(&config)
		}
		if c.none { // no class names a bound: a session's reads ask as well
			config.Classes[boundedReadClass].Consistency = Session
		}
		f := newFixture(t, config, oneGroup())
		for m := uint32(1); m <= 3; m++ {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: m, Status: ReplicationStatus{Role: RoleReplica, Position: f.now}})
		}
		f.router.recordRole(f.router.endpoints[1], RolePrimary, f.now)
		f.now += 2 * second
		f.router.endpoints[3].State = Draining // one replica is left
		f.healthChecks = nil
		if c.none {
			f.recordCommit(f.router.endpoints[1].group, 9, f.now-100*ms)
		}
		id := f.submit(boundedReadClass)
		for range 15 {
			f.wait(tickInterval)
			if len(f.healthChecks) == 1 && c.answer != nil {
				c.answer(f, f.healthChecks[0])
			}
		}
		if got := f.last(id).endpoint; got != c.to || len(f.healthChecks) > 0 != c.probed {
			t.Errorf("%s: %d probes, the read went to %d", name, len(f.healthChecks), got)
		}
	}
}

// Where answers tell no positions each replica is health-checked about once per bound
// while reads come for its group, and not at all while none does.
func TestReplicasWithoutPositionAreCheckedOncePerBound(t *testing.T) {
	config := testConfig()
	config.StaleReadPolicy, config.AnswersCarryPosition, config.HealthChecks, config.HealthChecksReportRole = RejectStale, false, true, true
	f := newFixture(t, config, oneGroup())
	tell := func() {
		for _, m := range f.healthChecks {
			f.router.HealthChecked(f.now, HealthCheckResult{Endpoint: m, Status: ReplicationStatus{Role: RoleReplica, Position: f.now}})
		}
	}
	f.wait(100 * ms)
	tell()
	for _, reads := range []bool{true, false} {
		counts := map[uint32]int{}
		for range 300 { // ten bounds of 300 ms
			f.healthChecks = nil
			if reads {
				f.submit(boundedReadClass)
				if n := len(f.sends); n > 0 {
					f.end(f.sends[n-1], OK, RoleReplica, 0)
				}
			}
			f.wait(tickInterval)
			for _, m := range f.healthChecks {
				counts[m]++
			}
			tell()
		}
		if n := counts[2]; reads && (n < 7 || n > 11) || !reads && n > 1 {
			t.Errorf("reads come: %v; a replica was probed %d times in ten bounds", reads, n)
		}
	}
}
