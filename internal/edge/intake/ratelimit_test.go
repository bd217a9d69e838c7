package intake

import (
	"fmt"
	"testing"
)

func TestWindowHalvesOnFailuresAndRampsAfterOutage(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxPerNetwork = 1000; c.MaxPerDevice = 1000 })
	g := s.in.group(1)
	for seq := range uint64(400) {
		s.offer(fmt.Sprint("d", seq%50), seq, false)
	}
	if g.inFlight != initialWindow {
		t.Fatalf("%d in flight at first", g.inFlight)
	}
	for range 200 {
		s.serve("v")
	}
	if g.inFlight < 15 {
		t.Errorf("%d in flight after 200 answers", g.inFlight)
	}
	open := g.inFlight
	for n := range s.in.submissions {
		s.advance(100)
		s.in.Failed(s.now, n)
		if len(s.in.submissions) < open/4 || s.now > 1e6+60000 {
			break
		}
	}
	if g.window > 3 {
		t.Errorf("a window of %v after nothing but failures", g.window)
	}
	g.window = 32 // as if it were open: only the ramp limits it now
	for n := range s.in.submissions {
		s.in.Served(s.now, n, []byte("v"))
		break
	}
	if l := g.limit(s.now, &s.in.cfg); l > 2 {
		t.Errorf("%d may be in flight at once after an outage", l)
	}
	if l := g.limit(s.now+5000, &s.in.cfg); l < 10 || l > 20 {
		t.Errorf("%d may be in flight at half of the ramp", l)
	}
	if l := g.limit(s.now+10000, &s.in.cfg); l < 30 {
		t.Errorf("%d may be in flight after the ramp", l)
	}
}

func TestRetryAfterPausesGroup(t *testing.T) {
	s := newScript(t, nil)
	s.offer("a", 1, false)
	s.want("check1")
	s.in.Rejected(s.now, s.lastSubmission, 700)
	s.offer("b", 2, false)
	s.advance(690)
	s.want("")
	s.advance(20)
	s.want("check1 check2")
}
