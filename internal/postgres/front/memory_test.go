package front

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// TestLongAndManyQueuedStatementsAreAnswered checks that the memory limits admit
// valid load: statements with values of the maximum length and many statements
// behind a running one are all answered.
func TestLongAndManyQueuedStatementsAreAnswered(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	b := writeQuery(0)
	for n := range 3 {
		b = append(b, largeQuery(1+n, 64<<10)...)
	}
	for n := range 600 {
		b = append(b, writeQuery(4+n)...)
	}
	go func() { _, _ = remote.conn.Write(b) }()
	for n := range 604 {
		stub.waitSubmitted(n + 1)
		stub.answer(n)
		remote.expect(remote.readUntil("Z"), fmt.Sprint("value", n))
	}
}

// TestMemoryLimitsConcurrentStatements checks that statements run concurrently only
// while memory can be reserved for their answers, and that the oldest statement of
// each connection always runs.
func TestMemoryLimitsConcurrentStatements(t *testing.T) {
	const clients = 4
	stub := newStub(t, 100)
	for n := range clients {
		remote := stub.connect()
		var b []byte
		for i := range pipeline.Window {
			b = append(b, readQuery(1000*n+i)...)
		}
		remote.write(b)
	}
	stub.waitUntil(func() bool {
		read := 0
		for n := range clients {
			if c := stub.server.clients.AtSlot(uint32(n)); c != nil {
				read += c.queue.Commands()
			}
		}
		return read == clients*pipeline.Window
	})
	stub.loop.Do(func() {
		limit := clients + testMemoryMiB*(1<<20)/5/answerReserveBytes
		if n := len(stub.submitted); n < clients || n > limit {
			t.Errorf("%d statements running, want at least %d and at most %d", n, clients, limit)
		}
		for n := range clients {
			if stub.server.clients.AtSlot(uint32(n)).queue.FirstRunning() == nil {
				t.Errorf("client %d has no running statement", n)
			}
		}
	})
}

// TestFloodOfStatementsIsRejectedInOrder checks that if clients send more statements
// than the memory budget holds, each statement is answered in order, some of them
// with a rejection, and the memory in use stays within the limit.
func TestFloodOfStatementsIsRejectedInOrder(t *testing.T) {
	const clients = 4
	const statements = 2500 // per client
	stub := newStub(t, 100)
	var remotes []*testClient
	for n := range clients {
		remote := stub.connect()
		remotes = append(remotes, remote)
		var b []byte
		for range statements {
			b = append(b, writeQuery(n)...)
		}
		go func() { _, _ = remote.conn.Write(b) }()
	}
	limit := testMemoryMiB * (1 << 20) / 4
	stub.waitSubmitted(clients)
	stub.waitUntil(func() bool { // everything is read, most of it with the budget exhausted
		if used := stub.reservedBytes(); used > limit {
			t.Errorf("%d bytes reserved, want at most %d", used, limit)
		}
		read := 0
		for n := range clients {
			c := stub.server.clients.AtSlot(uint32(n))
			if c != nil && c.unreadBytes == 0 && c.queue.Commands() == statements {
				read++
			}
		}
		return read == clients
	})
	go func() { // answers every submitted statement
		for n := 0; ; n++ {
			done := false
			stub.loop.Do(func() { done = stub.reservedBytes() == 0 })
			if done {
				return
			}
			stub.waitUntil(func() bool { return len(stub.submitted) > n || stub.reservedBytes() == 0 })
			stub.loop.Do(func() {
				if n < len(stub.submitted) {
					stub.server.Answer(stub.submitted[n].client, router.Answer{Verdict: router.Failed})
				}
			})
		}
	}()
	rejected := 0
	for _, remote := range remotes {
		for range statements {
			if strings.Contains(remote.readUntil("Z"), "53300") {
				rejected++
			}
		}
	}
	if rejected == 0 {
		t.Error("no statement was rejected, want some: the memory budget was not exhausted")
	}
}

// TestLongStatementsOfManyClientsAreBounded checks that clients that each send one
// long statement cannot exceed the memory budget: those past it are rejected, while
// a short statement is always accepted.
func TestLongStatementsOfManyClientsAreBounded(t *testing.T) {
	const valueBytes = 64 << 10
	const charactersPerByte = 2
	const copies = 2 // the statement's text, and the message to its endpoint
	stub := newStub(t, 100)
	budget := testMemoryMiB * (1 << 20) / 5
	fitting := budget / (copies * charactersPerByte * valueBytes)
	for n := range fitting {
		stub.connect().write(largeQuery(n, valueBytes))
		stub.waitSubmitted(n + 1)
	}
	remote := stub.connect()
	remote.write(largeQuery(fitting, valueBytes))
	_ = remote.conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // an accepted one is not answered
	remote.expect(remote.readUntil("Z"), "53300")
	remote.write(writeQuery(fitting + 1))
	stub.waitSubmitted(fitting + 1)
	stub.loop.Do(func() {
		if c := stub.server.clients.AtSlot(uint32(fitting)); c.unreadBytes != 0 || c.partial {
			t.Errorf("%d bytes reserved for unread input, partial %v, want none after a rejected statement",
				c.unreadBytes, c.partial)
		}
	})
	stub.loop.Do(func() {
		if used := stub.server.queuedMemory.Used(); used > budget {
			t.Errorf("%d bytes reserved for statements, want at most %d", used, budget)
		}
	})
}

// TestFloodOfMessagesEndsConnection checks that a flood of messages whose answers
// cannot be merged ends the connection once the memory budget is exhausted, after
// the answers to earlier statements.
func TestFloodOfMessagesEndsConnection(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(readQuery(1))
	stub.waitSubmitted(1)
	flood := strings.Repeat("S\x00\x00\x00\x04Q\x00\x00\x00\x05\x00", testMemoryMiB*(1<<20)/commandOverheadBytes)
	go func() { _, _ = remote.conn.Write([]byte(flood)) }()
	stub.waitUntil(func() bool { return stub.onlyClient().discarding })
	stub.loop.Do(func() {
		if used := stub.reservedBytes(); used > testMemoryMiB*(1<<20)/2 {
			t.Errorf("%d bytes reserved, want at most half of the memory limit", used)
		}
	})
	stub.answer(0)
	remote.expect(remote.readUntil(noSuchMessage), "value0", "53200")
}

// TestErrorsOfLongStatementsAreTruncated checks that a queued error reserves little
// memory even if it quotes a long statement.
func TestErrorsOfLongStatementsAreTruncated(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for _, comment := range []string{
		"id=1,c=x,d=9,cluster=" + long, "id=1,c=x,cluster=1,d=" + long, long,
	} {
		stub := newStub(t, 100)
		remote := stub.connect()
		remote.write(append(writeQuery(1), wire.AppendQuery(nil, []byte("SELECT 1 /* "+comment+" */"))...))
		stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 2 })
		stub.loop.Do(func() {
			if reserved := stub.reservedBytes(); reserved > 2<<10 {
				t.Errorf("%.30q: %d bytes reserved, want at most 2048", comment, reserved)
			}
		})
		stub.answer(0)
		got := remote.readUntil("Z") + remote.readUntil("Z")
		if !strings.Contains(got, "42601") || len(got) > 1<<10 {
			t.Errorf("%.30q: got %d bytes of answers, %.300q, want 42601 in at most 1024 bytes", comment, len(got), got)
		}
	}
}

// bufferedConn is a connection with its input in memory. It discards writes.
type bufferedConn struct {
	netpoll.Connection
	in *netpoll.LinkBuffer
}

func (r *bufferedConn) Reader() netpoll.Reader { return r.in }

func (r *bufferedConn) Write(b []byte) (int, error) { return len(b), nil }

func (r *bufferedConn) Close() error { return nil }

// TestUnreadBytesAreBounded checks that a client whose unread input exceeds the
// memory budget is no longer served. netpoll keeps reading into the buffer
// regardless of whether the input is processed.
func TestUnreadBytesAreBounded(t *testing.T) {
	stub := newStub(t, 100)
	conn := &bufferedConn{in: netpoll.NewLinkBuffer()}
	if _, err := conn.in.WriteString(strings.Repeat("H\x00\x00\x00\x04", testMemoryMiB*(1<<20)/5)); err != nil {
		t.Fatal(err)
	}
	if err := conn.in.Flush(); err != nil {
		t.Fatal(err)
	}
	c := &client{server: stub.server, conn: netio.NewConn(conn), started: true}
	stub.loop.Do(func() { c.handle = stub.server.clients.Add(c) })
	if err := c.onData(conn); err != nil {
		t.Error(err)
	}
	if !c.discarding || !c.conn.Finishing() {
		t.Errorf("discarding = %v, Finishing() = %v, want both true", c.discarding, c.conn.Finishing())
	}
}

// TestPartialMessagesAreBounded checks that the memory budget for unread input
// covers the incomplete messages of all connections together.
func TestPartialMessagesAreBounded(t *testing.T) {
	stub := newStub(t, 100)
	limit := testMemoryMiB * (1 << 20) / 10
	part := binary.BigEndian.AppendUint32([]byte("Q"), wire.MaxBodyLen+4)
	var remotes []*testClient
	for range limit/wire.MaxBodyLen + 1 {
		remote := stub.connect()
		remote.write(part)
		remotes = append(remotes, remote)
		stub.waitUntil(func() bool { // the connections send one after another
			received := 0
			for i := range remotes {
				c := stub.server.clients.AtSlot(uint32(i))
				if c != nil && (c.partial && c.unreadBytes >= wire.MaxBodyLen || c.closing) {
					received++
				}
			}
			return received == len(remotes)
		})
	}
	last := remotes[len(remotes)-1]
	last.expect(last.readUntil(noSuchMessage), "53200", endOfConnection)
}

// Answers that are being sent count in the memory budget until the kernel has accepted
// them, and a large answer that does not fit is replaced: a read is rejected, as it can
// safely be retried, a write has failed, as it was executed.
func TestAnswersPastMemoryBudgetAreReplaced(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	large := strings.Repeat("v", 60<<10)
	answer := func(n int) {
		row := &router.Row{Column: []byte("doc"), Value: []byte(large), Tag: []byte("SELECT 1")}
		answered := stub.submitted[n]
		answered.from.Answer(answered.client, router.Answer{Verdict: router.Served, Row: row})
	}
	for n, c := range []struct {
		query    []byte
		exceeded bool
		want     string
	}{
		{query: readQuery(1), want: large},
		{query: readQuery(2), exceeded: true, want: wire.CodeTooManyConnections},
		{query: writeQuery(3), exceeded: true, want: wire.CodeQueryCanceled},
	} {
		remote.write(c.query)
		stub.waitSubmitted(n + 1)
		stub.loop.Do(func() {
			used := 0
			if c.exceeded {
				used = testMemoryMiB << 20
			}
			stub.server.queuedMemory.Reserve(used)
			before := stub.server.queuedMemory.Used()
			answer(n)
			if sending := stub.server.queuedMemory.Used() - before; !c.exceeded && sending < len(large) {
				t.Errorf("%d bytes are reserved while %d are being sent", sending, len(large))
			}
			stub.server.queuedMemory.Reserve(-used)
		})
		remote.expect(remote.readUntil("Z"), c.want)
	}
	stub.waitUntil(func() bool { return stub.reservedBytes() == 0 })
}
