package fleetstate

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// outlierDetector weighs what peers report of endpoints and ejects outliers.
type outlierDetector struct {
	cfg        Config
	faults     FaultInjection
	rng        *rand.Rand
	endpoints  []EndpointHealth // as last observed, by name
	suspicions map[string]*suspicion
	reported   map[string]bool // endpoints of which this router reported a fault
	reputation reputations
	events     []Event // since the last tick
}

func newOutlierDetector(cfg Config, now int64) *outlierDetector {
	return &outlierDetector{
		cfg:        cfg,
		faults:     cfg.faults(),
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0x1d9e)),
		suspicions: map[string]*suspicion{},
		reported:   map[string]bool{},
		reputation: newReputations(now),
	}
}

// endpoint returns what was observed of an endpoint, nil if it is not listed.
func (d *outlierDetector) endpoint(name string) *EndpointHealth {
	i, found := slices.BinarySearchFunc(d.endpoints, name, func(endpoint EndpointHealth, name string) int {
		return cmp.Compare(endpoint.Name, name)
	})
	if !found {
		return nil
	}
	return &d.endpoints[i]
}

// observe takes what this router observed. Endpoints no longer named are
// forgotten, with all that was reported of them.
func (d *outlierDetector) observe(endpoints []EndpointHealth) {
	d.endpoints = slices.Clone(endpoints)
	slices.SortFunc(d.endpoints, func(a, b EndpointHealth) int { return cmp.Compare(a.Name, b.Name) })
	for name := range d.suspicions {
		if d.endpoint(name) == nil {
			delete(d.suspicions, name)
		}
	}
}

// recent reports evidence that may still be reported.
func (d *outlierDetector) recent(evidenceAt, now int64) bool {
	return now-evidenceAt < d.cfg.ReportTTLMs
}

// hasUnreportedFault reports that a fault was observed here and not sent yet.
func (d *outlierDetector) hasUnreportedFault(now int64) bool {
	return slices.ContainsFunc(d.endpoints, func(endpoint EndpointHealth) bool {
		return endpoint.Fault != 0 && d.recent(endpoint.FaultAt, now) && !d.reported[endpoint.Name]
	})
}

// ownReports are this router's reports: each fault observed here while its
// evidence is recent, that an endpoint is healthy where peers suspect it, and
// which endpoints are primaries.
func (d *outlierDetector) ownReports(now int64) (reports []HealthReport) {
	clear(d.reported)
	for i := range d.endpoints {
		endpoint := &d.endpoints[i]
		switch {
		case d.faults.ReportAllUnresponsive():
			reports = append(reports, HealthReport{Endpoint: endpoint.Name, Status: Unresponsive})
		case d.faults.ReportAllHealthy():
			reports = append(reports, HealthReport{Endpoint: endpoint.Name, Status: Healthy})
		default:
			reports = d.appendReports(reports, endpoint, now)
		}
	}
	return reports
}

// appendReports appends this router's reports on one endpoint.
func (d *outlierDetector) appendReports(
	reports []HealthReport, endpoint *EndpointHealth, now int64,
) []HealthReport {
	report := func(status HealthStatus, evidenceAt int64) {
		reports = append(reports, HealthReport{
			Endpoint: endpoint.Name,
			Status:   status,
			AgeMs:    max(0, now-evidenceAt),
		})
	}
	switch {
	case endpoint.Fault != 0 && d.recent(endpoint.FaultAt, now):
		report(endpoint.Fault, endpoint.FaultAt)
		d.reported[endpoint.Name] = true
	case d.suspected(endpoint) && endpoint.AnsweredSentAt > 0 && d.recent(endpoint.AnsweredSentAt, now):
		report(Healthy, endpoint.AnsweredSentAt)
	}
	if endpoint.PrimaryReportedAt > 0 && d.recent(endpoint.PrimaryReportedAt, now) {
		report(Primary, endpoint.PrimaryReportedAt)
	}
	return reports
}

// suspected reports that peers reported something of the endpoint.
func (d *outlierDetector) suspected(endpoint *EndpointHealth) bool {
	suspicion := d.suspicions[endpoint.Name]
	return suspicion != nil && len(suspicion.reports) > 0
}

// receive takes a peer's report. On an unknown endpoint nothing is kept: a peer
// that invents endpoints takes no memory.
func (d *outlierDetector) receive(peer string, report HealthReport, now int64) {
	endpoint := d.endpoint(report.Endpoint)
	if endpoint == nil || report.Status == 0 || report.Status >= healthStatuses {
		return
	}
	if report.AgeMs < 0 || report.AgeMs >= d.cfg.ReportTTLMs {
		return
	}
	suspected := d.suspicions[report.Endpoint]
	if suspected == nil {
		suspected = newSuspicion(d.cfg.ReportTTLMs, d.rng)
		d.suspicions[report.Endpoint] = suspected
	}
	suspected.add(peerReport{
		peer:            peer,
		status:          report.Status,
		evidenceAt:      now - report.AgeMs,
		firstEvidenceAt: now - report.AgeMs,
		answeredBefore:  endpoint.AnsweredSentAt,
	})
}

// expire drops reports whose evidence is too old and restores reputations.
func (d *outlierDetector) expire(now int64) {
	d.reputation.restore(now)
	if d.faults.NeverExpire() {
		return
	}
	for name, suspicion := range d.suspicions {
		suspicion.expire(now)
		if suspicion.over(now, d.cfg.GossipEjectionMs) {
			delete(d.suspicions, name)
		}
	}
}

// suggestedPrimaries returns by group which endpoint peers report as primary,
// where this router has none that answers: the newest report, if it is newer
// than the last attempt here. A wrong one costs one rejected attempt. It is nil
// if there is none.
func (d *outlierDetector) suggestedPrimaries() (suggested map[int]string) {
	newest := map[int]int64{}
	for i := range d.endpoints {
		endpoint := &d.endpoints[i]
		suspicion := d.suspicions[endpoint.Name]
		if suspicion == nil || !endpoint.PrimaryUnknown || !endpoint.Ready {
			continue
		}
		for _, report := range suspicion.reports {
			known := max(newest[endpoint.Group], endpoint.LastSentAt)
			if report.status != Primary || report.evidenceAt <= known {
				continue
			}
			if suggested == nil {
				suggested = map[int]string{}
			}
			newest[endpoint.Group] = report.evidenceAt
			suggested[endpoint.Group] = endpoint.Name
		}
	}
	return suggested
}
