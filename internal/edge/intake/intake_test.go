package intake

import (
	"net/netip"
	"testing"
)

func TestNewRejectsShortIdempotencyWindow(t *testing.T) {
	if _, err := New(Defaults(), []Route{{IdempotencyWindow: 3400, Groups: []int{1}}}, 1, nil); err == nil {
		t.Error("a class that drops duplicates for less than an attempt may run was accepted")
	}
}

func BenchmarkReading(b *testing.B) {
	s := &idleActions{}
	in, _ := New(Defaults(), []Route{{IdempotencyWindow: 5000, Groups: []int{1}}}, 1, s)
	s.in = in
	value := []byte("12.5 kWh")
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i)
		reading := Reading{ID: ID{"a", 1, uint64(i)}, Value: value}
		in.Offer(now, reading, DeclaredHistory{FirstCopy: true, NotBefore: now}, Origin{}, netip.Prefix{})
		in.Served(now, s.n, value)
		if in.inProgress > 0 {
			in.Served(now, s.n, value)
		}
	}
}

type idleActions struct {
	in *Intake
	n  uint64
}

func (a *idleActions) Submit(_ ID, submission uint64, _ Operation, _ *Reading, _ int, _ float64) {
	a.n = submission
}

func (a *idleActions) Answer(Origin, Answer) {}

func (a *idleActions) Persist(*Reading) {}

func (a *idleActions) Delete(ID) {}

func (a *idleActions) Quarantine(*Reading) {}
