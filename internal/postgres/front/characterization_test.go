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

// update rewrites the golden file. The commit must name the deliberate change of
// behaviour that requires it.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares every byte that a client receives on each
// connection, and the requests submitted to the router, with the golden file.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, dialogue := range dialogues {
		s := newServer(t, dialogue.memoryMiB)
		if dialogue.before != nil {
			dialogue.before(s)
		}
		got["heard-"+name] = hex.EncodeToString(s.dialogue(dialogue))
		if requests := s.requests(); requests != "" {
			got["requests-"+name] = requests
		}
	}
	got["requests-gone"] = newServer(t, 0).disconnectWhileRunning()
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

// server is a front.Server with a RequestHandler that answers each request at once,
// according to its group.
type server struct {
	t      *testing.T
	clock  *clock.Clock
	loop   *clock.Loop
	budget *netio.DescriptorBudget
	front  *front.Server
	marked chan struct{} // receives a value for each statement of the class "marker"
	log    bytes.Buffer  // encoded requests and cancellations
}

// newServer starts a server on a loopback address. memoryMiB is 0 for the default.
func newServer(t *testing.T, memoryMiB float64) *server {
	t.Helper()
	s := &server{
		t:      t,
		clock:  clock.Manual(1.7e12),
		budget: netio.NewDescriptorBudget(100),
		marked: make(chan struct{}, 1),
	}
	s.loop = clock.NewLoop(s.clock)
	var err error
	if s.front, err = front.Listen("127.0.0.1:0", s.loop, s.budget, memoryMiB, s); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.front.Serve() }()
	return s
}

// takeAllClients exhausts the descriptor budget for clients.
func (s *server) takeAllClients() {
	s.loop.Do(func() {
		for s.budget.AcquireClient() {
		}
	})
}

// limitDescriptors returns a function that sets a server's descriptor limit to n.
func limitDescriptors(n int) func(*server) {
	return func(s *server) { s.loop.Do(func() { s.budget.Resize(n) }) }
}

// connectAnother connects another client, which stays connected until the test
// ends.
func (s *server) connectAnother() {
	c := s.dial()
	s.t.Cleanup(func() { _ = c.Close() })
	s.send(c, startup)
	s.readUntilReady(c)
}

// drain begins a drain.
func (s *server) drain() { s.loop.Do(s.front.Drain) }

// drainForLong begins a drain and lets its grace period pass.
func (s *server) drainForLong() {
	s.drain()
	s.clock.Set(s.clock.Now() + 1000)
}

// Class implements front.RequestHandler.
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

// Submit implements front.RequestHandler. It logs the request and answers it after
// the current event, unless its group is groupSilent.
func (s *server) Submit(r router.Request, from router.Client, client slotmap.Handle) slotmap.Handle {
	s.number(0, uint64(len(r.Statement.Text)))
	s.log.Write(r.Statement.Text)
	s.number(uint64(r.Statement.WaitFrom), uint64(r.Statement.WaitTo))
	s.number(uint64(r.Class), uint64(r.Group), r.Session)
	s.number(math.Float64bits(r.SessionCommitAt), math.Float64bits(r.TimeLeft))
	if r.Group != groupSilent {
		s.loop.Post(func() { from.Answer(client, answerOf(r.Group)) })
	}
	return slotmap.Handle{Slot: 7, Gen: 7}
}

// GiveUp implements front.RequestHandler. No script calls for it.
func (s *server) GiveUp(slotmap.Handle) { panic("GiveUp without a drain's end") }

// ClientCancelled implements front.RequestHandler. It logs the cancellation.
func (s *server) ClientCancelled(request slotmap.Handle) { s.number(1, uint64(request.Slot)) }

// number appends values to the log.
func (s *server) number(values ...uint64) {
	for _, v := range values {
		_ = binary.Write(&s.log, binary.BigEndian, v) // writing to a buffer never fails
	}
}

// requests returns the log in hexadecimal digits.
func (s *server) requests() (log string) {
	s.loop.Do(func() { log = hex.EncodeToString(s.log.Bytes()) })
	return log
}

// answerOf returns the answer to requests of a group.
func answerOf(group int) router.Answer {
	switch group {
	case groupText:
		return router.Answer{Verdict: router.Served, Row: &router.Row{
			Column: []byte("doc"),
			Type:   25,
			Size:   -1,
			Value:  []byte("value"),
			Tag:    []byte("SELECT 1"),
		}}
	case groupBinary:
		return router.Answer{Verdict: router.Served, Row: &router.Row{
			Column: []byte("n"),
			Type:   23,
			Size:   4,
			Binary: true,
			Value:  []byte{0, 0, 0, 9},
			Tag:    []byte("UPDATE 1"),
		}}
	case groupRejected:
		return router.Answer{Verdict: router.Rejected, RetryAfter: 250.9}
	case groupRejectedWithoutAdvice:
		return router.Answer{Verdict: router.Rejected}
	}
	return router.Answer{Verdict: router.Failed}
}

// dialogue runs one connection to its end and returns everything the client
// received, with the random secret replaced by zeros.
func (s *server) dialogue(d dialogue) []byte {
	s.t.Helper()
	c := s.dial()
	defer c.Close()
	s.send(c, d.first)
	var received []byte
	if d.second != nil {
		received = s.readUntilReady(c)
	}
	if d.between != nil {
		d.between(s)
	}
	s.send(c, d.second)
	if d.cancelRunning {
		<-s.marked
		s.cancel(received)
	}
	if d.timePasses {
		defer s.passTime()()
	}
	rest, err := io.ReadAll(c)
	if err != nil {
		s.t.Error(err)
	}
	return withoutSecret(append(received, rest...))
}

// dial opens a connection with a deadline of 10 s.
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

// send writes b to c.
func (s *server) send(c net.Conn, b []byte) {
	s.t.Helper()
	if _, err := c.Write(b); err != nil {
		s.t.Fatal(err)
	}
}

// readUntilReady reads up to the next ReadyForQuery and returns all bytes read.
func (s *server) readUntilReady(c net.Conn) (received []byte) {
	s.t.Helper()
	ready := wire.AppendReadyForQuery(nil)
	for one := make([]byte, 1); !bytes.HasSuffix(received, ready); received = append(received, one[0]) {
		if _, err := io.ReadFull(c, one); err != nil {
			s.t.Fatal(err)
		}
	}
	return received
}

// passTime advances the clock by 100 ms every millisecond until stop is called.
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

// cancel sends a CancelRequest with a wrong secret, which must have no effect, and
// one with the right secret. A number in the log before each shows which of them
// cancelled the request.
func (s *server) cancel(greeting []byte) {
	s.t.Helper()
	at := keyDataAt(greeting)
	process := binary.BigEndian.Uint32(greeting[at:])
	secret := binary.BigEndian.Uint32(greeting[at+4:])
	for _, presented := range []uint32{secret + 1, secret} {
		c := s.dial()
		s.loop.Do(func() { s.number(2) })
		s.send(c, firstMessage(wire.CancelRequest, process, presented))
		if received, err := io.ReadAll(c); len(received) > 0 || err != nil {
			s.t.Errorf("answer to the CancelRequest: got %x, %v, want EOF", received, err)
		}
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			s.t.Error(err)
		}
	}
}

// keyDataAt returns the offset of the body of the BackendKeyData, 0 if there is
// none.
func keyDataAt(received []byte) int {
	if at := bytes.Index(received, []byte("K\x00\x00\x00\x0c")); at >= 0 {
		return at + wire.HeaderLen
	}
	return 0
}

// withoutSecret replaces the secret in the BackendKeyData by zeros.
func withoutSecret(received []byte) []byte {
	if at := keyDataAt(received); at > 0 {
		clear(received[at+4 : at+8])
	}
	return received
}

// disconnectWhileRunning disconnects a client whose statement is running, and
// returns the log of requests.
func (s *server) disconnectWhileRunning() string {
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

// waitForMore blocks until the log of requests differs from before, and returns it.
func (s *server) waitForMore(before string) (log string) {
	for log = s.requests(); log == before; log = s.requests() {
		runtime.Gosched()
	}
	return log
}
