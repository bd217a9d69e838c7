package pipeline

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// Only writes to one group, and a write and a read that must see it, conflict.
func TestConflicts(t *testing.T) {
	write := func(group int, session uint64) Access {
		return Access{Group: group, Session: session, Write: true}
	}
	for name, c := range map[string]struct {
		a    Access
		b    Access
		want bool
	}{
		"writes to one group":             {write(1, 7), write(1, 8), true},
		"writes to two groups":            {write(1, 7), write(2, 7), false},
		"a write and a fresh read":        {write(1, 7), Access{Group: 1, Fresh: true}, true},
		"a write and its session's read":  {write(1, 7), Access{Group: 1, Session: 7}, true},
		"a write and another session's":   {write(1, 7), Access{Group: 1, Session: 8}, false},
		"a write without session, a read": {write(1, 0), Access{Group: 1}, false},
		"a fresh read of another group":   {write(1, 7), Access{Group: 2, Fresh: true}, false},
		"reads":                           {Access{Group: 1, Fresh: true}, Access{Group: 1, Fresh: true}, false},
	} {
		if conflicts(c.a, c.b) != c.want || conflicts(c.b, c.a) != c.want {
			t.Errorf("%s: conflict %v, want %v", name, !c.want, c.want)
		}
	}
}

// In whatever order commands end, the answers are sent in the order of the
// commands, and no two that conflict run concurrently or out of order.
func TestOrderInAnyInterleaving(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var queue Queue[int]
		var all, active []*Command[int]
		var sent, want strings.Builder
		send := func() {
			answers, _, _ := queue.NextAnswers(1 + rng.IntN(20))
			sent.Write(answers)
		}
		for step := 0; step < 300 || queue.Len() > 0; step++ {
			switch n := len(all); {
			case step < 300 && rng.IntN(3) == 0:
				answer := fmt.Sprintf("<%d>", n)
				want.WriteString(answer)
				access := Access{
					Group:   rng.IntN(2),
					Session: rng.Uint64N(3),
					Write:   rng.IntN(3) == 0,
					Fresh:   rng.IntN(4) == 0,
				}
				if rng.IntN(5) == 0 {
					all = append(all, queue.AddAnswered([]byte(answer), false, n))
				} else {
					all = append(all, queue.Add(access, n))
				}
			case rng.IntN(2) == 0:
				if next, _ := queue.NextStart(); next != nil {
					for _, earlier := range all[:next.Value] {
						if earlier.state != answered && conflicts(earlier.Access, next.Access) {
							t.Fatalf("seed %d: %d overtakes %d", seed, next.Value, earlier.Value)
						}
					}
					next.Start()
					active = append(active, next)
				}
			case len(active) > 0:
				i := rng.IntN(len(active))
				active[i].Answer(fmt.Appendf(nil, "<%d>", active[i].Value))
				active = append(active[:i], active[i+1:]...)
			default:
				send()
			}
			send()
		}
		if sent.String() != want.String() {
			t.Fatalf("seed %d: sent %s, want %s", seed, sent.String(), want.String())
		}
	}
}

// The oldest command may always start, and no more than Window run.
func TestWindow(t *testing.T) {
	var queue Queue[int]
	for n := range 3 * Window {
		queue.Add(Access{}, n)
	}
	started := 0
	for next, oldest := queue.NextStart(); next != nil; next, oldest = queue.NextStart() {
		if oldest != (started == 0) {
			t.Errorf("command %d is reported as the oldest: %v", next.Value, oldest)
		}
		next.Start()
		started++
	}
	if started != Window {
		t.Errorf("%d commands run, want %d", started, Window)
	}
}

// Consecutive commands with the very same answer share an entry.
func TestMerge(t *testing.T) {
	var queue Queue[int]
	same := []byte("same")
	other := []byte("other")
	queue.AddAnswered(same, false, 0)
	for range 999 {
		if !queue.Merge(same) {
			t.Fatal("not merged")
		}
	}
	if queue.Merge(other) || queue.Merge([]byte("same")) {
		t.Error("merged with another answer")
	}
	queue.AddAnswered(other, true, 1)
	if queue.Merge(other) {
		t.Error("merged with the last answer of the connection")
	}
	sent := ""
	for last := false; !last; {
		var answers []byte
		answers, _, last = queue.NextAnswers(64)
		if len(answers) > 64 {
			t.Errorf("%d bytes at once", len(answers))
		}
		sent += string(answers)
	}
	if sent != strings.Repeat("same", 1000)+"other" || queue.Len() != 0 {
		t.Errorf("%d bytes sent, %d entries left", len(sent), queue.Len())
	}
}

// An answer longer than the limit is sent, alone.
func TestLongAnswerIsSentAlone(t *testing.T) {
	var queue Queue[int]
	queue.AddAnswered([]byte("a long one"), false, 0)
	queue.AddAnswered([]byte("b"), false, 1)
	if answers, done, _ := queue.NextAnswers(4); string(answers) != "a long one" || len(done) != 1 {
		t.Errorf("sent %q", answers)
	}
}
