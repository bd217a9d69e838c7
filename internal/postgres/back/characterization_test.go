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
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization pins every byte that a database host hears, and what is
// reported of its answers.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, e := range exchanges {
		w := newWorld(t)
		w.events.stays = e.stays
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

// exchange is one statement or probe, and what its host answers.
type exchange struct {
	probe   bool
	write   bool
	text    string // of the statement, readStatement if empty
	passes  float64
	stays   bool   // it may no longer be sent once there is a connection
	refusal []byte // the answer to the startup, which ends the connection; greeting if nil
	answer  []byte
	ends    bool // the host ends the connection behind its answer
}

const (
	readStatement  = "SELECT doc FROM items WHERE id = 'a' /* id=1,c=read,d=480,cluster=2,after=5 */"
	writeStatement = "INSERT INTO items VALUES ('a') /* id=1,c=write,k=b,d=480,cluster=2 */"
)

var greeting = inTurn(wire.AppendAuthenticationOk(nil), wire.AppendParameter(nil, "server_version", "15.0"), wire.AppendKeyData(nil, 1, 2), wire.AppendReady(nil))

func inTurn(parts ...[]byte) []byte { return slices.Concat(parts...) }

// answer is a row of one column with what a host says of itself.
func answer(value, tag string, parameters ...string) []byte {
	b := wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc"), Type: 25, Size: -1})
	b = wire.AppendComplete(wire.AppendDataRow(b, []byte(value)), []byte(tag))
	for i := 0; i < len(parameters); i += 2 {
		b = wire.AppendParameter(b, parameters[i], parameters[i+1])
	}
	return wire.AppendReady(b)
}

func failure(code string, parameters ...string) []byte {
	b := wire.AppendError(nil, "ERROR", code, "no", "")
	for i := 0; i < len(parameters); i += 2 {
		b = wire.AppendParameter(b, parameters[i], parameters[i+1])
	}
	return wire.AppendReady(b)
}

var exchanges = map[string]exchange{
	"read":                     {answer: answer("v", "SELECT 1")},
	"read-from-replica":        {answer: answer("v", "SELECT 1", "recovery", "on", "lsn_ms", "1767225600123.4567891")},
	"read-of-role-unknown":     {answer: answer("v", "SELECT 1", "recovery", "perhaps", "lsn_ms", "-5")},
	"write":                    {write: true, text: writeStatement, answer: answer("v", "INSERT 0 1", "recovery", "off", "lsn_ms", "1767225600123.4567891")},
	"write-in-lower-case":      {write: true, text: "update items /* id=1,c=write,k=b,d=480,cluster=2 */", answer: answer("v", "UPDATE 1", "lsn_ms", "7")},
	"position-not-a-number":    {answer: answer("v", "SELECT 1", "lsn_ms", "7.x")},
	"position-too-large":       {answer: answer("v", "SELECT 1", "lsn_ms", "4000000000001")},
	"binary-row":               {answer: inTurn(wire.AppendRowDescription(nil, wire.Column{Name: []byte("n"), Type: 23, Size: 4, Binary: true}), wire.AppendDataRow(nil, []byte{0, 0, 0, 9}), wire.AppendComplete(nil, []byte("SELECT 1")), wire.AppendReady(nil))},
	"notice":                   {answer: inTurn(notice(), answer("v", "SELECT 1"))},
	"wait-partly-over":         {passes: 100.5, answer: answer("v", "SELECT 1")},
	"wait-over":                {passes: 1000, answer: answer("v", "SELECT 1")},
	"not-sent":                 {stays: true},
	"error-read-only":          {answer: failure(wire.CodeReadOnly, "recovery", "on")},
	"error-behind":             {answer: failure(wire.CodeTooFarBehind)},
	"error-full":               {answer: failure(wire.CodeTooManyConnections)},
	"error-syntax":             {answer: failure(wire.CodeSyntax)},
	"error-protocol":           {answer: failure(wire.CodeProtocol)},
	"error-other":              {answer: failure("XX000")},
	"startup-full":             {refusal: wire.AppendError(nil, "FATAL", wire.CodeTooManyConnections, "no", "")},
	"startup-refused":          {refusal: wire.AppendError(nil, "FATAL", wire.CodeCannotConnectNow, "no", "")},
	"startup-ends":             {refusal: []byte{}},
	"startup-with-password":    {refusal: []byte("R\x00\x00\x00\x08\x00\x00\x00\x03")},
	"no-answer":                {ends: true},
	"answer-before-the-end":    {answer: answer("v", "SELECT 1")[:len(answer("v", "SELECT 1"))-6], ends: true},
	"answer-cut":               {answer: answer("v", "SELECT 1")[:20], ends: true},
	"tag-of-another-statement": {answer: answer("v", "INSERT 0 1")},
	"tag-of-two-rows":          {answer: answer("v", "SELECT 2")},
	"ready-without-answer":     {answer: wire.AppendReady(nil)},
	"row-without-description":  {answer: wire.AppendDataRow(nil, []byte("v"))},
	"ready-of-no-state":        {answer: []byte("Z\x00\x00\x00\x05X")},
	"message-of-no-kind":       {answer: []byte("?\x00\x00\x00\x04")},
	"message-too-long":         {answer: []byte("C\x00\x00\x40\x00")},
	"row-of-lying-length":      {answer: inTurn(wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc")}), []byte("D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x09v"))},
	"error-behind-the-answer":  {answer: inTurn(answer("v", "SELECT 1")[:len(answer("v", "SELECT 1"))-6], failure("XX000"))},
	"probe":                    {probe: true, answer: answer("x0=12.5,x1=1,role=1", "SHOW")},
	"probe-error":              {probe: true, answer: failure("XX000")},
	"probe-unreadable":         {probe: true, answer: answer("x0=much", "SHOW")},
	"probe-empty":              {probe: true, answer: answer("", "SHOW")},
	"probe-spoilt":             {probe: true, answer: wire.AppendReady(nil)},
	"probe-startup-full":       {probe: true, refusal: wire.AppendError(nil, "FATAL", wire.CodeTooManyConnections, "no", "")},
	"probe-that-ends-unheard":  {probe: true, ends: true},
	"probe-of-a-replica":       {probe: true, answer: answer("x0=1767225600.1234567891,x1=0,x7=4", "SHOW")},
	"probe-of-no-role":         {probe: true, answer: answer("x1=2", "SHOW")},
	"probe-of-no-position":     {probe: true, answer: answer("x0=-1", "SHOW")},
}

func notice() []byte {
	b := wire.AppendError(nil, "WARNING", "01000", "careful", "")
	b[0] = wire.NoticeResponse
	return b
}

// settled is longer than a connection rests after an answer, in milliseconds.
const settled = 5

// world is a pool with one host, which the test plays.
type world struct {
	t        *testing.T
	clock    *clock.Clock
	loop     *clock.Loop
	pool     *back.Pool
	budget   *netio.DescriptorBudget
	events   *events
	listener net.Listener
}

// events writes down what is reported, as numbers and bytes.
type events struct {
	stays   bool
	reports chan string
}

func (e *events) MaySend(router.Attempt) bool { return !e.stays }

func (e *events) AttemptEnded(a router.Attempt, rep router.AttemptReport) {
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
	w := &world{t: t, clock: clock.Manual(1000), budget: netio.NewDescriptorBudget(100), events: &events{reports: make(chan string, 9)}, listener: l}
	w.loop = clock.NewLoop(w.clock)
	w.pool = back.New(w.loop, back.Options{}, w.budget, w.events)
	w.loop.Do(func() { w.pool.SetHost(1, l.Addr().String(), true) })
	return w
}

// start hands the pool a statement or a probe.
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
		if e.probe {
			w.pool.CheckHealth(1)
			return
		}
		s := router.Statement{Text: []byte(e.text), WaitFrom: parsed.WaitFrom, WaitTo: parsed.WaitTo, Write: e.write}
		sent = w.pool.Send(1, router.Attempt{Number: 7}, s, 480.7)
	})
	return sent
}

// exchange has the host take a connection and answer on it, and returns what
// the host heard.
func (w *world) exchange(e exchange) (heard []byte) {
	w.t.Helper()
	w.start(e)
	c := w.accept()
	heard = w.readStartup(c)
	w.clock.Set(w.clock.Now() + e.passes)
	if e.refusal != nil {
		w.write(c, e.refusal)
		_ = c.Close()
		return heard
	}
	w.write(c, greeting)
	if e.stays {
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

// reuse sends two statements and a probe over one connection, and returns all
// that the host heard there.
func (w *world) reuse() (heard, reported string) {
	w.t.Helper()
	w.start(exchange{})
	c := w.accept()
	bytes := w.readStartup(c)
	w.write(c, greeting)
	for n := range 3 {
		if n > 0 {
			w.passTime(settled)
			w.start(exchange{probe: n == 2})
		}
		bytes = append(bytes, w.readMessage(c)...)
		w.write(c, answer("x0=1", []string{"SELECT 1", "SELECT 1", "SHOW"}[n]))
		reported += w.report()
	}
	w.loop.Do(func() { w.pool.CloseIdle(1) })
	return hex.EncodeToString(bytes), reported
}

// failures are attempts and probes that no answer ends.
var failures = map[string]func(*world) string{
	"without-host": func(w *world) string {
		w.loop.Do(func() { w.pool.Send(2, router.Attempt{Number: 3}, router.Statement{}, 10) })
		return w.report()
	},
	"host-not-there": func(w *world) string {
		_ = w.listener.Close()
		w.start(exchange{})
		return w.report()
	},
	"connect-timeout": func(w *world) string {
		w.start(exchange{})
		w.readStartup(w.accept())
		w.passTime(250)
		return w.report()
	},
	"probe-timeout": func(w *world) string {
		w.start(exchange{probe: true})
		c := w.accept()
		w.readStartup(c)
		w.write(c, greeting)
		w.readMessage(c)
		w.passTime(250)
		return w.report()
	},
	"no-socket-left": func(w *world) string {
		w.takeAllSockets()
		w.start(exchange{})
		return w.report()
	},
	"socket-of-an-idle-connection": func(w *world) string {
		c := w.idleConnection()
		w.takeAllSockets()
		other, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.t.Fatal(err)
		}
		defer other.Close()
		w.loop.Do(func() {
			w.pool.SetHost(2, other.Addr().String(), true)
			w.pool.CheckHealth(2)
		})
		w.hearsEnd(c)
		w.listener = other
		second := w.accept()
		w.readStartup(second)
		w.write(second, greeting)
		w.readMessage(second)
		w.write(second, answer("x0=5", "SHOW"))
		return w.report()
	},
	"host-no-longer-usable": func(w *world) string {
		c := w.idleConnection()
		w.loop.Do(func() { w.pool.SetHost(1, "", false) })
		w.hearsEnd(c)
		return w.cancelled(w.start(exchange{}))
	},
	"cancelled-before-it-began": func(w *world) string { return w.cancelled(w.start(exchange{})) },
	"cancelled-write": func(w *world) string {
		sent := w.start(exchange{write: true, text: writeStatement})
		c := w.accept()
		w.readStartup(c)
		w.write(c, greeting)
		w.readMessage(c)
		text := w.cancelled(sent)
		w.hearsEnd(c)
		return text
	},
	"cancelled-twice": func(w *world) string {
		sent := w.start(exchange{})
		return w.cancelled(sent) + w.cancelled(sent)
	},
}

// cancelled gives an attempt up and writes whether it had begun.
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
		for w.budget.TakeHost() {
		}
	})
}

// idleConnection returns the host's end of a connection that rests between two
// statements.
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

func (w *world) hearsEnd(c net.Conn) {
	w.t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		w.t.Errorf("the host reads %d bytes, %v; want the end", n, err)
	}
}
