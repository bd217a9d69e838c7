package wire_test

import (
	"bufio"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/wire"
)

// update rewrites the expected encodings. Other routers decode them, so they may
// change only with a deliberate change of behaviour, which is a new version of the
// protocol.
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt, only with a deliberate change of behaviour")

var goldenFile = filepath.Join("testdata", "characterization.txt")

// example is a message and the name of its line in the golden file. The name
// numbers the parts of a message by their CBOR keys: 1 counters, 2 health reports,
// 3 lease requests, 4 lease grants.
type example struct {
	name    string
	message fleetstate.Message
}

// TestCharacterization compares the encoding of every part of a message with the
// recorded bytes, and checks that those decode to the message.
func TestCharacterization(t *testing.T) {
	codec := newCodec(t)
	golden, got, all := readGolden(t), map[string]string{}, examples()
	for _, e := range all {
		t.Run(e.name, func(t *testing.T) {
			encoded, err := codec.Encode(e.message)
			if err != nil {
				t.Fatal(err)
			}
			got[e.name] = hex.EncodeToString(encoded)
			if *update {
				return
			}
			if got[e.name] != golden[e.name] {
				t.Fatalf("Encode() = %q, want %q", got[e.name], golden[e.name])
			}
			checkDecoded(t, codec, golden[e.name], e.message)
		})
	}
	if *update {
		writeGolden(t, got, len(all))
		return
	}
	for name := range golden {
		if !slices.ContainsFunc(all, func(e example) bool { return e.name == name }) {
			t.Errorf("%s has bytes for %q, which is not an example", goldenFile, name)
		}
	}
}

// checkDecoded checks that bytes in hexadecimal decode to a message.
func checkDecoded(t *testing.T, codec *wire.Codec, golden string, want fleetstate.Message) {
	t.Helper()
	encoded, err := hex.DecodeString(golden)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := codec.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("Decode() = %+v, want %+v", decoded, want)
	}
}

// examples returns messages with each part alone, with the least, usual and largest
// values, and one message with all parts.
func examples() []example {
	longest := strings.Repeat("\U0010ffff", 32) // 128 bytes
	all := []example{{"empty", fleetstate.Message{}}}
	all = append(all, counterExamples(longest)...)
	all = append(all, requestExamples(longest)...)
	all = append(all, grantExamples(longest)...)
	for kind := fleetstate.Healthy; kind <= fleetstate.Primary; kind++ {
		reports := func(endpoint string, ageMs int64) fleetstate.Message {
			return fleetstate.Message{HealthReports: []fleetstate.HealthReport{{Endpoint: endpoint, Status: kind, AgeMs: ageMs}}}
		}
		all = append(all,
			example{fmt.Sprintf("part-2-kind-%d-zero", kind), reports("a", 0)},
			example{fmt.Sprintf("part-2-kind-%d-full", kind), reports("db-1", 300)},
			example{fmt.Sprintf("part-2-kind-%d-largest", kind), reports(longest, math.MaxUint32)})
	}
	return append(all, example{"every-part", fleetstate.Message{
		Counters: []fleetstate.CounterEntry{
			{Name: "a", Epoch: 1, Stamp: 2, Counters: fleetstate.Counters{3}},
			{Name: "b", Epoch: 4, Stamp: 5, Counters: fleetstate.Counters{6, 7}},
		},
		HealthReports: []fleetstate.HealthReport{
			{Endpoint: "c", Status: fleetstate.Unresponsive, AgeMs: 8},
			{Endpoint: "d", Status: fleetstate.Primary, AgeMs: 9},
		},
		LeaseRequests: []fleetstate.LeaseRequest{{Key: "e", ID: 10, Wanted: 0.25, RequestedAt: 11}},
		LeaseGrants:   []fleetstate.LeaseGrant{{Key: "f", ID: 12, Amount: 0.125, RequestedAt: 13, DurationMs: 14}},
	}})
}

// counterExamples returns messages with one counter entry.
func counterExamples(longest string) []example {
	counters := func(entries ...fleetstate.CounterEntry) fleetstate.Message {
		return fleetstate.Message{Counters: entries}
	}
	return []example{
		{"part-1-zero", counters(fleetstate.CounterEntry{Name: "a"})},
		{"part-1-no-cells", counters(fleetstate.CounterEntry{Name: "a", Counters: fleetstate.Counters{}})},
		{
			"part-1-full",
			counters(fleetstate.CounterEntry{
				Name:     "router-ä",
				Epoch:    1_700_000_000_000,
				Stamp:    1_700_000_001_000,
				Counters: fleetstate.Counters{0, 23, 24, 255, 256, 65_535, 65_536, 1 << 32},
			}),
		},
		{
			"part-1-largest",
			counters(fleetstate.CounterEntry{
				Name:     longest,
				Epoch:    math.MaxInt64,
				Stamp:    math.MaxInt64,
				Counters: slices.Repeat(fleetstate.Counters{math.MaxUint64}, 20),
			}),
		},
		{
			"part-1-least",
			counters(fleetstate.CounterEntry{Name: "a", Epoch: math.MinInt64, Stamp: -1, Counters: fleetstate.Counters{0}}),
		},
	}
}

// requestExamples returns messages with lease requests.
func requestExamples(longest string) []example {
	requests := func(requests ...fleetstate.LeaseRequest) fleetstate.Message {
		return fleetstate.Message{LeaseRequests: requests}
	}
	return []example{
		{"part-3-zero", requests(fleetstate.LeaseRequest{Key: "a", Wanted: math.SmallestNonzeroFloat64})},
		{
			"part-3-full",
			requests(fleetstate.LeaseRequest{
				Key:         "db-1",
				ID:          1000,
				Wanted:      1.0 / 3,
				RequestedAt: 1_700_000_000_000,
			}, fleetstate.LeaseRequest{Key: fleetstate.RetryBudgetKey, ID: 24, Wanted: 0.5, RequestedAt: -5}),
		},
		{
			"part-3-largest",
			requests(fleetstate.LeaseRequest{Key: longest, ID: math.MaxUint64, Wanted: 1e9, RequestedAt: math.MaxInt64}),
		},
	}
}

// grantExamples returns messages with lease grants.
func grantExamples(longest string) []example {
	grants := func(grants ...fleetstate.LeaseGrant) fleetstate.Message {
		return fleetstate.Message{LeaseGrants: grants}
	}
	return []example{
		{"part-4-zero", grants(fleetstate.LeaseGrant{Key: "a", Amount: math.SmallestNonzeroFloat64})},
		{
			"part-4-full",
			grants(fleetstate.LeaseGrant{
				Key:         "db-1",
				ID:          1000,
				Amount:      1.0 / 3,
				RequestedAt: 1_700_000_000_000,
				DurationMs:  3000,
			}, fleetstate.LeaseGrant{Key: fleetstate.RetryBudgetKey, ID: 24, Amount: 2, RequestedAt: -5, DurationMs: 1}),
		},
		{
			"part-4-largest",
			grants(fleetstate.LeaseGrant{
				Key:         longest,
				ID:          math.MaxUint64,
				Amount:      1e9,
				RequestedAt: math.MaxInt64,
				DurationMs:  math.MaxUint32,
			}),
		},
	}
}

// TestCharacterizationOfBounds checks that durations outside the protocol's range
// are encoded as its nearest limit.
func TestCharacterizationOfBounds(t *testing.T) {
	codec := newCodec(t)
	for _, bound := range []struct {
		name       string
		sent, want int64
	}{{"below zero", -1, 0}, {"above the largest", math.MaxUint32 + 1, math.MaxUint32}} {
		t.Run(bound.name, func(t *testing.T) {
			durations := func(ms int64) fleetstate.Message {
				return fleetstate.Message{
					HealthReports: []fleetstate.HealthReport{{Endpoint: "a", Status: fleetstate.Healthy, AgeMs: ms}},
					LeaseGrants:   []fleetstate.LeaseGrant{{Key: "b", Amount: 1, DurationMs: ms}},
				}
			}
			encoded, err := codec.Encode(durations(bound.sent))
			if err != nil {
				t.Fatal(err)
			}
			checkDecoded(t, codec, hex.EncodeToString(encoded), durations(bound.want))
		})
	}
}

// TestCharacterizationOfRejections checks that Decode rejects invalid messages.
func TestCharacterizationOfRejections(t *testing.T) {
	codec := newCodec(t)
	for name, message := range map[string]string{
		"no bytes":                "",
		"no version":              "a0",
		"version 2":               "a10002",
		"unknown field":           "a200010501",
		"field twice":             "a200010001",
		"trailing byte":           "a1000100",
		"1401 bytes":              strings.Repeat("00", 1401),
		"counters without a name": "a2000101" + "8184600000" + "80",
		"counters with long name": "a2000101" + "81847881" + strings.Repeat("61", 129) + "000080",
		"report without a name":   "a2000102" + "8183600100",
		"report of status 0":      "a2000102" + "818361610000",
		"report of status 7":      "a2000102" + "818361610700",
		"request without a name":  "a2000103" + "81846000f93c0000",
		"request of 0":            "a2000103" + "8184616100f9000000",
		"request below 0":         "a2000103" + "8184616100f9bc0000",
		"request of no number":    "a2000103" + "8184616100f97e0000",
		"request of infinity":     "a2000103" + "8184616100f97c0000",
		"grant without a name":    "a2000104" + "81856000f93c000000",
		"grant of 0":              "a2000104" + "8185616100f900000000",
	} {
		if encoded, err := hex.DecodeString(message); err != nil {
			t.Errorf("%s: decoding the test's own hexadecimal: %v", name, err)
		} else if _, err := codec.Decode(encoded); err == nil {
			t.Errorf("Decode(%s) succeeded, want an error", name)
		}
	}
}

func newCodec(t *testing.T) *wire.Codec {
	t.Helper()
	codec, err := wire.New()
	if err != nil {
		t.Fatal(err)
	}
	return codec
}

// readGolden returns the recorded bytes in hexadecimal by example name. It returns
// nil if the file does not exist and is about to be written.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open(goldenFile)
	if os.IsNotExist(err) && *update {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	golden := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, value, found := strings.Cut(lines.Text(), " ")
		if _, twice := golden[name]; !found || twice {
			t.Fatalf("%s: line %q is malformed or repeated", goldenFile, lines.Text())
		}
		golden[name] = value
	}
	return golden
}

// writeGolden writes the encodings of all examples to the golden file.
func writeGolden(t *testing.T, got map[string]string, want int) {
	t.Helper()
	if len(got) != want {
		t.Fatalf("%d of %d examples ran, want all of them for -update", len(got), want)
	}
	var content strings.Builder
	for _, name := range slices.Sorted(maps.Keys(got)) {
		fmt.Fprintln(&content, name, got[name])
	}
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, []byte(content.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
