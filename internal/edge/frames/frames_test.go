package frames

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// testGateway is a gateway and records the actions of the server.
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
func (gateway *testGateway) Known(string, uint64) []uint64 {
	return []uint64{1, 2, 3, 7, 9, 10}
}
func (gateway *testGateway) send(frame any) {
	gateway.server.Receive(gateway.now, 1, Append(nil, gateway.codec, frame))
}
func (gateway *testGateway) hello() {
	gateway.send(Hello{Kind: KindHello, Version: Version, Name: "g"})
}
func (gateway *testGateway) last(to any) {
	gateway.t.Helper()
	if len(gateway.sent) == 0 {
		gateway.t.Fatal("nothing was sent")
	}
	if err := gateway.codec.Decode(gateway.sent[len(gateway.sent)-1], to); err != nil {
		gateway.t.Fatal(err)
	}
}

func readings(id uint32, mark float64) Readings {
	elapsed := 100.0
	readings := []batch.Reading{{Seq: 1, Value: []byte("v")}}
	return Readings{Kind: KindReadings, ID: id, Route: "r", Mark: mark,
		Batch: batch.Batch{Device: "d", Epoch: 1, Elapsed: &elapsed, Readings: readings}}
}

func TestAnswersInRangesAndAgeOfBatches(t *testing.T) {
	gateway := newTestGateway(t)
	gateway.hello()
	var welcome Welcome
	if gateway.last(&welcome); welcome.Kind != KindWelcome || welcome.Window != 3 || welcome.Mark != gateway.now {
		t.Fatalf("%+v", welcome)
	}
	gateway.now += 5000 // the link delayed it
	gateway.send(readings(1, welcome.Mark))
	if at := welcome.Mark + 100; gateway.notBefore > at || gateway.notBefore < at-1 {
		t.Errorf("not before %v, it was sent at %v", gateway.notBefore, at)
	}
	results := []batch.Result{{Seq: 4}, {Seq: 5}, {Seq: 6, Status: uint8(intake.Rejected), Wait: 9}, {Seq: 7}, {Seq: 0}}
	gateway.server.Answer(gateway.now, gateway.tokens[0], results)
	var a Answer
	gateway.last(&a)
	got := fmt.Sprint(a.Ranges)
	if a.ID != 1 || a.Mark != gateway.now || got != "[{{} 4 5 0 0} {{} 6 6 3 9} {{} 7 7 0 0} {{} 0 0 0 0}]" {
		t.Errorf("%+v", a)
	}
	gateway.send(Query{Kind: KindQuery, ID: 8, Device: "d", Epoch: 1})
	var k Known
	if gateway.last(&k); fmt.Sprint(k.Ranges) != "[{{} 1 3 0 0} {{} 7 7 0 0} {{} 9 10 0 0}]" {
		t.Errorf("%+v", k)
	}
	gateway.send(Read{Kind: KindRead, ID: 2, Route: "v", Arg: "x"})
	gateway.server.Value(gateway.tokens[1], intake.Recorded, 0, []byte("value"))
	var v Value
	if gateway.last(&v); string(v.Value) != "value" || v.ID != 2 {
		t.Errorf("%+v", v)
	}
	gateway.send(Signal{Kind: KindPing})
	var s Signal
	if gateway.last(&s); s.Kind != KindPong {
		t.Errorf("%+v", s)
	}
}

func TestViolationsDisconnectWithReason(t *testing.T) {
	for name, do := range map[string]func(gateway *testGateway){
		"readings first":   func(gateway *testGateway) { gateway.send(readings(1, 0)) },
		"two hellos":       func(gateway *testGateway) { gateway.hello(); gateway.hello() },
		"a version":        func(gateway *testGateway) { gateway.send(Hello{Kind: KindHello, Version: 9}) },
		"a kind":           func(gateway *testGateway) { gateway.hello(); gateway.send(Signal{Kind: 33}) },
		"no array":         func(gateway *testGateway) { gateway.send(7) },
		"a mark of others": func(gateway *testGateway) { gateway.hello(); gateway.send(readings(1, gateway.now-5000)) },
		"a mark to come":   func(gateway *testGateway) { gateway.hello(); gateway.send(readings(1, gateway.now+1)) },
		"a number twice": func(gateway *testGateway) {
			gateway.hello()
			gateway.send(readings(1, 0))
			gateway.send(readings(1, 0))
		},
		"past the window": func(gateway *testGateway) {
			gateway.hello()
			for id := range uint32(4) {
				gateway.send(readings(id, 0))
			}
		},
		"no device": func(gateway *testGateway) {
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
			t.Errorf("%s: closed %t, %+v", name, gateway.closed, bye)
		}
	}
}

func TestIdleTimeoutAndDrain(t *testing.T) {
	gateway := newTestGateway(t)
	gateway.hello()
	for range 3 {
		gateway.now += 4000
		gateway.send(Signal{Kind: KindPing})
		gateway.server.Tick(gateway.now)
	}
	if gateway.closed {
		t.Fatal("closed while it sent frames")
	}
	gateway.now += 5001
	gateway.server.Tick(gateway.now)
	if !gateway.closed {
		t.Error("a silent gateway stays")
	}
	gateway = newTestGateway(t)
	gateway.hello()
	gateway.send(readings(1, 0))
	gateway.server.Drain()
	if gateway.closed {
		t.Fatal("disconnected before its answer")
	}
	gateway.server.Answer(gateway.now, gateway.tokens[0], []batch.Result{{Seq: 1}})
	if !gateway.closed {
		t.Error("it stays after its answer")
	}
	gateway.server.RemoveConnection(1)
	if len(gateway.server.connections)+len(gateway.server.pending)+gateway.server.timers.Len() != 0 {
		t.Error("something is left")
	}
}

func TestFrameLengths(t *testing.T) {
	for in, want := range map[string]int{"": 0, "\x00\x00\x00": 0, "\x00\x00\x00\x05": 9} {
		if n, err := FrameLength([]byte(in), 100); err != nil || n != want {
			t.Errorf("%q: %d, %v", in, n, err)
		}
	}
	for _, in := range []string{"\x00\x00\x00\x00", "\xff\xff\xff\xff", "\x00\x00\x00\x65"} {
		if _, err := FrameLength([]byte(in), 100); err == nil {
			t.Errorf("%q was accepted", in)
		}
	}
}

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
			t.Error("a frame is left")
		}
	})
}
