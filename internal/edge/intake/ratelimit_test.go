package intake

import (
	"fmt"
	"testing"
)

func TestWindowHalvesOnFailuresAndRampsAfterOutage(t *testing.T) {
	script := newScript(t, func(c *Config) { c.MaxPerNetwork = 1000; c.MaxPerDevice = 1000 })
	group := script.in.group(1)
	for seq := range uint64(400) {
		script.offer(fmt.Sprint("d", seq%50), seq, false)
	}
	if group.inFlight != initialWindow {
		t.Fatalf("%d in flight at first", group.inFlight)
	}
	for range 200 {
		script.serve("v")
	}
	if group.inFlight < 15 {
		t.Errorf("%d in flight after 200 answers", group.inFlight)
	}
	open := group.inFlight
	for submission := range script.in.submissions {
		script.advance(100)
		script.in.Failed(script.now, submission)
		if len(script.in.submissions) < open/4 || script.now > 1e6+60000 {
			break
		}
	}
	if group.window > 3 {
		t.Errorf("a window of %v after nothing but failures", group.window)
	}
	group.window = 32 // as if it were open: only the ramp limits it now
	for submission := range script.in.submissions {
		script.in.Served(script.now, submission, []byte("v"))
		break
	}
	if l := group.limit(script.now, &script.in.cfg); l > 2 {
		t.Errorf("%d may be in flight at once after an outage", l)
	}
	if l := group.limit(script.now+5000, &script.in.cfg); l < 10 || l > 20 {
		t.Errorf("%d may be in flight at half of the ramp", l)
	}
	if l := group.limit(script.now+10000, &script.in.cfg); l < 30 {
		t.Errorf("%d may be in flight after the ramp", l)
	}
}

func TestRetryAfterPausesGroup(t *testing.T) {
	script := newScript(t, nil)
	script.offer("a", 1, false)
	script.want("check1")
	script.in.Rejected(script.now, script.lastSubmission, 700)
	script.offer("b", 2, false)
	script.advance(690)
	script.want("")
	script.advance(20)
	script.want("check1 check2")
}
