package frames

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// testGateway acts as a gateway and records the server's actions.
type testGateway struct {
	t         *testing.T
	server    *Server
	codec     *batch.Codec
	now       float64
	sent      [][]byte
	closed    bool
	tokens    []uint64
	notBefore float64
}

func newTestGateway(t *testing.T) *testGateway {
	gateway := &testGateway{t: t, codec: batch.NewCodec(), now: 1e6}
	gateway.server = New(Limits{Window: 3, MaxIdleMs: 5000}, gateway.codec, gateway)
	gateway.server.AddConnection(gateway.now, 1)
	return gateway
}

func (gateway *testGateway) Send(_ uint64, b []byte) {
	gateway.sent = append(gateway.sent, b[HeaderLen:])
}
func (gateway *testGateway) Close(uint64) { gateway.closed = true }
func (gateway *testGateway) Deliver(token, _ uint64, _ string, _ *batch.Batch, notBefore float64) {
	gateway.tokens = append(gateway.tokens, token)
	gateway.notBefore = notBefore
}
func (gateway *testGateway) Read(token, _ uint64, _, _ string) {
	gateway.tokens = append(gateway.tokens, token)
}
func (gateway *testGateway) RecordedSequences(string, uint64) []uint64 {
	return []uint64{1, 2, 3, 7, 9, 10}
}
func (gateway *testGateway) send(frame any) {
	gateway.server.Receive(gateway.now, 1, Append(nil, gateway.codec, frame))
}
func (gateway *testGateway) hello() {
	gateway.send(Hello{Kind: KindHello, Version: Version, Name: "g"})
}

// last decodes the last frame from the server. It fails the test if there is none.
func (gateway *testGateway) last(to any) {
	gateway.t.Helper()
	if len(gateway.sent) == 0 {
		gateway.t.Fatal("nothing was sent")
	}
	if err := gateway.codec.Decode(gateway.sent[len(gateway.sent)-1], to); err != nil {
		gateway.t.Fatal(err)
	}
}

// readings returns a batch of one reading that was sent 100 ms after the mark.
func readings(id uint32, mark float64) Readings {
	elapsed := 100.0
	readings := []batch.Reading{{Seq: 1, Value: []byte("v")}}
	return Readings{Kind: KindReadings, ID: id, Route: "r", Mark: mark,
		Batch: batch.Batch{Device: "d", Epoch: 1, Elapsed: &elapsed, Readings: readings}}
}

// A gateway gets a Welcome, answers and known sequence numbers in ranges, values
// and pongs. The earliest time of a batch follows from its mark and elapsed time.
func TestBatchesQueriesAndReadsAreAnswered(t *testing.T) {
	gateway := newTestGateway(t)
	gateway.hello()
	var welcome Welcome
	if gateway.last(&welcome); welcome.Kind != KindWelcome || welcome.Window != 3 || welcome.Mark != gateway.now {
		t.Fatalf("welcome = %+v, want window 3 and the current time", welcome)
	}
	gateway.now += 5000 // delay of the link
	gateway.send(readings(1, welcome.Mark))
	if at := welcome.Mark + 100; gateway.notBefore > at || gateway.notBefore < at-1 {
		t.Errorf("notBefore = %v, want at most 1 ms before %v", gateway.notBefore, at)
	}
	results := []batch.Result{{Seq: 4}, {Seq: 5}, {Seq: 6, Status: uint8(intake.Rejected), Wait: 9}, {Seq: 7}, {Seq: 0}}
	gateway.server.Answer(gateway.now, gateway.tokens[0], results)
	var a Answer
	gateway.last(&a)
	got := fmt.Sprint(a.Ranges)
	if a.ID != 1 || a.Mark != gateway.now || got != "[{{} 4 5 0 0} {{} 6 6 3 9} {{} 7 7 0 0} {{} 0 0 0 0}]" {
		t.Errorf("answer = %+v, want ID 1, the current time and the results in four ranges", a)
	}
	gateway.send(Query{Kind: KindQuery, ID: 8, Device: "d", Epoch: 1})
	var k Known
	if gateway.last(&k); fmt.Sprint(k.Ranges) != "[{{} 1 3 0 0} {{} 7 7 0 0} {{} 9 10 0 0}]" {
		t.Errorf("known = %+v, want ranges 1 to 3, 7 and 9 to 10", k)
	}
	gateway.send(Read{Kind: KindRead, ID: 2, Route: "v", Arg: "x"})
	gateway.server.Value(gateway.tokens[1], intake.Recorded, 0, []byte("value"))
	var v Value
	if gateway.last(&v); string(v.Value) != "value" || v.ID != 2 {
		t.Errorf(`value = %+v, want ID 2 and "value"`, v)
	}
	gateway.send(Signal{Kind: KindPing})
	var s Signal
	if gateway.last(&s); s.Kind != KindPong {
		t.Errorf("answer to a ping = %+v, want a pong", s)
	}
}

// A violation of the protocol closes the connection after a Bye with a reason.
func TestViolationsDisconnectWithReason(t *testing.T) {
	for name, do := range map[string]func(gateway *testGateway){
		"readings before hello":      func(gateway *testGateway) { gateway.send(readings(1, 0)) },
		"second hello":               func(gateway *testGateway) { gateway.hello(); gateway.hello() },
		"unsupported version":        func(gateway *testGateway) { gateway.send(Hello{Kind: KindHello, Version: 9}) },
		"unknown kind":               func(gateway *testGateway) { gateway.hello(); gateway.send(Signal{Kind: 33}) },
		"not an array":               func(gateway *testGateway) { gateway.send(7) },
		"mark before the connection": func(gateway *testGateway) { gateway.hello(); gateway.send(readings(1, gateway.now-5000)) },
		"mark in the future":         func(gateway *testGateway) { gateway.hello(); gateway.send(readings(1, gateway.now+1)) },
		"frame ID in use": func(gateway *testGateway) {
			gateway.hello()
			gateway.send(readings(1, 0))
			gateway.send(readings(1, 0))
		},
		"window exceeded": func(gateway *testGateway) {
			gateway.hello()
			for id := range uint32(4) {
				gateway.send(readings(id, 0))
			}
		},
		"empty device": func(gateway *testGateway) {
			gateway.hello()
			r := readings(1, 0)
			r.Batch.Device = ""
			gateway.send(r)
		},
	} {
		gateway := newTestGateway(t)
		do(gateway)
		var bye Bye
		if gateway.last(&bye); !gateway.closed || bye.Kind != KindBye || bye.Reason == "" {
			t.Errorf("%s: closed = %t, last frame %+v, want closed after a Bye", name, gateway.closed, bye)
		}
	}
}

// A gateway is disconnected after MaxIdleMs without a frame. Draining disconnects
// it after its answers.
func TestIdleTimeoutAndDrainDisconnect(t *testing.T) {
	gateway := newTestGateway(t)
	gateway.hello()
	for range 3 {
		gateway.now += 4000
		gateway.send(Signal{Kind: KindPing})
		gateway.server.Tick(gateway.now)
	}
	if gateway.closed {
		t.Fatal("connection with a frame every 4 s was closed, want open")
	}
	gateway.now += 5001
	gateway.server.Tick(gateway.now)
	if !gateway.closed {
		t.Error("idle connection is open, want closed")
	}
	gateway = newTestGateway(t)
	gateway.hello()
	gateway.send(readings(1, 0))
	gateway.server.Drain()
	if gateway.closed {
		t.Fatal("draining closed the connection before its answer")
	}
	gateway.server.Answer(gateway.now, gateway.tokens[0], []batch.Result{{Seq: 1}})
	if !gateway.closed {
		t.Error("draining connection is open after its answer, want closed")
	}
	gateway.server.RemoveConnection(1)
	if len(gateway.server.connections)+len(gateway.server.pending)+gateway.server.timers.Len() != 0 {
		t.Error("state of a removed connection is left, want none")
	}
}

func TestFrameLength(t *testing.T) {
	for in, want := range map[string]int{"": 0, "\x00\x00\x00": 0, "\x00\x00\x00\x05": 9} {
		if n, err := FrameLength([]byte(in), 100); err != nil || n != want {
			t.Errorf("FrameLength(%q) = %d, %v, want %d", in, n, err, want)
		}
	}
	for _, in := range []string{"\x00\x00\x00\x00", "\xff\xff\xff\xff", "\x00\x00\x00\x65"} {
		if _, err := FrameLength([]byte(in), 100); err == nil {
			t.Errorf("FrameLength(%q) succeeded, want an error", in)
		}
	}
}

// FuzzFrames passes two frames to a server. Nothing may panic, and no frame may
// stay pending after it is answered.
func FuzzFrames(f *testing.F) {
	c := batch.NewCodec()
	f.Add(c.Encode(Hello{Kind: KindHello, Version: Version}), c.Encode(readings(1, 0)))
	f.Add(c.Encode(Signal{Kind: KindPing}), []byte(strings.Repeat("\x81", 40)))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		gateway := newTestGateway(t)
		for _, body := range [][]byte{a, b} {
			gateway.server.Receive(gateway.now, 1, append([]byte{0, 0, 0, 0}, body...))
		}
		for _, token := range gateway.tokens {
			gateway.server.Answer(gateway.now, token, []batch.Result{{Seq: 1}})
		}
		if len(gateway.server.pending) != 0 || bytes.Contains(bytes.Join(gateway.sent, nil), []byte("panic")) {
			t.Error("a frame is pending after its answer, or a reason mentions a panic")
		}
	})
}
