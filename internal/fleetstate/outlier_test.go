package fleetstate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate/faultinjection"
)

func detectorOf(endpoints ...EndpointHealth) *outlierDetector {
	detector := newOutlierDetector(Defaults(), 0)
	detector.observe(endpoints)
	return detector
}

func groupOfThree() []EndpointHealth {
	return []EndpointHealth{
		{Name: "a", Group: 1, Ready: true},
		{Name: "b", Group: 1, Ready: true},
		{Name: "c", Group: 1, Ready: true},
	}
}

// ejected returns the names of the ejected endpoints, concatenated.
func ejected(detector *outlierDetector, now int64) (names string) {
	for _, x := range detector.eject(now) {
		names += x.Endpoint
	}
	return names
}

func TestEjectionNeedsTwoReportersAndEndsWithAnAnswer(t *testing.T) {
	detector := detectorOf(groupOfThree()...)
	detector.receive("p", HealthReport{"b", Unresponsive, 0}, 1000)
	if got := ejected(detector, 1000); got != "" {
		t.Fatalf("ejected %q after one report, want none", got)
	}
	detector.receive("p", HealthReport{"b", Unresponsive, 0}, 1100) // from the same reporter
	if got := ejected(detector, 1100); got != "" {
		t.Fatalf("ejected %q after two reports of one peer, want none", got)
	}
	detector.receive("q", HealthReport{"b", Unresponsive, 100}, 1100)
	if got := ejected(detector, 1100); got != "b" {
		t.Fatalf("ejected %q after reports of two peers, want b", got)
	}
	endpoints := groupOfThree()
	endpoints[1].AnsweredSentAt, endpoints[1].LastSentAt = 1150, 1150
	detector.observe(endpoints)
	if got := ejected(detector, 1200); got != "" {
		t.Fatalf("ejected %q after b answered an attempt sent after the evidence, want none", got)
	}
}

// A report is refuted if the endpoint answered this router shortly before and
// shortly after the evidence. Its reporter loses reputation, so that two such
// reporters can no longer eject an endpoint. Reputation recovers with time.
func TestRefutedReportsLowerReputation(t *testing.T) {
	endpoints := groupOfThree()
	endpoints[1].AnsweredSentAt = 900
	detector := detectorOf(endpoints...)
	for _, p := range []string{"p", "q"} {
		detector.receive(p, HealthReport{"b", Unresponsive, 0}, 1000)
	}
	if got := ejected(detector, 1000); got != "b" {
		t.Fatalf("ejected %q before the refutation, want b", got)
	}
	endpoints[1].AnsweredSentAt = 1100
	detector.observe(endpoints)
	ejected(detector, 1200)
	if detector.reputation.score("p") >= 0.6 || detector.reputation.score("q") >= 0.6 {
		t.Fatalf("reputations after a refuted report = %.2f and %.2f, want below 0.6",
			detector.reputation.score("p"), detector.reputation.score("q"))
	}
	for _, p := range []string{"p", "q"} {
		detector.receive(p, HealthReport{"c", Unresponsive, 0}, 1300)
	}
	if got := ejected(detector, 1300); got != "" {
		t.Errorf("ejected %q after reports of two peers with refuted reports, want none", got)
	}
	if ejected(detector, 100_000); detector.reputation.score("p") < 1 {
		t.Errorf("reputation after recovery = %.2f, want 1", detector.reputation.score("p"))
	}
}

// An ejection by gossip ends with the reports' lifetime, and with constant renewal
// after GossipEjectionMs.
func TestGossipEjectionExpires(t *testing.T) {
	detector := detectorOf(groupOfThree()...)
	report := func(now int64) {
		detector.receive("p", HealthReport{"b", Unresponsive, 0}, now)
		detector.receive("q", HealthReport{"b", Unresponsive, 0}, now)
	}
	report(1000)
	if got := detector.eject(1000); len(got) != 1 || got[0].Until != 1000+detector.cfg.EjectionMs {
		t.Fatalf("ejected %+v, want b until %d", got, 1000+detector.cfg.EjectionMs)
	}
	if got := ejected(detector, 1000+detector.cfg.ReportTTLMs); got != "" {
		t.Errorf("ejected %q by expired reports, want none", got)
	}
	detector = detectorOf(groupOfThree()...)
	last := int64(0)
	for now := int64(1000); now < 60_000; now += 100 {
		report(now)
		if ejected(detector, now) != "" {
			last = now
		}
	}
	if last > 1000+detector.cfg.GossipEjectionMs {
		most := 1000 + detector.cfg.GossipEjectionMs
		t.Errorf("gossip alone ejected b until %d ms without an attempt here, want until %d at most", last, most)
	}
}

// Newer evidence of a peer defers the next trial of an endpoint whose fault this
// router observed, by at most twice ReportTTLMs.
func TestPeerEvidenceDefersTrialForLimitedTime(t *testing.T) {
	endpoints := groupOfThree()
	endpoints[1].Fault, endpoints[1].FaultAt, endpoints[1].LastSentAt = Unresponsive, 1000, 1000
	detector := detectorOf(endpoints...)
	if got := ejected(detector, 1100); got != "" {
		t.Fatalf("ejected %q without a report, want none", got)
	}
	last := int64(0)
	for now := int64(1200); now < 20_000; now += 100 {
		detector.receive("p", HealthReport{"b", Unresponsive, 0}, now)
		for _, x := range detector.eject(now) {
			if !x.ObservedHere {
				t.Fatalf("ejected %+v, want ObservedHere", x)
			}
			last = x.Until
		}
	}
	if most := 1000 + 2*detector.cfg.ReportTTLMs; last == 0 || last > most {
		t.Errorf("trials were deferred until %d ms, want a time after 0 and up to %d", last, most)
	}
}

// A primary is never ejected and its trials are never deferred, because no other
// endpoint can take its place.
func TestPrimaryIsNeverEjected(t *testing.T) {
	for _, bad := range []HealthStatus{0, Unresponsive} {
		endpoints := groupOfThree()
		endpoints[1].Primary, endpoints[1].Fault, endpoints[1].FaultAt = true, bad, 1000
		detector := detectorOf(endpoints...)
		for _, p := range []string{"p", "q", "r"} {
			detector.receive(p, HealthReport{"b", Unresponsive, 0}, 1200)
		}
		if got := ejected(detector, 1200); got != "" {
			t.Errorf("ejected %q, the group's primary, want none", got)
		}
	}
}

func TestPrimaryIsSuggestedOnlyWhereUnknown(t *testing.T) {
	endpoints := groupOfThree()
	detector := detectorOf(endpoints...)
	detector.receive("p", HealthReport{"c", Primary, 10}, 1000)
	if got := detector.suggestedPrimaries(); len(got) > 0 {
		t.Fatalf("suggestedPrimaries() with a known primary = %v, want none", got)
	}
	for i := range endpoints {
		endpoints[i].PrimaryUnknown = true
	}
	detector.observe(endpoints)
	if got := detector.suggestedPrimaries(); got[1] != "c" {
		t.Fatalf("suggestedPrimaries() without a known primary = %v, want c", got)
	}
	endpoints[2].LastSentAt = 1100
	detector.observe(endpoints)
	if got := detector.suggestedPrimaries(); len(got) > 0 {
		t.Errorf("suggestedPrimaries() after an attempt at c = %v, want none", got)
	}
}

func TestReportsOnUnknownEndpointsTakeNoMemory(t *testing.T) {
	detector := detectorOf(groupOfThree()...)
	for i := range 1000 {
		detector.receive("p", HealthReport{fmt.Sprint("x", i), Unresponsive, 0}, 1000)
		detector.receive(fmt.Sprint("p", i), HealthReport{"a", Unresponsive, 0}, 1000)
	}
	if len(detector.suspicions) != 1 || len(detector.suspicions["a"].reports) > maxReporters {
		t.Errorf("%d endpoints and %d reports kept, want 1 endpoint and at most maxReporters reports",
			len(detector.suspicions), len(detector.suspicions["a"].reports))
	}
}

// For any reports of any number of peers and any observations of this router,
// gossip ejects at most MaxEjectedFraction of a group's ready endpoints and never
// the last healthy one. Every ejection ends within EjectionMs and rests on evidence
// that is newer than the last answer here and younger than ReportTTLMs.
func TestNoReportsExceedTheEjectionLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkEjectionLimits(t) })
}

// With the injected fault, a detector that trusts a single report ejects more than
// the limits allow, so that the test of the limits detects it.
func TestTrustInOneReporterExceedsEjectionLimits(t *testing.T) {
	cfg := Defaults()
	cfg.FaultInjection = faultinjection.TrustOne
	detector := newOutlierDetector(cfg, 0)
	detector.observe(groupOfThree())
	for _, h := range []string{"a", "b", "c"} {
		detector.receive("p", HealthReport{h, Unresponsive, 0}, 1000)
	}
	if got := ejected(detector, 1000); len(got) < 3 {
		t.Errorf("ejected %q, want all three endpoints: the injected fault has no effect", got)
	}
}

// ejectionSimulation passes random reports and observations to a detector.
type ejectionSimulation struct {
	detector  *outlierDetector
	endpoints []EndpointHealth
	now       int64
}

// checkEjectionLimits runs one random sequence of events and checks the ejections
// after each.
func checkEjectionLimits(t *rapid.T) {
	simulation := &ejectionSimulation{detector: newOutlierDetector(Defaults(), 0), now: 10_000}
	for group := range rapid.IntRange(1, 3).Draw(t, "groups") {
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			simulation.endpoints = append(simulation.endpoints, EndpointHealth{
				Name:  fmt.Sprintf("g%d-%d", group, i),
				Group: group,
				Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0,
			})
		}
	}
	simulation.detector.observe(simulation.endpoints)
	for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
		switch rapid.IntRange(0, 3).Draw(t, fmt.Sprint("event", step)) {
		case 0:
			simulation.now += rapid.Int64Range(1, 3000).Draw(t, "ms")
		case 1:
			simulation.observe(t)
		default:
			simulation.report(t)
		}
		ejections := map[string]Ejection{}
		for _, ejection := range simulation.detector.eject(simulation.now) {
			ejections[ejection.Endpoint] = ejection
			simulation.checkEjection(t, ejection)
		}
		simulation.checkGroups(t, ejections)
	}
}

// observe changes the observed health of one endpoint.
func (s *ejectionSimulation) observe(t *rapid.T) {
	endpoint := &s.endpoints[rapid.IntRange(0, len(s.endpoints)-1).Draw(t, "endpoint")]
	switch rapid.IntRange(0, 3).Draw(t, "observed") {
	case 0:
		endpoint.AnsweredSentAt, endpoint.LastSentAt, endpoint.Fault = s.now, s.now, 0
	case 1:
		endpoint.Fault, endpoint.FaultAt, endpoint.LastSentAt = Unresponsive, s.now, s.now
	case 2:
		endpoint.Overdue = !endpoint.Overdue
	case 3:
		endpoint.LastSentAt = s.now
	}
	s.detector.observe(s.endpoints)
}

// report delivers some valid and invalid reports of peers.
func (s *ejectionSimulation) report(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "reports") {
		peer := fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "peer"))
		s.detector.receive(peer, HealthReport{
			Endpoint: s.endpoints[rapid.IntRange(0, len(s.endpoints)-1).Draw(t, "of")].Name,
			Status:   HealthStatus(rapid.IntRange(0, 8).Draw(t, "status")),
			AgeMs:    rapid.Int64Range(-10, 4000).Draw(t, "age"),
		}, s.now)
	}
}

// checkEjection checks one ejection against the limits of its time and evidence.
func (s *ejectionSimulation) checkEjection(t *rapid.T, ejection Ejection) {
	endpoint := s.detector.endpoint(ejection.Endpoint)
	if ejection.Until > s.now+s.detector.cfg.EjectionMs {
		t.Fatalf("ejection %+v at %d ms lasts longer than EjectionMs", ejection, s.now)
	}
	if ejection.ObservedHere != (endpoint.Fault != 0 && endpoint.FaultAt > endpoint.AnsweredSentAt) {
		t.Fatalf("ObservedHere of ejection %+v does not match the observed health %+v", ejection, endpoint)
	}
	fresh := false
	for _, report := range s.detector.suspicions[ejection.Endpoint].reports {
		since := endpoint.AnsweredSentAt
		if report.status == Lagging {
			since = endpoint.FreshAt
		}
		ofFault := report.status != Healthy && report.status != Primary
		recent := s.now-report.evidenceAt < s.detector.cfg.ReportTTLMs
		fresh = fresh || ofFault && recent && report.evidenceAt > since
	}
	if !fresh {
		t.Fatalf("ejection %+v has no recent evidence newer than the last answer here", ejection)
	}
}

// checkGroups checks the ejections of each group against the group's limits.
func (s *ejectionSimulation) checkGroups(t *rapid.T, ejections map[string]Ejection) {
	byGossip, ready := map[int]int{}, map[int]int{}
	healthy, healthyLeft := map[int]int{}, map[int]int{}
	for _, endpoint := range s.endpoints {
		if !endpoint.Ready {
			continue
		}
		ready[endpoint.Group]++
		ejection, isEjected := ejections[endpoint.Name]
		if isEjected && !ejection.ObservedHere {
			byGossip[endpoint.Group]++
		}
		if endpoint.Fault == 0 || endpoint.AnsweredSentAt > endpoint.FaultAt {
			healthy[endpoint.Group]++
			if !isEjected {
				healthyLeft[endpoint.Group]++
			}
		}
	}
	for group, count := range byGossip {
		if float64(count) > s.detector.cfg.MaxEjectedFraction*float64(ready[group]) {
			t.Fatalf("gossip ejects %d of %d ready endpoints, want at most MaxEjectedFraction", count, ready[group])
		}
		if healthy[group] > 0 && healthyLeft[group] == 0 {
			t.Fatalf("gossip ejects all %d healthy endpoints of a group, want at least one left", healthy[group])
		}
	}
}
