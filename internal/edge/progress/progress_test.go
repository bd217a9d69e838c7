package progress

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A link that delivers one byte a second is never silent for long, but its
// message stalls. One that delivers 20 bytes a second does not.
func TestSlowMessageStalls(t *testing.T) {
	tracker := New(Limits{WindowMs: 10000, MinBytes: 64, TotalBytes: 1 << 20})
	var slow, steady bool
	for second := range 30 {
		now := float64(second) * 1000
		ended := tracker.Tick(now)
		slow = slow || slices.Contains(ended, 1)
		steady = steady || slices.Contains(ended, 2)
		if !slow {
			tracker.Add(now, 1, 1)
		}
		tracker.Add(now, 2, 20)
		if slow && second > 10 {
			break
		}
	}
	if !slow || steady {
		t.Errorf("Tick returned owner 1 (slow): %t, owner 2 (steady): %t, want true and false", slow, steady)
	}
}

func TestSlowestMessageIsEvictedFirst(t *testing.T) {
	tracker := New(Limits{WindowMs: 60000, MinBytes: 1, TotalBytes: 4*overheadBytes + 400})
	tracker.Add(0, 1, 10)
	tracker.Add(5000, 2, 100)
	tracker.Add(5000, 3, 100)
	if evicted := tracker.Add(6000, 4, 300); !slices.Equal(evicted, []uint64{1, 2}) && !slices.Equal(evicted, []uint64{1}) {
		t.Errorf("Add(6000, 4, 300) = %v, want [1] or [1 2]", evicted)
	}
	if evicted := tracker.Add(6000, 4, 900); !slices.Contains(evicted, 4) {
		t.Errorf("Add(6000, 4, 900) = %v, want owner 4, whose message alone exceeds the limit", evicted)
	}
	if tracker.Bytes() != 0 && tracker.Len() == 0 {
		t.Errorf("Bytes() = %d without messages, want 0", tracker.Bytes())
	}
}

// Random calls never exceed the limit, and Bytes and Len agree with the messages
// that were neither ended nor evicted.
func TestTotalBytesIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{WindowMs: 1000, MinBytes: 10, TotalBytes: rapid.IntRange(300, 5000).Draw(t, "bytes")}
		tracker := New(limits)
		now := 0.0
		expected := map[uint64]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "pass")
			owner := uint64(rapid.IntRange(1, 9).Draw(t, "owner"))
			var removed []uint64
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				tracker.End(owner)
				delete(expected, owner)
			case 1:
				removed = tracker.Tick(now)
				if at, ok := tracker.Next(); ok && at <= now {
					t.Fatalf("Next() = %v after Tick(%v), want a later time", at, now)
				}
			default:
				n := rapid.IntRange(1, 500).Draw(t, "n")
				expected[owner] += n
				removed = tracker.Add(now, owner, n)
			}
			for _, removedOwner := range removed {
				if expected[removedOwner] == 0 {
					t.Fatalf("owner %d was returned, but has no unfinished message", removedOwner)
				}
				delete(expected, removedOwner)
			}
			sum := 0
			for _, n := range expected {
				sum += n + overheadBytes
			}
			if tracker.Bytes() != sum || sum > limits.TotalBytes || tracker.Len() != len(expected) {
				t.Fatalf("Bytes() = %d, Len() = %d, want %d and %d, at most %d bytes",
					tracker.Bytes(), tracker.Len(), sum, len(expected), limits.TotalBytes)
			}
		}
	})
}
