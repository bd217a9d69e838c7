package edge

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/mochi-mqtt/server/v2/packets"
	coapmessage "github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/mqtt"
)

// The benchmarks send one reading at a time over loopback and wait for its answer.
// A stub with a table in memory replaces the router, so that only the edge is
// measured. Run them with -cpu 1 for readings per second on one core. The memory
// of idle devices is measured by lotuslab measure edge.

// followSystemClock sets the edge's clock to the system time and runs its timers
// until the end of the benchmark.
func (test *testEdge) followSystemClock(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	test.clock.Set(float64(time.Now().UnixMilli()))
	go func() {
		for ctx.Err() == nil {
			test.clock.Set(float64(time.Now().UnixMilli()))
			test.loop.Fire()
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

func reading(seq uint64, elapsed float64) *batch.Batch {
	readings := []batch.Reading{{Seq: seq, Value: []byte("12.5 kWh")}}
	return &batch.Batch{Device: "meter", Epoch: 1, Elapsed: &elapsed, Readings: readings}
}

func newBenchEdge(b *testing.B) *testEdge {
	test := newTestEdge(b, nil)
	test.followSystemClock(b)
	b.ReportAllocs()
	return test
}

func BenchmarkFrames(b *testing.B) {
	test := newBenchEdge(b)
	gateway := test.dial().hello()
	began := time.Now()
	b.ResetTimer()
	for i := range b.N {
		gateway.send(frames.Readings{Kind: frames.KindReadings, ID: uint32(i), Route: "readings", Batch: *reading(uint64(i), 0)})
		var a frames.Answer
		if err := gateway.receive(&a); err != nil || a.Ranges[0].Status != 0 {
			b.Fatalf("answer = %+v, %v, want status 0", a, err)
		}
	}
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "readings/s")
}

func BenchmarkMQTT(b *testing.B) {
	test := newBenchEdge(b)
	_, address, _ := test.edge.Addresses()
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	connect(b, c, "bench")
	began := time.Now()
	b.ResetTimer()
	in := make([]byte, 256)
	for i := range b.N {
		packet := packets.Packet{
			FixedHeader:     packets.FixedHeader{Type: packets.Publish, Qos: 1},
			ProtocolVersion: 4,
			TopicName:       "readings",
			PacketID:        uint16(i%65535 + 1),
			Payload:         test.codec.Encode(reading(uint64(i), 0)),
		}
		if _, err := c.Write(mqtt.Encode(&packet)); err != nil {
			b.Fatal(err)
		}
		if n, err := c.Read(in); err != nil || in[0] != packets.Puback<<4 {
			b.Fatalf("received %x, %v, want PUBACK", in[:n], err)
		}
	}
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "readings/s")
}

// connect opens an MQTT session and waits for CONNACK.
func connect(b testing.TB, c net.Conn, id string) {
	hello := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Connect}, ProtocolVersion: 4,
		Connect: packets.ConnectParams{ProtocolName: []byte("MQTT"), ClientIdentifier: id, Keepalive: 300}}
	in := make([]byte, 64)
	if _, err := c.Write(mqtt.Encode(&hello)); err != nil {
		b.Fatal(err)
	}
	if n, err := c.Read(in); err != nil || in[0] != packets.Connack<<4 {
		b.Fatalf("received %x, %v, want CONNACK", in[:n], err)
	}
}

func BenchmarkCoAP(b *testing.B) {
	test := newBenchEdge(b)
	address, _, _ := test.edge.Addresses()
	c, err := net.Dial("udp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	var echo []byte
	in, out := make([]byte, 2048), make([]byte, 2048)
	post := func(i int) codes.Code {
		m := coapmessage.Message{
			Type:      coapmessage.Confirmable,
			Code:      codes.POST,
			MessageID: int32(i % 65536),
			Token:     []byte{1, 2},
			Payload:   test.codec.Encode(reading(uint64(i), 0)),
		}
		m.Options = m.Options.Add(coapmessage.Option{ID: coapmessage.URIPath, Value: []byte("readings")})
		if echo != nil {
			m.Options = m.Options.Add(coapmessage.Option{ID: coapmessage.Echo, Value: echo})
		}
		n, err := coder.DefaultCoder.Encode(m, out)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.Write(out[:n]); err != nil {
			b.Fatal(err)
		}
		if n, err = c.Read(in); err != nil {
			b.Fatal(err)
		}
		a := &coapmessage.Message{Options: make(coapmessage.Options, 0, 16)}
		if _, err := coder.DefaultCoder.Decode(in[:n], a); err != nil {
			b.Fatal(err)
		}
		e, err := a.Options.GetBytes(coapmessage.Echo)
		if err != nil {
			b.Fatal(err)
		}
		echo = bytes.Clone(e)
		return a.Code
	}
	post(0)
	began := time.Now()
	b.ResetTimer()
	for i := range b.N {
		if code := post(i + 1); code != codes.Changed {
			b.Fatalf("response code = %v, want %v", code, codes.Changed)
		}
	}
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "readings/s")
}
