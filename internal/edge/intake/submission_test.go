package intake

import (
	"net/netip"
	"testing"
)

func TestFirstCopyIsWrittenWithoutCheck(t *testing.T) {
	script := newScript(t, nil)
	script.confirmEpoch("a")
	script.offer("a", 1, true)
	script.want("write1")
	script.serve("v")
	script.want("recorded1")
	script.offer("a", 2, false)
	script.want("check2")
	script.serve("v")
	script.want("recorded2")
	if st := script.in.Stats(); st.FoundRecorded != 1 || st.InProgress != 0 || st.Bytes != 0 {
		t.Errorf("%+v", st)
	}
}

func TestWriteRetryStaysWithinIdempotencyWindow(t *testing.T) {
	script := newScript(t, nil)
	script.confirmEpoch("a")
	script.offer("a", 1, true)
	script.want("write1")
	began := script.now
	script.advance(1200)
	script.in.Failed(script.now, script.lastSubmission)
	script.advance(200)
	script.want("write1")
	script.record("write1")
	var dead float64
	for script.actions[len(script.actions)-1] == "write1" { // every further one ends within the key's window
		if script.writeDeadline > began+5000 {
			t.Fatalf("a write may run %v ms after the first", script.writeDeadline-began)
		}
		dead = script.writeDeadline + 3000
		script.advance(script.lastTimeout)
		script.in.Failed(script.now, script.lastSubmission)
		for n := len(script.actions); len(script.actions) == n && script.now < began+20000; {
			script.advance(1)
		}
	}
	// No attempt was left that could still run: only then does absence mean it.
	if last := script.actions[len(script.actions)-1]; last != "check1" || script.now < dead || script.now > dead+10 {
		t.Fatalf("%s at %v, the last attempt may run until %v", last, script.now-began, dead-began)
	}
	script.actions = nil
	script.serve("")
	script.want("write1")
	script.serve("v")
	script.want("recorded1")
}

// A check proves nothing while an attempt of one's own may still be running.
func TestCheckWaitsForEndOfOwnAttempts(t *testing.T) {
	script := newScript(t, nil)
	script.confirmEpoch("a")
	reading := Reading{ID: ID{"a", 1, 1}, Value: []byte("v")}
	declared := DeclaredHistory{FirstCopy: true, NotBefore: script.now - 4000}
	script.in.Offer(script.now, reading, declared, Origin{Index: 1}, netip.Prefix{})
	script.want("write1") // 800 ms are left for it
	over := script.now + script.lastTimeout
	script.advance(script.lastTimeout)
	script.in.Failed(script.now, script.lastSubmission)
	script.advance(over + 2990 - script.now)
	script.want("")
	script.advance(20)
	script.want("check1")
}

func TestWriteAfterCheckStaysWithinIdempotencyWindow(t *testing.T) {
	script := newScript(t, nil)
	script.offer("a", 1, false)
	script.want("check1")
	asked := script.now
	script.advance(1000)
	script.serve("")
	script.want("write1")
	// An execution that began up to 3000 ms before the check was not seen; its
	// key ends 5000 ms after it began.
	if script.now+script.lastTimeout > asked-3000+5000 {
		t.Errorf("the write may run %v ms after the check", script.now+script.lastTimeout-asked)
	}
	script = newScript(t, nil)
	script.offer("a", 1, false)
	script.advance(1900) // the answer comes too late for a write
	script.actions = nil
	script.serve("")
	script.want("check1")
}

func TestAnswerTimeoutRemovesReading(t *testing.T) {
	script := newScript(t, func(c *Config) { c.MaxWindow = 1; c.MaxPerDevice = 9 })
	for seq := uint64(1); seq <= 3; seq++ {
		script.offer("a", seq, false)
	}
	script.want("check1")
	script.advance(20000)
	script.want("unknown1 unknown2 unknown3")
	script.in.Failed(script.now, script.lastSubmission)
	if st := script.in.Stats(); st.InProgress != 0 || script.in.timers.Len() != 0 || len(script.in.networks) != 0 {
		t.Errorf("left: %+v, %d timers", st, script.in.timers.Len())
	}
	script.offer("b", 1, false) // waiting copies of one reading are limited
	for range 10 {
		script.offer("b", 1, false)
	}
	if reading := script.in.devices["b"].inProgress[localID{1, 1}]; len(reading.waiters) != 4 {
		t.Errorf("%d wait", len(reading.waiters))
	}
}

func TestDurableReadingsAreAcknowledgedAndDeliveredInOrder(t *testing.T) {
	script := newScript(t, func(c *Config) { c.Durable = true })
	script.offer("a", 1, true)
	script.offer("a", 2, true)
	script.want("persist1 persist2")
	script.in.Persisted(script.now, ID{"a", 1, 1}, true)
	script.in.Persisted(script.now, ID{"a", 1, 2}, true)
	script.want("stored1 check1 stored2")
	script.offer("a", 2, false)
	script.want("stored2")
	script.serve("")
	script.want("write1")
	script.advance(1200)
	script.in.Failed(script.now, script.lastSubmission)
	script.advance(200) // the second waits for the first
	script.want("write1")
	script.serve("v")
	script.want("delete1 check2")
	script.serve("other")
	script.want("quarantine2")
	script.offer("b", 3, true)
	script.in.Persisted(script.now, ID{"b", 1, 3}, false) // a full disk
	script.want("persist3 rejected3")
	script.in.Recover(script.now, Reading{ID: ID{"c", 1, 4}, Value: []byte("v")})
	script.want("check4")
}
