package fleetstate

const (
	// fullReputation is the reputation of a peer without recently refuted reports.
	fullReputation = 1.0
	// refutedFactor multiplies the reputation of the reporter of a refuted report.
	refutedFactor = 0.5
	// confirmedGain is added to the reputation of the reporter of a confirmed
	// report.
	confirmedGain = 0.1
	// recoveryPerMs is the gain with time. Full recovery takes at most a minute.
	recoveryPerMs = 1.0 / 60000
	// lowReputation is the threshold below which a fall is logged as an event.
	lowReputation = 0.5
)

// reputations rates peers by whether this router's observations confirm or refute
// their reports.
type reputations struct {
	byPeer      map[string]float64 // only peers below fullReputation
	recoveredAt int64              // when restore was last called, ms
}

func newReputations(now int64) reputations {
	return reputations{byPeer: map[string]float64{}, recoveredAt: now}
}

// score returns a peer's reputation, from 0 to fullReputation.
func (r *reputations) score(peer string) float64 {
	if reputation, ok := r.byPeer[peer]; ok {
		return reputation
	}
	return fullReputation
}

// penalize lowers the reputation of the reporter of a refuted report. It returns
// the reputation left, and whether this call lowered it below lowReputation.
func (r *reputations) penalize(peer string) (left float64, fellLow bool) {
	before := r.score(peer)
	left = before * refutedFactor
	r.byPeer[peer] = left
	return left, before >= lowReputation && left < lowReputation
}

// reward raises the reputation of the reporter of a confirmed report.
func (r *reputations) reward(peer string) {
	r.byPeer[peer] = min(fullReputation, r.score(peer)+confirmedGain)
}

// restore raises every reputation by the recovery since the previous call.
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
