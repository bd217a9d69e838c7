package fleetstate

const (
	// fullReputation is that of a peer none of whose reports was refuted lately.
	fullReputation = 1.0
	// refutedFactor is what a refuted report leaves of its reporter's reputation.
	refutedFactor = 0.5
	// confirmedGain is added for a report that was confirmed here.
	confirmedGain = 0.1
	// recoveryPerMs is added with time: a minute restores all of it.
	recoveryPerMs = 1.0 / 60000
	// lowReputation: falling below it is an event.
	lowReputation = 0.5
)

// reputations weighs peers by whether their reports proved right here.
type reputations struct {
	byPeer      map[string]float64 // of peers below fullReputation
	recoveredAt int64              // ms
}

func newReputations(now int64) reputations {
	return reputations{byPeer: map[string]float64{}, recoveredAt: now}
}

// of is a peer's reputation, from 0 to fullReputation.
func (r *reputations) of(peer string) float64 {
	if reputation, ok := r.byPeer[peer]; ok {
		return reputation
	}
	return fullReputation
}

// refuted lowers the reputation of the reporter of a refuted report. It returns
// what is left, and whether it fell below lowReputation just now.
func (r *reputations) refuted(peer string) (left float64, fellLow bool) {
	before := r.of(peer)
	left = before * refutedFactor
	r.byPeer[peer] = left
	return left, before >= lowReputation && left < lowReputation
}

// confirmed raises the reputation of the reporter of a confirmed report.
func (r *reputations) confirmed(peer string) {
	r.byPeer[peer] = min(fullReputation, r.of(peer)+confirmedGain)
}

// restore lets every reputation recover with time.
func (r *reputations) restore(now int64) {
	gain := float64(now-r.recoveredAt) * recoveryPerMs
	r.recoveredAt = now
	for peer, reputation := range r.byPeer {
		reputation += gain
		if reputation >= fullReputation {
			delete(r.byPeer, peer)
		} else {
			r.byPeer[peer] = reputation
		}
	}
}
