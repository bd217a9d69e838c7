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
		t.Fatalf("%d submissions in flight before any answer, want %d", group.inFlight, initialWindow)
	}
	for range 200 {
		script.serve("v")
	}
	if group.inFlight < 15 {
		t.Errorf("%d submissions in flight after 200 answers, want at least 15", group.inFlight)
	}
	inFlightBefore := group.inFlight
	for submission := range script.in.submissions {
		script.advance(100)
		script.in.Failed(script.now, submission)
		if len(script.in.submissions) < inFlightBefore/4 || script.now > 1e6+60000 {
			break
		}
	}
	if group.window > 3 {
		t.Errorf("window of %v after consecutive failures, want at most 3", group.window)
	}
	group.window = 32 // fully open, so that only the ramp limits the submissions
	for submission := range script.in.submissions {
		script.in.Served(script.now, submission, []byte("v"))
		break
	}
	if allowed := group.limit(script.now, &script.in.cfg); allowed > 2 {
		t.Errorf("limit of %d just after an outage, want at most 2", allowed)
	}
	if allowed := group.limit(script.now+5000, &script.in.cfg); allowed < 10 || allowed > 20 {
		t.Errorf("limit of %d halfway through the ramp, want 10 to 20", allowed)
	}
	if allowed := group.limit(script.now+10000, &script.in.cfg); allowed < 30 {
		t.Errorf("limit of %d after the ramp, want at least 30", allowed)
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
