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
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// stubRouter is a RequestRouter that executes statements on a table in memory.
type stubRouter struct {
	mu          sync.Mutex
	rows        map[string][]byte
	writesByKey map[string]int // by idempotency key
	statements  []string
	silent      bool // answer no statement
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

// rowCount returns how many rows were written.
func (r *stubRouter) rowCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows)
}

// testEdge is an edge on loopback with a stub router and a manual clock.
type testEdge struct {
	t      testing.TB
	clock  *clock.Clock
	loop   *clock.Loop
	edge   *Edge
	router *stubRouter
	codec  *batch.Codec
}

func newTestEdge(t testing.TB, change func(*operatorconfig.Edge)) *testEdge {
	t.Helper()
	options, err := operatorconfig.Parse("test", []byte(`{"edge": {
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

// advance sets the clock forward and runs each timer at its time.
func (test *testEdge) advance(ms float64) {
	end := test.clock.Now() + ms
	for at, ok := test.loop.Next(); ok && at <= end; at, ok = test.loop.Next() {
		test.clock.Set(max(at, test.clock.Now()))
		test.loop.Fire()
	}
	test.clock.Set(end)
}

// waitFor waits until the condition holds, which is evaluated inside the loop's
// Do. It fails the test after 20 seconds.
func (test *testEdge) waitFor(what string, holds func() bool) {
	test.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; runtime.Gosched() {
		ok := false
		test.loop.Do(func() { ok = holds() })
		if ok {
			return
		}
		if time.Now().After(end) {
			test.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitForSent waits until the edge has registered that every answer was written. A
// client may read its answer earlier. If the clock were set forward in between,
// the unread timer would close the connection.
func (test *testEdge) waitForSent() {
	test.t.Helper()
	test.waitFor("all answers to be written", func() bool {
		unread := 0
		test.edge.connections.Each(func(_ slotmap.Handle, conn *connection) { unread += conn.unreadBytes })
		return unread == 0
	})
}

// encodeBatch encodes a batch with a reading for each sequence number. The value
// of a reading is the device and the number.
func (test *testEdge) encodeBatch(device string, seqs ...uint64) []byte {
	b := &batch.Batch{Device: device, Epoch: 1}
	for _, s := range seqs {
		b.Readings = append(b.Readings, batch.Reading{Seq: s, Value: fmt.Appendf(nil, "%s %d", device, s)})
	}
	return test.codec.Encode(b)
}

// testGateway is the connection of a gateway that sends frames.
type testGateway struct {
	t testing.TB
	net.Conn
	codec *batch.Codec
}

// dial opens a connection for frames, without Hello.
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

// receive decodes the next frame into a message.
func (gateway *testGateway) receive(to any) error {
	_ = gateway.SetReadDeadline(time.Now().Add(20 * time.Second)) // ends a test that would hang
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

// hello sends Hello and waits for Welcome.
func (gateway *testGateway) hello() *testGateway {
	gateway.t.Helper()
	gateway.send(frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: "g"})
	var welcome frames.Welcome
	if err := gateway.receive(&welcome); err != nil || welcome.Kind != frames.KindWelcome {
		gateway.t.Fatalf("answer to Hello = %+v, %v, want Welcome", welcome, err)
	}
	return gateway
}

// sendReading sends a batch of one reading.
func (gateway *testGateway) sendReading(id uint32, device string, seq uint64) {
	gateway.t.Helper()
	gateway.send(frames.Readings{Kind: frames.KindReadings, ID: id, Route: "readings",
		Batch: batch.Batch{Device: device, Epoch: 1, Readings: []batch.Reading{{Seq: seq, Value: []byte("v")}}}})
}

// closed discards what the edge sends and reports whether the edge closes the
// connection within 20 seconds.
func (gateway *testGateway) closed() bool {
	_ = gateway.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := io.Copy(io.Discard, gateway)
	var failure net.Error
	return err == nil || !errors.As(err, &failure) || !failure.Timeout()
}
