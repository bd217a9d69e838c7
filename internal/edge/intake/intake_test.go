package intake

import (
	"net/netip"
	"testing"
)

func TestNewRejectsShortIdempotencyWindow(t *testing.T) {
	if _, err := New(Defaults(), []Route{{IdempotencyWindow: 3400, Groups: []int{1}}}, 1, nil); err == nil {
		t.Error("New accepted an idempotency window of 3400 ms, shorter than an attempt may run")
	}
}

// BenchmarkReading measures a reading from Offer to its answer.
func BenchmarkReading(b *testing.B) {
	actions := &benchmarkActions{}
	in, _ := New(Defaults(), []Route{{IdempotencyWindow: 5000, Groups: []int{1}}}, 1, actions)
	actions.in = in
	value := []byte("12.5 kWh")
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i)
		reading := Reading{ID: ID{"a", 1, uint64(i)}, Value: value}
		in.Offer(now, reading, DeclaredHistory{FirstCopy: true, NotBefore: now}, Origin{}, netip.Prefix{})
		in.Served(now, actions.lastSubmission, value)
		if in.inProgress > 0 {
			in.Served(now, actions.lastSubmission, value)
		}
	}
}

// benchmarkActions keeps the number of the last submission and ignores all else.
type benchmarkActions struct {
	in             *Intake
	lastSubmission uint64
}

func (a *benchmarkActions) Submit(_ ID, submission uint64, _ Operation, _ *Reading, _ int, _ float64) {
	a.lastSubmission = submission
}

func (a *benchmarkActions) Answer(Origin, Answer) {}

func (a *benchmarkActions) Persist(*Reading) {}

func (a *benchmarkActions) Delete(ID) {}

func (a *benchmarkActions) Quarantine(*Reading) {}
