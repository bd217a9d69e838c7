package pipeline

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestConflicts checks that two writes to the same group conflict, as do a write and
// a read that must see it, and that no other commands do.
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
			t.Errorf("%s: conflicts() = %v in one order, want %v", name, !c.want, c.want)
		}
	}
}

// TestAnswersAreInOrderForAnyInterleaving runs random interleavings of arrivals,
// starts and answers. Answers must be returned in the order of the commands, and
// conflicting commands must not run concurrently or out of order.
func TestAnswersAreInOrderForAnyInterleaving(t *testing.T) {
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
							t.Fatalf("seed %d: command %d may start before conflicting command %d is answered",
								seed, next.Value, earlier.Value)
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

// TestWindowLimitsRunningCommands checks that the oldest command is reported as such
// and that no more than Window commands run.
func TestWindowLimitsRunningCommands(t *testing.T) {
	var queue Queue[int]
	for n := range 3 * Window {
		queue.Add(Access{}, n)
	}
	started := 0
	for next, oldest := queue.NextStart(); next != nil; next, oldest = queue.NextStart() {
		if oldest != (started == 0) {
			t.Errorf("NextStart() of command %d: oldest = %v, want the opposite", next.Value, oldest)
		}
		next.Start()
		started++
	}
	if started != Window {
		t.Errorf("started %d commands, want %d", started, Window)
	}
}

// TestMergeSharesEntryForSameAnswer checks that consecutive commands with the same
// answer in memory share an entry, and that others do not.
func TestMergeSharesEntryForSameAnswer(t *testing.T) {
	var queue Queue[int]
	same := []byte("same")
	other := []byte("other")
	queue.AddAnswered(same, false, 0)
	for range 999 {
		if !queue.Merge(same) {
			t.Fatal("Merge() with the same answer = false, want true")
		}
	}
	if queue.Merge(other) || queue.Merge([]byte("same")) {
		t.Error("Merge() with another answer = true, want false")
	}
	queue.AddAnswered(other, true, 1)
	if queue.Merge(other) {
		t.Error("Merge() with the last answer of the connection = true, want false")
	}
	sent := ""
	for last := false; !last; {
		var answers []byte
		answers, _, last = queue.NextAnswers(64)
		if len(answers) > 64 {
			t.Errorf("NextAnswers(64) returned %d bytes, want at most 64", len(answers))
		}
		sent += string(answers)
	}
	if sent != strings.Repeat("same", 1000)+"other" || queue.Len() != 0 {
		t.Errorf("%d bytes returned and %d entries left, want 4005 and 0", len(sent), queue.Len())
	}
}

// TestLongAnswerIsReturnedAlone checks that NextAnswers returns an answer that exceeds
// the size limit, without any other.
func TestLongAnswerIsReturnedAlone(t *testing.T) {
	var queue Queue[int]
	queue.AddAnswered([]byte("a long one"), false, 0)
	queue.AddAnswered([]byte("b"), false, 1)
	if answers, done, _ := queue.NextAnswers(4); string(answers) != "a long one" || len(done) != 1 {
		t.Errorf("NextAnswers(4) = %q, want only the first answer", answers)
	}
}
