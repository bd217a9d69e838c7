package decide

import (
	"testing"
)

// Where a request has few attempts the first one may look for the primary:
// else a group whose primary has gone would take no write again.
func TestWritesLookForThePrimaryWhateverTheirAttempts(t *testing.T) {
	for most := 1; most <= 6; most++ {
		config := testConfig()
		config.MaxAttempts = most
		f := newFixture(t, config, oneGroup())
		f.updateState(1, Removed)
		found := false
		for range 10 {
			id := f.submit(writeClass)
			f.wait(200 * ms)
			if n := len(f.sends); n > 0 && f.sends[n-1].request == id {
				s := f.sends[n-1]
				found = true
				f.router.AttemptEnded(f.now, AttemptResult{Request: id, Attempt: s.attempt, Endpoint: s.endpoint, Outcome: OK, Status: ReplicationStatus{Role: RolePrimary}})
				break
			}
		}
		if !found || f.router.endpoints[2].group.primary == nil {
			t.Errorf("%d attempts: no write looked for the primary", most)
		}
	}
}

// list tells that a endpoint of the trio is in another state.
func (f *fixture) updateState(id uint32, s EndpointState) {
	e := oneGroup()[id-1]
	e.State = s
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{e})
}
