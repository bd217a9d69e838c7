package intake

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
)

// script drives an Intake and records its actions, one word each.
type script struct {
	t              *testing.T
	in             *Intake
	now            float64
	actions        []string
	lastSubmission uint64
	lastTimeout    float64 // milliseconds, of the last submission
	writeDeadline  float64 // of the last write
	answers        []Answer
}

func newScript(t *testing.T, change func(*Config)) *script {
	cfg := Defaults()
	if change != nil {
		change(&cfg)
	}
	s := &script{t: t, now: 1e6}
	in, err := New(cfg, []Route{{IdempotencyWindow: 5000, Groups: []int{1}}}, 1, s)
	if err != nil {
		t.Fatal(err)
	}
	s.in = in
	return s
}

func (s *script) record(format string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, args...))
}

func (s *script) Submit(id ID, n uint64, w Operation, _ *Reading, _ int, wait float64) {
	s.lastSubmission, s.lastTimeout = n, wait
	if w == Write {
		s.writeDeadline = s.now + wait
	}
	s.record("%s%d", [...]string{"write", "check"}[w], id.Seq)
}

func (s *script) Answer(to Origin, a Answer) {
	s.answers = append(s.answers, a)
	s.record("%s%d", [...]string{"recorded", "stored", "conflict", "rejected", "unknown", "invalid"}[a.Status], to.Index)
}

func (s *script) Persist(reading *Reading) { s.record("persist%d", reading.Seq) }

func (s *script) Delete(id ID) { s.record("delete%d", id.Seq) }

func (s *script) Quarantine(reading *Reading) { s.record("quarantine%d", reading.Seq) }

// want compares the actions since the last call.
func (s *script) want(words string) {
	s.t.Helper()
	if got := strings.Join(s.actions, " "); got != words {
		s.t.Fatalf("got %q, want %q", got, words)
	}
	s.actions = nil
}

// advance moves the clock, timer by timer.
func (s *script) advance(ms float64) {
	end := s.now + ms
	for at, ok := s.in.Next(); ok && at <= end; at, ok = s.in.Next() {
		s.now = max(at, s.now)
		s.in.Tick(s.now)
	}
	s.now = end
}

func (s *script) offer(device string, seq uint64, first bool) {
	s.offerValue(device, 1, seq, "v", first)
}

func (s *script) offerValue(device string, epoch, seq uint64, value string, first bool) {
	reading := Reading{ID: ID{device, epoch, seq}, Value: []byte(value)}
	declared := DeclaredHistory{FirstCopy: first, NotBefore: s.now}
	s.in.Offer(s.now, reading, declared, Origin{Index: uint16(seq)}, netip.MustParsePrefix("10.0.0.0/24"))
}

func (s *script) serve(value string) { s.in.Served(s.now, s.lastSubmission, []byte(value)) }

// confirmEpoch makes a device's epoch one whose declarations are trusted.
func (s *script) confirmEpoch(device string) {
	s.offer(device, 0, true)
	s.want("check0")
	s.serve("")
	s.want("write0")
	s.serve("v")
	s.want("recorded0")
}
