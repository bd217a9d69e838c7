package front

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// TestStatementsAfterFailedWriteAreNotSubmitted checks that a failed write of an
// answer releases the client: its queued statements must not run, as nobody waits
// for their answers.
func TestStatementsAfterFailedWriteAreNotSubmitted(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(append(writeQuery(1), writeQuery(2)...))
	stub.waitQueued(1, 2)
	stub.loop.Do(func() {
		c := stub.onlyClient()
		c.sending = true // holds the answer back in the queue
		c.server.Answer(stub.submitted[0].client, router.Answer{Verdict: router.Failed})
		stub.submitted = stub.submitted[:1]
		c.answersSent(errors.New("write failed"))
	})
	stub.waitUntil(func() bool { return stub.onlyClient() == nil })
	if len(stub.submitted) != 1 {
		t.Errorf("submitted %d statements, want 1", len(stub.submitted))
	}
}

// TestUnsentClientsCountsWritesInProgress checks that a client counts from the time
// of its answer until the kernel has accepted it.
func TestUnsentClientsCountsWritesInProgress(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(readQuery(1))
	stub.waitSubmitted(1)
	stub.loop.Do(func() { // the write cannot be reported as complete before this function returns
		stub.submitted[0].from.Answer(stub.submitted[0].client, router.Answer{Verdict: router.Rejected})
		if n := stub.server.UnsentClients(); n != 1 {
			t.Errorf("UnsentClients() = %d, want 1", n)
		}
	})
	stub.waitUntil(func() bool { return stub.server.UnsentClients() == 0 })
	remote.expect(remote.readUntil("Z"), "refused")
}

// blockedConn is the connection of a client that reads nothing: Write blocks until
// the connection is closed.
type blockedConn struct {
	bufferedConn
	closed chan struct{}
	once   sync.Once
}

func (s *blockedConn) Write([]byte) (int, error) {
	<-s.closed
	return 0, errors.New("closed")
}

func (s *blockedConn) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// isClosed reports whether the connection was closed.
func (s *blockedConn) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// blockedClient adds a client that reads nothing and has sent the given number of
// reads.
func (s *stubRouter) blockedClient(statements int) (*client, *blockedConn) {
	blocked := &blockedConn{bufferedConn: bufferedConn{in: netpoll.NewLinkBuffer()}, closed: make(chan struct{})}
	c := &client{server: s.server, conn: netio.NewConn(blocked), started: true}
	s.loop.Do(func() {
		s.server.budget.AcquireClient()
		c.handle = s.server.clients.Add(c)
		for n := range statements {
			if err := c.receive(wire.Query, readQuery(n)[wire.HeaderLen:]); err != nil {
				s.t.Fatal(err)
			}
		}
	})
	return c, blocked
}

// TestFloodAfterProtocolErrorKeepsEarlierAnswer checks that a client that keeps
// sending after a protocol error is disconnected, but only after the kernel has
// accepted the answer to its earlier statement.
func TestFloodAfterProtocolErrorKeepsEarlierAnswer(t *testing.T) {
	stub := newStub(t, 100)
	c, blocked := stub.blockedClient(1)
	flood := func() {
		if _, err := blocked.in.WriteString(strings.Repeat("x", maxDiscardedBytes+1)); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(blocked.in.Flush(), c.onData(blocked)); err != nil {
			t.Fatal(err)
		}
	}
	stub.loop.Do(func() {
		c.discarding = true
		c.receiveError(errIncompleteMessage)
	})
	flood()
	stub.answer(0) // its write blocks
	flood()
	if blocked.isClosed() {
		t.Error("connection closed before the answer was written")
	}
	stub.loop.Do(func() {
		if !c.closing || !c.sending {
			t.Errorf("closing = %v, sending = %v, want both true", c.closing, c.sending)
		}
		c.sending = false // as if the answer was written
	})
	flood()
	<-blocked.closed
}

// TestClientThatReadsNothingIsDisconnected checks that a client whose answers
// cannot be written is disconnected after writeTimeoutMs, that its memory is
// released and that its running statement is cancelled.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	stub := newStub(t, 100)
	c, _ := stub.blockedClient(3)
	stub.answer(0)
	stub.answer(1)
	stub.loop.Do(func() {
		if !c.sending || c.queue.Len() != 2 {
			t.Errorf("sending = %v with %d queued commands, want true with 2", c.sending, c.queue.Len())
		}
		if len(stub.submitted) != 3 {
			t.Errorf("submitted %d statements, want 3", len(stub.submitted))
		}
	})
	stub.advance(writeTimeoutMs)
	stub.waitUntil(func() bool {
		return stub.onlyClient() == nil && stub.reservedBytes() == 0 && stub.cancelled == 1
	})
}

// TestLastAnswerHasWriteTimeoutThenCloseTimeout checks that the last answer of a
// connection that is being ended has writeTimeoutMs to be written, that the client
// then has closeTimeoutMs to close, and that the connection is not evicted while
// the answer is being written.
func TestLastAnswerHasWriteTimeoutThenCloseTimeout(t *testing.T) {
	stub := newStub(t, 100)
	c, blocked := stub.blockedClient(1)
	stub.loop.Do(func() { c.receiveError(errIncompleteMessage) })
	stub.answer(0)
	expectTimeout := func(want float64) { // checks the only deadline
		t.Helper()
		if at, _ := stub.loop.Next(); at != stub.clock.Now()+want {
			t.Errorf("next deadline in %v ms, want %v ms", at-stub.clock.Now(), want)
		}
	}
	expectTimeout(writeTimeoutMs)
	stub.loop.Do(func() {
		if !c.closing || !c.sending {
			t.Fatalf("closing = %v, sending = %v, want both true", c.closing, c.sending)
		}
		if stub.server.evictOne() {
			t.Error("evictOne() = true while the answer is being written, want false")
		}
	})
	stub.advance(writeTimeoutMs - 1)
	stub.loop.Do(func() { c.answersSent(nil) })
	expectTimeout(closeTimeoutMs)
	stub.advance(closeTimeoutMs)
	stub.waitUntil(blocked.isClosed)
}
