package membership

import (
	"fmt"
	"testing"
)

// Whoever would declare a death asks the suspect once more, with the
// suspicion; its word in the answer ends it, and silence is a death.
func TestALastCallBeforeADeath(t *testing.T) {
	for _, answers := range []bool{true, false} {
		cfg := Defaults()
		cfg.Name, cfg.Addr = "me", "127.0.0.1:1"
		n := New(cfg, 0)
		n.Receive("at a", Message{Kind: Ack, Updates: []Update{{Name: "a", Addr: "at a", Start: 1}, {Name: "b", Addr: "at b", Start: 1}}}, 0)
		n.Receive("at b", Message{Kind: Ack, Updates: []Update{{Name: "a", Addr: "at a", Start: 1, State: Suspect, Suspector: "b"}}}, 0)
		ends, calls := n.members["a"].suspicion.endsAt(), 0
		for now := int64(20); now < ends+4*cfg.ProbeTimeoutMs; now += 20 {
			for _, p := range n.Tick(now).Packets {
				if p.To != "at a" || p.Message.Kind != Ping || now < ends || len(p.Message.Updates) == 0 || p.Message.Updates[0].State != Suspect {
					continue
				}
				if calls++; answers { // as a member answers a ping that doubts it
					n.Receive("at a", Message{Kind: Ack, Seq: p.Message.Seq, Target: "a", Updates: []Update{{Name: "a", Addr: "at a", Start: 1, Incarnation: 1}}}, now+1)
				}
			}
		}
		e := n.members["a"] // it may be suspected anew: its other probes go unanswered here
		if died := e.State == Dead; calls == 0 || died == answers || answers && e.Incarnation != 1 {
			t.Errorf("answers %v: the suspect is %v at incarnation %d after %d last calls", answers, e.State, e.Incarnation, calls)
		}
	}
}

// A ping that doubts a member is answered with that member's own word.
func TestAPingThatDoubtsHearsTheRefutation(t *testing.T) {
	cfg := Defaults()
	cfg.Name, cfg.Addr, cfg.Start = "me", "127.0.0.1:1", 1
	n := New(cfg, 0)
	for i := range 50 { // long after gossip has stopped carrying it
		word := false
		r := n.Receive("at x", Message{Kind: Ping, Seq: 7, Target: "me", From: "x", Updates: []Update{{Name: "me", Addr: cfg.Addr, Start: 1, State: Suspect, Suspector: "y"}}}, 0)
		for _, p := range r.Packets {
			word = word || p.To == "at x" && p.Message.Kind == Ack && len(p.Message.Updates) > 0 && p.Message.Updates[0].Name == "me" && p.Message.Updates[0].Incarnation == 1
		}
		if !word {
			t.Fatalf("ping %d: no refutation with the answer: %+v", i+1, r.Packets)
		}
	}
}

// A member that met a larger view asks on every period, from where the last
// answer ended, until nobody knows more.
func TestWhoKnowsLessAsksPageAfterPage(t *testing.T) {
	cfg := Defaults()
	cfg.Name, cfg.Addr = "me", "127.0.0.1:1"
	n := New(cfg, 0)
	page := Message{Kind: SyncReply, From: "m00", Count: 40}
	for i := range 10 {
		page.Updates = append(page.Updates, Update{Name: fmt.Sprintf("m%02d", i), Addr: fmt.Sprint("at ", i), Start: 1})
	}
	n.Receive("at 0", page, 0)
	asked := func(from, to int64) (n0 int, after string) {
		for now := from; now < to; now += 20 {
			for _, p := range n.Tick(now).Packets {
				if p.Message.Kind == Sync {
					n0, after = n0+1, p.Message.After
				}
			}
		}
		return n0, after
	}
	if k, after := asked(20, 1020); k < 4 || after != "m09" {
		t.Errorf("behind it asked %d times in a second, after %q; want each period, after m09", k, after)
	}
	asked(1020, 4*cfg.PushPullIntervalMs)
	if k, _ := asked(4*cfg.PushPullIntervalMs, 8*cfg.PushPullIntervalMs); k > 5 {
		t.Errorf("with nobody who knows more it asked %d times in 4 s, want one a second", k)
	}
}
