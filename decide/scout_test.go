package decide

import (
	"testing"
)

// Where a request has few attempts the first one may look for the primary:
// else a group whose primary has gone would take no write again.
func TestWritesLookForThePrimaryWhateverTheirAttempts(t *testing.T) {
	for most := 1; most <= 6; most++ {
		cfg := testConfig()
		cfg.MaxAttempts = most
		g := newRig(t, cfg, trio())
		g.list(1, Gone)
		found := false
		for range 10 {
			id := g.arrive(write)
			g.wait(200 * ms)
			if n := len(g.sends); n > 0 && g.sends[n-1].req == id {
				s := g.sends[n-1]
				found = true
				g.r.Ended(g.now, Result{Request: id, Attempt: s.attempt, Member: s.member, Outcome: OK, Note: Note{Role: RolePrimary}})
				break
			}
		}
		if !found || g.r.members[2].g.primary == nil {
			t.Errorf("%d attempts: no write looked for the primary", most)
		}
	}
}

// list tells that a member of the trio is in another state.
func (g *rig) list(id uint32, s State) {
	e := trio()[id-1]
	e.State = s
	g.r.Listed(g.now, ListDelta, []Member{e})
}
