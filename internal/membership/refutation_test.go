package membership

import "testing"

// TestLastPingBeforeDeath checks that a suspect is sent a final ping with the
// suspicion before it is declared dead. The refutation in its ack ends the
// suspicion; without an ack the suspect is declared dead.
func TestLastPingBeforeDeath(t *testing.T) {
	for _, answers := range []bool{true, false} {
		cfg := Defaults()
		cfg.Name = "me"
		cfg.Addr = "127.0.0.1:1"
		n := New(cfg, 0)
		joins := []Update{{Name: "a", Addr: "at a", Start: 1}, {Name: "b", Addr: "at b", Start: 1}}
		suspicion := Update{Name: "a", Addr: "at a", Start: 1, State: Suspect, Suspector: "b"}
		refutation := Update{Name: "a", Addr: "at a", Start: 1, Incarnation: 1}
		n.Receive("at a", Message{Kind: Ack, Updates: joins}, 0)
		n.Receive("at b", Message{Kind: Ack, Updates: []Update{suspicion}}, 0)
		endsAt := n.members["a"].suspicion.endsAt()
		finalPings := 0
		for now := int64(20); now < endsAt+4*cfg.ProbeTimeoutMs; now += 20 {
			for _, p := range n.Tick(now).Packets {
				if now < endsAt || p.To != "at a" || !isPingOfSuspect(p.Message) {
					continue
				}
				finalPings++
				if answers { // with the refutation, as receivePing does
					ack := Message{Kind: Ack, Seq: p.Message.Seq, Target: "a", Updates: []Update{refutation}}
					n.Receive("at a", ack, now+1)
				}
			}
		}
		suspect := n.members["a"] // may be suspected again, because the test answers no other probe
		declaredDead := suspect.State == Dead
		if finalPings == 0 || declaredDead == answers || answers && suspect.Incarnation != 1 {
			t.Errorf("answers %v: suspect is %v at incarnation %d after %d final pings, want a ping and dead only if unanswered",
				answers, suspect.State, suspect.Incarnation, finalPings)
		}
	}
}

// isPingOfSuspect reports whether a message is a ping whose first update is a
// suspicion.
func isPingOfSuspect(m Message) bool {
	return m.Kind == Ping && len(m.Updates) > 0 && m.Updates[0].State == Suspect
}

// TestAckOfSuspectingPingHasRefutation checks that the ack of every ping that
// carries a suspicion of the receiver carries the refutation.
func TestAckOfSuspectingPingHasRefutation(t *testing.T) {
	cfg := Defaults()
	cfg.Name = "me"
	cfg.Addr = "127.0.0.1:1"
	cfg.Start = 1
	n := New(cfg, 0)
	suspicion := Update{Name: "me", Addr: cfg.Addr, Start: 1, State: Suspect, Suspector: "y"}
	for i := range 50 { // more than retransmitLimit, so that gossip no longer sends the refutation
		ping := Message{Kind: Ping, Seq: 7, Target: "me", From: "x", Updates: []Update{suspicion}}
		ready := n.Receive("at x", ping, 0)
		refuted := false
		for _, p := range ready.Packets {
			if p.To != "at x" || p.Message.Kind != Ack || len(p.Message.Updates) == 0 {
				continue
			}
			first := p.Message.Updates[0]
			refuted = refuted || first.Name == "me" && first.Incarnation == 1
		}
		if !refuted {
			t.Fatalf("ping %d: no ack with a refutation in %+v", i+1, ready.Packets)
		}
	}
}
