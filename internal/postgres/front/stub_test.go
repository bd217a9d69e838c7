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

// testMemoryMB is the memory limit of the tests' router.
const testMemoryMB = 8

// stubRouter takes every statement and answers when the test says, on a manual
// clock.
type stubRouter struct {
	t         *testing.T
	clock     *clock.Clock
	loop      *clock.Loop
	server    *Server
	submitted []submittedStatement // in the order in which they came
	cancelled int
}

type submittedStatement struct {
	text     string
	from     router.Client
	client   slotmap.Handle
	timeLeft float64 // milliseconds
}

// Class knows writes, w, fresh reads, f, reads of a session, s, and reads that
// any replica may serve, x.
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

func newStub(t *testing.T, descriptors int) *stubRouter {
	t.Helper()
	s := &stubRouter{t: t, clock: clock.Manual(1000)}
	s.loop = clock.NewLoop(s.clock)
	budget := netio.NewDescriptorBudget(descriptors)
	var err error
	if s.server, err = Listen("127.0.0.1:0", s.loop, budget, testMemoryMB, s); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.server.Serve() }()
	t.Cleanup(func() { // its sockets and memory are not kept for later tests
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.server.events.Shutdown(ctx)
	})
	return s
}

// bookedBytes returns how many bytes are booked for clients. It runs inside Do.
func (s *stubRouter) bookedBytes() int {
	return s.server.queuedMemory.Used() + s.server.unreadMemory.Used()
}

// waitUntil waits until a condition on the server's state holds.
func (s *stubRouter) waitUntil(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		s.loop.Do(func() { ok = holds() })
	}
}

// waitSubmitted waits until n statements were submitted.
func (s *stubRouter) waitSubmitted(n int) { s.waitUntil(func() bool { return len(s.submitted) >= n }) }

// waitClosed waits until every connection has ended.
func (s *stubRouter) waitClosed() {
	s.waitUntil(func() bool {
		clients, closing := s.server.ClientCounts()
		return clients+closing == 0
	})
}

// waitQueued waits until n statements were submitted, and the only client has
// queued commands that are not answered.
func (s *stubRouter) waitQueued(submitted, queued int) {
	s.waitUntil(func() bool { return len(s.submitted) == submitted && s.onlyClient().queue.Len() == queued })
}

// answer serves the statement submitted n-th.
func (s *stubRouter) answer(n int) {
	s.loop.Do(func() {
		row := &router.Row{Column: []byte("doc"), Value: fmt.Append(nil, "value", n), Tag: []byte("SELECT 1")}
		answered := s.submitted[n]
		answered.from.Answer(answered.client, router.Answer{Verdict: router.Served, Row: row})
	})
}

// advance lets the given milliseconds pass.
func (s *stubRouter) advance(millis float64) {
	s.clock.Set(s.clock.Now() + millis)
	s.loop.Fire()
}

// onlyClient returns the one client there is, nil if there is none.
func (s *stubRouter) onlyClient() (only *client) {
	s.server.clients.Each(func(_ slotmap.Handle, c *client) { only = c })
	return only
}

// testClient is a client's end of a connection.
type testClient struct {
	t    *testing.T
	conn *net.TCPConn
	in   *bufio.Reader
}

// dial opens a connection and sends nothing.
func (s *stubRouter) dial() *testClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.server.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return &testClient{t: s.t, conn: conn.(*net.TCPConn), in: bufio.NewReader(conn)}
}

// connect opens a connection, up to its first ReadyForQuery.
func (s *stubRouter) connect() *testClient {
	s.t.Helper()
	peer := s.dial()
	peer.write(wire.AppendStartup(nil, "app", "shop"))
	peer.readUntil("Z")
	return peer
}

func (peer *testClient) write(b []byte) {
	peer.t.Helper()
	if _, err := peer.conn.Write(b); err != nil {
		peer.t.Fatal(err)
	}
}

// readQuery is a query that any replica may serve.
func readQuery(id int) []byte {
	return wire.AppendQuery(nil, fmt.Appendf(nil, "SELECT 1 /* id=%d,c=x,d=900,cluster=1 */", id))
}

// writeQuery is a query that runs after the writes before it.
func writeQuery(id int) []byte {
	return wire.AppendQuery(nil, fmt.Appendf(nil, "INSERT INTO items /* id=%d,c=w,d=900,cluster=1 */", id))
}

// largeQuery is a write of a value of that many bytes.
func largeQuery(id, size int) []byte {
	value := strings.Repeat("ab", size)
	return wire.AppendQuery(nil, fmt.Appendf(nil,
		"INSERT INTO items VALUES ('\\x%s') /* id=%d,c=w,d=900,cluster=1 */", value, id))
}

// What readMessage returns for the end of a connection.
const (
	endOfConnection = "end"
	resetConnection = "reset"
)

// noSuchMessage has readUntil read up to the end of the connection.
const noSuchMessage = "no such message"

// readMessage returns the next message, as its kind and body, or how the
// connection ended.
func (peer *testClient) readMessage() string {
	header := make([]byte, wire.HeaderLen)
	_, err := io.ReadFull(peer.in, header)
	switch {
	case errors.Is(err, io.EOF):
		return endOfConnection
	case err != nil:
		return resetConnection
	}
	body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	if _, err := io.ReadFull(peer.in, body); err != nil {
		return resetConnection
	}
	return string(header[0]) + string(body)
}

// readUntil reads up to a message of the given kind, or the connection's end,
// and returns all messages.
func (peer *testClient) readUntil(kind string) (all string) {
	for {
		message := peer.readMessage()
		all += message + " "
		if strings.HasPrefix(message, kind) || message == endOfConnection || message == resetConnection {
			return all
		}
	}
}

// expect fails the test unless got holds all parts in their order.
func (peer *testClient) expect(got string, parts ...string) {
	peer.t.Helper()
	at := 0
	for _, part := range parts {
		i := strings.Index(got[at:], part)
		if i < 0 {
			peer.t.Fatalf("got %q, want %q in it", got, parts)
		}
		at += i + len(part)
	}
}
