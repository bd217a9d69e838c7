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

// An answer that could not be written shows that the client has gone or is cut
// off: what it sent ahead must not be submitted.
func TestNothingSubmittedAfterUnsentAnswer(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(append(writeQuery(1), writeQuery(2)...))
	stub.waitQueued(1, 2)
	stub.loop.Do(func() {
		c := stub.onlyClient()
		c.sending = true // so that the answer waits
		c.server.Answer(stub.submitted[0].client, router.Answer{Verdict: router.Failed})
		stub.submitted = stub.submitted[:1]
		c.answersSent(errors.New("not written"))
	})
	stub.waitUntil(func() bool { return stub.onlyClient() == nil })
	if len(stub.submitted) != 1 {
		t.Errorf("%d statements were submitted", len(stub.submitted))
	}
}

// A client counts as unsent from its answer until that is written to the system.
func TestUnsentCountsAnswersInProgress(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(readQuery(1))
	stub.waitSubmitted(1)
	stub.loop.Do(func() { // the end of the write is recorded inside the loop, after this
		stub.submitted[0].from.Answer(stub.submitted[0].client, router.Answer{Verdict: router.Rejected})
		if n := stub.server.UnsentClients(); n != 1 {
			t.Errorf("%d clients have unsent answers, want 1", n)
		}
	})
	stub.waitUntil(func() bool { return stub.server.UnsentClients() == 0 })
	peer.expect(peer.readUntil("Z"), "refused")
}

// stuckConn is the connection of a client that reads nothing: a write waits
// until the connection is closed.
type stuckConn struct {
	readAhead
	closed chan struct{}
	once   sync.Once
}

func (s *stuckConn) Write([]byte) (int, error) {
	<-s.closed
	return 0, errors.New("closed")
}

func (s *stuckConn) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// isClosed reports whether the connection was closed.
func (s *stuckConn) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// stuckClient adds a client that reads nothing, with that many running statements.
func (s *stubRouter) stuckClient(statements int) (*client, *stuckConn) {
	stuck := &stuckConn{readAhead: readAhead{in: netpoll.NewLinkBuffer()}, closed: make(chan struct{})}
	c := &client{server: s.server, conn: netio.NewConn(stuck), started: true}
	s.loop.Do(func() {
		s.server.budget.AcquireClient()
		c.handle = s.server.clients.Add(c)
		for n := range statements {
			if err := c.receive(wire.Query, readQuery(n)[wire.HeaderLen:]); err != nil {
				s.t.Fatal(err)
			}
		}
	})
	return c, stuck
}

// A client that goes on sending after it broke the protocol is cut off, but not
// before the answer to what came before is written to the system.
func TestFloodAfterErrorDoesNotCostTheAnswer(t *testing.T) {
	stub := newStub(t, 100)
	c, stuck := stub.stuckClient(1)
	flood := func() {
		if _, err := stuck.in.WriteString(strings.Repeat("x", maxDiscarded+1)); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(stuck.in.Flush(), c.onData(stuck)); err != nil {
			t.Fatal(err)
		}
	}
	stub.loop.Do(func() {
		c.discarding = true
		c.receiveError(errPartial)
	})
	flood()
	stub.answer(0) // its write is in progress
	flood()
	if stuck.isClosed() {
		t.Error("cut off before its answer was written")
	}
	stub.loop.Do(func() {
		if !c.closing || !c.sending {
			t.Errorf("closing %v, sending %v", c.closing, c.sending)
		}
		c.sending = false // it was written
	})
	flood()
	<-stuck.closed
}

// A client that does not read is cut off after the timeout: one answer is being
// written, the next one waits, and its running statement is cancelled.
func TestClientThatReadsNothingIsCutOff(t *testing.T) {
	stub := newStub(t, 100)
	c, _ := stub.stuckClient(3)
	stub.answer(0)
	stub.answer(1)
	stub.loop.Do(func() {
		if !c.sending || c.queue.Len() != 2 {
			t.Errorf("sending %v, %d commands wait, want 2 behind the answer being sent", c.sending, c.queue.Len())
		}
		if len(stub.submitted) != 3 {
			t.Errorf("%d statements were submitted, want 3", len(stub.submitted))
		}
	})
	stub.advance(writeTimeout)
	stub.waitUntil(func() bool {
		return stub.onlyClient() == nil && stub.bookedBytes() == 0 && stub.cancelled == 1
	})
}

// The last answer of a connection that ends after it has the same timeout as any
// other, and its client the timeout for closing once it was written. Until then
// the connection is not evicted.
func TestLastAnswerHasItsTimeout(t *testing.T) {
	stub := newStub(t, 100)
	c, stuck := stub.stuckClient(1)
	stub.loop.Do(func() { c.receiveError(errPartial) })
	stub.answer(0)
	expectTimeout := func(want float64) { // of the only deadline
		t.Helper()
		if at, _ := stub.loop.Next(); at != stub.clock.Now()+want {
			t.Errorf("the connection ends in %v ms, want %v", at-stub.clock.Now(), want)
		}
	}
	expectTimeout(writeTimeout)
	stub.loop.Do(func() {
		if !c.closing || !c.sending {
			t.Fatalf("closing %v, sending %v", c.closing, c.sending)
		}
		if stub.server.evictOne() {
			t.Error("evicted before its answer was written")
		}
	})
	stub.advance(writeTimeout - 1)
	stub.loop.Do(func() { c.answersSent(nil) })
	expectTimeout(closeTimeout)
	stub.advance(closeTimeout)
	stub.waitUntil(stuck.isClosed)
}
