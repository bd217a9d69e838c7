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
				t.Errorf("state %d: a read was sent to the endpoint", state)
			}
		}
	}
}

func TestRemovedEndpointIsUsedWhereRemovalIsNotEnforced(t *testing.T) {
	config := testConfig()
	config.RemovalEnforced = false
	f := newFixture(t, config, oneGroup())
	f.router.EndpointsUpdated(f.now, UpdateDelta, []Endpoint{{ID: 1, State: Removed}})
	if s := f.lastAttempt(f.submit(writeClass)); s.endpoint != 1 {
		t.Errorf("write was sent to endpoint %d, want removed primary 1", s.endpoint)
	}
}

func TestPollIsRepeatedAfterAFailure(t *testing.T) {
	config := testConfig()
	config.PollOnly = true
	f := newFixture(t, config, oneGroup())
	for range 5 {
		n := f.polls
		f.router.EndpointsUpdated(f.now, WatchFailed, nil)
		f.advance(config.PollInterval)
		if f.polls != n+1 {
			t.Fatalf("%d polls within the poll interval after a failure, want 1", f.polls-n)
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
		t.Errorf("%d endpoints are stored, want at most 40", n)
	}
}
