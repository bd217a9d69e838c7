package fleetstate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate/faultinjection"
)

func judgeOf(hosts ...EndpointHealth) *outlierDetector {
	j := newOutlierDetector(Defaults(), 0)
	j.observe(hosts)
	return j
}

func group3() []EndpointHealth {
	return []EndpointHealth{
		{Name: "a", Group: 1, Ready: true},
		{Name: "b", Group: 1, Ready: true},
		{Name: "c", Group: 1, Ready: true},
	}
}

func judged(j *outlierDetector, now int64) (names string) {
	for _, x := range j.eject(now) {
		names += x.Endpoint
	}
	return names
}

func TestTwoWitnessesAreNeededAndAnAnswerHereOverridesThem(t *testing.T) {
	j := judgeOf(group3()...)
	j.receive("p", HealthReport{"b", Unresponsive, 0}, 1000)
	if got := judged(j, 1000); got != "" {
		t.Fatalf("one witness is enough for %q", got)
	}
	j.receive("p", HealthReport{"b", Unresponsive, 0}, 1100) // the same one again is no second
	if got := judged(j, 1100); got != "" {
		t.Fatalf("one witness said it twice, enough for %q", got)
	}
	j.receive("q", HealthReport{"b", Unresponsive, 100}, 1100)
	if got := judged(j, 1100); got != "b" {
		t.Fatalf("two witnesses judge %q, want b", got)
	}
	hosts := group3()
	hosts[1].AnsweredSentAt, hosts[1].LastSentAt = 1150, 1150
	j.observe(hosts)
	if got := judged(j, 1200); got != "" {
		t.Fatalf("b answered here after the evidence, and %q is passed over", got)
	}
}

// A claim with answers here shortly before and after its evidence was wrong:
// its witness loses standing, and a third such claim in a row counts little.
func TestClaimsThatProveWrongCostStanding(t *testing.T) {
	hosts := group3()
	hosts[1].AnsweredSentAt = 900
	j := judgeOf(hosts...)
	for _, p := range []string{"p", "q"} {
		j.receive(p, HealthReport{"b", Unresponsive, 0}, 1000)
	}
	if got := judged(j, 1000); got != "b" {
		t.Fatalf("judged %q, want b", got)
	}
	hosts[1].AnsweredSentAt = 1100
	j.observe(hosts)
	judged(j, 1200)
	if j.reputation.of("p") >= 0.6 || j.reputation.of("q") >= 0.6 {
		t.Fatalf("standing %.2f and %.2f after a claim that proved wrong", j.reputation.of("p"), j.reputation.of("q"))
	}
	for _, p := range []string{"p", "q"} {
		j.receive(p, HealthReport{"c", Unresponsive, 0}, 1300)
	}
	if got := judged(j, 1300); got != "" {
		t.Errorf("two whose claims proved wrong judge %q", got)
	}
	if judged(j, 100_000); j.reputation.of("p") < 1 {
		t.Errorf("standing is %.2f after long, want whole", j.reputation.of("p"))
	}
}

func TestHearsayEndsWithoutRenewalAndUntriedHere(t *testing.T) {
	j := judgeOf(group3()...)
	say := func(now int64) {
		j.receive("p", HealthReport{"b", Unresponsive, 0}, now)
		j.receive("q", HealthReport{"b", Unresponsive, 0}, now)
	}
	say(1000)
	if got := j.eject(1000); len(got) != 1 || got[0].Until != 1000+j.cfg.EjectionMs {
		t.Fatalf("judged %+v, want b until %d", got, 1000+j.cfg.EjectionMs)
	}
	if got := judged(j, 1000+j.cfg.ReportTTLMs); got != "" {
		t.Errorf("claims without renewal still judge %q", got)
	}
	j = judgeOf(group3()...)
	last := int64(0)
	for now := int64(1000); now < 60_000; now += 100 {
		say(now)
		if judged(j, now) != "" {
			last = now
		}
	}
	if last > 1000+j.cfg.GossipEjectionMs {
		t.Errorf("hearsay alone passed b over until %d, untried here, want %d at most", last, 1000+j.cfg.GossipEjectionMs)
	}
}

// Fresher evidence of another puts off the next trial of a host found bad
// here, for a stated time.
func TestOthersEvidencePutsATrialOffForAWhile(t *testing.T) {
	hosts := group3()
	hosts[1].Fault, hosts[1].FaultAt, hosts[1].LastSentAt = Unresponsive, 1000, 1000
	j := judgeOf(hosts...)
	if got := judged(j, 1100); got != "" {
		t.Fatalf("nobody said anything, and %q is judged", got)
	}
	last := int64(0)
	for now := int64(1200); now < 20_000; now += 100 {
		j.receive("p", HealthReport{"b", Unresponsive, 0}, now)
		for _, x := range j.eject(now) {
			if !x.ObservedHere {
				t.Fatalf("judged %+v, which was seen here", x)
			}
			last = x.Until
		}
	}
	if most := 1000 + 2*j.cfg.ReportTTLMs; last == 0 || last > most {
		t.Errorf("trials were put off until %d, want some time up to %d", last, most)
	}
}

// A primary's trials are never put off, and it is never passed over: nobody
// takes its place.
func TestAPrimaryIsNotJudgedByHearsay(t *testing.T) {
	for _, bad := range []HealthStatus{0, Unresponsive} {
		hosts := group3()
		hosts[1].Primary, hosts[1].Fault, hosts[1].FaultAt = true, bad, 1000
		j := judgeOf(hosts...)
		for _, p := range []string{"p", "q", "r"} {
			j.receive(p, HealthReport{"b", Unresponsive, 0}, 1200)
		}
		if got := judged(j, 1200); got != "" {
			t.Errorf("judged %q, the group's primary", got)
		}
	}
}

func TestAHeardLeaderIsOnlyForWhoSeeks(t *testing.T) {
	hosts := group3()
	j := judgeOf(hosts...)
	j.receive("p", HealthReport{"c", Primary, 10}, 1000)
	if got := j.suggestedPrimaries(); len(got) > 0 {
		t.Fatalf("leaders %v though the primary is known here", got)
	}
	for i := range hosts {
		hosts[i].PrimaryUnknown = true
	}
	j.observe(hosts)
	if got := j.suggestedPrimaries(); got[1] != "c" {
		t.Fatalf("leaders %v, want c", got)
	}
	hosts[2].LastSentAt = 1100
	j.observe(hosts)
	if got := j.suggestedPrimaries(); len(got) > 0 {
		t.Errorf("leaders %v though c was tried since", got)
	}
}

func TestPeersThatInventHostsHoldNoMemory(t *testing.T) {
	j := judgeOf(group3()...)
	for i := range 1000 {
		j.receive("p", HealthReport{fmt.Sprint("x", i), Unresponsive, 0}, 1000)
		j.receive(fmt.Sprint("p", i), HealthReport{"a", Unresponsive, 0}, 1000)
	}
	if len(j.suspicions) != 1 || len(j.suspicions["a"].reports) > maxReporters {
		t.Errorf("%d hosts and %d witnesses held", len(j.suspicions), len(j.suspicions["a"].reports))
	}
}

// TestNoClaimsPassTheBounds holds for any claims of any number of peers, and
// any state of the hosts as seen here: of a group's ready members hearsay
// passes over at most the stated share and never the last sound one; every
// judgement ends within the stated time and rests on evidence newer than the
// last answer here, not older than stated.
func TestNoClaimsPassTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { claimsWithinBounds(t) })
}

// The same search finds a judge that trusts one claim, whatever was seen.
func TestTrustInOneIsFound(t *testing.T) {
	cfg := Defaults()
	cfg.FaultInjection = faultinjection.TrustOne
	j := newOutlierDetector(cfg, 0)
	j.observe(group3())
	for _, h := range []string{"a", "b", "c"} {
		j.receive("p", HealthReport{h, Unresponsive, 0}, 1000)
	}
	if got := judged(j, 1000); len(got) < 3 {
		t.Errorf("judged %q: the sabotage takes no guard out", got)
	}
}

func claimsWithinBounds(t *rapid.T) {
	cfg := Defaults()
	j := newOutlierDetector(cfg, 0)
	now := int64(10_000)
	var hosts []EndpointHealth
	for g := range rapid.IntRange(1, 3).Draw(t, "groups") {
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			hosts = append(hosts, EndpointHealth{
				Name:  fmt.Sprintf("g%d-%d", g, i),
				Group: g,
				Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0,
			})
		}
	}
	j.observe(hosts)
	for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
		switch rapid.IntRange(0, 3).Draw(t, fmt.Sprint("event", step)) {
		case 0:
			now += rapid.Int64Range(1, 3000).Draw(t, "ms")
		case 1:
			h := &hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 3).Draw(t, "saw") {
			case 0:
				h.AnsweredSentAt, h.LastSentAt, h.Fault = now, now, 0
			case 1:
				h.Fault, h.FaultAt, h.LastSentAt = Unresponsive, now, now
			case 2:
				h.Overdue = !h.Overdue
			case 3:
				h.LastSentAt = now
			}
			j.observe(hosts)
		default:
			for range rapid.IntRange(1, 12).Draw(t, "claims") {
				j.receive(fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "peer")), HealthReport{
					Endpoint: hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "of")].Name,
					Status:   HealthStatus(rapid.IntRange(0, 8).Draw(t, "kind")),
					AgeMs:    rapid.Int64Range(-10, 4000).Draw(t, "age"),
				}, now)
			}
		}
		byHearsay, ready, sound, soundLeft := map[int]int{}, map[int]int{}, map[int]int{}, map[int]int{}
		in := map[string]Ejection{}
		for _, x := range j.eject(now) {
			in[x.Endpoint] = x
			h := j.endpoint(x.Endpoint)
			if x.Until > now+cfg.EjectionMs {
				t.Fatalf("%+v lasts longer than stated at %d", x, now)
			}
			if x.ObservedHere != (h.Fault != 0 && h.FaultAt > h.AnsweredSentAt) {
				t.Fatalf("%+v is told as seen here, which is %+v", x, h)
			}
			fresh := false
			for _, w := range j.suspicions[x.Endpoint].reports {
				since := h.AnsweredSentAt
				if w.status == Lagging {
					since = h.FreshAt
				}
				ofFault := w.status != Healthy && w.status != Primary
				fresh = fresh || ofFault && now-w.evidenceAt < cfg.ReportTTLMs && w.evidenceAt > since
			}
			if !fresh {
				t.Fatalf("%+v rests on no evidence newer than the last answer here", x)
			}
		}
		for _, h := range hosts {
			if !h.Ready {
				continue
			}
			ready[h.Group]++
			x, is := in[h.Name]
			if is && !x.ObservedHere {
				byHearsay[h.Group]++
			}
			if h.Fault == 0 || h.AnsweredSentAt > h.FaultAt {
				sound[h.Group]++
				if !is {
					soundLeft[h.Group]++
				}
			}
		}
		for g, k := range byHearsay {
			if float64(k) > cfg.MaxEjectedFraction*float64(ready[g]) {
				t.Fatalf("hearsay passes over %d of %d ready members", k, ready[g])
			}
			if sound[g] > 0 && soundLeft[g] == 0 {
				t.Fatalf("hearsay passes over the last of %d sound members", sound[g])
			}
		}
	}
}
