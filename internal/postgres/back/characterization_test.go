package back_test

import (
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/back"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// update rewrites the golden file. The commit must name the deliberate change of
// behaviour that requires it.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares every byte that an endpoint receives, and the
// reports about its answers, with the golden file.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, e := range exchanges {
		f := newFixture(t)
		f.events.forbidden = e.forbidden
		received := f.exchange(e)
		got["heard-"+name], got["reported-"+name] = hex.EncodeToString(received), f.report()
	}
	got["heard-reused"], got["reported-reused"] = newFixture(t).reuse()
	for name, run := range poolScenarios {
		got["reported-"+name] = run(newFixture(t))
	}
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

// settledMs is longer than the pool's settle delay after an answer.
const settledMs = 5

// fixture is a pool with one endpoint, whose end of the connections the test
// serves.
type fixture struct {
	t        *testing.T
	clock    *clock.Clock
	loop     *clock.Loop
	pool     *back.Pool
	budget   *netio.DescriptorBudget
	events   *events
	listener net.Listener
}

// events is a back.Events that encodes the reports.
type events struct {
	forbidden bool // attempts may not be sent
	reports   chan string
}

func (e *events) MaySend(router.AttemptID) bool { return !e.forbidden }

func (e *events) AttemptEnded(a router.AttemptID, rep router.AttemptReport) {
	e.reports <- reportText(1, uint64(a.Number), rep)
}

func (e *events) LateAnswer(endpoint uint32, rep router.AttemptReport) {
	e.reports <- reportText(2, uint64(endpoint), rep)
}

func (e *events) HealthChecked(endpoint uint32, rep router.AttemptReport) {
	e.reports <- reportText(3, uint64(endpoint), rep)
}

// reportText encodes a report as hexadecimal digits. of is the number of the attempt
// or the endpoint.
func reportText(kind byte, of uint64, rep router.AttemptReport) string {
	b := binary.BigEndian.AppendUint64([]byte{kind}, of)
	b = append(b, byte(rep.Outcome), byte(rep.Status.Role))
	b = binary.BigEndian.AppendUint64(b, uint64(rep.Status.Position))
	if r := rep.Row; r != nil {
		b = binary.BigEndian.AppendUint32(b, r.Type)
		b = binary.BigEndian.AppendUint16(b, uint16(r.Size))
		if b = append(b, 0); r.Binary {
			b[len(b)-1] = 1
		}
		for _, text := range [][]byte{r.Column, r.Value, r.Tag} {
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
		}
	}
	return hex.EncodeToString(b)
}

// newFixture starts to listen as endpoint 1 of a new pool.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &fixture{
		t:        t,
		clock:    clock.Manual(1000),
		budget:   netio.NewDescriptorBudget(100),
		events:   &events{reports: make(chan string, 9)},
		listener: l,
	}
	f.loop = clock.NewLoop(f.clock)
	f.pool = back.New(f.loop, back.Options{}, f.budget, f.events)
	f.loop.Do(func() { f.pool.SetEndpoint(1, l.Addr().String(), true) })
	return f
}

// start sends a statement or starts a health check. sent is the handle of the
// attempt.
func (f *fixture) start(e exchange) (sent slotmap.Handle) {
	f.t.Helper()
	if e.text == "" {
		e.text = readStatement
	}
	parsed, err := wire.ParseStatement([]byte(e.text))
	if err != nil {
		f.t.Fatal(err)
	}
	f.loop.Do(func() {
		if e.healthCheck {
			f.pool.CheckHealth(1)
			return
		}
		statement := router.Statement{
			Text:     []byte(e.text),
			WaitFrom: parsed.WaitFrom,
			WaitTo:   parsed.WaitTo,
			Write:    e.write,
		}
		sent = f.pool.Send(1, router.AttemptID{Number: 7}, statement, 480.7)
	})
	return sent
}

// exchange starts e, serves it as the endpoint on a new connection and returns all
// bytes that the endpoint received.
func (f *fixture) exchange(e exchange) (received []byte) {
	f.t.Helper()
	f.start(e)
	c := f.accept()
	received = f.readStartup(c)
	f.clock.Set(f.clock.Now() + e.timePasses)
	if e.startupError != nil {
		f.write(c, e.startupError)
		_ = c.Close()
		return received
	}
	f.write(c, greeting)
	if e.forbidden {
		return received
	}
	received = append(received, f.readMessage(c)...)
	f.write(c, e.answer)
	if e.ends {
		_ = c.Close()
	}
	return received
}

// report returns the next report. It fails the test after 10 s.
func (f *fixture) report() string {
	f.t.Helper()
	select {
	case text := <-f.events.reports:
		return text
	case <-time.After(10 * time.Second):
		f.t.Error("no report within 10 s")
		return ""
	}
}

// accept accepts a connection and sets its deadline to 10 s.
func (f *fixture) accept() net.Conn {
	f.t.Helper()
	c, err := f.listener.Accept()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// read reads n bytes.
func (f *fixture) read(c net.Conn, n int) []byte {
	f.t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		f.t.Fatal(err)
	}
	return b
}

// readStartup reads a StartupMessage.
func (f *fixture) readStartup(c net.Conn) []byte {
	f.t.Helper()
	head := f.read(c, wire.StartupHeaderLen)
	return append(head, f.read(c, int(binary.BigEndian.Uint32(head))-len(head))...)
}

// readMessage reads a message with its header.
func (f *fixture) readMessage(c net.Conn) []byte {
	f.t.Helper()
	head := f.read(c, wire.HeaderLen)
	return append(head, f.read(c, int(binary.BigEndian.Uint32(head[1:]))-4)...)
}

// write writes b to c.
func (f *fixture) write(c net.Conn, b []byte) {
	f.t.Helper()
	if _, err := c.Write(b); err != nil {
		f.t.Fatal(err)
	}
}

// reuse sends two statements and a health check on the same connection, and returns
// all bytes that the endpoint received and the reports.
func (f *fixture) reuse() (received, reported string) {
	f.t.Helper()
	f.start(exchange{})
	c := f.accept()
	bytes := f.readStartup(c)
	f.write(c, greeting)
	for n := range 3 {
		if n > 0 {
			f.passTime(settledMs)
			f.start(exchange{healthCheck: n == 2})
		}
		bytes = append(bytes, f.readMessage(c)...)
		f.write(c, answer("x0=1", []string{"SELECT 1", "SELECT 1", "SHOW"}[n]))
		reported += f.report()
	}
	f.loop.Do(func() { f.pool.CloseIdle(1) })
	return hex.EncodeToString(bytes), reported
}

// cancelled cancels an attempt and returns 01 if Cancel reports that a byte of it may
// have been written, otherwise 00.
func (f *fixture) cancelled(sent slotmap.Handle) (maybeWritten string) {
	f.loop.Do(func() {
		maybeWritten = "00"
		if f.pool.Cancel(sent) {
			maybeWritten = "01"
		}
	})
	return maybeWritten
}

// passTime advances the clock by ms milliseconds and runs the expired deadlines.
func (f *fixture) passTime(ms float64) {
	f.clock.Set(f.clock.Now() + ms)
	f.loop.Fire()
}

// takeAllDescriptors exhausts the descriptor budget.
func (f *fixture) takeAllDescriptors() {
	f.loop.Do(func() {
		for f.budget.AcquireEndpoint() {
		}
	})
}

// idleConnection opens a connection, answers a statement on it, and returns the
// endpoint's end once the connection is idle.
func (f *fixture) idleConnection() net.Conn {
	f.t.Helper()
	f.start(exchange{})
	c := f.accept()
	f.readStartup(c)
	f.write(c, greeting)
	f.readMessage(c)
	f.write(c, answer("v", "SELECT 1"))
	f.report()
	f.passTime(settledMs)
	return c
}

// expectEOF fails the test unless the pool has ended the connection.
func (f *fixture) expectEOF(c net.Conn) {
	f.t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		f.t.Errorf("endpoint read %d bytes, %v, want EOF", n, err)
	}
}
