package fleetstate

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// outlierDetector evaluates peers' reports on endpoints and ejects outliers.
type outlierDetector struct {
	cfg        Config
	faults     FaultInjection
	rng        *rand.Rand
	endpoints  []EndpointHealth      // latest observation, sorted by name
	suspicions map[string]*suspicion // by endpoint name
	reported   map[string]bool       // names of endpoints whose fault this router reported
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

// endpoint returns the observed health of an endpoint, or nil if the endpoint is
// not listed.
func (d *outlierDetector) endpoint(name string) *EndpointHealth {
	i, found := slices.BinarySearchFunc(d.endpoints, name, func(endpoint EndpointHealth, name string) int {
		return cmp.Compare(endpoint.Name, name)
	})
	if !found {
		return nil
	}
	return &d.endpoints[i]
}

// observe replaces the observed health of the endpoints. The reports on endpoints
// no longer listed are deleted.
func (d *outlierDetector) observe(endpoints []EndpointHealth) {
	d.endpoints = slices.Clone(endpoints)
	slices.SortFunc(d.endpoints, func(a, b EndpointHealth) int { return cmp.Compare(a.Name, b.Name) })
	for name := range d.suspicions {
		if d.endpoint(name) == nil {
			delete(d.suspicions, name)
		}
	}
}

// recent reports whether evidence is young enough to be reported.
func (d *outlierDetector) recent(evidenceAt, now int64) bool {
	return now-evidenceAt < d.cfg.ReportTTLMs
}

// hasUnreportedFault reports whether this router observed a fault that it has not
// reported yet.
func (d *outlierDetector) hasUnreportedFault(now int64) bool {
	return slices.ContainsFunc(d.endpoints, func(endpoint EndpointHealth) bool {
		return endpoint.Fault != 0 && d.recent(endpoint.FaultAt, now) && !d.reported[endpoint.Name]
	})
}

// ownReports returns this router's reports: faults with recent evidence, healthy
// endpoints that peers suspect, and endpoints that are primaries. It updates
// reported.
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

// suspected reports whether any report on the endpoint is kept.
func (d *outlierDetector) suspected(endpoint *EndpointHealth) bool {
	suspicion := d.suspicions[endpoint.Name]
	return suspicion != nil && len(suspicion.reports) > 0
}

// receive handles a peer's report. Reports on unknown endpoints are dropped, so
// that a peer cannot exhaust memory by inventing endpoints. So are reports with an
// unknown status or with evidence that is too old.
func (d *outlierDetector) receive(peer string, report HealthReport, now int64) {
	endpoint := d.endpoint(report.Endpoint)
	if endpoint == nil || report.Status == 0 || report.Status >= numHealthStatuses {
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

// expire removes reports whose evidence is too old and lets reputations recover.
func (d *outlierDetector) expire(now int64) {
	d.reputation.restore(now)
	if d.faults.NeverExpire() {
		return
	}
	for name, suspicion := range d.suspicions {
		suspicion.expire(now)
		if suspicion.finished(now, d.cfg.GossipEjectionMs) {
			delete(d.suspicions, name)
		}
	}
}

// suggestedPrimaries returns the endpoint that peers report as primary, by group,
// for the groups of which this router knows no primary that answers. It selects
// the newest report that is newer than this router's last attempt at the
// endpoint. A wrong suggestion costs one rejected attempt. The result is nil if
// there is no suggestion.
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
