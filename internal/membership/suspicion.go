package membership

import "math"

// suspicion is Lifeguard's suspicion with a dynamic timeout. Its duration is maxMs
// without confirmations. With c of the k expected confirmations by other members,
// it is maxMs - (maxMs-minMs) x log(c+1)/log(k+1).
type suspicion struct {
	startedAt             int64 // ms
	minMs                 int64
	maxMs                 int64
	expectedConfirmations int             // k
	suspectors            map[string]bool // by name, at most k+1
	finalPingAt           int64           // ms, when the ping before the death was sent, 0 if it was not
}

// newSuspicion returns a suspicion that suspector raised now. Its minimum duration
// among n members is SuspicionMult x max(1, log10 n) probe intervals, in which an
// update reaches most of the fleet. It expects SuspicionMult-2 confirmations, as
// HashiCorp's memberlist library does, but at most one from each member other than
// the suspect and the suspector.
func (n *Node) newSuspicion(suspector string, now int64) *suspicion {
	count := float64(len(n.members) + 1)
	minimum := int64(n.cfg.SuspicionMult * math.Max(1, math.Log10(count)) * float64(n.cfg.ProbeIntervalMs))
	expected := int(n.cfg.SuspicionMult) - 2
	return &suspicion{
		startedAt:             now,
		minMs:                 minimum,
		maxMs:                 int64(n.cfg.SuspicionMaxMult * float64(minimum)),
		expectedConfirmations: max(0, min(expected, len(n.members)-1)),
		suspectors:            map[string]bool{suspector: true},
	}
}

// confirm counts the suspicion by another member. It returns false if that member
// was counted already, or all expected confirmations were.
func (s *suspicion) confirm(suspector string) bool {
	if s.suspectors[suspector] || len(s.suspectors) > s.expectedConfirmations {
		return false
	}
	s.suspectors[suspector] = true
	return true
}

// endsAt returns the time, in milliseconds, when the suspicion ends.
func (s *suspicion) endsAt() int64 {
	confirmed := len(s.suspectors) - 1
	if s.expectedConfirmations < 1 || confirmed < 1 {
		return s.startedAt + s.maxMs
	}
	fraction := math.Log(float64(confirmed)+1) / math.Log(float64(s.expectedConfirmations)+1)
	duration := float64(s.maxMs) - fraction*float64(s.maxMs-s.minMs)
	return s.startedAt + int64(math.Max(float64(s.minMs), duration))
}

// advanceSuspicion handles a suspicion that has ended. It sends the suspect a final
// ping with the suspicion, and declares it dead if no refutation arrives within
// two probe timeouts. The ping makes the suspect repeat a refutation that was lost
// or that gossip did not deliver here.
func (n *Node) advanceSuspicion(suspect *member, now int64) {
	s := suspect.suspicion
	if s == nil || now < s.endsAt() {
		return
	}
	if s.finalPingAt == 0 {
		s.finalPingAt = now
		ping := Message{Kind: Ping, Target: suspect.Name, Updates: []Update{suspect.Update}}
		n.sendProbeMessage(suspect.Addr, ping, now)
		return
	}
	if now < s.finalPingAt+2*n.cfg.ProbeTimeoutMs {
		return
	}
	n.stats.DeclaredDead++
	death := suspect.Update
	death.State = Dead
	death.Suspector = n.self.Name
	n.apply(death, fromGossip, now)
}
