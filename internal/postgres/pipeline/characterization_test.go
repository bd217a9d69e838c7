package pipeline_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/postgres/pipeline"
)

// update rewrites the golden file. Its values may change only with a deliberate
// change of behaviour, never with a renaming or a refactoring.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; its values may change only with a deliberate change of behaviour")

const goldenFile = "testdata/characterization.txt"

// scenario is a random sequence of events on one connection. The probability of an
// event is proportional to its weight. Fractions refer to the commands added.
type scenario struct {
	name   string
	seed   uint64
	events int

	// Weights.
	add         int
	addAnswered int
	merge       int
	start       int
	answer      int
	send        int
	clear       int

	groups   int
	sessions int
	writes   float64 // fraction
	fresh    float64 // fraction
	maxSize  int     // upper bound of the size passed to NextAnswers, in bytes
}

var scenarios = []scenario{
	{name: "reads", seed: 1, events: 5000, add: 10, start: 10, answer: 10, send: 5,
		groups: 3, sessions: 4, fresh: 0.2, maxSize: 64},
	{name: "writes", seed: 2, events: 5000, add: 10, start: 12, answer: 12, send: 5,
		groups: 3, sessions: 4, writes: 1, maxSize: 64},
	{name: "one-group", seed: 3, events: 5000, add: 10, start: 12, answer: 12, send: 5,
		groups: 1, sessions: 2, writes: 0.3, fresh: 0.3, maxSize: 64},
	{name: "sessions", seed: 4, events: 5000, add: 10, start: 12, answer: 12, send: 5,
		groups: 2, sessions: 3, writes: 0.3, maxSize: 64},
	{name: "no-sessions", seed: 5, events: 5000, add: 10, start: 12, answer: 12, send: 5,
		groups: 2, sessions: 1, writes: 0.3, fresh: 0.1, maxSize: 64},
	{name: "mixed", seed: 6, events: 8000, add: 20, addAnswered: 5, merge: 10, start: 25, answer: 25, send: 15, clear: 1,
		groups: 4, sessions: 5, writes: 0.3, fresh: 0.2, maxSize: 40},
	{name: "backlog", seed: 7, events: 5000, add: 30, addAnswered: 2, merge: 2, start: 25, answer: 6, send: 5,
		groups: 40, sessions: 5, writes: 0.2, fresh: 0.1, maxSize: 200},
	{name: "same-answers", seed: 8, events: 5000, add: 1, addAnswered: 4, merge: 30, start: 3, answer: 3, send: 8,
		groups: 2, sessions: 2, writes: 0.2, maxSize: 24},
}

// TestCharacterization replays seeded sequences of events and compares a digest of
// all results with the golden file. The digest covers only numbers and bytes, so that
// renaming identifiers does not change it.
func TestCharacterization(t *testing.T) {
	digests := map[string]string{}
	for _, s := range scenarios {
		digests[s.name] = s.replay()
	}
	compareWithGolden(t, digests)
}

// command is a command whose value is its number in the order of arrival.
type command = pipeline.Command[uint64]

// connection is the state of the replay of a scenario.
type connection struct {
	scenario
	random  *rand.Rand
	digest  digest
	queue   pipeline.Queue[uint64]
	running []*command
	added   uint64
}

// fixedAnswers are answers shared by commands. Two of them have equal contents in
// different places in memory, which must not be merged. The last one is empty.
var fixedAnswers = [][]byte{[]byte("ready"), []byte("error 1"), []byte("ready"), {}}

// replay runs the scenario and returns its digest.
func (s scenario) replay() string {
	c := &connection{scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)), digest: newDigest()}
	steps := []struct {
		weight int
		do     func()
	}{
		{s.add, c.addCommand},
		{s.addAnswered, c.addAnsweredCommand},
		{s.merge, c.mergeAnswer},
		{s.start, c.startNext},
		{s.answer, c.answerAny},
		{s.send, c.sendAnswers},
		{s.clear, c.clearAll},
	}
	total := 0
	for _, step := range steps {
		total += step.weight
	}
	for n := range s.events {
		drawn := c.random.IntN(total)
		for i, step := range steps {
			drawn -= step.weight
			if drawn < 0 {
				c.digest.uint(uint64(i))
				step.do()
				break
			}
		}
		c.observe()
		if n%100 == 0 {
			c.observeEach()
		}
	}
	return c.digest.sum()
}

// addCommand adds a command with a random access.
func (c *connection) addCommand() {
	access := pipeline.Access{
		Group:   c.random.IntN(c.groups),
		Session: c.random.Uint64N(uint64(c.sessions)),
		Write:   c.random.Float64() < c.writes,
		Fresh:   c.random.Float64() < c.fresh,
	}
	c.observeCommand(c.queue.Add(access, c.added))
	c.added++
}

// addAnsweredCommand adds a command with a random fixed answer.
func (c *connection) addAnsweredCommand() {
	answer := fixedAnswers[c.random.IntN(len(fixedAnswers))]
	last := c.random.IntN(20) == 0
	c.observeCommand(c.queue.AddAnswered(answer, last, c.added))
	c.added++
}

// mergeAnswer merges a random fixed answer, sometimes a copy of it.
func (c *connection) mergeAnswer() {
	answer := fixedAnswers[c.random.IntN(len(fixedAnswers))]
	if c.random.IntN(10) == 0 {
		answer = slices.Clone(answer)
	}
	c.digest.bool(c.queue.Merge(answer))
}

// startNext starts the next command that may run.
func (c *connection) startNext() {
	next, oldest := c.queue.NextStart()
	c.observeCommand(next)
	c.digest.bool(oldest)
	if next != nil {
		next.Start()
		c.observeCommand(next)
		c.running = append(c.running, next)
	}
}

// answerAny answers a random running command, sometimes with a fixed answer.
func (c *connection) answerAny() {
	if len(c.running) == 0 {
		return
	}
	i := c.random.IntN(len(c.running))
	answered := c.running[i]
	c.running = slices.Delete(c.running, i, i+1)
	if c.random.IntN(4) == 0 {
		answered.Answer(fixedAnswers[c.random.IntN(len(fixedAnswers))])
	} else {
		answered.Answer(fmt.Appendf(nil, "<%d%s>", answered.Value, strings.Repeat("x", c.random.IntN(30))))
	}
	c.observeCommand(answered)
}

// sendAnswers removes answers from the queue.
func (c *connection) sendAnswers() {
	sent, done, last := c.queue.NextAnswers(c.random.IntN(c.maxSize))
	c.digest.bytes(sent)
	c.digest.uint(uint64(len(done)))
	for _, removed := range done {
		c.observeCommand(removed)
	}
	c.digest.bool(last)
	if last {
		c.clearAll()
	}
}

// clearAll removes all commands.
func (c *connection) clearAll() {
	c.queue.Clear()
	c.running = nil
}

// observe adds the state of the queue to the digest.
func (c *connection) observe() {
	c.digest.uint(uint64(c.queue.Len()))
	c.digest.uint(uint64(c.queue.Commands()))
	c.observeCommand(c.queue.FirstRunning())
}

// observeEach adds every entry of the queue to the digest.
func (c *connection) observeEach() { c.queue.Each(c.observeCommand) }

// observeCommand adds a command, which may be nil, to the digest.
func (c *connection) observeCommand(observed *command) {
	c.digest.bool(observed != nil)
	if observed == nil {
		return
	}
	c.digest.uint(observed.Value)
	c.digest.bool(observed.Waiting())
	c.digest.bool(observed.Running())
	c.digest.uint(uint64(observed.Group))
	c.digest.uint(observed.Session)
	c.digest.bool(observed.Write)
	c.digest.bool(observed.Fresh)
}

// digest is a running SHA-256 over numbers and bytes.
type digest struct{ hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

// uint hashes an integer.
func (d digest) uint(v uint64) {
	d.Write(binary.LittleEndian.AppendUint64(nil, v))
}

// bool hashes a boolean as one byte.
func (d digest) bool(v bool) {
	if v {
		d.Write([]byte{1})
	} else {
		d.Write([]byte{0})
	}
}

// bytes hashes a byte slice and its length.
func (d digest) bytes(v []byte) {
	d.uint(uint64(len(v)))
	d.Write(v)
}

// sum returns the hash in hexadecimal digits.
func (d digest) sum() string { return hex.EncodeToString(d.Sum(nil)) }

// compareWithGolden compares digests, by scenario, with the golden file, or
// rewrites the file if the update flag is set.
func compareWithGolden(t *testing.T, got map[string]string) {
	t.Helper()
	replayed := slices.Sorted(maps.Keys(got))
	if *update {
		var b strings.Builder
		for _, scenario := range replayed {
			fmt.Fprintf(&b, "%s %s\n", scenario, got[scenario])
		}
		if err := os.WriteFile(goldenFile, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := readGolden(t)
	for _, scenario := range replayed {
		expected, ok := want[scenario]
		switch {
		case !ok:
			t.Errorf("%s: not in %s", scenario, goldenFile)
		case got[scenario] != expected:
			t.Errorf("%s: digest %s, want %s", scenario, got[scenario], expected)
		}
		delete(want, scenario)
	}
	for _, scenario := range slices.Sorted(maps.Keys(want)) {
		t.Errorf("%s: in %s, but not replayed", scenario, goldenFile)
	}
}

// readGolden returns the digests in the golden file by scenario.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	content, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	digests := map[string]string{}
	for line := range strings.Lines(string(content)) {
		scenario, sum, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if _, repeated := digests[scenario]; !ok || repeated {
			t.Fatalf("%s: malformed or repeated line %q", goldenFile, line)
		}
		digests[scenario] = sum
	}
	return digests
}
