package decide

import (
	"testing"
	"time"
)

func TestDrainAndRemovalAreEnforcedAtOnce(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		f := newFixture(t, testConfig(), oneGroup())
		f.learnPosition(2)
		f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 2, State: state}})
		before := len(f.sends)
		for range 20 {
			f.submit(sessionReadClass)
		}
		for _, s := range f.sends[before:] {
			if s.endpoint == 2 {
				t.Errorf("state %d: sent to the member", state)
			}
		}
	}
}

func TestRemovalThatIsNotEnforced(t *testing.T) {
	config := testConfig()
	config.RemovalEnforced = false
	f := newFixture(t, config, oneGroup())
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 1, State: Removed}})
	if s := f.last(f.submit(writeClass)); s.endpoint != 1 {
		t.Errorf("sent to %d", s.endpoint)
	}
}

func TestPollIsRepeatedAfterAFailure(t *testing.T) {
	config := testConfig()
	config.PollOnly = true
	f := newFixture(t, config, oneGroup())
	for range 5 {
		n := f.polls
		f.router.EndpointsUpdated(f.now, WatchFailed, nil)
		f.wait(config.PollInterval)
		if f.polls != n+1 {
			t.Fatalf("watched %d times after a failure", f.polls-n)
		}
	}
}

func TestRemovedEndpointsAreForgotten(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	for i := range uint32(1000) {
		f.router.EndpointsUpdated(f.now, UpdateSnapshot, []Endpoint{{ID: 100 + i, State: Ready}})
		f.now += time.Second
	}
	if n := len(f.router.endpoints); n > 40 {
		t.Errorf("%d members kept", n)
	}
}
