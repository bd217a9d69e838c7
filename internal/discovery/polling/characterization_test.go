package polling_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/discovery/polling"
)

// update makes the test rewrite the golden file. The values in the file may change
// only with a deliberate change of behaviour, never with a renaming or a
// refactoring.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; its values may change only with a deliberate change of behaviour")

const (
	goldenFile      = "testdata/characterization.txt"
	eventsPerStream = 4000
)

// TestCharacterization replays seeded event streams and compares a digest of all
// returned values with the golden file. The digest covers numbers only, so it does
// not depend on names. It was computed on amd64: on other architectures Go may fuse
// floating-point operations, which changes the last bits of their results. The
// scenarios have the names that the golden file has.
func TestCharacterization(t *testing.T) {
	digests := map[string]string{}
	for i, config := range characterizedConfigs() {
		name := fmt.Sprintf("ask=%t,within=%g,routers=%d", config.PollOnly, config.PollInterval, config.Routers)
		seed := uint64(i + 1)
		digests["pace/"+name] = replayBackoff(config, seed)
		digests["watch/"+name] = replaySchedule(config, seed)
	}
	compareWithGolden(t, digests)
}

func characterizedConfigs() []polling.Config {
	var configs []polling.Config
	for _, pollOnly := range []bool{false, true} {
		for _, pollInterval := range []float64{0, 800, 10000} {
			for _, routers := range []int{0, 1, 3, 300} {
				configs = append(configs, polling.Config{
					Routers:      routers,
					PollOnly:     pollOnly,
					PollInterval: pollInterval,
				})
			}
		}
	}
	return configs
}

// replayBackoff returns the digest of one router's delays. Most events are
// failures, so that the delays grow up to their bounds.
func replayBackoff(config polling.Config, seed uint64) string {
	events := rand.New(rand.NewPCG(seed, 1))
	backoff := polling.NewBackoff(config, seed)
	d := newDigest()
	for range eventsPerStream {
		switch n := events.IntN(16); {
		case n == 0:
			backoff.Succeeded()
		case n <= 2:
			d.float(backoff.InitialDelay(n == 1))
		default:
			d.float(backoff.Failed(n%2 == 0))
		}
	}
	return d.sum()
}

// replaySchedule returns the digest of one router's requests and of the delays
// between them.
func replaySchedule(config polling.Config, seed uint64) string {
	failures := []polling.Failure{
		polling.ConnectionFailed, polling.TimedOut, polling.Overloaded, polling.ErrorStatus, polling.Malformed,
	}
	events := rand.New(rand.NewPCG(seed, 2))
	schedule := polling.NewSchedule(config, seed)
	d := newDigest()
	for range eventsPerStream {
		poll := schedule.NextPoll()
		d.bool(poll.Incremental)
		d.uint(poll.Index)
		d.float(poll.LongPoll)
		d.float(poll.Timeout)
		switch n := events.IntN(16); {
		case n == 0:
			schedule.Resume(events.Uint64N(1000))
		case n == 1:
			d.float(schedule.InitialDelay())
		case n <= 7:
			d.float(schedule.Failed(failures[events.IntN(len(failures))]))
		default:
			index := nextIndex(events, poll.Index)
			snapshot := events.IntN(4) == 0
			updated := events.IntN(2) == 0
			d.float(schedule.Answered(poll, index, snapshot, updated, answerTime(events, poll)))
		}
	}
	return d.sum()
}

// nextIndex draws the index of a response. In three of five cases it increases,
// otherwise it stays the same or decreases.
func nextIndex(events *rand.Rand, index uint64) uint64 {
	switch events.IntN(5) {
	case 0:
		return index
	case 1:
		return index - min(index, 1+events.Uint64N(50))
	default:
		return index + 1 + events.Uint64N(50)
	}
}

// answerTime draws how long a response took. Its values include the bound below
// which a response to a long poll is early, which is half of the long poll.
func answerTime(events *rand.Rand, poll polling.Poll) float64 {
	switch events.IntN(6) {
	case 0:
		return 0
	case 1:
		return poll.LongPoll / 2
	case 2:
		return math.Nextafter(poll.LongPoll/2, 0)
	case 3:
		return poll.LongPoll
	default:
		return poll.Timeout * events.Float64()
	}
}

// digest is a running SHA-256 over numbers.
type digest struct{ hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

func (d digest) uint(v uint64) {
	d.Write(binary.LittleEndian.AppendUint64(nil, v))
}

func (d digest) float(v float64) { d.uint(math.Float64bits(v)) }

func (d digest) bool(v bool) {
	if v {
		d.Write([]byte{1})
	} else {
		d.Write([]byte{0})
	}
}

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

// readGolden returns the digests of the golden file by their scenario.
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
