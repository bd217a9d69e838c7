package intake

import (
	"net/netip"
	"testing"
)

func TestFirstCopyIsWrittenWithoutCheck(t *testing.T) {
	s := newScript(t, nil)
	s.confirmEpoch("a")
	s.offer("a", 1, true)
	s.want("write1")
	s.serve("v")
	s.want("recorded1")
	s.offer("a", 2, false)
	s.want("check2")
	s.serve("v")
	s.want("recorded2")
	if st := s.in.Stats(); st.FoundRecorded != 1 || st.InProgress != 0 || st.Bytes != 0 {
		t.Errorf("%+v", st)
	}
}

func TestWriteRetryStaysWithinIdempotencyWindow(t *testing.T) {
	s := newScript(t, nil)
	s.confirmEpoch("a")
	s.offer("a", 1, true)
	s.want("write1")
	began := s.now
	s.advance(1200)
	s.in.Failed(s.now, s.lastSubmission)
	s.advance(200)
	s.want("write1")
	s.record("write1")
	var dead float64
	for s.actions[len(s.actions)-1] == "write1" { // every further one ends within the key's window
		if s.writeDeadline > began+5000 {
			t.Fatalf("a write may run %v ms after the first", s.writeDeadline-began)
		}
		dead = s.writeDeadline + 3000
		s.advance(s.lastTimeout)
		s.in.Failed(s.now, s.lastSubmission)
		for n := len(s.actions); len(s.actions) == n && s.now < began+20000; {
			s.advance(1)
		}
	}
	// No attempt was left that could still run: only then does absence mean it.
	if last := s.actions[len(s.actions)-1]; last != "check1" || s.now < dead || s.now > dead+10 {
		t.Fatalf("%s at %v, the last attempt may run until %v", last, s.now-began, dead-began)
	}
	s.actions = nil
	s.serve("")
	s.want("write1")
	s.serve("v")
	s.want("recorded1")
}

// A check proves nothing while an attempt of one's own may still be running.
func TestCheckWaitsForEndOfOwnAttempts(t *testing.T) {
	s := newScript(t, nil)
	s.confirmEpoch("a")
	reading := Reading{ID: ID{"a", 1, 1}, Value: []byte("v")}
	declared := DeclaredHistory{FirstCopy: true, NotBefore: s.now - 4000}
	s.in.Offer(s.now, reading, declared, Origin{Index: 1}, netip.Prefix{})
	s.want("write1") // 800 ms are left for it
	over := s.now + s.lastTimeout
	s.advance(s.lastTimeout)
	s.in.Failed(s.now, s.lastSubmission)
	s.advance(over + 2990 - s.now)
	s.want("")
	s.advance(20)
	s.want("check1")
}

func TestWriteAfterCheckStaysWithinIdempotencyWindow(t *testing.T) {
	s := newScript(t, nil)
	s.offer("a", 1, false)
	s.want("check1")
	asked := s.now
	s.advance(1000)
	s.serve("")
	s.want("write1")
	// An execution that began up to 3000 ms before the check was not seen; its
	// key ends 5000 ms after it began.
	if s.now+s.lastTimeout > asked-3000+5000 {
		t.Errorf("the write may run %v ms after the check", s.now+s.lastTimeout-asked)
	}
	s = newScript(t, nil)
	s.offer("a", 1, false)
	s.advance(1900) // the answer comes too late for a write
	s.actions = nil
	s.serve("")
	s.want("check1")
}

func TestAnswerTimeoutRemovesReading(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxWindow = 1; c.MaxPerDevice = 9 })
	for seq := uint64(1); seq <= 3; seq++ {
		s.offer("a", seq, false)
	}
	s.want("check1")
	s.advance(20000)
	s.want("unknown1 unknown2 unknown3")
	s.in.Failed(s.now, s.lastSubmission)
	if st := s.in.Stats(); st.InProgress != 0 || s.in.timers.Len() != 0 || len(s.in.networks) != 0 {
		t.Errorf("left: %+v, %d timers", st, s.in.timers.Len())
	}
	s.offer("b", 1, false) // waiting copies of one reading are limited
	for range 10 {
		s.offer("b", 1, false)
	}
	if e := s.in.devices["b"].inProgress[localID{1, 1}]; len(e.waiters) != 4 {
		t.Errorf("%d wait", len(e.waiters))
	}
}

func TestDurableReadingsAreAcknowledgedAndDeliveredInOrder(t *testing.T) {
	s := newScript(t, func(c *Config) { c.Durable = true })
	s.offer("a", 1, true)
	s.offer("a", 2, true)
	s.want("persist1 persist2")
	s.in.Persisted(s.now, ID{"a", 1, 1}, true)
	s.in.Persisted(s.now, ID{"a", 1, 2}, true)
	s.want("stored1 check1 stored2")
	s.offer("a", 2, false)
	s.want("stored2")
	s.serve("")
	s.want("write1")
	s.advance(1200)
	s.in.Failed(s.now, s.lastSubmission)
	s.advance(200) // the second waits for the first
	s.want("write1")
	s.serve("v")
	s.want("delete1 check2")
	s.serve("other")
	s.want("quarantine2")
	s.offer("b", 3, true)
	s.in.Persisted(s.now, ID{"b", 1, 3}, false) // a full disk
	s.want("persist3 rejected3")
	s.in.Recover(s.now, Reading{ID: ID{"c", 1, 4}, Value: []byte("v")})
	s.want("check4")
}
