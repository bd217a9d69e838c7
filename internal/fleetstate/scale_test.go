package fleetstate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// sinceByPairs is since, by its definition: each moment against each witness.
func (j *OutlierDetector) sinceByPairs(valid []*witness) (out []beginning) {
	for _, began := range valid {
		if began.kind == Healthy {
			continue
		}
		var b beginning
		for _, w := range valid {
			switch {
			case w.kind == Healthy && w.at > began.from:
				b.support -= j.trust(w.peer)
			case w.kind != Healthy && w.from >= began.from:
				b.support += j.trust(w.peer)
				b.count++
				if w.at > b.newest {
					b.kind, b.newest = w.kind, w.at
				}
			}
		}
		out = append(out, b)
	}
	return out
}

func TestDoubtsAreWeighedByTheirDefinition(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		j := newJudge(Defaults(), 0)
		var valid []*witness
		for n := range rng.IntN(40) {
			w := &witness{peer: fmt.Sprint(n), kind: []HealthStatus{Unresponsive, Failing, Slow, Healthy, Lagging}[rng.IntN(5)], from: 1 + rng.Int64N(12)}
			w.at = w.from + rng.Int64N(6)
			j.standing[w.peer] = rng.Float64()
			valid = append(valid, w)
		}
		got, want := j.since(valid), j.sinceByPairs(valid)
		if len(got) != len(want) {
			t.Fatalf("seed %d: %d moments, want %d", seed, len(got), len(want))
		}
		for i := range want {
			g, w := got[i], want[i]
			if math.Abs(g.support-w.support) > 1e-9 || g.count != w.count || g.kind != w.kind || g.newest != w.newest {
				t.Fatalf("seed %d: moment %d is %+v, want %+v", seed, i, g, w)
			}
		}
	}
}

// Each router of a large fleet may be heard on one host.
func TestThousandsOfRoutersAreHeard(t *testing.T) {
	const routers = 3000
	cfg := Defaults()
	j := newJudge(cfg, 0)
	now := cfg.ReportTTLMs
	j.observe([]EndpointHealth{{Name: "h", Group: 1, Ready: true}, {Name: "i", Group: 1, Ready: true}})
	for n := range routers {
		j.hear(fmt.Sprint("router-", n), HealthReport{"h", Unresponsive, 0}, now)
	}
	if _, count, _, _ := j.support(j.doubts["h"], j.host("h"), now); count != routers {
		t.Errorf("%d of %d routers are heard", count, routers)
	}
}

func BenchmarkSupportOfThousands(b *testing.B) {
	cfg := Defaults()
	j := newJudge(cfg, 0)
	j.observe([]EndpointHealth{{Name: "h", Group: 1, Ready: true}})
	for n := range 3000 {
		j.hear(fmt.Sprint("router-", n), HealthReport{"h", Unresponsive, int64(n % 100)}, cfg.ReportTTLMs)
	}
	for b.Loop() {
		j.support(j.doubts["h"], j.host("h"), cfg.ReportTTLMs)
	}
}
