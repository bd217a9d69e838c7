package front_test

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/front"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// update rewrites the expected values. They may change only with a deliberate
// change of behaviour, which the commit has to name.
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization pins every byte that a client hears, for one connection
// after another, and what the router gets of its statements.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, dialogue := range dialogues {
		s := newServer(t, dialogue.memoryMB)
		if dialogue.before != nil {
			dialogue.before(s)
		}
		got["heard-"+name] = hex.EncodeToString(s.dialogue(dialogue))
		if requests := s.requests(); requests != "" {
			got["requests-"+name] = requests
		}
	}
	got["requests-gone"] = newServer(t, 0).clientGone()
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

// dialogue is one connection of a client.
type dialogue struct {
	first    []byte // sent at once
	second   []byte // sent once ready was heard
	cancels  bool   // once the class "marker" was asked for, what runs is cancelled
	passes   bool   // time passes until the connection ends
	before   func(*server)
	between  func(*server) // first and second
	memoryMB float64       // 0 for the usual limit
}

const goodbye = "X\x00\x00\x00\x04"

var startup = wire.AppendStartup(nil, "app", "shop")

// message returns a message with a length of its own.
func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))
	return append(b, body...)
}

// firstMessage returns a message without a kind.
func firstMessage(values ...uint32) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(4+4*len(values)))
	for _, v := range values {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return b
}

// queries returns simple queries and the end of the connection.
func queries(texts ...string) (b []byte) {
	for _, text := range texts {
		b = wire.AppendQuery(b, []byte(text))
	}
	return append(b, goodbye...)
}

func inTurn(parts ...[]byte) []byte { return slices.Concat(parts...) }

// The groups of statements tell the server below how to answer.
const (
	groupText = iota + 1
	groupBinary
	groupRefused
	groupRefusedWithoutAdvice
	groupFailed
	groupSilent
)

// statement is a read of a group.
func statement(id, group int) string {
	return fmt.Sprintf("SELECT doc FROM items WHERE id = 'key%d' /* id=%d,c=read,d=480,cluster=%d,after=1767225600123 */", id, id, group)
}

var dialogues = map[string]dialogue{
	"greeting":                  {first: startup, second: []byte(goodbye)},
	"greeting-without-names":    {first: inTurn(firstMessage(wire.Version3), []byte(goodbye))},
	"greeting-of-minor-version": {first: inTurn(firstMessage(wire.Version3+2), []byte(goodbye))},
	"encryption-refused":        {first: inTurn(firstMessage(wire.SSLRequest), firstMessage(wire.GSSRequest), startup), second: []byte(goodbye)},
	"another-version":           {first: firstMessage(2 << 16)},
	"startup-too-long":          {first: []byte("\x00\x01\x00\x00\x00\x03\x00\x00")},
	"startup-too-short":         {first: []byte("\x00\x00\x00\x07\x00\x03\x00")},
	"cancel-of-nothing":         {first: firstMessage(wire.CancelRequest, 5, 6)},
	"cancel-without-secret":     {first: firstMessage(wire.CancelRequest, 5)},
	"rejected-when-full":        {before: (*server).takeAllClients},
	"rejected-when-draining":    {before: (*server).drain},
	"draining":                  {first: startup, second: queries(statement(1, groupText)), between: (*server).drainForLong},
	"idle":                      {first: startup, second: []byte{}, passes: true},
	"part-of-a-startup":         {first: startup[:9], passes: true},
	"part-of-a-message":         {first: startup, second: []byte("Q\x00\x00\x00\x40SELECT"), passes: true},
	"part-too-long-for-memory":  {first: startup, second: []byte("Q\x00\x01\x00\x00SELECT"), memoryMB: 0.02},
	"idle-after-an-answer":      {first: startup, second: wire.AppendQuery(nil, []byte(statement(1, groupText))), passes: true},
	"idle-when-a-drain-begins":  {first: startup, second: []byte{}, between: (*server).drain, passes: true},
	"evicted-for-another":       {before: limitDescriptors(26), first: startup, second: []byte{}, between: (*server).connectAnother},
	"evicted-after-its-answer":  {before: limitDescriptors(3), first: startup, second: wire.AppendQuery(nil, []byte(statement(1, groupText)))},
	"empty-queries":             {first: startup, second: queries("", " ;\r\n\t; ")},
	"sync-and-flush":            {first: startup, second: inTurn(message('S', ""), message('H', ""), message('S', ""), []byte(goodbye))},
	"extended-protocol": {first: startup, second: inTurn(message('P', "\x00select 1\x00\x00\x00"), message('B', "\x00\x00\x00\x00\x00\x00\x00\x00"),
		message('E', "\x00\x00\x00\x00\x00"), message('S', ""), message('F', ""), queries("in vain"))},
	"message-too-long":       {first: startup, second: []byte("Q\x7f\xff\xff\xff")},
	"message-too-short":      {first: startup, second: []byte("Q\x00\x00\x00\x03")},
	"query-without-end":      {first: startup, second: inTurn(message('Q', "SELECT 1"), message('Q', ""), []byte(goodbye))},
	"query-with-a-zero-byte": {first: startup, second: inTurn(message('Q', "SEL\x00ECT 1\x00"), []byte(goodbye))},
	"statements-unread": {first: startup, second: queries("SELECT 1", "SELECT 1 /* open", "/* id=1,c=read,d=5,cluster=1 */ SELECT 1",
		"SELECT 1 /* id=1,c=read,cluster=1 */", "SELECT 1 /* id=1,c=read,d=x,cluster=1 */", "SELECT 1 /* id=1,c=read,d=5,cluster=x */",
		"SELECT 1 /* id=1,c=read,d=5,cluster=1,odd */", "SELECT 1 /* id=1,c=read,d="+strings.Repeat("9", 300)+"x,cluster=1 */")},
	"statements-of-no-class": {first: startup, second: queries("SELECT 1 /* id=1,c=unknown \"class\",d=5,cluster=1 */", "INSERT INTO items /* id=1,c=read,d=5,cluster=1 */",
		"SELECT 1 /* id=1,c=write,k=a,d=5,cluster=1 */", "INSERT INTO items /* id=1,c=write,d=5,cluster=1 */")},
	"answers": {first: startup, second: queries(statement(1, groupText), statement(2, groupBinary), statement(3, groupRefused),
		statement(4, groupRefusedWithoutAdvice), statement(5, groupFailed))},
	"writes": {first: startup, second: queries("INSERT INTO items VALUES ('a') /* id=1,c=write,k=key,d=900.5,cluster=1 */", "update items /* id=2,c=write,k=key,d=99999999,cluster=2 */",
		"  select 1 /* id=3 , c=session , d= 0 , cluster=1 */;", "SELECT 'a' /* id=4,c=session,d=1,cluster=1 */", "SELECT '' /* id=5,c=fresh,d=1,cluster=2 */")},
	"cancelled":     {first: startup, second: queries(statement(1, groupSilent), "SELECT 1 /* id=2,c=marker,d=480,cluster=1 */"), cancels: true},
	"the-same-id":   {first: startup, second: queries(statement(2, groupSilent), "SELECT 1 /* id=2,c=marker,d=480,cluster=1 */"), cancels: true},
	"out-of-memory": {first: startup, second: queries(statement(1, groupSilent), statement(2, groupText)+strings.Repeat(" ", 5000), "SELECT 1 /* id=3,c=marker,d=480,cluster=1 */"), cancels: true, memoryMB: 0.02},
	"after-goodbye": {first: startup, second: inTurn([]byte(goodbye), queries(statement(1, groupText)))},
	"all-at-once":   {first: inTurn(startup, queries(statement(1, groupText), ""))},
}

// server is a front whose requests are answered at once, as their groups say.
type server struct {
	t      *testing.T
	clock  *clock.Clock
	loop   *clock.Loop
	budget *netio.DescriptorBudget
	front  *front.Server
	marked chan struct{} // a statement of the class "marker" was read
	log    bytes.Buffer  // of requests
}

func newServer(t *testing.T, memoryMB float64) *server {
	t.Helper()
	s := &server{t: t, clock: clock.Manual(1.7e12), budget: netio.NewDescriptorBudget(100), marked: make(chan struct{}, 1)}
	s.loop = clock.NewLoop(s.clock)
	var err error
	if s.front, err = front.Listen("127.0.0.1:0", s.loop, s.budget, memoryMB, s); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.front.Serve() }()
	return s
}

func (s *server) takeAllClients() {
	s.loop.Do(func() {
		for s.budget.TakeClient() {
		}
	})
}

// limitDescriptors returns what leaves clients few sockets.
func limitDescriptors(n int) func(*server) {
	return func(s *server) { s.loop.Do(func() { s.budget.Resize(n) }) }
}

// connectAnother connects one more client, for good.
func (s *server) connectAnother() {
	c := s.dial()
	s.t.Cleanup(func() { _ = c.Close() })
	s.send(c, startup)
	s.readUntilReady(c)
}

func (s *server) drain() { s.loop.Do(s.front.Drain) }

// drainForLong drains so long that what comes now came after the beginning.
func (s *server) drainForLong() {
	s.drain()
	s.clock.Set(s.clock.Now() + 1000)
}

// Class is called inside Do.
func (s *server) Class(name []byte) (router.Class, bool) {
	switch string(name) {
	case "read":
		return router.Class{Number: 1}, true
	case "write":
		return router.Class{Number: 2, Write: true, NeedsIdempotencyKey: true}, true
	case "session":
		return router.Class{Number: 3, Session: true}, true
	case "fresh":
		return router.Class{Number: 4, Fresh: true}, true
	case "marker":
		s.marked <- struct{}{}
		return router.Class{Number: 5}, true
	}
	return router.Class{}, false
}

// Submit logs the request and has it answered behind the event at hand.
func (s *server) Submit(r router.Request, from router.Client, client slotmap.Handle) slotmap.Handle {
	s.number(0, uint64(len(r.Statement.Text)))
	s.log.Write(r.Statement.Text)
	s.number(uint64(r.Statement.WaitFrom), uint64(r.Statement.WaitTo), uint64(r.Class), uint64(r.Group), r.Session)
	s.number(math.Float64bits(r.SessionCommitAt), math.Float64bits(r.TimeLeft))
	if r.Group != groupSilent {
		s.loop.Post(func() { from.Answer(client, answerOf(r.Group)) })
	}
	return slotmap.Handle{Slot: 7, Gen: 7}
}

// Lapse logs that a request is given up.
func (s *server) ClientCancelled(request slotmap.Handle) { s.number(1, uint64(request.Slot)) }

func (s *server) number(values ...uint64) {
	for _, v := range values {
		_ = binary.Write(&s.log, binary.BigEndian, v) // a buffer never fails
	}
}

// requests returns what was logged so far.
func (s *server) requests() (log string) {
	s.loop.Do(func() { log = hex.EncodeToString(s.log.Bytes()) })
	return log
}

func answerOf(group int) router.Answer {
	switch group {
	case groupText:
		return router.Answer{Verdict: router.Served, Row: &router.Row{Column: []byte("doc"), Type: 25, Size: -1, Value: []byte("value"), Tag: []byte("SELECT 1")}}
	case groupBinary:
		return router.Answer{Verdict: router.Served, Row: &router.Row{Column: []byte("n"), Type: 23, Size: 4, Binary: true, Value: []byte{0, 0, 0, 9}, Tag: []byte("UPDATE 1")}}
	case groupRefused:
		return router.Answer{Verdict: router.Rejected, RetryAfter: 250.9}
	case groupRefusedWithoutAdvice:
		return router.Answer{Verdict: router.Rejected}
	}
	return router.Answer{Verdict: router.Failed}
}

// dialogue runs one connection up to its end and returns all that was heard,
// without the secret, which is another for each.
func (s *server) dialogue(d dialogue) []byte {
	s.t.Helper()
	c := s.dial()
	defer c.Close()
	s.send(c, d.first)
	var heard []byte
	if d.second != nil {
		heard = s.readUntilReady(c)
	}
	if d.between != nil {
		d.between(s)
	}
	s.send(c, d.second)
	if d.cancels {
		<-s.marked
		s.cancel(heard)
	}
	if d.passes {
		defer s.passTime()()
	}
	rest, err := io.ReadAll(c)
	if err != nil {
		s.t.Error(err)
	}
	return withoutSecret(append(heard, rest...))
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.front.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	return c
}

func (s *server) send(c net.Conn, b []byte) {
	s.t.Helper()
	if _, err := c.Write(b); err != nil {
		s.t.Fatal(err)
	}
}

// readUntilReady reads up to the first ReadyForQuery.
func (s *server) readUntilReady(c net.Conn) (heard []byte) {
	s.t.Helper()
	ready := wire.AppendReady(nil)
	for one := make([]byte, 1); !bytes.HasSuffix(heard, ready); heard = append(heard, one[0]) {
		if _, err := io.ReadFull(c, one); err != nil {
			s.t.Fatal(err)
		}
	}
	return heard
}

// passTime lets time pass in steps until the returned function is called.
func (s *server) passTime() (stop func()) {
	const step = 100
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				s.clock.Set(s.clock.Now() + step)
				s.loop.Fire()
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// cancel first names a wrong secret, which must not cancel anything: the log
// tells what came before the right one.
func (s *server) cancel(greeting []byte) {
	s.t.Helper()
	at := keyDataAt(greeting)
	process, secret := binary.BigEndian.Uint32(greeting[at:]), binary.BigEndian.Uint32(greeting[at+4:])
	for _, shown := range []uint32{secret + 1, secret} {
		c := s.dial()
		s.loop.Do(func() { s.number(2) })
		s.send(c, firstMessage(wire.CancelRequest, process, shown))
		if heard, err := io.ReadAll(c); len(heard) > 0 || err != nil {
			s.t.Errorf("in answer to a cancellation: %x, %v", heard, err)
		}
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			s.t.Error(err)
		}
	}
}

// keyDataAt returns where the body of the BackendKeyData stands, 0 if there is
// none.
func keyDataAt(heard []byte) int {
	if at := bytes.Index(heard, []byte("K\x00\x00\x00\x0c")); at >= 0 {
		return at + wire.HeaderLen
	}
	return 0
}

func withoutSecret(heard []byte) []byte {
	if at := keyDataAt(heard); at > 0 {
		clear(heard[at+4 : at+8])
	}
	return heard
}

// clientGone has a client go whose statement is under way, and returns what the
// router got.
func (s *server) clientGone() string {
	s.t.Helper()
	c := s.dial()
	s.send(c, startup)
	s.readUntilReady(c)
	s.send(c, wire.AppendQuery(nil, []byte(statement(1, groupSilent))))
	submitted := s.waitForMore("")
	if err := c.Close(); err != nil {
		s.t.Error(err)
	}
	return s.waitForMore(submitted)
}

// waitForMore waits until the log of requests is another.
func (s *server) waitForMore(before string) (log string) {
	for log = s.requests(); log == before; log = s.requests() {
		runtime.Gosched()
	}
	return log
}
