package wire_test

import (
	"bufio"
	"bytes"
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

	"lotusbend/internal/membership"
	"lotusbend/internal/membership/wire"
)

// update rewrites the expected encodings. Other routers decode these bytes, so they
// may change only with a new version of the format.
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt, only with a deliberate change of behaviour")

var goldenFile = filepath.Join("testdata", "characterization.txt")

// example is a message and its name in the golden file. The name contains the
// number of the kind, so that renaming a kind does not change it.
type example struct {
	name    string
	message membership.Message
}

// TestCharacterization compares the encoding of every kind of message with the
// recorded bytes, and checks that these decode to the message.
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
				t.Fatalf("Encode = %s, want %q", got[e.name], golden[e.name])
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

// checkDecoded checks that the recorded bytes, in hex, decode to the message.
func checkDecoded(t *testing.T, codec *wire.Codec, golden string, want membership.Message) {
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
		t.Errorf("Decode = %+v, want %+v", decoded, want)
	}
}

// examples returns three messages of each kind, with no other field set, with all
// fields set and with the largest values, and two special cases.
func examples() []example {
	var all []example
	for kind := membership.Ping; kind <= membership.UserData; kind++ {
		for _, e := range []example{{"zero", membership.Message{}}, {"full", fullMessage()}, {"largest", largestMessage()}} {
			e.message.Kind = kind
			all = append(all, example{fmt.Sprintf("kind-%d-%s", kind, e.name), e.message})
		}
	}
	zeroFields := []membership.Update{{Name: "b"}}
	negativeStarts := []membership.Update{{Name: "b", Start: math.MinInt64}, {Name: "c", Start: -1}}
	return append(all,
		example{"zero-rumor-fields", membership.Message{Kind: membership.Ping, From: "a", Updates: zeroFields}},
		example{"least-start", membership.Message{Kind: membership.Sync, Updates: negativeStarts}})
}

// fullMessage returns a message with all fields set and an update of each state.
func fullMessage() membership.Message {
	m := membership.Message{Seq: 1000, From: "router-1", Target: "router-2", TargetAddr: "10.0.0.2:7000", After: "router-0",
		Count: 300, Payload: []byte{0, 1, 2, 254, 255}}
	for state := membership.Alive; state <= membership.Left; state++ {
		m.Updates = append(m.Updates, membership.Update{
			Name:        fmt.Sprint("router-", 3+int(state)),
			Addr:        "10.0.0.3:7000",
			Zone:        "zone-ä",
			Start:       1_700_000_000_000,
			Incarnation: 24,
			State:       state,
			Suspector:   "router-9",
		})
	}
	return m
}

// largestMessage returns a message with the largest numbers and long strings of
// four-byte characters.
func largestMessage() membership.Message {
	text := func(length int) string { return strings.Repeat("\U0010ffff", length/4) }
	return membership.Message{Seq: math.MaxUint64, From: text(128), Target: text(128), TargetAddr: text(64), After: text(128),
		Count: math.MaxUint32, Payload: bytes.Repeat([]byte{255}, 256),
		Updates: []membership.Update{{
			Name:        text(128),
			Addr:        text(64),
			Zone:        text(64),
			Start:       math.MaxInt64,
			Incarnation: math.MaxUint64,
			State:       membership.Left,
			Suspector:   text(128),
		}}}
}

// TestCharacterizationOfRefusals checks that Decode rejects invalid packets and
// Encode rejects an oversized message.
func TestCharacterizationOfRefusals(t *testing.T) {
	codec := newCodec(t)
	for name, packet := range map[string]string{
		"no bytes":            "",
		"no version":          "a20101036161",
		"version 2":           "a300020101036161",
		"kind 0":              "a300010100036161",
		"kind 8":              "a300010108036161",
		"unknown field":       "a400010101036161186301",
		"state 4":             "a4000101010361610781a20161620604",
		"update without name": "a4000101010361610781a10160",
		"field twice":         "a4000101010102036161",
		"trailing byte":       "a30001010103616100",
		"1401 bytes":          strings.Repeat("00", wire.MaxPacketBytes+1),
	} {
		if encoded, err := hex.DecodeString(packet); err != nil {
			t.Errorf("%s: %v", name, err)
		} else if _, err := codec.Decode(encoded); err == nil {
			t.Errorf("%s: Decode returned no error", name)
		}
	}
	if _, err := codec.Encode(membership.Message{Payload: make([]byte, wire.MaxPacketBytes)}); err == nil {
		t.Error("Encode of an oversized message returned no error")
	}
}

// TestCharacterizationOfNegativeCount checks that a negative count is encoded as 0.
func TestCharacterizationOfNegativeCount(t *testing.T) {
	codec := newCodec(t)
	negative, err := codec.Encode(membership.Message{Kind: membership.Sync, Count: -1})
	if err != nil {
		t.Fatal(err)
	}
	zero, err := codec.Encode(membership.Message{Kind: membership.Sync})
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(negative, zero) {
		t.Errorf("Encode of count -1 = %x, want %x as for 0", negative, zero)
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

// readGolden reads the golden file, lines of an example's name and its bytes in
// hex, into a map by name.
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

// writeGolden writes the golden file; want is the number of examples. It fails if
// only a part of them ran.
func writeGolden(t *testing.T, got map[string]string, want int) {
	t.Helper()
	if len(got) != want {
		t.Fatalf("only %d of %d examples ran: update with all of them", len(got), want)
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
