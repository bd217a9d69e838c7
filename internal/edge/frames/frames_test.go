package frames

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// script is the gateways' side and all that the server asks for.
type script struct {
	t         *testing.T
	s         *Server
	codec     *batch.Codec
	now       float64
	said      [][]byte
	closed    bool
	tokens    []uint64
	notBefore float64
}

func newScript(t *testing.T) *script {
	p := &script{t: t, codec: batch.NewCodec(), now: 1e6}
	p.s = New(Limits{Window: 3, IdleMs: 5000}, p.codec, p)
	p.s.Open(p.now, 1)
	return p
}

func (p *script) Send(_ uint64, b []byte) { p.said = append(p.said, b[HeaderLen:]) }
func (p *script) Close(uint64)            { p.closed = true }
func (p *script) Deliver(token, _ uint64, _ string, _ *batch.Batch, notBefore float64) {
	p.tokens, p.notBefore = append(p.tokens, token), notBefore
}
func (p *script) Read(token, _ uint64, _, _ string) { p.tokens = append(p.tokens, token) }
func (p *script) Known(string, uint64) []uint64     { return []uint64{1, 2, 3, 7, 9, 10} }
func (p *script) send(frame any)                    { p.s.Packet(p.now, 1, Append(nil, p.codec, frame)) }
func (p *script) hello()                            { p.send(Hello{Kind: KindHello, Version: Version, Name: "g"}) }
func (p *script) last(to any) {
	p.t.Helper()
	if len(p.said) == 0 {
		p.t.Fatal("nothing was said")
	}
	if err := p.codec.Decode(p.said[len(p.said)-1], to); err != nil {
		p.t.Fatal(err)
	}
}

func readings(id uint32, mark float64) Readings {
	e := 100.0
	return Readings{Kind: KindReadings, ID: id, Route: "r", Mark: mark,
		Batch: batch.Batch{Device: "d", Epoch: 1, Elapsed: &e, Readings: []batch.Reading{{Seq: 1, Value: []byte("v")}}}}
}

func TestBatchesAreAnsweredInRangesAndTheirAgeIsKnown(t *testing.T) {
	p := newScript(t)
	p.hello()
	var w Welcome
	if p.last(&w); w.Kind != KindWelcome || w.Window != 3 || w.Mark != p.now {
		t.Fatalf("%+v", w)
	}
	p.now += 5000 // the link held it back
	p.send(readings(1, w.Mark))
	if at := w.Mark + 100; p.notBefore > at || p.notBefore < at-1 {
		t.Errorf("not before %v, it was sent at %v", p.notBefore, at)
	}
	results := []batch.Result{{Seq: 4}, {Seq: 5}, {Seq: 6, Status: uint8(intake.Rejected), Wait: 9}, {Seq: 7}, {Seq: 0}}
	p.s.Answer(p.now, p.tokens[0], results)
	var a Answer
	p.last(&a)
	if got := fmt.Sprint(a.Ranges); a.ID != 1 || a.Mark != p.now || got != "[{{} 4 5 0 0} {{} 6 6 3 9} {{} 7 7 0 0} {{} 0 0 0 0}]" {
		t.Errorf("%+v", a)
	}
	p.send(Query{Kind: KindQuery, ID: 8, Device: "d", Epoch: 1})
	var k Known
	if p.last(&k); fmt.Sprint(k.Ranges) != "[{{} 1 3 0 0} {{} 7 7 0 0} {{} 9 10 0 0}]" {
		t.Errorf("%+v", k)
	}
	p.send(Read{Kind: KindRead, ID: 2, Route: "v", Arg: "x"})
	p.s.Value(p.tokens[1], intake.Recorded, 0, []byte("value"))
	var v Value
	if p.last(&v); string(v.Value) != "value" || v.ID != 2 {
		t.Errorf("%+v", v)
	}
	p.send(Signal{Kind: KindPing})
	var s Signal
	if p.last(&s); s.Kind != KindPong {
		t.Errorf("%+v", s)
	}
}

func TestFramesOutOfOrderEndTheConnection(t *testing.T) {
	for name, do := range map[string]func(p *script){
		"readings first":   func(p *script) { p.send(readings(1, 0)) },
		"two hellos":       func(p *script) { p.hello(); p.hello() },
		"a version":        func(p *script) { p.send(Hello{Kind: KindHello, Version: 9}) },
		"a kind":           func(p *script) { p.hello(); p.send(Signal{Kind: 33}) },
		"no array":         func(p *script) { p.send(7) },
		"a mark of others": func(p *script) { p.hello(); p.send(readings(1, p.now-5000)) },
		"a mark to come":   func(p *script) { p.hello(); p.send(readings(1, p.now+1)) },
		"a number twice":   func(p *script) { p.hello(); p.send(readings(1, 0)); p.send(readings(1, 0)) },
		"past the window": func(p *script) {
			p.hello()
			for id := range uint32(4) {
				p.send(readings(id, 0))
			}
		},
		"no device": func(p *script) {
			p.hello()
			r := readings(1, 0)
			r.Batch.Device = ""
			p.send(r)
		},
	} {
		p := newScript(t)
		do(p)
		var bye Bye
		if p.last(&bye); !p.closed || bye.Kind != KindBye || bye.Reason == "" {
			t.Errorf("%s: closed %t, %+v", name, p.closed, bye)
		}
	}
}

func TestASilentGatewayIsLetGoAndAStoppingServerAnswersFirst(t *testing.T) {
	p := newScript(t)
	p.hello()
	for range 3 {
		p.now += 4000
		p.send(Signal{Kind: KindPing})
		p.s.Tick(p.now)
	}
	if p.closed {
		t.Fatal("closed while it spoke")
	}
	p.now += 5001
	p.s.Tick(p.now)
	if !p.closed {
		t.Error("a silent gateway stays")
	}
	p = newScript(t)
	p.hello()
	p.send(readings(1, 0))
	p.s.Drain()
	if p.closed {
		t.Fatal("let go before its answer")
	}
	p.s.Answer(p.now, p.tokens[0], []batch.Result{{Seq: 1}})
	if !p.closed {
		t.Error("it stays after its answer")
	}
	p.s.Closed(1)
	if len(p.s.connections)+len(p.s.pending)+p.s.timers.Len() != 0 {
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
			t.Errorf("%q was taken", in)
		}
	}
}

func FuzzFrames(f *testing.F) {
	c := batch.NewCodec()
	f.Add(c.Encode(Hello{Kind: KindHello, Version: Version}), c.Encode(readings(1, 0)))
	f.Add(c.Encode(Signal{Kind: KindPing}), []byte(strings.Repeat("\x81", 40)))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		p := newScript(t)
		for _, body := range [][]byte{a, b} {
			p.s.Packet(p.now, 1, append([]byte{0, 0, 0, 0}, body...))
		}
		for _, token := range p.tokens {
			p.s.Answer(p.now, token, []batch.Result{{Seq: 1}})
		}
		if len(p.s.pending) != 0 || bytes.Contains(bytes.Join(p.said, nil), []byte("panic")) {
			t.Error("a frame is left")
		}
	})
}
