package standin

import (
	"io"
	"net"
	"sync"
	"testing"
)

// quick is a cluster of one group whose times are short.
func quick(t *testing.T, s Sabotage) *Cluster {
	t.Helper()
	o := Defaults()
	o.Groups, o.WorkMin, o.WorkMax, o.ShipMin, o.ShipMax = 1, 0, 1, 0, 1
	o.DetectMin, o.DetectMax, o.ElectMin, o.ElectMax, o.ResetAfter, o.FullChance, o.Sabotage = 1, 2, 1, 2, 0, 0, s
	c, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// A repeat of a live key waits for the first and adds nothing; a sabotaged
// group adds it, or records nothing.
func TestRepeatsOfAKeyAreDropped(t *testing.T) {
	for _, s := range []Sabotage{"", ForgetsKeys} {
		c := quick(t, s)
		g := c.groups[0]
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				if r := g.write(g.hosts[0], "row", "key", "doc", nowMs()+1e4); r.code != "" || string(r.doc) != "doc" {
					t.Errorf("%+v", r)
				}
			})
		}
		wg.Wait()
		want := 1
		if s == ForgetsKeys {
			want = 5
		}
		if n := len(c.Executions()); n != want {
			t.Errorf("%q: %d executions, want %d", s, n, want)
		}
	}
	c := quick(t, AcksEarly)
	for n := range 200 {
		c.groups[0].write(c.groups[0].hosts[0], string(rune(n)), string(rune(n)), "doc", nowMs()+1e4)
	}
	if n := len(c.Executions()); n == 200 || n == 0 {
		t.Errorf("%d of 200 early answers were recorded", n)
	}
}

// What is under way dies with its primary; the one that follows takes writes,
// and the old one is a replica when it returns.
func TestAPrimaryThatDiesIsReplaced(t *testing.T) {
	c := quick(t, "")
	g := c.groups[0]
	old := g.hosts[0]
	if r := g.write(g.hosts[1], "r", "k", "d", nowMs()+1e4); r.code != "25006" {
		t.Errorf("a replica took a write: %+v", r)
	}
	if r := g.read(g.hosts[1], "r", g.opt.Fresh, 0); r.code != "72000" {
		t.Errorf("a replica took a fresh read: %+v", r)
	}
	old.stop()
	if r := g.write(old, "r", "k", "d", nowMs()+1e4); r.code != "XX000" || len(c.Executions()) != 0 {
		t.Errorf("a dead primary recorded: %+v", r)
	}
	g.fail(old)
	p := c.Primary(1)
	if p == nil || p == old {
		t.Fatalf("%v took over", p)
	}
	if r := g.write(p, "r", "k", "d", nowMs()+1e4); r.code != "" {
		t.Errorf("%+v", r)
	}
	if r := g.write(p, "r", "late", "d", nowMs()-1); r.code != "53300" {
		t.Errorf("one whose time is over ran: %+v", r)
	}
}

// Without faults a link carries every byte in order; with a break it ends.
func TestALinkCarriesOrBreaks(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	for _, f := range []Faults{{}, {Break: 1}} {
		l, err := StreamLink(ln.Addr().String(), f, 1)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("twelve bytes")); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 12)
		_, err = io.ReadFull(c, b)
		if broken := err != nil; broken != (f.Break > 0) || !broken && string(b) != "twelve bytes" {
			t.Errorf("%+v: %q, %v", f, b, err)
		}
		_ = c.Close()
		l.Close()
	}
}
