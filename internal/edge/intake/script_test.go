package intake

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
)

// scriptedIntake drives an Intake and records its actions, one word each.
type scriptedIntake struct {
	t              *testing.T
	in             *Intake
	now            float64
	actions        []string
	lastSubmission uint64
	lastTimeout    float64 // milliseconds, of the last submission
	writeDeadline  float64 // of the last write
	answers        []Answer
}

func newScript(t *testing.T, change func(*Config)) *scriptedIntake {
	cfg := Defaults()
	if change != nil {
		change(&cfg)
	}
	script := &scriptedIntake{t: t, now: 1e6}
	in, err := New(cfg, []Route{{IdempotencyWindow: 5000, Groups: []int{1}}}, 1, script)
	if err != nil {
		t.Fatal(err)
	}
	script.in = in
	return script
}

func (script *scriptedIntake) record(format string, args ...any) {
	script.actions = append(script.actions, fmt.Sprintf(format, args...))
}

func (script *scriptedIntake) Submit(id ID, submission uint64, w Operation, _ *Reading, _ int, wait float64) {
	script.lastSubmission, script.lastTimeout = submission, wait
	if w == Write {
		script.writeDeadline = script.now + wait
	}
	script.record("%s%d", [...]string{"write", "check"}[w], id.Seq)
}

func (script *scriptedIntake) Answer(to Origin, a Answer) {
	script.answers = append(script.answers, a)
	script.record("%s%d", [...]string{"recorded", "stored", "conflict", "rejected", "unknown", "invalid"}[a.Status], to.Index)
}

func (script *scriptedIntake) Persist(reading *Reading) { script.record("persist%d", reading.Seq) }

func (script *scriptedIntake) Delete(id ID) { script.record("delete%d", id.Seq) }

func (script *scriptedIntake) Quarantine(reading *Reading) {
	script.record("quarantine%d", reading.Seq)
}

// want compares the actions since the last call.
func (script *scriptedIntake) want(words string) {
	script.t.Helper()
	if got := strings.Join(script.actions, " "); got != words {
		script.t.Fatalf("got %q, want %q", got, words)
	}
	script.actions = nil
}

// advance moves the clock, timer by timer.
func (script *scriptedIntake) advance(ms float64) {
	end := script.now + ms
	for at, ok := script.in.Next(); ok && at <= end; at, ok = script.in.Next() {
		script.now = max(at, script.now)
		script.in.Tick(script.now)
	}
	script.now = end
}

func (script *scriptedIntake) offer(device string, seq uint64, first bool) {
	script.offerValue(device, 1, seq, "v", first)
}

func (script *scriptedIntake) offerValue(device string, epoch, seq uint64, value string, first bool) {
	reading := Reading{ID: ID{device, epoch, seq}, Value: []byte(value)}
	declared := DeclaredHistory{FirstCopy: first, NotBefore: script.now}
	script.in.Offer(script.now, reading, declared, Origin{Index: uint16(seq)}, netip.MustParsePrefix("10.0.0.0/24"))
}

func (script *scriptedIntake) serve(value string) {
	script.in.Served(script.now, script.lastSubmission, []byte(value))
}

// confirmEpoch makes a device's epoch one whose declarations are trusted.
func (script *scriptedIntake) confirmEpoch(device string) {
	script.offer(device, 0, true)
	script.want("check0")
	script.serve("")
	script.want("write0")
	script.serve("v")
	script.want("recorded0")
}
