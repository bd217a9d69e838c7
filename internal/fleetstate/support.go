package fleetstate

import (
	"cmp"
	"slices"
)

// onset weighs the reports on an endpoint for one moment at which a fault may
// have begun.
type onset struct {
	support        float64 // reputations of those who report a fault since then, less the others'
	reporters      int     // who report a fault since then
	status         HealthStatus
	newestEvidence int64 // of theirs, ms
}

// support is the reputation of those who report a fault of the endpoint, less
// that of those whom it answered after the fault began, for the onset that has
// most. An endpoint that just hung has reports since then and nobody whom it
// answered later; one that byzantine peers report has answered others ever
// since. Without any valid report the onset has no reporters.
func (d *outlierDetector) support(suspicion *suspicion, endpoint *EndpointHealth) (most onset) {
	var valid []*peerReport
	for i := range suspicion.reports {
		report := &suspicion.reports[i]
		if !d.verify(report, endpoint) && report.status != Primary {
			valid = append(valid, report)
		}
	}
	for _, candidate := range d.onsets(valid) {
		if most.reporters == 0 || candidate.support > most.support {
			most = candidate
		}
	}
	return most
}

// verify compares a report with what was observed here and says whether that
// makes it void. An answer to an attempt sent after the evidence voids a
// reported fault. A fault confirmed here restores some of the reporter's
// reputation.
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
		d.reputation.confirmed(report.peer)
		report.verified = true
	}
	return false
}

// refutes reports that the endpoint answered attempts sent shortly before and
// shortly after the evidence: then it was healthy around it, and the report
// was wrong.
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

// recordRefuted lowers the reporter's reputation. Only its fall is an event: a
// byzantine peer's every report would be one.
func (d *outlierDetector) recordRefuted(report *peerReport, endpoint *EndpointHealth) {
	left, fellLow := d.reputation.refuted(report.peer)
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

// onsets weighs each moment at which a valid report of a fault began, in the
// order of the reports. It goes through the moments from the latest to the
// earliest, as each has the reporters of every later one: a fleet of thousands
// sends as many reports.
func (d *outlierDetector) onsets(valid []*peerReport) []onset {
	faults, healthy := latestFirst(valid)
	byReport := make([]onset, len(valid)) // without reporters where the report is of no fault
	var current onset
	newest := -1 // index of the report with the newest evidence so far
	for next := 0; next < len(faults); {
		first := next
		began := valid[faults[first]].firstEvidenceAt
		for ; next < len(faults) && valid[faults[next]].firstEvidenceAt == began; next++ {
			i := faults[next]
			report := valid[i]
			current.support += d.reputation.of(report.peer)
			current.reporters++
			// Of equally new evidence the first report's counts.
			tie := report.evidenceAt == current.newestEvidence && i < newest
			if report.evidenceAt > current.newestEvidence || tie {
				current.status = report.status
				current.newestEvidence = report.evidenceAt
				newest = i
			}
		}
		for len(healthy) > 0 && valid[healthy[0]].evidenceAt > began {
			current.support -= d.reputation.of(valid[healthy[0]].peer)
			healthy = healthy[1:]
		}
		for _, i := range faults[first:next] {
			byReport[i] = current
		}
	}
	return slices.DeleteFunc(byReport, func(o onset) bool { return o.reporters == 0 })
}

// latestFirst splits reports into those of faults, by the beginning of their
// evidence, and those of health, by its end. It returns their indexes.
func latestFirst(reports []*peerReport) (faults, healthy []int) {
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
