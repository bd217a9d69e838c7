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
	if stats := script.in.Stats(); stats.FoundRecorded != 1 || stats.InProgress != 0 || stats.Bytes != 0 {
		t.Errorf("Stats() = %+v, want one found recorded and none in progress", stats)
	}
}

// A write that ran after the idempotency window of the first one could record
// the reading twice. When no time is left in the window, the reading is checked,
// but only after the last attempt can no longer be running.
func TestWriteRetryStaysWithinIdempotencyWindow(t *testing.T) {
	script := newScript(t, nil)
	script.confirmEpoch("a")
	script.offer("a", 1, true)
	script.want("write1")
	firstSentAt := script.now
	script.advance(1200)
	script.in.Failed(script.now, script.lastSubmission)
	script.advance(200)
	script.want("write1")
	script.record("write1")
	var attemptsEndBy float64
	for script.actions[len(script.actions)-1] == "write1" {
		if script.writeDeadline > firstSentAt+5000 {
			t.Fatalf("deadline of a retry %v ms after the first write, want at most 5000",
				script.writeDeadline-firstSentAt)
		}
		attemptsEndBy = script.writeDeadline + 3000
		script.advance(script.lastTimeout)
		script.in.Failed(script.now, script.lastSubmission)
		for n := len(script.actions); len(script.actions) == n && script.now < firstSentAt+20000; {
			script.advance(1)
		}
	}
	// The absence of a row proves something only after every attempt has ended.
	if last := script.actions[len(script.actions)-1]; last != "check1" ||
		script.now < attemptsEndBy || script.now > attemptsEndBy+10 {
		t.Fatalf("%s at %v ms after the first write, want check1 when the last attempt must have ended, at %v ms",
			last, script.now-firstSentAt, attemptsEndBy-firstSentAt)
	}
	script.actions = nil
	script.serve("")
	script.want("write1")
	script.serve("v")
	script.want("recorded1")
}

// A check that finds no row proves nothing while an attempt of this router may
// still be running, so it waits until the last one must have ended.
func TestCheckWaitsForEndOfOwnAttempts(t *testing.T) {
	script := newScript(t, nil)
	script.confirmEpoch("a")
	reading := Reading{ID: ID{"a", 1, 1}, Value: []byte("v")}
	declared := DeclaredHistory{FirstCopy: true, NotBefore: script.now - 4000}
	script.in.Offer(script.now, reading, declared, Origin{Index: 1}, netip.Prefix{})
	script.want("write1") // with a timeout of 800 ms
	deadline := script.now + script.lastTimeout
	script.advance(script.lastTimeout)
	script.in.Failed(script.now, script.lastSubmission)
	script.advance(deadline + 2990 - script.now)
	script.want("")
	script.advance(20)
	script.want("check1")
}

func TestWriteAfterCheckStaysWithinIdempotencyWindow(t *testing.T) {
	script := newScript(t, nil)
	script.offer("a", 1, false)
	script.want("check1")
	checkedAt := script.now
	script.advance(1000)
	script.serve("")
	script.want("write1")
	// The check may have missed an execution that began up to 3000 ms before it,
	// whose idempotency window ends 5000 ms after it began.
	if script.now+script.lastTimeout > checkedAt-3000+5000 {
		t.Errorf("deadline of the write %v ms after the check, want at most 2000",
			script.now+script.lastTimeout-checkedAt)
	}
	script = newScript(t, nil)
	script.offer("a", 1, false)
	script.advance(1900) // the answer arrives too late for a write
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
	if stats := script.in.Stats(); stats.InProgress != 0 || script.in.timers.Len() != 0 || len(script.in.networks) != 0 {
		t.Errorf("after the answer timeout: %+v, %d timers, %d networks, want none in progress",
			stats, script.in.timers.Len(), len(script.in.networks))
	}
	script.offer("b", 1, false)
	for range 10 { // more copies of one reading than may wait
		script.offer("b", 1, false)
	}
	if reading := script.in.devices["b"].inProgress[localID{1, 1}]; len(reading.waiters) != 4 {
		t.Errorf("%d copies wait for an answer, want 4", len(reading.waiters))
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
	script.advance(200)
	script.want("write1") // the second reading waits for the first
	script.serve("v")
	script.want("delete1 check2")
	script.serve("other")
	script.want("quarantine2")
	script.offer("b", 3, true)
	script.in.Persisted(script.now, ID{"b", 1, 3}, false) // for example because the store is full
	script.want("persist3 rejected3")
	script.in.Recover(script.now, Reading{ID: ID{"c", 1, 4}, Value: []byte("v")})
	script.want("check4")
}
