package standin

import (
	"sync"
	"testing"
)

// startFastCluster starts a cluster of one group whose times are short.
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

// A write whose key is known waits for the first one and is dropped; a sabotaged
// group runs it, or records nothing.
func TestGroupDropsRepeatedKeys(t *testing.T) {
	for _, sabotage := range []Sabotage{"", ForgetsKeys} {
		c := startFastCluster(t, sabotage)
		g := c.groups[0]
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				if r := g.write(g.hosts[0], write{row: "row", key: "key", doc: "doc", deadlineMs: nowMs() + 1e4}); r.code != "" || string(r.doc) != "doc" {
					t.Errorf("%+v", r)
				}
			})
		}
		wg.Wait()
		want := 1
		if sabotage == ForgetsKeys {
			want = 5
		}
		if n := len(c.Executions()); n != want {
			t.Errorf("%q: %d executions, want %d", sabotage, n, want)
		}
	}
	c := startFastCluster(t, AcksEarly)
	for n := range 200 {
		id := string(rune(n))
		c.groups[0].write(c.groups[0].hosts[0], write{row: id, key: id, doc: "doc", deadlineMs: nowMs() + 1e4})
	}
	if n := len(c.Executions()); n == 200 || n == 0 {
		t.Errorf("%d of 200 early answers were recorded", n)
	}
}

// A write in progress is lost with its primary, and the next primary takes
// writes.
func TestGroupElectsPrimary(t *testing.T) {
	c := startFastCluster(t, "")
	g := c.groups[0]
	old := g.hosts[0]
	if r := g.write(g.hosts[1], write{row: "r", key: "k", doc: "d", deadlineMs: nowMs() + 1e4}); r.code != "25006" {
		t.Errorf("a replica accepted a write: %+v", r)
	}
	if r := g.read(g.hosts[1], "r", g.opt.FreshClass, 0); r.code != "72000" {
		t.Errorf("a replica accepted a fresh read: %+v", r)
	}
	old.stop()
	if r := g.write(old, write{row: "r", key: "k", doc: "d", deadlineMs: nowMs() + 1e4}); r.code != "XX000" || len(c.Executions()) != 0 {
		t.Errorf("a lost primary recorded: %+v", r)
	}
	g.failOver(old)
	p := c.Primary(1)
	if p == nil || p == old {
		t.Fatalf("%v became primary", p)
	}
	if r := g.write(p, write{row: "r", key: "k", doc: "d", deadlineMs: nowMs() + 1e4}); r.code != "" {
		t.Errorf("%+v", r)
	}
	if r := g.write(p, write{row: "r", key: "late", doc: "d", deadlineMs: nowMs() - 1}); r.code != "53300" {
		t.Errorf("a write past its deadline ran: %+v", r)
	}
}
