package front

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// The bounds on memory allow what a client may send: values of the greatest length
// and many statements behind a running one are all answered.
func TestLongAndManyStatementsBehindRunningOne(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	b := writeQuery(0)
	for n := range 3 {
		b = append(b, largeQuery(1+n, 64<<10)...)
	}
	for n := range 600 {
		b = append(b, writeQuery(4+n)...)
	}
	go func() { _, _ = peer.conn.Write(b) }()
	for n := range 604 {
		stub.waitSubmitted(n + 1)
		stub.answer(n)
		peer.expect(peer.readUntil("Z"), fmt.Sprint("value", n))
	}
}

// Statements run concurrently only as far as there is memory for their answers;
// the oldest of each connection always runs.
func TestMemoryBoundsConcurrentStatements(t *testing.T) {
	const clients = 4
	stub := newStub(t, 100)
	for n := range clients {
		peer := stub.connect()
		var b []byte
		for i := range pipeline.Window {
			b = append(b, readQuery(1000*n+i)...)
		}
		peer.write(b)
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
		limit := clients + testMemoryMB*(1<<20)/5/answerReserve
		if n := len(stub.submitted); n < clients || n > limit {
			t.Errorf("%d statements run, want at least %d and at most %d", n, clients, limit)
		}
		for n := range clients {
			if stub.server.clients.AtSlot(uint32(n)).queue.FirstRunning() == nil {
				t.Errorf("client %d waits", n)
			}
		}
	})
}

// Of connections that send more than memory holds, each statement is answered in
// its turn, rejected where memory was short, and memory stays bounded.
func TestFloodOfStatementsIsRejectedInTurn(t *testing.T) {
	const clients = 4
	const statements = 2500 // of each client
	stub := newStub(t, 100)
	var peers []*testClient
	for n := range clients {
		peer := stub.connect()
		peers = append(peers, peer)
		var b []byte
		for range statements {
			b = append(b, writeQuery(n)...)
		}
		go func() { _, _ = peer.conn.Write(b) }()
	}
	limit := testMemoryMB * (1 << 20) / 4
	stub.waitSubmitted(clients)
	stub.waitUntil(func() bool { // all was read, and memory was short for most of it
		if used := stub.bookedBytes(); used > limit {
			t.Errorf("%d bytes are booked, want %d at most", used, limit)
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
	go func() { // answers whatever is submitted
		for n := 0; ; n++ {
			done := false
			stub.loop.Do(func() { done = stub.bookedBytes() == 0 })
			if done {
				return
			}
			stub.waitUntil(func() bool { return len(stub.submitted) > n || stub.bookedBytes() == 0 })
			stub.loop.Do(func() {
				if n < len(stub.submitted) {
					stub.server.Answer(stub.submitted[n].client, router.Answer{Verdict: router.Failed})
				}
			})
		}
	}()
	rejected := 0
	for _, peer := range peers {
		for range statements {
			if strings.Contains(peer.readUntil("Z"), "53300") {
				rejected++
			}
		}
	}
	if rejected == 0 {
		t.Error("no statement was rejected: memory was not short")
	}
}

// A flood of messages whose answers cannot be merged ends its connection, in its
// turn, once memory is short.
func TestFloodOfMessagesEndsConnection(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(readQuery(1))
	stub.waitSubmitted(1)
	flood := strings.Repeat("S\x00\x00\x00\x04Q\x00\x00\x00\x05\x00", testMemoryMB*(1<<20)/commandSize)
	go func() { _, _ = peer.conn.Write([]byte(flood)) }()
	stub.waitUntil(func() bool { return stub.onlyClient().discarding })
	stub.loop.Do(func() {
		if used := stub.bookedBytes(); used > testMemoryMB*(1<<20)/2 {
			t.Errorf("%d bytes are booked", used)
		}
	})
	stub.answer(0)
	peer.expect(peer.readUntil(noSuchMessage), "value0", "53200")
}

// An error that waits for its turn occupies little memory, however long the
// statement is that it quotes.
func TestErrorsQuoteLittleOfStatement(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for _, comment := range []string{
		"id=1,c=x,d=9,cluster=" + long, "id=1,c=x,cluster=1,d=" + long, long,
	} {
		stub := newStub(t, 100)
		peer := stub.connect()
		peer.write(append(writeQuery(1), wire.AppendQuery(nil, []byte("SELECT 1 /* "+comment+" */"))...))
		stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 2 })
		stub.loop.Do(func() {
			if booked := stub.bookedBytes(); booked > 2<<10 {
				t.Errorf("%.30q: %d bytes are booked", comment, booked)
			}
		})
		stub.answer(0)
		got := peer.readUntil("Z") + peer.readUntil("Z")
		if !strings.Contains(got, "42601") || len(got) > 1<<10 {
			t.Errorf("%.30q: %d bytes of answers: %.300q", comment, len(got), got)
		}
	}
}

// readAhead is a connection of which much was received, and that drops writes.
type readAhead struct {
	netpoll.Connection
	in *netpoll.LinkBuffer
}

func (r *readAhead) Reader() netpoll.Reader { return r.in }

func (r *readAhead) Write(b []byte) (int, error) { return len(b), nil }

func (r *readAhead) Close() error { return nil }

// The poller reads on whatever becomes of the bytes: a client that has sent more
// than memory holds is not served any more.
func TestUnreadBytesAreBounded(t *testing.T) {
	stub := newStub(t, 100)
	conn := &readAhead{in: netpoll.NewLinkBuffer()}
	if _, err := conn.in.WriteString(strings.Repeat("H\x00\x00\x00\x04", testMemoryMB*(1<<20)/5)); err != nil {
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
		t.Errorf("discarding %v, finishing %v, want both", c.discarding, c.conn.Finishing())
	}
}

// Partial messages of many connections are bounded together.
func TestPartialMessagesAreBounded(t *testing.T) {
	stub := newStub(t, 100)
	limit := testMemoryMB * (1 << 20) / 10
	part := binary.BigEndian.AppendUint32([]byte("Q"), wire.MaxBodyLen+4)
	var peers []*testClient
	for range limit/wire.MaxBodyLen + 1 {
		peer := stub.connect()
		peer.write(part)
		peers = append(peers, peer)
		stub.waitUntil(func() bool { // each after the one before
			received := 0
			for i := range peers {
				c := stub.server.clients.AtSlot(uint32(i))
				if c != nil && (c.partial && c.unreadBytes >= wire.MaxBodyLen || c.closing) {
					received++
				}
			}
			return received == len(peers)
		})
	}
	last := peers[len(peers)-1]
	last.expect(last.readUntil(noSuchMessage), "53200", endOfConnection)
}
