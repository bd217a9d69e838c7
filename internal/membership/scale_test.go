package membership

import (
	"os"
	"testing"
)

// TestSettleAgainstFleetSize measures, in the in-memory network, the time to
// settle after all join through one seed and after a tenth is killed, and the
// bytes a member sends a second, for 3, 30 and 300 members (1,000 as well
// with LOTUSBEND_LARGE=1, about a minute). Each must settle within bound(p)
// after the kill and send within its byte budget plus its probes. The table
// is in docs/membership.md.
func TestSettleAgainstFleetSize(t *testing.T) {
	sizes := []int{3, 30, 300}
	if os.Getenv("LOTUSBEND_LARGE") == "1" {
		sizes = append(sizes, 1000)
	}
	for _, p := range sizes {
		w := newNet(t, uint64(p), p, 2)
		w.step = 20
		w.start()
		join := w.settle(20*bound(w.cfg, p), nil)
		w.bytes = 0
		from := w.now
		w.run(5000)
		calm := float64(w.bytes) / float64(p) / (float64(w.now-from) / 1000)
		for i := 1; i < len(w.procs); i += 10 {
			w.kill(w.procs[i])
		}
		w.bytes = 0
		from = w.now
		kill := w.settle(bound(w.cfg, p), nil)
		busy := float64(w.bytes) / float64(len(w.procs)) / (float64(w.now-from+1) / 1000)
		t.Logf("| %d | %d | %d | %d | %.0f | %.0f |", p, join, kill, bound(w.cfg, p), calm, busy)
		// probes: a ping and an ack a period, each under 200 bytes, besides
		// the budget for gossip and pages
		if most := float64(w.cfg.BudgetBytesS) + 2*200*1000/float64(w.cfg.PeriodMs)*2; calm > most {
			t.Errorf("%d members: %.0f bytes a member a second, over %.0f", p, calm, most)
		}
		if w.falseDead > 0 {
			t.Errorf("%d members: %d false deaths", p, w.falseDead)
		}
	}
}
