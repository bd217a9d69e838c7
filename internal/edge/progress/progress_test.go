package progress

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A link that delivers one byte a second is not silent, and yet it stalls.
func TestOneByteASecondIsNoProgress(t *testing.T) {
	l := New(Limits{Window: 10000, Least: 64, Bytes: 1 << 20})
	var slow, steady bool
	for s := range 30 {
		now := float64(s) * 1000
		ended := l.Tick(now)
		slow = slow || slices.Contains(ended, 1)
		steady = steady || slices.Contains(ended, 2)
		if !slow {
			l.Grow(now, 1, 1)
		}
		l.Grow(now, 2, 20)
		if slow && s > 10 {
			break
		}
	}
	if !slow || steady {
		t.Errorf("slow ended: %t, steady ended: %t", slow, steady)
	}
}

func TestTheSlowestGoesFirst(t *testing.T) {
	l := New(Limits{Window: 60000, Least: 1, Bytes: 4*overhead + 400})
	l.Grow(0, 1, 10)
	l.Grow(5000, 2, 100)
	l.Grow(5000, 3, 100)
	if out := l.Grow(6000, 4, 300); !slices.Equal(out, []uint64{1, 2}) && !slices.Equal(out, []uint64{1}) {
		t.Errorf("%v went", out)
	}
	if out := l.Grow(6000, 4, 900); !slices.Contains(out, 4) {
		t.Errorf("one beyond the whole bound stayed: %v", out)
	}
	if l.Bytes() != 0 && l.Len() == 0 {
		t.Errorf("%d bytes of nobody", l.Bytes())
	}
}

// Whatever comes, the books hold no more than their bound and forget nobody.
func TestTheBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := Limits{Window: 1000, Least: 10, Bytes: rapid.IntRange(300, 5000).Draw(t, "bytes")}
		l, now := New(lim), 0.0
		held := map[uint64]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "pass")
			owner := uint64(rapid.IntRange(1, 9).Draw(t, "owner"))
			var out []uint64
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l.End(owner)
				delete(held, owner)
			case 1:
				out = l.Tick(now)
				if at, ok := l.Next(); ok && at <= now {
					t.Fatalf("due at %v after a tick at %v", at, now)
				}
			default:
				n := rapid.IntRange(1, 500).Draw(t, "n")
				held[owner] += n
				out = l.Grow(now, owner, n)
			}
			for _, o := range out {
				if held[o] == 0 {
					t.Fatalf("%d was ended and is not there", o)
				}
				delete(held, o)
			}
			sum := 0
			for _, n := range held {
				sum += n + overhead
			}
			if l.Bytes() != sum || sum > lim.Bytes || l.Len() != len(held) {
				t.Fatalf("%d bytes of %d owners booked, %d of %d held", l.Bytes(), l.Len(), sum, len(held))
			}
		}
	})
}
