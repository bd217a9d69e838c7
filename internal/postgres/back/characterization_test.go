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

// update rewrites the expected values. They may change only with a deliberate
// change of behaviour, which the commit has to name.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization pins every byte that an endpoint receives, and what is
// reported of its answers.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, e := range exchanges {
		w := newWorld(t)
		w.events.forbidden = e.forbidden
		heard := w.exchange(e)
		got["heard-"+name], got["reported-"+name] = hex.EncodeToString(heard), w.report()
	}
	got["heard-reused"], got["reported-reused"] = newWorld(t).reuse()
	for name, run := range failures {
		got["reported-"+name] = run(newWorld(t))
	}
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

// settled is longer than the settle delay after an answer, in milliseconds.
const settled = 5

// world is a pool with one endpoint, which the test plays.
type world struct {
	t        *testing.T
	clock    *clock.Clock
	loop     *clock.Loop
	pool     *back.Pool
	budget   *netio.DescriptorBudget
	events   *events
	listener net.Listener
}

// events records what is reported, as numbers and bytes.
type events struct {
	forbidden bool // attempts may not be sent
	reports   chan string
}

func (e *events) MaySend(router.AttemptID) bool { return !e.forbidden }

func (e *events) AttemptEnded(a router.AttemptID, rep router.AttemptReport) {
	e.reports <- reportText(1, uint64(a.Number), rep)
}

func (e *events) LateAnswer(host uint32, rep router.AttemptReport) {
	e.reports <- reportText(2, uint64(host), rep)
}

func (e *events) HealthChecked(host uint32, rep router.AttemptReport) {
	e.reports <- reportText(3, uint64(host), rep)
}

// reportText writes a report as hex digits.
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

func newWorld(t *testing.T) *world {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w := &world{
		t:        t,
		clock:    clock.Manual(1000),
		budget:   netio.NewDescriptorBudget(100),
		events:   &events{reports: make(chan string, 9)},
		listener: l,
	}
	w.loop = clock.NewLoop(w.clock)
	w.pool = back.New(w.loop, back.Options{}, w.budget, w.events)
	w.loop.Do(func() { w.pool.SetEndpoint(1, l.Addr().String(), true) })
	return w
}

// start gives the pool a statement or a health check.
func (w *world) start(e exchange) (sent slotmap.Handle) {
	w.t.Helper()
	if e.text == "" {
		e.text = readStatement
	}
	parsed, err := wire.ParseStatement([]byte(e.text))
	if err != nil {
		w.t.Fatal(err)
	}
	w.loop.Do(func() {
		if e.healthCheck {
			w.pool.CheckHealth(1)
			return
		}
		statement := router.Statement{
			Text:     []byte(e.text),
			WaitFrom: parsed.WaitFrom,
			WaitTo:   parsed.WaitTo,
			Write:    e.write,
		}
		sent = w.pool.Send(1, router.AttemptID{Number: 7}, statement, 480.7)
	})
	return sent
}

// exchange has the endpoint accept a connection and answer on it, and returns
// what the endpoint received.
func (w *world) exchange(e exchange) (heard []byte) {
	w.t.Helper()
	w.start(e)
	c := w.accept()
	heard = w.readStartup(c)
	w.clock.Set(w.clock.Now() + e.timePasses)
	if e.startupError != nil {
		w.write(c, e.startupError)
		_ = c.Close()
		return heard
	}
	w.write(c, greeting)
	if e.forbidden {
		return heard
	}
	heard = append(heard, w.readMessage(c)...)
	w.write(c, e.answer)
	if e.ends {
		_ = c.Close()
	}
	return heard
}

// report waits for the next report.
func (w *world) report() string {
	w.t.Helper()
	select {
	case text := <-w.events.reports:
		return text
	case <-time.After(10 * time.Second):
		w.t.Error("nothing is reported")
		return ""
	}
}

func (w *world) accept() net.Conn {
	w.t.Helper()
	c, err := w.listener.Accept()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		w.t.Fatal(err)
	}
	return c
}

func (w *world) read(c net.Conn, n int) []byte {
	w.t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		w.t.Fatal(err)
	}
	return b
}

func (w *world) readStartup(c net.Conn) []byte {
	w.t.Helper()
	head := w.read(c, wire.StartupHeaderLen)
	return append(head, w.read(c, int(binary.BigEndian.Uint32(head))-len(head))...)
}

func (w *world) readMessage(c net.Conn) []byte {
	w.t.Helper()
	head := w.read(c, wire.HeaderLen)
	return append(head, w.read(c, int(binary.BigEndian.Uint32(head[1:]))-4)...)
}

func (w *world) write(c net.Conn, b []byte) {
	w.t.Helper()
	if _, err := c.Write(b); err != nil {
		w.t.Fatal(err)
	}
}

// reuse sends two statements and a health check over one connection, and returns
// all that the endpoint received there.
func (w *world) reuse() (heard, reported string) {
	w.t.Helper()
	w.start(exchange{})
	c := w.accept()
	bytes := w.readStartup(c)
	w.write(c, greeting)
	for n := range 3 {
		if n > 0 {
			w.passTime(settled)
			w.start(exchange{healthCheck: n == 2})
		}
		bytes = append(bytes, w.readMessage(c)...)
		w.write(c, answer("x0=1", []string{"SELECT 1", "SELECT 1", "SHOW"}[n]))
		reported += w.report()
	}
	w.loop.Do(func() { w.pool.CloseIdle(1) })
	return hex.EncodeToString(bytes), reported
}

// cancelled cancels an attempt and returns whether it had begun.
func (w *world) cancelled(sent slotmap.Handle) (begun string) {
	w.loop.Do(func() {
		begun = "00"
		if w.pool.Cancel(sent) {
			begun = "01"
		}
	})
	return begun
}

func (w *world) passTime(ms float64) {
	w.clock.Set(w.clock.Now() + ms)
	w.loop.Fire()
}

func (w *world) takeAllSockets() {
	w.loop.Do(func() {
		for w.budget.AcquireEndpoint() {
		}
	})
}

// idleConnection returns the endpoint's end of an idle connection.
func (w *world) idleConnection() net.Conn {
	w.t.Helper()
	w.start(exchange{})
	c := w.accept()
	w.readStartup(c)
	w.write(c, greeting)
	w.readMessage(c)
	w.write(c, answer("v", "SELECT 1"))
	w.report()
	w.passTime(settled)
	return c
}

func (w *world) expectEOF(c net.Conn) {
	w.t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		w.t.Errorf("the endpoint reads %d bytes, %v; want EOF", n, err)
	}
}
