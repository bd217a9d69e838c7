package wire_test

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
	"strconv"
	"strings"
	"testing"

	"lotusbend/internal/postgres/wire"
)

// update rewrites the golden file. The commit must name the deliberate change of
// behaviour that requires it.
var update = flag.Bool(
	"update", false, "rewrite testdata/characterization.txt; only for a deliberate change of behaviour",
)

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares the bytes of all encoded messages, and the results
// of decoding valid and malformed ones, with the golden file. The file has messages
// in hexadecimal digits, and results as digests of their numbers and bytes.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, message := range writtenMessages(t) {
		got["message-"+name] = hex.EncodeToString(message)
	}
	for name, text := range statements {
		got["statement-"+name] = readStatement(text)
		if message := rewrittenStatement(text); message != nil {
			got["rewritten-"+name] = hex.EncodeToString(message)
		}
	}
	got["read-statements-mutated"] = readMutatedStatements()
	got["read-headers"] = readHeaders()
	got["read-bodies-mutated"] = readMutatedBodies(t)
	got["read-extended-mutated"] = readMutatedExtended(t)
	compareExpected(t, got)
}

// compareExpected compares the results, by scenario, with the golden file, or
// rewrites the file if the update flag is set.
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

// digest is a hash of numbers and byte slices.
type digest struct{ hash hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

// numbers hashes integers.
func (d digest) numbers(values ...int) {
	for _, v := range values {
		_ = binary.Write(d.hash, binary.BigEndian, int64(v)) // writing to a hash never fails
	}
}

// flags hashes booleans as 0 or 1.
func (d digest) flags(values ...bool) {
	for _, v := range values {
		n := 0
		if v {
			n = 1
		}
		d.numbers(n)
	}
}

// texts hashes byte slices and their lengths.
func (d digest) texts(values ...[]byte) {
	for _, v := range values {
		d.numbers(len(v))
		d.hash.Write(v)
	}
}

// sum returns the hash in hexadecimal digits.
func (d digest) sum() string { return hex.EncodeToString(d.hash.Sum(nil)) }

// readStatement returns the digest of a parsed statement.
func readStatement(text string) string {
	d := newDigest()
	hashStatement(d, text)
	return d.sum()
}

// hashStatement parses a statement and hashes the result.
func hashStatement(d digest, text string) {
	d.texts(wire.Verb([]byte(text)))
	s, err := wire.ParseStatement([]byte(text))
	d.flags(err != nil)
	if err != nil {
		return
	}
	d.texts(s.ID, s.Class, s.RowKey)
	d.flags(s.HasIdempotencyKey, s.RowKey == nil)
	d.numbers(
		s.Group, s.WaitFrom, s.WaitTo, int(math.Float64bits(s.SessionCommitAt)), int(math.Float64bits(s.Wait)),
	)
}

// rewrittenStatement returns a Query message with the timeout in the comment replaced
// by 123, nil if the statement is malformed.
func rewrittenStatement(text string) []byte {
	s, err := wire.ParseStatement([]byte(text))
	if err != nil {
		return nil
	}
	left := strconv.AppendInt(nil, 123, 10)
	return wire.AppendQuery(nil, []byte(text[:s.WaitFrom]), left, []byte(text[s.WaitTo:]))
}

// mutated returns a copy of b with one or two random changes: a byte inserted,
// deleted or replaced, or the rest cut off.
func mutated(random *rand.Rand, b []byte) []byte {
	out := slices.Clone(b)
	for range 1 + random.IntN(2) {
		at := random.IntN(len(out) + 1)
		value := []byte{byte(random.IntN(256)), 0, 0xff, '=', ',', '\'', '*', '/', 'Z', '1'}[random.IntN(10)]
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

// readMutatedStatements returns the digest of parsed mutations of all statements.
func readMutatedStatements() string {
	const each = 60
	d := newDigest()
	random := rand.New(rand.NewPCG(1, 2))
	for _, name := range slices.Sorted(maps.Keys(statements)) {
		for range each {
			hashStatement(d, string(mutated(random, []byte(statements[name]))))
		}
	}
	return d.sum()
}

// readHeaders returns the digest of parsed headers with lengths within, at and beyond
// the limits, and of parsed bodies of startup messages.
func readHeaders() string {
	d := newDigest()
	lengths := []uint32{
		0, 3, 4, 5, 7, 8, 9, 1000, wire.MaxStartupLen, wire.MaxStartupLen + 1, wire.MaxBodyLen + 3, wire.MaxBodyLen + 4,
		wire.MaxBodyLen + 5, math.MaxInt32, math.MaxUint32,
	}
	for _, n := range lengths {
		length := binary.BigEndian.AppendUint32(nil, n)
		kind, body, err := wire.ParseHeader(append([]byte("Q"), length...))
		d.numbers(int(kind), body)
		d.flags(err != nil)
		rest, err := wire.ParseStartupHeader(length)
		d.numbers(rest)
		d.flags(err != nil)
	}
	for _, code := range []uint32{wire.ProtocolVersion3, wire.CancelRequest, wire.SSLRequest, wire.GSSENCRequest} {
		body := binary.BigEndian.AppendUint32(nil, code)
		for range 4 {
			process, secret, ok := wire.ParseCancelRequest(body)
			d.numbers(int(wire.StartupCode(body)), int(process), int(secret))
			d.flags(ok)
			body = binary.BigEndian.AppendUint32(body, 0x01020304*uint32(len(body)))
		}
	}
	return d.sum()
}

// readMutatedBodies returns the digest of message bodies and their mutations, each
// parsed as every kind of message.
func readMutatedBodies(t *testing.T) string {
	t.Helper()
	const each = 80
	d := newDigest()
	random := rand.New(rand.NewPCG(3, 4))
	messages := writtenMessages(t)
	for _, name := range slices.Sorted(maps.Keys(messages)) {
		body := messages[name][wire.HeaderLen:]
		hashBody(d, body)
		for range each {
			hashBody(d, mutated(random, body))
		}
	}
	for _, body := range []string{
		"I", "T", "E", "X", "", "IT",
		"\x00\x00\x00\x00", "\x00\x00\x00\x03", "\x00\x01\xff\xff\xff\xff",
		strings.Repeat("Sx\x00", 70) + "\x00",
	} {
		hashBody(d, []byte(body))
	}
	return d.sum()
}

// hashBody parses a body as every kind of message and hashes the results.
func hashBody(d digest, body []byte) {
	text, err := wire.ParseString(body)
	d.texts(text)
	d.flags(err != nil)
	name, value, err := wire.ParseParameterStatus(body)
	d.texts(name, value)
	d.flags(err != nil)
	e, err := wire.ParseErrorResponse(body)
	d.texts(e.Severity, e.Code, e.Message)
	d.flags(err != nil)
	column, err := wire.ParseRowDescription(body)
	d.texts(column.Name)
	d.numbers(int(column.Type), int(column.Size))
	d.flags(column.Binary, err != nil)
	row, err := wire.ParseDataRow(body)
	d.texts(row)
	d.flags(err != nil, wire.CheckReady(body) != nil, wire.CheckAuthentication(body) != nil)
}

// readMutatedExtended returns the digest of parsed messages of the extended query
// protocol, with mutated and malformed ones, and of their renewed encoding.
func readMutatedExtended(t *testing.T) string {
	t.Helper()
	const each = 300
	d := newDigest()
	random := rand.New(rand.NewPCG(5, 6))
	for _, name := range slices.Sorted(maps.Keys(extendedMessages)) {
		m := extendedMessages[name]
		for range each {
			kind := m.kind
			if random.IntN(10) == 0 {
				kind = "PBDECSHQx"[random.IntN(9)]
			}
			hashExtended(d, kind, mutated(random, []byte(m.body)))
		}
	}
	for _, body := range malformedBinds {
		hashExtended(d, wire.Bind, []byte(body))
	}
	for _, body := range []string{"s\x00t\x00\xff\xff", "s\x00t\x00\x00\x02\x00\x00\x00\x17", "s\x00t\x00", "s"} {
		hashExtended(d, wire.Parse, []byte(body))
	}
	return d.sum()
}

// hashExtended parses and re-encodes a message, and hashes the results.
func hashExtended(d digest, kind byte, body []byte) {
	m, err := wire.ParseExtended(kind, body)
	d.flags(err != nil)
	if err != nil {
		return
	}
	d.numbers(int(m.Kind), int(m.MaxRows), len(m.ParameterTypes))
	for _, oid := range m.ParameterTypes {
		d.numbers(int(oid))
	}
	d.flags(m.IsPortal)
	d.texts(m.Statement, m.Portal, m.Query, wire.AppendExtended(nil, m, "lb_renamed"))
}
