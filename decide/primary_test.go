package decide

import (
	"testing"
)

// Even where requests may have few attempts, the first one may be used for primary
// discovery. Otherwise a group whose primary was removed would never serve a write
// again.
func TestPrimaryIsDiscoveredWithAnyAttemptLimit(t *testing.T) {
	for maxAttempts := 1; maxAttempts <= 6; maxAttempts++ {
		config := testConfig()
		config.MaxAttempts = maxAttempts
		f := newFixture(t, config, oneGroup())
		f.updateState(1, Removed)
		found := false
		for range 10 {
			id := f.submit(writeClass)
			f.advance(200 * ms)
			if n := len(f.sends); n > 0 && f.sends[n-1].request == id {
				s := f.sends[n-1]
				found = true
				f.router.AttemptEnded(f.now, AttemptResult{Request: id, Attempt: s.attempt, Endpoint: s.endpoint, Outcome: OK, Status: ReplicationStatus{Role: RolePrimary}})
				break
			}
		}
		if !found || f.router.endpoints[2].group.primary == nil {
			t.Errorf("MaxAttempts = %d: no write found the primary", maxAttempts)
		}
	}
}

// updateState delivers a list update with a new state of an endpoint of oneGroup.
func (f *fixture) updateState(id uint32, state EndpointState) {
	entry := oneGroup()[id-1]
	entry.State = state
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{entry})
}
