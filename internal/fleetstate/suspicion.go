package fleetstate

import (
	"math/rand/v2"
	"slices"
)

// maxReporters is the maximum number of reports kept on one endpoint. It allows
// one from each router of a large fleet.
const maxReporters = 4096

// peerReport is one peer's latest report on an endpoint. Times are on this
// router's clock, in ms.
type peerReport struct {
	peer            string
	status          HealthStatus
	evidenceAt      int64 // time of the newest evidence
	firstEvidenceAt int64 // time of the first evidence in an uninterrupted series of reports with this status
	answeredBefore  int64 // EndpointHealth.AnsweredSentAt when the report arrived
	verified        bool  // this router's observations already confirmed or voided it
}

// asRenewalOf returns the report as a continuation of the same peer's earlier
// report, if both have the same status. It keeps the time of the first evidence.
// If the earlier report was not verified, it also keeps that report's
// answeredBefore, or the present one as far as it is not later than the earlier
// evidence.
func (p peerReport) asRenewalOf(earlier peerReport) peerReport {
	if earlier.status != p.status {
		return p
	}
	p.firstEvidenceAt = earlier.firstEvidenceAt
	if !earlier.verified {
		p.answeredBefore = max(earlier.answeredBefore, min(p.answeredBefore, earlier.evidenceAt))
	}
	return p
}

// suspicion holds the peers' reports on one endpoint and the ejection that results
// from them. Times are in ms.
type suspicion struct {
	reports         []peerReport
	reportTTLMs     int64           // age at which reports expire, drawn at random
	ejected         bool            // an ejection is in force or may be renewed
	ejectedUntil    int64           // end of the last ejection
	gossipOnlySince int64           // start of the GossipEjectionMs in progress, 0 for none
	rejectedFor     rejectionReason // why the last ejection was rejected, empty if it was not
}

// newSuspicion returns a suspicion with a random lifetime of reports, between half
// of ttlMs and all of it. Once no router has new evidence, the routers then try
// the endpoint at different times, and the first to try it reports to the others.
func newSuspicion(ttlMs int64, rng *rand.Rand) *suspicion {
	return &suspicion{reportTTLMs: ttlMs/2 + rng.Int64N(ttlMs/2+1)}
}

// add adds a report, which replaces the same peer's earlier one. A peer's report
// that the endpoint is primary is kept separately from its report of health.
func (s *suspicion) add(report peerReport) {
	i := slices.IndexFunc(s.reports, func(other peerReport) bool {
		return other.peer == report.peer && (other.status == Primary) == (report.status == Primary)
	})
	switch {
	case i >= 0 && report.evidenceAt <= s.reports[i].evidenceAt: // duplicate or reordered
	case i >= 0:
		s.reports[i] = report.asRenewalOf(s.reports[i])
	case len(s.reports) < maxReporters:
		s.reports = append(s.reports, report)
	}
}

// expire removes the reports whose newest evidence is at least reportTTLMs old.
func (s *suspicion) expire(now int64) {
	s.reports = slices.DeleteFunc(s.reports, func(report peerReport) bool {
		return now-report.evidenceAt >= s.reportTTLMs
	})
}

// finished reports whether the suspicion can be deleted. While gossipOnlySince is
// set, the suspicion is kept for four times gossipEjectionMs, so that the limit on
// ejection by gossip alone does not restart with a new suspicion.
func (s *suspicion) finished(now, gossipEjectionMs int64) bool {
	if len(s.reports) > 0 || now < s.ejectedUntil {
		return false
	}
	return s.gossipOnlySince == 0 || now-s.gossipOnlySince >= 4*gossipEjectionMs
}
