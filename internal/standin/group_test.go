package standin

import (
	"sync"
	"testing"
)

// startFastCluster starts a cluster of one group with short execution, replication
// and election times.
func startFastCluster(t *testing.T, sabotage Sabotage) *Cluster {
	t.Helper()
	opt := Defaults()
	opt.Groups = 1
	opt.WorkMinMs = 0
	opt.WorkMaxMs = 1
	opt.ReplicateMinMs = 0
	opt.ReplicateMaxMs = 1
	opt.DetectMinMs = 1
	opt.DetectMaxMs = 2
	opt.ElectMinMs = 1
	opt.ElectMaxMs = 2
	opt.ResetChance = 0
	opt.RejectChance = 0
	opt.Sabotage = sabotage
	c, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// A write with a known idempotency key must wait for the first one and not be
// executed again. With ForgetsKeys each write is executed; with AcksEarly some
// acknowledged writes are not.
func TestGroupDropsRepeatedKeys(t *testing.T) {
	for _, sabotage := range []Sabotage{"", ForgetsKeys} {
		c := startFastCluster(t, sabotage)
		g := c.groups[0]
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				if r := g.write(g.hosts[0], write{row: "row", key: "key", doc: "doc", deadlineMs: nowMs() + 1e4}); r.code != "" || string(r.doc) != "doc" {
					t.Errorf("write() with sabotage %q = %+v, want document %q and no code", sabotage, r, "doc")
				}
			})
		}
		wg.Wait()
		want := 1
		if sabotage == ForgetsKeys {
			want = 5
		}
		if n := len(c.Executions()); n != want {
			t.Errorf("Executions() with sabotage %q has %d entries, want %d", sabotage, n, want)
		}
	}
	c := startFastCluster(t, AcksEarly)
	for n := range 200 {
		id := string(rune(n))
		c.groups[0].write(c.groups[0].hosts[0], write{row: id, key: id, doc: "doc", deadlineMs: nowMs() + 1e4})
	}
	if n := len(c.Executions()); n == 200 || n == 0 {
		t.Errorf("Executions() has %d entries after 200 writes with AcksEarly, want 1 to 199", n)
	}
}

// A write must not take effect on a primary that has stopped, and the next primary
// must accept writes.
func TestGroupElectsPrimary(t *testing.T) {
	c := startFastCluster(t, "")
	g := c.groups[0]
	old := g.hosts[0]
	if r := g.write(g.hosts[1], write{row: "r", key: "k", doc: "d", deadlineMs: nowMs() + 1e4}); r.code != "25006" {
		t.Errorf("write() on a replica = %+v, want code 25006", r)
	}
	if r := g.read(g.hosts[1], "r", g.opt.FreshClass, 0); r.code != "72000" {
		t.Errorf("read() of FreshClass on a replica = %+v, want code 72000", r)
	}
	old.stop()
	if r := g.write(old, write{row: "r", key: "k", doc: "d", deadlineMs: nowMs() + 1e4}); r.code != "XX000" || len(c.Executions()) != 0 {
		t.Errorf("write() on a stopped primary = %+v, want code XX000 and no execution", r)
	}
	g.failOver(old)
	p := c.Primary(1)
	if p == nil || p == old {
		t.Fatalf("Primary(1) = %v, want a host other than the stopped one", p)
	}
	if r := g.write(p, write{row: "r", key: "k", doc: "d", deadlineMs: nowMs() + 1e4}); r.code != "" {
		t.Errorf("write() on the new primary = %+v, want success", r)
	}
	if r := g.write(p, write{row: "r", key: "late", doc: "d", deadlineMs: nowMs() - 1}); r.code != "53300" {
		t.Errorf("write() past its deadline = %+v, want code 53300", r)
	}
}
