package fleetstate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// onsetsByPairs computes what onsets does from the definition, by comparing every
// first evidence of a fault with every report.
func (d *outlierDetector) onsetsByPairs(valid []*peerReport) (out []onset) {
	for _, began := range valid {
		if began.status == Healthy {
			continue
		}
		var current onset
		for _, report := range valid {
			switch {
			case report.status == Healthy && report.evidenceAt > began.firstEvidenceAt:
				current.support -= d.reputation.score(report.peer)
			case report.status != Healthy && report.firstEvidenceAt >= began.firstEvidenceAt:
				current.support += d.reputation.score(report.peer)
				current.reporters++
				if report.evidenceAt > current.newestEvidence {
					current.status, current.newestEvidence = report.status, report.evidenceAt
				}
			}
		}
		out = append(out, current)
	}
	return out
}

// The results of onsets and onsetsByPairs are equal for random reports.
func TestOnsetsMatchPairwiseDefinition(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		detector := newOutlierDetector(Defaults(), 0)
		var valid []*peerReport
		for n := range rng.IntN(40) {
			w := &peerReport{
				peer:            fmt.Sprint(n),
				status:          []HealthStatus{Unresponsive, Failing, Slow, Healthy, Lagging}[rng.IntN(5)],
				firstEvidenceAt: 1 + rng.Int64N(12),
			}
			w.evidenceAt = w.firstEvidenceAt + rng.Int64N(6)
			detector.reputation.byPeer[w.peer] = rng.Float64()
			valid = append(valid, w)
		}
		got, want := detector.onsets(valid), detector.onsetsByPairs(valid)
		if len(got) != len(want) {
			t.Fatalf("seed %d: onsets returned %d onsets, want %d", seed, len(got), len(want))
		}
		for i := range want {
			g, w := got[i], want[i]
			sameReports := g.reporters == w.reporters && g.status == w.status && g.newestEvidence == w.newestEvidence
			if math.Abs(g.support-w.support) > 1e-9 || !sameReports {
				t.Fatalf("seed %d: onset %d = %+v, want %+v", seed, i, g, w)
			}
		}
	}
}

// The reports of all routers of a large fleet on one endpoint count.
func TestSupportCountsThousandsOfReporters(t *testing.T) {
	const routers = 3000
	cfg := Defaults()
	detector := newOutlierDetector(cfg, 0)
	now := cfg.ReportTTLMs
	detector.observe([]EndpointHealth{{Name: "h", Group: 1, Ready: true}, {Name: "i", Group: 1, Ready: true}})
	for n := range routers {
		detector.receive(fmt.Sprint("router-", n), HealthReport{"h", Unresponsive, 0}, now)
	}
	if count := detector.support(detector.suspicions["h"], detector.endpoint("h")).reporters; count != routers {
		t.Errorf("support counts %d reporters, want %d", count, routers)
	}
}

func BenchmarkSupportOfThousandsOfReporters(b *testing.B) {
	cfg := Defaults()
	detector := newOutlierDetector(cfg, 0)
	detector.observe([]EndpointHealth{{Name: "h", Group: 1, Ready: true}})
	for n := range 3000 {
		detector.receive(fmt.Sprint("router-", n), HealthReport{"h", Unresponsive, int64(n % 100)}, cfg.ReportTTLMs)
	}
	for b.Loop() {
		detector.support(detector.suspicions["h"], detector.endpoint("h"))
	}
}
