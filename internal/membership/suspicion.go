package membership

import "math"

// suspicion is Lifeguard's dynamic suspicion: its duration falls from longestMs
// to shortestMs as independent members confirm it, by log(c+1)/log(k+1) of the
// way for c of the k confirmations expected.
type suspicion struct {
	startedAt     int64 // ms
	shortestMs    int64
	longestMs     int64
	confirmations int             // expected (k)
	suspectors    map[string]bool // by name, bounded by the members
	lastPingAt    int64           // ms, the last ping before a death is declared, 0 for not sent
}

// newSuspicion starts a suspicion that suspector raised now. Among n members the
// shortest lasts SuspicionMult x max(1, log10 n) periods, so that an update has
// reached most of the fleet before a death is declared.
func (n *Node) newSuspicion(suspector string, now int64) *suspicion {
	fleet := float64(len(n.members) + 1)
	shortest := int64(n.cfg.SuspicionMult * math.Max(1, math.Log10(fleet)) * float64(n.cfg.ProbeIntervalMs))
	expected := int(n.cfg.SuspicionMult) - 2
	return &suspicion{
		startedAt:     now,
		shortestMs:    shortest,
		longestMs:     int64(n.cfg.SuspicionMaxMult * float64(shortest)),
		confirmations: max(0, min(expected, len(n.members)-1)),
		suspectors:    map[string]bool{suspector: true},
	}
}

// confirm counts another member's suspicion; it reports whether it was new.
func (s *suspicion) confirm(suspector string) bool {
	if s.suspectors[suspector] || len(s.suspectors) > s.confirmations {
		return false
	}
	s.suspectors[suspector] = true
	return true
}

// endsAt is when, in milliseconds, the suspicion becomes a death.
func (s *suspicion) endsAt() int64 {
	confirmed := len(s.suspectors) - 1
	if s.confirmations < 1 || confirmed < 1 {
		return s.startedAt + s.longestMs
	}
	fraction := math.Log(float64(confirmed)+1) / math.Log(float64(s.confirmations)+1)
	duration := float64(s.longestMs) - fraction*float64(s.longestMs-s.shortestMs)
	return s.startedAt + int64(math.Max(float64(s.shortestMs), duration))
}

// advanceSuspicion declares a suspect dead once its suspicion has ended. Before
// that it pings the suspect a last time with the suspicion, so that a refutation
// that was lost, or that gossip has not brought here, still arrives.
func (n *Node) advanceSuspicion(suspect *member, now int64) {
	s := suspect.suspicion
	if s == nil || now < s.endsAt() {
		return
	}
	if s.lastPingAt == 0 {
		s.lastPingAt = now
		ping := Message{Kind: Ping, Target: suspect.Name, Updates: []Update{suspect.Update}}
		n.sendProbe(suspect.Addr, ping, now)
		return
	}
	if now < s.lastPingAt+2*n.cfg.ProbeTimeoutMs {
		return
	}
	n.stats.DeclaredDead++
	death := suspect.Update
	death.State = Dead
	death.Suspector = n.self.Name
	n.apply(death, byGossip, now)
}
