package pipeline

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestConflicts(t *testing.T) {
	write := func(group int, session uint64) Access { return Access{Group: group, Session: session, Write: true} }
	for name, c := range map[string]struct {
		a, b Access
		want bool
	}{
		"writes to one group":              {write(1, 7), write(1, 8), true},
		"writes to two groups":             {write(1, 7), write(2, 7), false},
		"a write and a fresh read":         {write(1, 7), Access{Group: 1, Fresh: true}, true},
		"a write and its session's read":   {write(1, 7), Access{Group: 1, Session: 7}, true},
		"a write and another session's":    {write(1, 7), Access{Group: 1, Session: 8}, false},
		"a write without session, a read":  {write(1, 0), Access{Group: 1}, false},
		"a write and a fresh read far off": {write(1, 7), Access{Group: 2, Fresh: true}, false},
		"reads":                            {Access{Group: 1, Fresh: true}, Access{Group: 1, Fresh: true}, false},
	} {
		if conflicts(c.a, c.b) != c.want || conflicts(c.b, c.a) != c.want {
			t.Errorf("%s: conflict %v, want %v", name, !c.want, c.want)
		}
	}
}

// Whatever the order in which commands end, the answers leave in the order of
// the commands, and no two that conflict run at the same time or out of order.
func TestOrderHoldsInAnyInterleaving(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var q Queue[int]
		var all, active []*Command[int]
		var sent, want strings.Builder
		take := func() {
			b, _, _ := q.NextAnswers(1 + rng.IntN(20))
			sent.Write(b)
		}
		for step := 0; step < 300 || q.Len() > 0; step++ {
			switch n := len(all); {
			case step < 300 && rng.IntN(3) == 0:
				answer := fmt.Sprintf("<%d>", n)
				want.WriteString(answer)
				a := Access{Group: rng.IntN(2), Session: rng.Uint64N(3), Write: rng.IntN(3) == 0, Fresh: rng.IntN(4) == 0}
				if rng.IntN(5) == 0 {
					all = append(all, q.AddAnswered([]byte(answer), false, n))
				} else {
					all = append(all, q.Add(a, n))
				}
			case rng.IntN(2) == 0:
				if c, _ := q.NextStart(); c != nil {
					for _, earlier := range all[:c.Value] {
						if earlier.state != answered && conflicts(earlier.Access, c.Access) {
							t.Fatalf("seed %d: %d overtakes %d", seed, c.Value, earlier.Value)
						}
					}
					c.Start()
					active = append(active, c)
				}
			case len(active) > 0:
				i := rng.IntN(len(active))
				active[i].Answer(fmt.Appendf(nil, "<%d>", active[i].Value))
				active = append(active[:i], active[i+1:]...)
			default:
				take()
			}
			take()
		}
		if sent.String() != want.String() {
			t.Fatalf("seed %d: sent %s, want %s", seed, sent.String(), want.String())
		}
	}
}

// The oldest command may always start, and no more than Window are under way.
func TestWindow(t *testing.T) {
	var q Queue[int]
	for n := range 3 * Window {
		q.Add(Access{}, n)
	}
	started := 0
	for c, oldest := q.NextStart(); c != nil; c, oldest = q.NextStart() {
		if oldest != (started == 0) {
			t.Errorf("command %d is said to be the oldest: %v", c.Value, oldest)
		}
		c.Start()
		started++
	}
	if started != Window {
		t.Errorf("%d commands run, want %d", started, Window)
	}
}

// Commands in a row that need no execution and have one answer share an entry.
func TestSameAnswersShareAnEntry(t *testing.T) {
	var q Queue[int]
	same, other := []byte("same"), []byte("other")
	q.AddAnswered(same, false, 0)
	for range 999 {
		if !q.Merge(same) {
			t.Fatal("not merged")
		}
	}
	if q.Merge(other) || q.Merge([]byte("same")) {
		t.Error("merged with another answer")
	}
	q.AddAnswered(other, true, 1)
	if q.Merge(other) {
		t.Error("merged with the end")
	}
	sent := ""
	for {
		b, _, last := q.NextAnswers(64)
		if len(b) > 64 {
			t.Errorf("%d bytes at once", len(b))
		}
		if sent += string(b); last {
			break
		}
	}
	if sent != strings.Repeat("same", 1000)+"other" || q.Len() != 0 {
		t.Errorf("%d bytes sent, %d entries left", len(sent), q.Len())
	}
}

// An answer longer than what leaves at once still leaves, alone.
func TestLongAnswerLeaves(t *testing.T) {
	var q Queue[int]
	q.AddAnswered([]byte("a long one"), false, 0)
	q.AddAnswered([]byte("b"), false, 1)
	if b, done, _ := q.NextAnswers(4); string(b) != "a long one" || len(done) != 1 {
		t.Errorf("%q left", b)
	}
}
