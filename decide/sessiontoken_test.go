package decide

import "testing"

// A session's reads must see its writes that were served. A write whose attempt ended
// without a usable answer, because its client disconnected, it timed out or its
// connection broke, may also have committed: it counts as committed at the end of
// its attempt. A write that was certainly not executed does not count.
func TestWriteWithoutAnAnswerMayHaveCommitted(t *testing.T) {
	for outcome, mayHaveCommitted := range map[Outcome]bool{
		OK: true, Cancelled: true, TimedOut: true, Reset: true, Malformed: true, Error: true,
		Ineligible: false, Overloaded: false, ConnectFailed: false,
	} {
		config := testConfig()
		config.StaleReadPolicy, config.SessionTokens = ServeStale, false
		f := newFixture(t, config, oneGroup())
		f.router.recordRole(f.router.endpoints[2], RoleReplica, f.now)
		id := f.submit(writeClass)
		f.now += 50 * ms
		status := ReplicationStatus{}
		if outcome == OK {
			status = ReplicationStatus{Role: RolePrimary, Position: f.now}
		}
		f.router.ClientCancelled(f.now, id)
		f.router.AttemptEnded(f.now, AttemptResult{Request: id, Endpoint: 1, Outcome: outcome, Status: status})
		f.router.recordPosition(f.router.endpoints[2], f.now-10*ms, f.now)
		read := &Request{ID: 99, Class: sessionReadClass, Session: 9, TimeLeft: 2e9}
		f.router.RequestArrived(f.now, *read)
		request := f.router.requests[99]
		if request == nil {
			t.Fatalf("outcome %d: the read is not in flight or queued", outcome)
		}
		if fresh := f.router.freshEnough(request, f.router.endpoints[2], f.now); fresh == mayHaveCommitted {
			t.Errorf("outcome %d: freshEnough = %v for a replica whose position is before the end of the write, want %v",
				outcome, fresh, !mayHaveCommitted)
		}
	}
}
