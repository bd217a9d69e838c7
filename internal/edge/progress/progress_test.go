package progress

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A link that delivers one byte a second is not silent, and yet its message
// stalls.
func TestSlowMessageStalls(t *testing.T) {
	l := New(Limits{WindowMs: 10000, MinBytes: 64, TotalBytes: 1 << 20})
	var slow, steady bool
	for second := range 30 {
		now := float64(second) * 1000
		ended := l.Tick(now)
		slow = slow || slices.Contains(ended, 1)
		steady = steady || slices.Contains(ended, 2)
		if !slow {
			l.Add(now, 1, 1)
		}
		l.Add(now, 2, 20)
		if slow && second > 10 {
			break
		}
	}
	if !slow || steady {
		t.Errorf("slow ended: %t, steady ended: %t", slow, steady)
	}
}

func TestSlowestIsEvictedFirst(t *testing.T) {
	l := New(Limits{WindowMs: 60000, MinBytes: 1, TotalBytes: 4*overheadBytes + 400})
	l.Add(0, 1, 10)
	l.Add(5000, 2, 100)
	l.Add(5000, 3, 100)
	if out := l.Add(6000, 4, 300); !slices.Equal(out, []uint64{1, 2}) && !slices.Equal(out, []uint64{1}) {
		t.Errorf("%v went", out)
	}
	if out := l.Add(6000, 4, 900); !slices.Contains(out, 4) {
		t.Errorf("one beyond the whole limit stayed: %v", out)
	}
	if l.Bytes() != 0 && l.Len() == 0 {
		t.Errorf("%d bytes of nobody", l.Bytes())
	}
}

// Whatever comes, the ledger keeps its limit and loses no message.
func TestTotalBytesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{WindowMs: 1000, MinBytes: 10, TotalBytes: rapid.IntRange(300, 5000).Draw(t, "bytes")}
		l := New(limits)
		now := 0.0
		expected := map[uint64]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "pass")
			owner := uint64(rapid.IntRange(1, 9).Draw(t, "owner"))
			var out []uint64
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l.End(owner)
				delete(expected, owner)
			case 1:
				out = l.Tick(now)
				if at, ok := l.Next(); ok && at <= now {
					t.Fatalf("due at %v after a tick at %v", at, now)
				}
			default:
				n := rapid.IntRange(1, 500).Draw(t, "n")
				expected[owner] += n
				out = l.Add(now, owner, n)
			}
			for _, o := range out {
				if expected[o] == 0 {
					t.Fatalf("%d was ended and is not there", o)
				}
				delete(expected, o)
			}
			sum := 0
			for _, n := range expected {
				sum += n + overheadBytes
			}
			if l.Bytes() != sum || sum > limits.TotalBytes || l.Len() != len(expected) {
				t.Fatalf("%d bytes of %d owners, want %d of %d", l.Bytes(), l.Len(), sum, len(expected))
			}
		}
	})
}
