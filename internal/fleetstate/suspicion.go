package fleetstate

import (
	"math/rand/v2"
	"slices"
)

// maxReporters bounds the reports kept on one endpoint: one of each router of a
// large fleet.
const maxReporters = 4096

// peerReport is one peer's latest report on an endpoint. Times are on this
// router's clock, in ms.
type peerReport struct {
	peer            string
	status          HealthStatus
	evidenceAt      int64 // the newest evidence
	firstEvidenceAt int64 // the oldest, where the report was renewed ever since
	answeredBefore  int64 // EndpointHealth.AnsweredSentAt when the report came
	verified        bool  // it was compared with what was observed here
}

// renewing continues an earlier report of the same peer: what was observed here
// before its first evidence still counts.
func (p peerReport) renewing(earlier peerReport) peerReport {
	if earlier.status != p.status {
		return p
	}
	p.firstEvidenceAt = earlier.firstEvidenceAt
	if !earlier.verified {
		p.answeredBefore = max(earlier.answeredBefore, min(p.answeredBefore, earlier.evidenceAt))
	}
	return p
}

// suspicion is what is kept of one endpoint beside what was observed here: the
// peers' reports, and the ejection that follows from them. Times are in ms.
type suspicion struct {
	reports         []peerReport
	reportTTLMs     int64 // how long a report on it counts here: drawn
	ejected         bool
	ejectedUntil    int64
	gossipOnlySince int64           // since when gossip alone ejects it, 0 for not
	rejectedFor     rejectionReason // why the last ejection was rejected
}

// newSuspicion draws its reports' lifetime, so that not all routers try an
// endpoint again at one moment once nobody has new evidence: the first to try
// reports to the others.
func newSuspicion(ttlMs int64, rng *rand.Rand) *suspicion {
	return &suspicion{reportTTLMs: ttlMs/2 + rng.Int64N(ttlMs/2+1)}
}

// add keeps a report instead of the same peer's earlier one. A report that the
// endpoint is primary stands beside one on its health.
func (s *suspicion) add(report peerReport) {
	i := slices.IndexFunc(s.reports, func(other peerReport) bool {
		return other.peer == report.peer && (other.status == Primary) == (report.status == Primary)
	})
	switch {
	case i >= 0 && report.evidenceAt <= s.reports[i].evidenceAt: // duplicated or reordered
	case i >= 0:
		s.reports[i] = report.renewing(s.reports[i])
	case len(s.reports) < maxReporters:
		s.reports = append(s.reports, report)
	}
}

// expire drops reports with too old evidence.
func (s *suspicion) expire(now int64) {
	s.reports = slices.DeleteFunc(s.reports, func(report peerReport) bool {
		return now-report.evidenceAt >= s.reportTTLMs
	})
}

// over reports that nothing is left of the suspicion. How long gossip alone has
// ejected the endpoint is remembered for some times that limit, so that the
// limit cannot begin anew at once.
func (s *suspicion) over(now, gossipEjectionMs int64) bool {
	if len(s.reports) > 0 || now < s.ejectedUntil {
		return false
	}
	return s.gossipOnlySince == 0 || now-s.gossipOnlySince >= 4*gossipEjectionMs
}
