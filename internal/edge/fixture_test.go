package edge

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/netio"
	edgeoptions "lotusbend/internal/operatorconfig"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// stubRouter stands in for the router and all behind it: a table in memory.
type stubRouter struct {
	mu          sync.Mutex
	rows        map[string][]byte
	writesByKey map[string]int
	statements  []string
	silent      bool // sends no answers
}

func (r *stubRouter) Class(name []byte) (router.Class, bool) {
	switch string(name) {
	case "ledger-write":
		return router.Class{Number: 2, Write: true, NeedsIdempotencyKey: true, IdempotencyWindow: 5000}, true
	case "invoice-check":
		return router.Class{Number: 1, Fresh: true}, true
	case "park-view":
		return router.Class{}, true
	}
	return router.Class{}, false
}

func (r *stubRouter) Submit(request router.Request, from router.Client, client slotmap.Handle) slotmap.Handle {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := string(request.Statement.Text)
	r.statements = append(r.statements, text)
	if r.silent {
		return slotmap.Handle{}
	}
	parsed, err := wire.ParseStatement(request.Statement.Text)
	samePositions := parsed.WaitFrom == request.Statement.WaitFrom && parsed.WaitTo == request.Statement.WaitTo
	if err != nil || parsed.Group != request.Group || !samePositions {
		from.Answer(client, router.Answer{Verdict: router.Failed})
		return slotmap.Handle{}
	}
	row := string(parsed.RowKey)
	if strings.HasPrefix(text, "INSERT") {
		_, rest, _ := strings.Cut(text, `\x`)
		digits, _, _ := strings.Cut(rest, "'")
		value, err := hex.DecodeString(digits)
		if err != nil || !parsed.HasIdempotencyKey {
			from.Answer(client, router.Answer{Verdict: router.Failed})
			return slotmap.Handle{}
		}
		r.rows[row] = value
		r.writesByKey[text[strings.Index(text, ",k="):]]++
	}
	from.Answer(client, router.Answer{Verdict: router.Served, Row: &router.Row{Binary: true, Value: r.rows[row]}})
	return slotmap.Handle{}
}

// statementCount returns how many statements were submitted.
func (r *stubRouter) statementCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.statements)
}

func (r *stubRouter) rowCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows)
}

// testEdge is an edge on loopback with a clock that tests set.
type testEdge struct {
	t      testing.TB
	clock  *clock.Clock
	loop   *clock.Loop
	edge   *Edge
	router *stubRouter
	codec  *batch.Codec
}

func newTestEdge(t testing.TB, change func(*edgeoptions.Edge)) *testEdge {
	t.Helper()
	options, err := edgeoptions.Parse("test", []byte(`{"edge": {
		"coap": "127.0.0.1:0", "mqtt": "127.0.0.1:0", "frames": "127.0.0.1:0",
		"connections": 20000, "routes": [
		{"match": "readings", "groups": [1, 2], "write": "ledger-write", "check": "invoice-check"},
		{"match": "values", "groups": [1], "read": "park-view"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(options.Edge)
	}
	test := &testEdge{
		t:      t,
		clock:  clock.Manual(1767225600000),
		router: &stubRouter{rows: map[string][]byte{}, writesByKey: map[string]int{}},
		codec:  batch.NewCodec(),
	}
	test.loop = clock.NewLoop(test.clock)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	test.edge, err = New(options.Edge, test.loop, log, netio.NewDescriptorBudget(100000), test.router, 1)
	if err != nil {
		t.Fatal(err)
	}
	test.edge.Start()
	t.Cleanup(func() { _ = test.edge.Close() })
	return test
}

// advance sets the clock forward, timer by timer.
func (test *testEdge) advance(ms float64) {
	end := test.clock.Now() + ms
	for at, ok := test.loop.Next(); ok && at <= end; at, ok = test.loop.Next() {
		test.clock.Set(max(at, test.clock.Now()))
		test.loop.Fire()
	}
	test.clock.Set(end)
}

// waitFor waits until the edge is in the state that holds checks.
func (test *testEdge) waitFor(what string, holds func() bool) {
	test.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; runtime.Gosched() {
		ok := false
		test.loop.Do(func() { ok = holds() })
		if ok {
			return
		}
		if time.Now().After(end) {
			test.t.Fatalf("never came: %s", what)
		}
	}
}

// waitForSent waits until the edge has noted that every answer was written. A
// client may read its answer before that, and a clock that is set ahead then would
// take the answer for one that the client leaves unread.
func (test *testEdge) waitForSent() {
	test.t.Helper()
	test.waitFor("answers written", func() bool {
		unread := 0
		test.edge.connections.Each(func(_ slotmap.Handle, conn *connection) { unread += conn.unreadBytes })
		return unread == 0
	})
}

func (test *testEdge) encodeBatch(device string, seqs ...uint64) []byte {
	b := &batch.Batch{Device: device, Epoch: 1}
	for _, s := range seqs {
		b.Readings = append(b.Readings, batch.Reading{Seq: s, Value: fmt.Appendf(nil, "%s %d", device, s)})
	}
	return test.codec.Encode(b)
}

// testGateway is a gateway of the framed stream.
type testGateway struct {
	t testing.TB
	net.Conn
	codec *batch.Codec
}

func (test *testEdge) dial() *testGateway {
	test.t.Helper()
	_, _, address := test.edge.Addresses()
	c, err := net.Dial("tcp", address)
	if err != nil {
		test.t.Fatal(err)
	}
	test.t.Cleanup(func() { _ = c.Close() })
	return &testGateway{test.t, c, test.codec}
}

func (gateway *testGateway) send(frame any) {
	gateway.t.Helper()
	if _, err := gateway.Write(frames.Append(nil, gateway.codec, frame)); err != nil {
		gateway.t.Fatal(err)
	}
}

func (gateway *testGateway) receive(to any) error {
	_ = gateway.SetReadDeadline(time.Now().Add(20 * time.Second)) // only so that a test ends
	head := make([]byte, frames.HeaderLen)
	if _, err := io.ReadFull(gateway, head); err != nil {
		return err
	}
	n, err := frames.FrameLength(head, 1<<20)
	if err != nil {
		return err
	}
	body := make([]byte, n-frames.HeaderLen)
	if _, err := io.ReadFull(gateway, body); err != nil {
		return err
	}
	return gateway.codec.Decode(body, to)
}

func (gateway *testGateway) hello() *testGateway {
	gateway.t.Helper()
	gateway.send(frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: "g"})
	var welcome frames.Welcome
	if err := gateway.receive(&welcome); err != nil || welcome.Kind != frames.KindWelcome {
		gateway.t.Fatalf("%+v, %v", welcome, err)
	}
	return gateway
}

func (gateway *testGateway) sendReading(id uint32, device string, seq uint64) {
	gateway.t.Helper()
	gateway.send(frames.Readings{Kind: frames.KindReadings, ID: id, Route: "readings",
		Batch: batch.Batch{Device: device, Epoch: 1, Readings: []batch.Reading{{Seq: seq, Value: []byte("v")}}}})
}

// closed waits for the connection's end.
func (gateway *testGateway) closed() bool {
	_ = gateway.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := io.Copy(io.Discard, gateway)
	var failure net.Error
	return err == nil || !errors.As(err, &failure) || !failure.Timeout()
}
