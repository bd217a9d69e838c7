package decide

import "testing"

// A session's reads see its writes that were answered. Of one whose attempt
// ended without an answer that was read, because its client went, its time was
// over or its connection broke, the answer may have been on its way: it counts
// as committed when the attempt ended. One that surely never ran does not.
func TestWriteWithoutAnAnswerMayHaveCommitted(t *testing.T) {
	for o, waits := range map[Outcome]bool{
		OK: true, Cancelled: true, TimedOut: true, Reset: true, Spoilt: true, Error: true,
		Miss: false, Full: false, ConnectFailed: false,
	} {
		cfg := testConfig()
		cfg.Check, cfg.Carried = Unchecked, false
		g := newRig(t, cfg, trio())
		g.r.heardRole(g.r.members[2], RoleReplica, g.now)
		id := g.arrive(write)
		g.now += 50 * ms
		note := Note{}
		if o == OK {
			note = Note{Role: RolePrimary, Position: g.now}
		}
		g.r.Lapsed(g.now, id)
		g.r.Ended(g.now, Result{Request: id, Member: 1, Outcome: o, Note: note})
		g.r.heardPosition(g.r.members[2], g.now-10*ms, g.now)
		read := &Request{ID: 99, Class: session, Session: 9, TimeLeft: 2e9}
		g.r.Arrived(g.now, *read)
		q := g.r.requests[99]
		if q == nil {
			t.Fatalf("outcome %d: the read is not held", o)
		}
		if fresh := g.r.fresh(q, g.r.members[2], g.now); fresh == waits {
			t.Errorf("outcome %d: a replica from before the write's end is fresh: %v", o, fresh)
		}
	}
}
