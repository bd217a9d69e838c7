package frames_test

import (
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
)

// update rewrites the expected values. They may change only with a deliberate
// change of behaviour, which the commit message must name.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares the bytes of every kind of frame, the server's
// actions on whole connections and the results of FrameLength with the expected
// values.
func TestCharacterization(t *testing.T) {
	codec := batch.NewCodec()
	got := map[string]string{}
	for name, frame := range allFrames() {
		got["frame-"+name] = hex.EncodeToString(frames.Append(nil, codec, frame))
	}
	for name, run := range connections {
		c := newConnection()
		run(c)
		for i, event := range c.events {
			got[fmt.Sprintf("connection-%s-%02d", name, i)] = event
		}
	}
	got["lengths"] = lengths()
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

// exampleReadings returns a batch of two readings.
func exampleReadings(id uint32, mark float64) frames.Readings {
	elapsed := 100.0
	readings := []batch.Reading{{Seq: 1, Value: []byte("v")}, {Seq: 2, Sent: 1, Urgent: true, Value: []byte("w")}}
	return frames.Readings{Kind: frames.KindReadings, ID: id, Route: "power", Mark: mark,
		Batch: batch.Batch{Device: "meter-1", Epoch: 2, Elapsed: &elapsed, Readings: readings}}
}

// allFrames returns frames of every kind by name.
func allFrames() map[string]any {
	twoRanges := []frames.Range{{From: 1, To: 3}, {From: 4, To: 4, Status: 3, Wait: 500}}
	return map[string]any{
		"hello":        frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: "gateway"},
		"welcome":      frames.Welcome{Kind: frames.KindWelcome, Mark: 1.7e12 + 0.25, Window: 64},
		"readings":     exampleReadings(7, 1.7e12),
		"answer":       frames.Answer{Kind: frames.KindAnswer, ID: 7, Mark: 1.7e12, Ranges: twoRanges},
		"answer-empty": frames.Answer{Kind: frames.KindAnswer},
		"query":        frames.Query{Kind: frames.KindQuery, ID: 8, Device: "meter-1", Epoch: 2},
		"known":        frames.Known{Kind: frames.KindKnown, ID: 8, Ranges: []frames.Range{{From: 1, To: math.MaxUint64}}},
		"read":         frames.Read{Kind: frames.KindRead, ID: math.MaxUint32, Route: "limits", Arg: "meter-1"},
		"value":        frames.Value{Kind: frames.KindValue, ID: 9, Status: 0, Value: []byte("value")},
		"value-none":   frames.Value{Kind: frames.KindValue, ID: 9, Status: 4, Wait: 250},
		"ping":         frames.Signal{Kind: frames.KindPing},
		"pong":         frames.Signal{Kind: frames.KindPong},
		"bye":          frames.Bye{Kind: frames.KindBye, Reason: "the router is stopping"},
	}
}

// connection acts as a gateway and records the server's actions as numbers and
// bytes.
type connection struct {
	server *frames.Server
	codec  *batch.Codec
	now    float64
	tokens []uint64
	events []string
}

func newConnection() *connection {
	c := &connection{codec: batch.NewCodec(), now: 1.7e12}
	c.server = frames.New(frames.Limits{Window: 3, MaxIdleMs: 5000}, c.codec, c)
	c.server.AddConnection(c.now, 1)
	return c
}

func (c *connection) record(format string, values ...any) {
	c.events = append(c.events, fmt.Sprintf(format, values...))
}

func (c *connection) Send(conn uint64, frame []byte) {
	var bye frames.Bye
	if err := c.codec.Decode(frame[frames.HeaderLen:], &bye); err == nil {
		// The codec's errors quote Go type names and are left out.
		if reason, _, cut := strings.Cut(bye.Reason, "cbor: "); cut {
			c.record("1 %d %d %x", conn, bye.Kind, reason)
			return
		}
	}
	c.record("1 %d %x", conn, frame)
}

func (c *connection) Close(conn uint64) { c.record("2 %d", conn) }

func (c *connection) Deliver(token, conn uint64, route string, b *batch.Batch, notBefore float64) {
	c.tokens = append(c.tokens, token)
	c.record("3 %d %d %x %.3f %x", token, conn, route, notBefore, c.codec.Encode(b))
}

func (c *connection) Read(token, conn uint64, route, arg string) {
	c.tokens = append(c.tokens, token)
	c.record("4 %d %d =%x =%x", token, conn, route, arg)
}

func (c *connection) RecordedSequences(device string, epoch uint64) []uint64 {
	c.record("5 %x %d", device, epoch)
	return []uint64{1, 2, 3, 7, 9, 10}
}

func (c *connection) send(frame any) {
	c.server.Receive(c.now, 1, frames.Append(nil, c.codec, frame))
}

func (c *connection) hello() {
	c.send(frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: "gateway"})
}

// advance sets the time forward and runs each timer at its time.
func (c *connection) advance(ms float64) {
	end := c.now + ms
	for due, ok := c.server.Next(); ok && due <= end; due, ok = c.server.Next() {
		c.now = max(c.now, due)
		c.server.Tick(c.now)
	}
	c.now = end
}

// connections are scenarios by name, each of one connection.
var connections = map[string]func(*connection){
	"answers": func(c *connection) {
		c.hello()
		c.advance(250.5)
		c.send(exampleReadings(1, 1.7e12))
		c.send(exampleReadings(2, 0))
		c.server.Answer(c.now, c.tokens[1], []batch.Result{
			{Seq: 4}, {Seq: 5}, {Seq: 6, Status: 3, Wait: 9}, {Seq: 7, Status: 3, Wait: 9},
			{Seq: 8, Status: 3}, {Seq: 8}, {Seq: math.MaxUint64}, {Seq: 0},
		})
		c.server.Answer(c.now, c.tokens[0], nil)
		c.server.Answer(c.now, c.tokens[0], nil) // ignored: the token was answered
		c.server.Answer(c.now, 99, nil)
		without := exampleReadings(1, 1.7e12)
		without.Batch.Elapsed = nil
		c.send(without)
	},
	"reads": func(c *connection) {
		c.hello()
		c.send(frames.Read{Kind: frames.KindRead, ID: 2, Route: "limits", Arg: "x"})
		c.send(frames.Query{Kind: frames.KindQuery, ID: 8, Device: "meter-1", Epoch: 2})
		c.server.Value(c.tokens[0], intake.Recorded, 0, []byte("value"))
		c.server.Value(c.tokens[0], intake.Recorded, 0, []byte("value"))
		c.send(frames.Read{Kind: frames.KindRead, ID: 2, Route: "limits", Arg: "y"})
		c.server.Value(c.tokens[1], intake.Unknown, 250.9, nil)
		c.send(frames.Signal{Kind: frames.KindPing})
	},
	"silence": func(c *connection) {
		c.advance(4000)
		c.hello()
		c.advance(4000)
		c.send(frames.Signal{Kind: frames.KindPing})
		c.advance(10000)
	},
	"stopping": func(c *connection) {
		c.hello()
		c.send(exampleReadings(1, 0))
		c.send(frames.Read{Kind: frames.KindRead, ID: 2, Route: "limits", Arg: "x"})
		c.server.Drain()
		c.server.Value(c.tokens[1], intake.Rejected, 5, nil)
		c.server.Answer(c.now, c.tokens[0], []batch.Result{{Seq: 1}})
	},
	"stopping-idle": func(c *connection) { c.hello(); c.server.Drain() },
	"gone": func(c *connection) {
		c.hello()
		c.send(exampleReadings(1, 0))
		c.server.RemoveConnection(1)
		c.server.RemoveConnection(1)
		c.server.Answer(c.now, c.tokens[0], []batch.Result{{Seq: 1}})
		c.send(frames.Signal{Kind: frames.KindPing})
	},
	"readings-first":    func(c *connection) { c.send(exampleReadings(1, 0)) },
	"two-hellos":        func(c *connection) { c.hello(); c.hello() },
	"another-version":   func(c *connection) { c.send(frames.Hello{Kind: frames.KindHello, Version: 9}) },
	"unknown-kind":      func(c *connection) { c.hello(); c.send(frames.Signal{Kind: 33}) },
	"number-for-frame":  func(c *connection) { c.send(7) },
	"empty-frame":       func(c *connection) { c.send([]int{}) },
	"kind-too-large":    func(c *connection) { c.send([]int{300}) },
	"no-body":           func(c *connection) { c.server.Receive(c.now, 1, []byte{0, 0, 0, 0}) },
	"mark-of-another":   func(c *connection) { c.hello(); c.send(exampleReadings(1, c.now-5000)) },
	"mark-to-come":      func(c *connection) { c.hello(); c.send(exampleReadings(1, c.now+1)) },
	"mark-of-no-number": func(c *connection) { c.hello(); c.send(exampleReadings(1, math.NaN())) },
	"number-twice":      func(c *connection) { c.hello(); c.send(exampleReadings(1, 0)); c.send(exampleReadings(1, 0)) },
	"past-the-window": func(c *connection) {
		c.hello()
		for id := range uint32(4) {
			c.send(frames.Read{Kind: frames.KindRead, ID: id})
		}
	},
	"batch-without-device": func(c *connection) {
		c.hello()
		r := exampleReadings(1, 0)
		r.Batch.Device = ""
		c.send(r)
	},
	"broken-bodies": func(c *connection) {
		c.hello()
		for _, kind := range []frames.Kind{frames.KindReadings, frames.KindQuery, frames.KindRead} {
			c.send(frames.Signal{Kind: kind})
		}
	},
	"broken-hello": func(c *connection) { c.send(frames.Signal{Kind: frames.KindHello}) },
}

// lengths returns the results of FrameLength.
func lengths() (text string) {
	for _, b := range []string{
		"", "\x00\x00\x00", "\x00\x00\x00\x05", "\x00\x00\x00\x64",
		"\x00\x00\x00\x65", "\x00\x00\x00\x00", "\xff\xff\xff\xff",
	} {
		n, err := frames.FrameLength([]byte(b), 100)
		failed := 0
		if err != nil {
			failed = 1
		}
		text += fmt.Sprintf("%d:%d ", n, failed)
	}
	return strings.TrimSpace(text)
}
