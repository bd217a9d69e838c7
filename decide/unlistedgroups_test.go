package decide

import (
	"testing"
	"time"
)

// A client can name any group. The router must not keep a group for each name: it would
// use memory without an end, and the time of a walk over all groups at each tick.
func TestUnlistedGroupsAreDroppedWithTheirRequests(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	listed := len(f.router.groups)
	const named = 1000
	for n := range named {
		f.lastID++
		f.router.RequestArrived(f.now, Request{ID: f.lastID, Class: n % 5, Group: 1 + n, TimeLeft: 2 * time.Second})
	}
	f.advance(5 * time.Second)
	if len(f.router.groups) != listed || len(f.router.orderedGroups) != listed {
		t.Errorf("%d groups are kept, want %d, that of the list", len(f.router.groups), listed)
	}
	if answered := len(f.rejected) + len(f.failed); answered != named {
		t.Errorf("%d of %d requests were answered", answered, named)
	}
}

// A request may wait for a group that the endpoint list names later, and a group that
// the list has named is kept, with the commits of its sessions.
func TestRequestWaitsForGroupThatIsListedLater(t *testing.T) {
	f := newFixture(t, testConfig(), oneGroup())
	f.lastID++
	f.router.RequestArrived(f.now, Request{ID: f.lastID, Class: writeClass, Group: 7, TimeLeft: 2 * time.Second})
	f.advance(100 * ms)
	endpoints := append(oneGroup(), Endpoint{ID: 9, State: Ready, Primary: true, Group: 7})
	f.router.EndpointsUpdated(f.now, UpdateSnapshot, endpoints)
	f.advance(100 * ms)
	if sent := f.lastAttempt(f.lastID); sent.endpoint != 9 {
		t.Errorf("the request was sent to endpoint %d, want 9", sent.endpoint)
	}
	group := f.router.groups[7]
	f.endAttempt(f.lastAttempt(f.lastID), OK, RolePrimary, f.now)
	f.router.EndpointsUpdated(f.now, UpdateSnapshot, oneGroup())
	f.advance(30 * time.Second)
	if f.router.groups[7] != group {
		t.Error("a group that was listed is not kept")
	}
}
