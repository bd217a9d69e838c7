package batch_test

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

	"lotusbend/internal/edge/batch"
)

// update rewrites the expected values. They may change only with a deliberate
// change of behaviour, which the commit message must name.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares the encoded bytes of batches and replies, and
// what is decoded from valid and from mutated batches, with the expected values.
func TestCharacterization(t *testing.T) {
	codec := batch.NewCodec()
	got := map[string]string{}
	for name, b := range batches() {
		got["batch-"+name] = shortened(codec.Encode(b))
		got["read-batch-"+name] = readMutated(codec, codec.Encode(b))
	}
	for name, r := range replies() {
		got["reply-"+name] = shortened(codec.Encode(r))
	}
	compareExpected(t, got)
}

// compareExpected compares the scenarios with the expected values, or rewrites
// these with -update.
func compareExpected(t *testing.T, got map[string]string) {
	t.Helper()
	if *update {
		var out strings.Builder
		for _, name := range slices.Sorted(maps.Keys(got)) {
			fmt.Fprintln(&out, strings.TrimSpace(name+" "+got[name]))
		}
		if err := os.WriteFile(expectedFile, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(expectedFile)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		want[name] = value
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if value, ok := want[name]; !ok {
			t.Errorf("scenario %s is not in %s", name, expectedFile)
		} else if got[name] != value {
			t.Errorf("scenario %s: got %s, want %s", name, got[name], value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if _, ok := got[name]; !ok {
			t.Errorf("scenario %s of %s did not run", name, expectedFile)
		}
	}
}

// digest is a running hash of numbers and bytes.
type digest struct{ hash hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

func (d digest) numbers(values ...int) {
	for _, v := range values {
		_ = binary.Write(d.hash, binary.BigEndian, int64(v)) // a hash never fails
	}
}

func (d digest) flags(values ...bool) {
	for _, v := range values {
		n := 0
		if v {
			n = 1
		}
		d.numbers(n)
	}
}

func (d digest) texts(values ...[]byte) {
	for _, v := range values {
		d.numbers(len(v))
		d.hash.Write(v)
	}
}

func (d digest) sum() string { return hex.EncodeToString(d.hash.Sum(nil)) }

// shortened returns up to 256 bytes as hexadecimal digits, and longer ones as
// their digest.
func shortened(b []byte) string {
	if len(b) <= 256 {
		return hex.EncodeToString(b)
	}
	d := newDigest()
	d.texts(b)
	return d.sum()
}

func batches() map[string]*batch.Batch {
	elapsed := func(ms float64) *float64 { return &ms }
	one := []batch.Reading{{Seq: 1, Value: []byte("a")}}
	two := []batch.Reading{{Seq: 1, Value: []byte("a")}, {Seq: 2, Sent: 4, Urgent: true, Value: []byte("b")}}
	largest := []batch.Reading{{Seq: math.MaxUint64, Sent: math.MaxUint64, Value: []byte{0, 0xff}}}
	var many []batch.Reading
	for seq := range uint64(batch.MaxReadings + 1) {
		many = append(many, batch.Reading{Seq: seq, Sent: seq % 3, Urgent: seq%2 == 0, Value: []byte{byte(seq)}})
	}
	return map[string]*batch.Batch{
		"small":             {Device: "meter-1", Epoch: 3, Readings: one},
		"full":              {Device: "meter-1", Epoch: 3, Elapsed: elapsed(12.5), Readings: two},
		"largest-numbers":   {Device: "m", Epoch: math.MaxUint64, Elapsed: elapsed(1e12 - 1), Readings: largest},
		"elapsed-zero":      {Device: "m", Elapsed: elapsed(0), Readings: one},
		"elapsed-negative":  {Device: "m", Elapsed: elapsed(-1), Readings: one},
		"elapsed-too-large": {Device: "m", Elapsed: elapsed(1e12), Readings: one},
		"elapsed-no-number": {Device: "m", Elapsed: elapsed(math.NaN()), Readings: one},
		"no-device":         {Readings: one},
		"longest-device":    {Device: strings.Repeat("d", 64), Readings: one},
		"too-long-a-device": {Device: strings.Repeat("d", 65), Readings: one},
		"no-readings":       {Device: "m"},
		"most-readings":     {Device: "m", Readings: many[:batch.MaxReadings]},
		"too-many-readings": {Device: "m", Readings: many},
		"no-value":          {Device: "m", Readings: []batch.Reading{{}}},
	}
}

func replies() map[string]batch.Reply {
	everyStatus := []batch.Result{
		{Seq: 1}, {Seq: 2, Status: 1}, {Seq: 3, Status: 2},
		{Seq: 4, Status: 3, Wait: 500}, {Seq: 5, Status: 4, Wait: 70000}, {Seq: 6, Status: 5},
	}
	return map[string]batch.Reply{
		"empty":           {},
		"one":             {Results: []batch.Result{{Seq: 1}}},
		"every-status":    {Results: everyStatus},
		"largest-numbers": {Results: []batch.Result{{Seq: math.MaxUint64, Status: math.MaxUint8, Wait: math.MaxUint32}}},
	}
}

// mutated returns a copy of b with one or two random bytes inserted, removed or
// changed, or with the end cut off.
func mutated(random *rand.Rand, b []byte) []byte {
	out := slices.Clone(b)
	for range 1 + random.IntN(2) {
		at := random.IntN(len(out) + 1)
		value := []byte{byte(random.IntN(256)), 0xff, 0xa1, 0x80, 0x5f, 0xc0}[random.IntN(6)]
		switch n := random.IntN(4); {
		case n == 0:
			out = slices.Insert(out, at, value)
		case at == len(out):
		case n == 1:
			out = slices.Delete(out, at, at+1)
		case n == 2:
			out = out[:at]
		default:
			out[at] = value
		}
	}
	return out
}

// readMutated decodes an encoded batch and mutated copies of it, and returns the
// digest of the results.
func readMutated(codec *batch.Codec, whole []byte) string {
	const mutations = 200
	d := newDigest()
	random := rand.New(rand.NewPCG(1, 2))
	hashBatch(d, codec, whole)
	for range mutations {
		hashBatch(d, codec, mutated(random, whole))
	}
	return d.sum()
}

// hashBatch adds the result of decoding b to a digest.
func hashBatch(d digest, codec *batch.Codec, b []byte) {
	decoded, err := codec.DecodeBatch(b)
	d.flags(decoded != nil, err != nil)
	if decoded == nil {
		return
	}
	d.texts([]byte(decoded.Device))
	d.flags(decoded.Elapsed != nil)
	if decoded.Elapsed != nil {
		d.numbers(int(math.Float64bits(*decoded.Elapsed)))
	}
	d.numbers(int(decoded.Epoch), len(decoded.Readings))
	for _, r := range decoded.Readings {
		d.numbers(int(r.Seq), int(r.Sent))
		d.flags(r.Urgent)
		d.texts(r.Value)
	}
}
