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
		t.Fatalf("one reporter is enough for %q", got)
	}
	detector.receive("p", HealthReport{"b", Unresponsive, 0}, 1100) // the same one again is no second
	if got := ejected(detector, 1100); got != "" {
		t.Fatalf("one reporter sent it twice, enough for %q", got)
	}
	detector.receive("q", HealthReport{"b", Unresponsive, 100}, 1100)
	if got := ejected(detector, 1100); got != "b" {
		t.Fatalf("two reporters eject %q, want b", got)
	}
	endpoints := groupOfThree()
	endpoints[1].AnsweredSentAt, endpoints[1].LastSentAt = 1150, 1150
	detector.observe(endpoints)
	if got := ejected(detector, 1200); got != "" {
		t.Fatalf("b answered here after the evidence, and %q is ejected", got)
	}
}

// A report with answers here shortly before and after its evidence was refuted:
// its reporter loses reputation, and a third such report in a row counts little.
func TestRefutedReportsLowerReputation(t *testing.T) {
	endpoints := groupOfThree()
	endpoints[1].AnsweredSentAt = 900
	detector := detectorOf(endpoints...)
	for _, p := range []string{"p", "q"} {
		detector.receive(p, HealthReport{"b", Unresponsive, 0}, 1000)
	}
	if got := ejected(detector, 1000); got != "b" {
		t.Fatalf("ejected %q, want b", got)
	}
	endpoints[1].AnsweredSentAt = 1100
	detector.observe(endpoints)
	ejected(detector, 1200)
	if detector.reputation.of("p") >= 0.6 || detector.reputation.of("q") >= 0.6 {
		t.Fatalf("reputation %.2f and %.2f after a refuted report", detector.reputation.of("p"), detector.reputation.of("q"))
	}
	for _, p := range []string{"p", "q"} {
		detector.receive(p, HealthReport{"c", Unresponsive, 0}, 1300)
	}
	if got := ejected(detector, 1300); got != "" {
		t.Errorf("two whose reports were refuted eject %q", got)
	}
	if ejected(detector, 100_000); detector.reputation.of("p") < 1 {
		t.Errorf("reputation is %.2f after long, want full", detector.reputation.of("p"))
	}
}

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
		t.Errorf("reports without renewal still eject %q", got)
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
		t.Errorf("gossip alone ejected b until %d, without an attempt here, want %d at most", last, most)
	}
}

// Newer evidence of a peer defers the next trial of an endpoint with a fault
// here, for a stated time.
func TestPeersEvidenceDefersTheTrialForAWhile(t *testing.T) {
	endpoints := groupOfThree()
	endpoints[1].Fault, endpoints[1].FaultAt, endpoints[1].LastSentAt = Unresponsive, 1000, 1000
	detector := detectorOf(endpoints...)
	if got := ejected(detector, 1100); got != "" {
		t.Fatalf("no report came, and %q is ejected", got)
	}
	last := int64(0)
	for now := int64(1200); now < 20_000; now += 100 {
		detector.receive("p", HealthReport{"b", Unresponsive, 0}, now)
		for _, x := range detector.eject(now) {
			if !x.ObservedHere {
				t.Fatalf("ejected %+v, which was observed here", x)
			}
			last = x.Until
		}
	}
	if most := 1000 + 2*detector.cfg.ReportTTLMs; last == 0 || last > most {
		t.Errorf("trials were deferred until %d, want some time up to %d", last, most)
	}
}

// A primary's trials are never deferred, and it is never ejected: nothing
// takes its place.
func TestPrimaryIsNeverEjected(t *testing.T) {
	for _, bad := range []HealthStatus{0, Unresponsive} {
		endpoints := groupOfThree()
		endpoints[1].Primary, endpoints[1].Fault, endpoints[1].FaultAt = true, bad, 1000
		detector := detectorOf(endpoints...)
		for _, p := range []string{"p", "q", "r"} {
			detector.receive(p, HealthReport{"b", Unresponsive, 0}, 1200)
		}
		if got := ejected(detector, 1200); got != "" {
			t.Errorf("ejected %q, the group's primary", got)
		}
	}
}

func TestPrimaryIsSuggestedOnlyWhereUnknown(t *testing.T) {
	endpoints := groupOfThree()
	detector := detectorOf(endpoints...)
	detector.receive("p", HealthReport{"c", Primary, 10}, 1000)
	if got := detector.suggestedPrimaries(); len(got) > 0 {
		t.Fatalf("suggested %v though the primary is known here", got)
	}
	for i := range endpoints {
		endpoints[i].PrimaryUnknown = true
	}
	detector.observe(endpoints)
	if got := detector.suggestedPrimaries(); got[1] != "c" {
		t.Fatalf("suggested %v, want c", got)
	}
	endpoints[2].LastSentAt = 1100
	detector.observe(endpoints)
	if got := detector.suggestedPrimaries(); len(got) > 0 {
		t.Errorf("suggested %v though it had an attempt since", got)
	}
}

func TestReportsOnUnknownEndpointsTakeNoMemory(t *testing.T) {
	detector := detectorOf(groupOfThree()...)
	for i := range 1000 {
		detector.receive("p", HealthReport{fmt.Sprint("x", i), Unresponsive, 0}, 1000)
		detector.receive(fmt.Sprint("p", i), HealthReport{"a", Unresponsive, 0}, 1000)
	}
	if len(detector.suspicions) != 1 || len(detector.suspicions["a"].reports) > maxReporters {
		t.Errorf("%d endpoints and %d reports kept", len(detector.suspicions), len(detector.suspicions["a"].reports))
	}
}

// TestNoReportsExceedTheEjectionLimits holds for any reports of any number of peers, and
// any state of the endpoints as observed here: of a group's ready endpoints gossip
// ejects at most the stated fraction and never the last sound one; every
// ejection ends within the stated time and rests on evidence newer than the
// last answer here, not older than stated.
func TestNoReportsExceedTheEjectionLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkEjectionLimits(t) })
}

// The same search finds a detector that trusts one report, whatever was observed.
func TestTrustInOneReporterExceedsTheLimits(t *testing.T) {
	cfg := Defaults()
	cfg.FaultInjection = faultinjection.TrustOne
	detector := newOutlierDetector(cfg, 0)
	detector.observe(groupOfThree())
	for _, h := range []string{"a", "b", "c"} {
		detector.receive("p", HealthReport{h, Unresponsive, 0}, 1000)
	}
	if got := ejected(detector, 1000); len(got) < 3 {
		t.Errorf("ejected %q: the injected fault takes no guard out", got)
	}
}

// ejectionSearch feeds a detector with random reports and observations.
type ejectionSearch struct {
	detector  *outlierDetector
	endpoints []EndpointHealth
	now       int64
}

func checkEjectionLimits(t *rapid.T) {
	search := &ejectionSearch{detector: newOutlierDetector(Defaults(), 0), now: 10_000}
	for group := range rapid.IntRange(1, 3).Draw(t, "groups") {
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			search.endpoints = append(search.endpoints, EndpointHealth{
				Name:  fmt.Sprintf("g%d-%d", group, i),
				Group: group,
				Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0,
			})
		}
	}
	search.detector.observe(search.endpoints)
	for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
		switch rapid.IntRange(0, 3).Draw(t, fmt.Sprint("event", step)) {
		case 0:
			search.now += rapid.Int64Range(1, 3000).Draw(t, "ms")
		case 1:
			search.observe(t)
		default:
			search.report(t)
		}
		ejections := map[string]Ejection{}
		for _, ejection := range search.detector.eject(search.now) {
			ejections[ejection.Endpoint] = ejection
			search.checkEjection(t, ejection)
		}
		search.checkGroups(t, ejections)
	}
}

// observe changes what was observed of one endpoint.
func (s *ejectionSearch) observe(t *rapid.T) {
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

// report delivers some reports of peers, valid or not.
func (s *ejectionSearch) report(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "reports") {
		peer := fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "peer"))
		s.detector.receive(peer, HealthReport{
			Endpoint: s.endpoints[rapid.IntRange(0, len(s.endpoints)-1).Draw(t, "of")].Name,
			Status:   HealthStatus(rapid.IntRange(0, 8).Draw(t, "status")),
			AgeMs:    rapid.Int64Range(-10, 4000).Draw(t, "age"),
		}, s.now)
	}
}

// checkEjection holds one ejection against its limits.
func (s *ejectionSearch) checkEjection(t *rapid.T, ejection Ejection) {
	endpoint := s.detector.endpoint(ejection.Endpoint)
	if ejection.Until > s.now+s.detector.cfg.EjectionMs {
		t.Fatalf("%+v lasts longer than stated at %d", ejection, s.now)
	}
	if ejection.ObservedHere != (endpoint.Fault != 0 && endpoint.FaultAt > endpoint.AnsweredSentAt) {
		t.Fatalf("%+v is given as observed here, which is %+v", ejection, endpoint)
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
		t.Fatalf("%+v rests on no evidence newer than the last answer here", ejection)
	}
}

// checkGroups holds the ejections of each group against the group's limits.
func (s *ejectionSearch) checkGroups(t *rapid.T, ejections map[string]Ejection) {
	byGossip, ready := map[int]int{}, map[int]int{}
	sound, soundLeft := map[int]int{}, map[int]int{}
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
			sound[endpoint.Group]++
			if !isEjected {
				soundLeft[endpoint.Group]++
			}
		}
	}
	for group, count := range byGossip {
		if float64(count) > s.detector.cfg.MaxEjectedFraction*float64(ready[group]) {
			t.Fatalf("gossip ejects %d of %d ready endpoints", count, ready[group])
		}
		if sound[group] > 0 && soundLeft[group] == 0 {
			t.Fatalf("gossip ejects the last of %d sound endpoints", sound[group])
		}
	}
}
