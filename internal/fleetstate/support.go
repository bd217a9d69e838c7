package fleetstate

import (
	"cmp"
	"slices"
)

// onset sums up the reports on an endpoint under the hypothesis that a fault began
// at one time.
type onset struct {
	support        float64      // reputations of the reporters, minus those of peers answered since
	reporters      int          // number of peers that report a fault which began then or later
	status         HealthStatus // of the report with the newest evidence
	newestEvidence int64        // of the reporters, ms
}

// support returns the onset with the most support. Support is the sum of the
// reputations of the peers that report a fault of the endpoint, minus those of the
// peers that the endpoint answered after the fault began. If an endpoint really
// stopped answering, no peer got an answer since. If byzantine peers report a
// healthy endpoint, it has answered other peers since. Without any valid report of
// a fault the returned onset has no reporters.
func (d *outlierDetector) support(suspicion *suspicion, endpoint *EndpointHealth) (strongest onset) {
	var valid []*peerReport
	for i := range suspicion.reports {
		report := &suspicion.reports[i]
		if !d.verify(report, endpoint) && report.status != Primary {
			valid = append(valid, report)
		}
	}
	for _, candidate := range d.onsets(valid) {
		if strongest.reporters == 0 || candidate.support > strongest.support {
			strongest = candidate
		}
	}
	return strongest
}

// verify compares a report with this router's observations and returns whether
// they make it void. An answer to an attempt sent at the time of the evidence or
// later voids a reported fault, except Lagging, which only a fresh position voids.
// A fault observed here later than the evidence voids a report of Healthy. A
// reported fault that this router observed too raises the reporter's reputation,
// once for each report.
func (d *outlierDetector) verify(report *peerReport, endpoint *EndpointHealth) (void bool) {
	if !report.status.isFault() {
		return report.status == Healthy && endpoint.Fault != 0 && endpoint.FaultAt > report.evidenceAt
	}
	disprovedAt := endpoint.AnsweredSentAt
	if report.status == Lagging {
		disprovedAt = endpoint.FreshAt
	}
	if disprovedAt >= report.evidenceAt {
		if d.refutes(endpoint, report) {
			d.recordRefuted(report, endpoint)
		}
		report.verified = true
		return true
	}
	if !report.verified && endpoint.Fault != 0 && endpoint.FaultAt >= report.evidenceAt {
		d.reputation.reward(report.peer)
		report.verified = true
	}
	return false
}

// refutes reports whether the endpoint answered attempts sent shortly before and
// shortly after the evidence. Then it was healthy at the time, and the report was
// wrong. If such an answer was known when the report arrived, it counts as both.
func (d *outlierDetector) refutes(endpoint *EndpointHealth, report *peerReport) bool {
	if report.status != Unresponsive && report.status != Failing {
		return false // it may have been slow or lagging in between
	}
	if report.verified || report.answeredBefore <= 0 {
		return false
	}
	before := report.evidenceAt - report.answeredBefore
	after := endpoint.AnsweredSentAt - report.evidenceAt
	return before < d.cfg.ReportTTLMs && after < d.cfg.ReportTTLMs
}

// recordRefuted lowers the reporter's reputation. It adds an event only when the
// reputation falls below lowReputation, because a byzantine peer's every report
// would add one otherwise.
func (d *outlierDetector) recordRefuted(report *peerReport, endpoint *EndpointHealth) {
	left, fellLow := d.reputation.penalize(report.peer)
	if !fellLow {
		return
	}
	d.events = append(d.events, Event{
		Kind:   ReportRefuted,
		Key:    endpoint.Name,
		Peer:   report.peer,
		Status: report.status,
		Amount: left,
	})
}

// onsets returns an onset for each valid report of a fault, at the report's first
// evidence, in the order of the reports. It proceeds from the latest to the
// earliest time, as an onset includes the reporters of every later one. Comparing
// all pairs would be too slow with thousands of reports.
func (d *outlierDetector) onsets(valid []*peerReport) []onset {
	faults, healthy := splitLatestFirst(valid)
	byReport := make([]onset, len(valid)) // no reporters if the report is not of a fault
	var current onset
	newest := -1 // index of the report with the newest evidence so far
	for next := 0; next < len(faults); {
		first := next
		began := valid[faults[first]].firstEvidenceAt
		for ; next < len(faults) && valid[faults[next]].firstEvidenceAt == began; next++ {
			i := faults[next]
			report := valid[i]
			current.support += d.reputation.score(report.peer)
			current.reporters++
			// Of equally new evidence, the first report sets the status.
			tie := report.evidenceAt == current.newestEvidence && i < newest
			if report.evidenceAt > current.newestEvidence || tie {
				current.status = report.status
				current.newestEvidence = report.evidenceAt
				newest = i
			}
		}
		for len(healthy) > 0 && valid[healthy[0]].evidenceAt > began {
			current.support -= d.reputation.score(valid[healthy[0]].peer)
			healthy = healthy[1:]
		}
		for _, i := range faults[first:next] {
			byReport[i] = current
		}
	}
	return slices.DeleteFunc(byReport, func(o onset) bool { return o.reporters == 0 })
}

// splitLatestFirst returns the indexes of the reports of faults, by descending
// first evidence, and of the healthy reports, by descending newest evidence.
func splitLatestFirst(reports []*peerReport) (faults, healthy []int) {
	for i, report := range reports {
		if report.status == Healthy {
			healthy = append(healthy, i)
		} else {
			faults = append(faults, i)
		}
	}
	slices.SortStableFunc(faults, func(a, b int) int {
		return cmp.Compare(reports[b].firstEvidenceAt, reports[a].firstEvidenceAt)
	})
	slices.SortStableFunc(healthy, func(a, b int) int {
		return cmp.Compare(reports[b].evidenceAt, reports[a].evidenceAt)
	})
	return faults, healthy
}
