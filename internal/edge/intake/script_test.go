package intake

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
)

// scriptedIntake drives an Intake and implements its Actions. It records each
// action as one word: what was done and the sequence number of the reading, or
// the Origin.Index of an answered copy.
type scriptedIntake struct {
	t              *testing.T
	in             *Intake
	now            float64 // Unix milliseconds
	actions        []string
	lastSubmission uint64   // number of the last submission
	lastTimeout    float64  // timeout of the last submission, in milliseconds
	writeDeadline  float64  // deadline of the last write, in Unix milliseconds
	answers        []Answer // all answers since the start
}

// newScript returns an Intake with one route to one group. change adapts the
// default configuration, unless it is nil.
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

func (script *scriptedIntake) Submit(
	id ID, submission uint64, operation Operation, _ *Reading, _ int, timeout float64,
) {
	script.lastSubmission, script.lastTimeout = submission, timeout
	if operation == Write {
		script.writeDeadline = script.now + timeout
	}
	script.record("%s%d", [...]string{"write", "check"}[operation], id.Seq)
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

// want compares the actions since the last call with the given words, and
// forgets them.
func (script *scriptedIntake) want(words string) {
	script.t.Helper()
	if got := strings.Join(script.actions, " "); got != words {
		script.t.Fatalf("got actions %q, want %q", got, words)
	}
	script.actions = nil
}

// advance moves the clock by a number of milliseconds and runs the timers on the
// way, each at its time.
func (script *scriptedIntake) advance(ms float64) {
	end := script.now + ms
	for at, ok := script.in.Next(); ok && at <= end; at, ok = script.in.Next() {
		script.now = max(at, script.now)
		script.in.Tick(script.now)
	}
	script.now = end
}

// offer offers a copy of a reading of epoch 1 with the value "v". first declares
// that it is the first copy.
func (script *scriptedIntake) offer(device string, seq uint64, first bool) {
	script.offerValue(device, 1, seq, "v", first)
}

// offerValue offers a copy of a reading that was sent just now. Its sequence
// number is also the Index of its Origin.
func (script *scriptedIntake) offerValue(device string, epoch, seq uint64, value string, first bool) {
	reading := Reading{ID: ID{device, epoch, seq}, Value: []byte(value)}
	declared := DeclaredHistory{FirstCopy: first, NotBefore: script.now}
	script.in.Offer(script.now, reading, declared, Origin{Index: uint16(seq)}, netip.MustParsePrefix("10.0.0.0/24"))
}

// serve reports that the last submission was served with a value.
func (script *scriptedIntake) serve(value string) {
	script.in.Served(script.now, script.lastSubmission, []byte(value))
}

// confirmEpoch has the first reading of a device's epoch 1 recorded, so that
// declarations of first copies in that epoch are trusted.
func (script *scriptedIntake) confirmEpoch(device string) {
	script.offer(device, 0, true)
	script.want("check0")
	script.serve("")
	script.want("write0")
	script.serve("v")
	script.want("recorded0")
}
