package simprotocol_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"lotusbend/internal/simprotocol"
)

// update rewrites the golden file. The file may change only together with a
// deliberate change of behaviour, never with a renaming or a refactoring. The
// frames to decode are input and do not change.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; its values may change only with a deliberate change of behaviour")

const (
	goldenFile = "testdata/characterization.txt"
	// framesFile holds frames of events, one scenario per line: its name, then
	// the bytes in hexadecimal, with spaces between fields.
	framesFile = "testdata/frames.txt"
)

// TestCharacterization compares the bytes of every reply, and the numbers that
// frames of every event are decoded to, with the golden file. The file holds only
// numbers and bytes, so that renaming identifiers does not change it.
func TestCharacterization(t *testing.T) {
	got := map[string]string{
		"decode/large-body":     largeBodyDigest(t),
		"decode/stopped-midway": decodeUntilStopped(t),
	}
	for scenario, encode := range replies {
		got["encode/"+scenario] = encodeReply(encode)
	}
	for scenario, text := range readLines(t, framesFile) {
		frame, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
		if err != nil {
			t.Fatalf("%s: %v", scenario, err)
		}
		got["decode/"+scenario] = decodeStream(bytes.NewReader(frame))
	}
	compareWithGolden(t, got)
}

const (
	request  = 0x763f25d3a91c4
	endpoint = 0x03124a07
)

// replies holds, by scenario, a function that fills a reply. The scenarios carry
// the simulator's names of the actions.
var replies = map[string]func(*simprotocol.Reply, *simprotocol.ActionWriter){
	"no-action": func(*simprotocol.Reply, *simprotocol.ActionWriter) {},
	"place": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.Send(request, endpoint, 80*time.Millisecond)
		s.Send(math.MaxUint64, math.MaxUint32, 0)
		s.Send(0, 0, 1234567*time.Nanosecond)
	},
	"cancel": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.Cancel(request, 0)
		s.Cancel(math.MaxUint64, 255)
	},
	"push-back": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.Reject(request, 0)
		s.Reject(math.MaxUint64, 2500*time.Millisecond)
	},
	"error": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.Fail(request)
		s.Fail(math.MaxUint64)
	},
	"check": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.CheckHealth(endpoint)
		s.CheckHealth(math.MaxUint32)
	},
	"keep-informed": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) { s.WatchEndpoints() },
	"drop-connections": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.CloseIdle(endpoint)
		s.CloseIdle(math.MaxUint32)
	},
	"schedule": func(_ *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.SetTimer(500*time.Millisecond, 77)
		s.SetTimer(0, math.MaxUint32)
		s.SetTimer(-time.Microsecond, 0)
	},
	"exception": func(p *simprotocol.Reply, _ *simprotocol.ActionWriter) {
		p.Exception(3, "")
		p.Exception(math.MaxUint16, "broken: \x00\xff")
	},
	"exception-at-bound":   func(p *simprotocol.Reply, _ *simprotocol.ActionWriter) { p.Exception(3, strings.Repeat("x", 65535)) },
	"exception-over-bound": func(p *simprotocol.Reply, _ *simprotocol.ActionWriter) { p.Exception(3, strings.Repeat("y", 65536)) },
	"several-instances": func(p *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.Send(request, endpoint, time.Second)
		s.Instance = math.MaxUint16
		s.WatchEndpoints()
		p.Exception(4, "broken")
		s.Instance = 0
		s.SetTimer(time.Millisecond, 1)
	},
	"reset-midway": func(p *simprotocol.Reply, s *simprotocol.ActionWriter) {
		s.Send(request, endpoint, time.Second)
		p.Reset(math.MaxUint32)
		s.Fail(request)
	},
}

// encodeReply returns a reply's bytes in hexadecimal. The reply's buffer has held
// another reply before.
func encodeReply(fill func(*simprotocol.Reply, *simprotocol.ActionWriter)) string {
	var reply simprotocol.Reply
	reply.Reset(11)
	reply.Exception(9, "of an earlier batch")
	reply.Reset(12)
	fill(&reply, &simprotocol.ActionWriter{Reply: &reply, Instance: 3})
	return abbreviate(hex.EncodeToString(reply.Bytes()))
}

// maxText is the length, in bytes, up to which a text is written to the golden
// file in full.
const maxText = 4000

// abbreviate returns the digest of a text that is too long for the golden file.
func abbreviate(text string) string {
	if len(text) <= maxText {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return fmt.Sprintf("%d bytes, sha256 %x", len(text), sum)
}

// Codes of how a stream ended.
const (
	cleanEnd = iota
	malformedFrame
	stoppedByCaller
	otherError
)

// errStopped is the error of a caller that stops decoding.
var errStopped = errors.New("stopped")

// decodeStream returns all batches of a stream as decimal numbers: for each
// its clock in nanoseconds, its sequence number and its events, then how the
// stream ended. Events before a malformed one count.
func decodeStream(stream io.Reader) string {
	var n numbers
	reader := simprotocol.NewReader(stream)
	for {
		batch, err := reader.Next()
		if err == nil {
			n.add(int64(batch.Now), int64(batch.Seq))
			err = batch.Each(func(ev *simprotocol.Event) error {
				n.event(ev)
				return nil
			})
		}
		if err != nil {
			n.add(ending(err))
			return n.String()
		}
	}
}

// ending returns the code for the error that ended a stream.
func ending(err error) int64 {
	switch {
	case err == io.EOF:
		return cleanEnd
	case errors.Is(err, simprotocol.ErrMalformed):
		return malformedFrame
	case err == errStopped:
		return stoppedByCaller
	}
	return otherError
}

// numbers builds a text of decimal numbers and hexadecimal bytes.
type numbers struct{ strings.Builder }

func (n *numbers) token(text string) {
	if n.Len() > 0 {
		n.WriteByte(' ')
	}
	n.WriteString(text)
}

func (n *numbers) add(values ...int64) {
	for _, v := range values {
		n.token(fmt.Sprint(v))
	}
}

func (n *numbers) unsigned(values ...uint64) {
	for _, v := range values {
		n.token(fmt.Sprint(v))
	}
}

func (n *numbers) bool(v bool) {
	if v {
		n.add(1)
	} else {
		n.add(0)
	}
}

func (n *numbers) bytes(v []byte) {
	n.add(int64(len(v)))
	if len(v) > 0 {
		n.token(hex.EncodeToString(v))
	}
}

// event adds every field of an event, whether or not its code sets it.
func (n *numbers) event(ev *simprotocol.Event) {
	n.add(int64(ev.Code), int64(ev.Instance))
	n.unsigned(ev.RequestID)
	n.add(int64(ev.Attempt), int64(ev.Token))
	n.unsigned(ev.Seed)
	n.bytes(ev.Settings)
	n.add(int64(ev.List), int64(ev.Kind))
	n.request(ev)
	n.result(ev)
	n.healthCheck(ev)
	n.endpoints(ev)
}

func (n *numbers) request(ev *simprotocol.Event) {
	q := &ev.Request
	n.unsigned(q.ID)
	n.add(int64(q.Group), int64(q.Class))
	n.unsigned(q.Session)
	n.add(int64(q.SinceCommit), int64(q.TimeLeft))
}

func (n *numbers) result(ev *simprotocol.Event) {
	r := &ev.Result
	n.unsigned(r.Request)
	n.add(int64(r.Attempt), int64(r.Endpoint), int64(r.Outcome), int64(r.Latency))
	n.bool(r.ClientAnswered)
	n.add(int64(r.Status.Role), int64(r.Status.Position))
}

func (n *numbers) healthCheck(ev *simprotocol.Event) {
	p := &ev.HealthCheck
	n.add(int64(p.Endpoint), int64(p.Outcome), int64(len(p.Values)))
	for _, v := range p.Values {
		n.add(int64(math.Float32bits(v)))
	}
}

func (n *numbers) endpoints(ev *simprotocol.Event) {
	n.add(int64(len(ev.Endpoints)))
	for _, m := range ev.Endpoints {
		n.add(int64(m.ID), int64(m.Zone), int64(m.Group), int64(m.State))
		n.bool(m.Primary)
		n.add(int64(m.StartedAt))
	}
}

// decodeUntilStopped decodes a batch of two events whose caller stops at the first.
func decodeUntilStopped(t *testing.T) string {
	t.Helper()
	timer := []byte{simprotocol.EventTimerFired, 6, 0, 0, 0, 3, 0, 77, 0, 0, 0}
	batch, err := simprotocol.NewReader(bytes.NewReader(encodeFrame(2, append(timer, timer...)))).Next()
	if err != nil {
		t.Fatal(err)
	}
	var n numbers
	err = batch.Each(func(ev *simprotocol.Event) error {
		n.event(ev)
		return errStopped
	})
	n.add(ending(err))
	return n.String()
}

// largeBodyDigest decodes an event with 2.56 MB of settings that arrive in pieces.
func largeBodyDigest(t *testing.T) string {
	t.Helper()
	settings := bytes.Repeat([]byte("0123456789abcdef"), 160_000)
	fields := []byte{3, 0, 1, 2, 3, 4, 5, 6, 7, 8}
	fields = binary.LittleEndian.AppendUint32(fields, uint32(len(settings)))
	fields = append(fields, settings...)
	body := binary.LittleEndian.AppendUint32([]byte{simprotocol.EventConfigure}, uint32(len(fields)))
	body = append(body, fields...)
	return abbreviate(decodeStream(&pieces{encodeFrame(1, body)}))
}

// encodeFrame returns a frame of a body with count records.
func encodeFrame(count uint32, body []byte) []byte {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, count)
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(8412.25))
	frame = binary.LittleEndian.AppendUint32(frame, 12)
	return append(frame, body...)
}

// pieces is a reader that returns at most 5000 bytes per call.
type pieces struct{ rest []byte }

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.rest[:min(len(p.rest), 5000)])
	p.rest = p.rest[n:]
	return n, nil
}

// compareWithGolden compares texts, by scenario, with the golden file, or
// rewrites the file if the update flag is set.
func compareWithGolden(t *testing.T, got map[string]string) {
	t.Helper()
	scenarios := slices.Sorted(maps.Keys(got))
	if *update {
		var b strings.Builder
		for _, scenario := range scenarios {
			fmt.Fprintf(&b, "%s %s\n", scenario, got[scenario])
		}
		if err := os.WriteFile(goldenFile, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := readLines(t, goldenFile)
	for _, scenario := range scenarios {
		expected, ok := want[scenario]
		switch {
		case !ok:
			t.Errorf("%s: not in %s", scenario, goldenFile)
		case got[scenario] != expected:
			t.Errorf("%s:\ngot  %s\nwant %s", scenario, got[scenario], expected)
		}
		delete(want, scenario)
	}
	for _, scenario := range slices.Sorted(maps.Keys(want)) {
		t.Errorf("%s: in %s, but not among the scenarios", scenario, goldenFile)
	}
}

// readLines returns the texts of a file by the scenario that begins their line.
func readLines(t *testing.T, file string) map[string]string {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	for line := range strings.Lines(string(content)) {
		scenario, text, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if _, repeated := texts[scenario]; !ok || repeated {
			t.Fatalf("%s: malformed or repeated line %q", file, line)
		}
		texts[scenario] = text
	}
	return texts
}
