package decide

import "testing"

// A session's reads see its writes that were answered. Of one whose attempt
// ended without an answer that was read, because its client went, its time was
// over or its connection broke, the answer may have been on its way: it counts
// as committed when the attempt ended. One that surely never ran does not.
func TestWriteWithoutAnAnswerMayHaveCommitted(t *testing.T) {
	for outcome, waits := range map[Outcome]bool{
		OK: true, Cancelled: true, TimedOut: true, Reset: true, Malformed: true, Error: true,
		Ineligible: false, Overloaded: false, ConnectFailed: false,
	} {
		config := testConfig()
		config.StaleReadPolicy, config.SessionTokens = ServeStale, false
		f := newFixture(t, config, oneGroup())
		f.router.recordRole(f.router.endpoints[2], RoleReplica, f.now)
		id := f.submit(writeClass)
		f.now += 50 * ms
		note := ReplicationStatus{}
		if outcome == OK {
			note = ReplicationStatus{Role: RolePrimary, Position: f.now}
		}
		f.router.ClientCancelled(f.now, id)
		f.router.AttemptEnded(f.now, AttemptResult{Request: id, Endpoint: 1, Outcome: outcome, Status: note})
		f.router.recordPosition(f.router.endpoints[2], f.now-10*ms, f.now)
		read := &Request{ID: 99, Class: sessionReadClass, Session: 9, TimeLeft: 2e9}
		f.router.RequestArrived(f.now, *read)
		request := f.router.requests[99]
		if request == nil {
			t.Fatalf("outcome %d: the read is not held", outcome)
		}
		if fresh := f.router.freshEnough(request, f.router.endpoints[2], f.now); fresh == waits {
			t.Errorf("outcome %d: a replica from before the write's end is fresh: %v", outcome, fresh)
		}
	}
}
