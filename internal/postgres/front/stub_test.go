package front

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// testMemoryMiB is the memory limit of the servers under test.
const testMemoryMiB = 8

// stubRouter is a RequestHandler that records the submitted requests and answers
// them when the test calls answer. It runs a Server on a manual clock.
type stubRouter struct {
	t         *testing.T
	clock     *clock.Clock
	loop      *clock.Loop
	server    *Server
	submitted []submittedStatement // in order of submission
	cancelled int
}

// submittedStatement is the record of one Submit.
type submittedStatement struct {
	text     string
	from     router.Client
	client   slotmap.Handle
	timeLeft float64 // milliseconds
}

// Class accepts every name: w is a write, f a fresh read, s a read of a session,
// and any other a read that every replica may serve.
func (s *stubRouter) Class(name []byte) (router.Class, bool) {
	class := string(name)
	return router.Class{Write: class == "w", Fresh: class == "f", Session: class == "s"}, true
}

func (s *stubRouter) Submit(request router.Request, from router.Client, client slotmap.Handle) slotmap.Handle {
	s.submitted = append(s.submitted, submittedStatement{
		text:     string(request.Statement.Text),
		from:     from,
		client:   client,
		timeLeft: request.TimeLeft,
	})
	return slotmap.Handle{Slot: uint32(len(s.submitted)), Gen: 1}
}

func (s *stubRouter) ClientCancelled(slotmap.Handle) { s.cancelled++ }

// GiveUp answers a statement as rejected.
func (s *stubRouter) GiveUp(request slotmap.Handle) {
	given := s.submitted[request.Slot-1]
	given.from.Answer(given.client, router.Answer{Verdict: router.Rejected})
}

// newStub starts a server on a loopback address with a limit on descriptors.
func newStub(t *testing.T, descriptors int) *stubRouter {
	t.Helper()
	s := &stubRouter{t: t, clock: clock.Manual(1000)}
	s.loop = clock.NewLoop(s.clock)
	budget := netio.NewDescriptorBudget(descriptors)
	var err error
	if s.server, err = Listen("127.0.0.1:0", s.loop, budget, testMemoryMiB, s); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.server.Serve() }()
	t.Cleanup(func() { // frees the sockets and memory before later tests
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.server.events.Shutdown(ctx)
	})
	return s
}

// reservedBytes returns how many bytes are reserved for all clients together. It
// must be called inside Do.
func (s *stubRouter) reservedBytes() int {
	return s.server.queuedMemory.Used() + s.server.unreadMemory.Used()
}

// waitUntil blocks until holds, called inside Do, returns true.
func (s *stubRouter) waitUntil(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		s.loop.Do(func() { ok = holds() })
	}
}

// waitSubmitted blocks until at least n statements were submitted.
func (s *stubRouter) waitSubmitted(n int) { s.waitUntil(func() bool { return len(s.submitted) >= n }) }

// waitClosed blocks until every connection has ended.
func (s *stubRouter) waitClosed() {
	s.waitUntil(func() bool {
		clients, closing := s.server.ClientCounts()
		return clients+closing == 0
	})
}

// waitQueued blocks until the given number of statements were submitted and the
// only client has the given number of queue entries.
func (s *stubRouter) waitQueued(submitted, queued int) {
	s.waitUntil(func() bool { return len(s.submitted) == submitted && s.onlyClient().queue.Len() == queued })
}

// answer answers the submitted statement with index n.
func (s *stubRouter) answer(n int) {
	s.loop.Do(func() {
		row := &router.Row{Column: []byte("doc"), Value: fmt.Append(nil, "value", n), Tag: []byte("SELECT 1")}
		answered := s.submitted[n]
		answered.from.Answer(answered.client, router.Answer{Verdict: router.Served, Row: row})
	})
}

// advance sets the clock forward by the given milliseconds and runs the deadlines
// that have passed.
func (s *stubRouter) advance(millis float64) {
	s.clock.Set(s.clock.Now() + millis)
	s.loop.Fire()
}

// onlyClient returns the only client with a slot, nil if there is none. It must be
// called inside Do.
func (s *stubRouter) onlyClient() (only *client) {
	s.server.clients.Each(func(_ slotmap.Handle, c *client) { only = c })
	return only
}

// testClient is the client's end of a connection.
type testClient struct {
	t    *testing.T
	conn *net.TCPConn
	in   *bufio.Reader
}

// dial opens a connection without sending anything.
func (s *stubRouter) dial() *testClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.server.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return &testClient{t: s.t, conn: conn.(*net.TCPConn), in: bufio.NewReader(conn)}
}

// connect opens a connection and completes its startup.
func (s *stubRouter) connect() *testClient {
	s.t.Helper()
	remote := s.dial()
	remote.write(wire.AppendStartup(nil, "app", "shop"))
	remote.readUntil("Z")
	return remote
}

func (remote *testClient) write(b []byte) {
	remote.t.Helper()
	if _, err := remote.conn.Write(b); err != nil {
		remote.t.Fatal(err)
	}
}

// readQuery returns a Query message with a read that any replica may serve.
func readQuery(id int) []byte {
	return wire.AppendQuery(nil, fmt.Appendf(nil, "SELECT 1 /* id=%d,c=x,d=900,cluster=1 */", id))
}

// writeQuery returns a Query message with a write.
func writeQuery(id int) []byte {
	return wire.AppendQuery(nil, fmt.Appendf(nil, "INSERT INTO items /* id=%d,c=w,d=900,cluster=1 */", id))
}

// largeQuery returns a Query message with a write of a value of size bytes.
func largeQuery(id, size int) []byte {
	value := strings.Repeat("ab", size)
	return wire.AppendQuery(nil, fmt.Appendf(nil,
		"INSERT INTO items VALUES ('\\x%s') /* id=%d,c=w,d=900,cluster=1 */", value, id))
}

// Results of readMessage if the connection has ended.
const (
	endOfConnection = "end"
	resetConnection = "reset"
)

// noSuchMessage, passed to readUntil, matches no message, so that it reads up to the
// end of the connection.
const noSuchMessage = "no such message"

// readMessage returns the kind and body of the next message, or endOfConnection or
// resetConnection.
func (remote *testClient) readMessage() string {
	header := make([]byte, wire.HeaderLen)
	_, err := io.ReadFull(remote.in, header)
	switch {
	case errors.Is(err, io.EOF):
		return endOfConnection
	case err != nil:
		return resetConnection
	}
	body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	if _, err := io.ReadFull(remote.in, body); err != nil {
		return resetConnection
	}
	return string(header[0]) + string(body)
}

// readUntil reads up to a message that begins with kind or the end of the
// connection, and returns all messages read, each followed by a space.
func (remote *testClient) readUntil(kind string) (all string) {
	for {
		message := remote.readMessage()
		all += message + " "
		if strings.HasPrefix(message, kind) || message == endOfConnection || message == resetConnection {
			return all
		}
	}
}

// expect fails the test unless got contains all parts in the given order.
func (remote *testClient) expect(got string, parts ...string) {
	remote.t.Helper()
	at := 0
	for _, part := range parts {
		i := strings.Index(got[at:], part)
		if i < 0 {
			remote.t.Fatalf("got %q, want it to contain %q in order", got, parts)
		}
		at += i + len(part)
	}
}
