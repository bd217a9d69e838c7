package front

import (
	"runtime"
	"testing"

	"lotusbend/internal/postgres/wire"
)

// TestStatementBeforeDrainIsAnswered checks that a statement received before the
// drain is answered, whether it is still in the kernel or in the read buffer, and
// that its connection ends after that.
func TestStatementBeforeDrainIsAnswered(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	stub.loop.Do(func() { // inside Do, the statement cannot be processed before the drain
		c := stub.onlyClient()
		remote.write(readQuery(1))
		for c.conn.Quiet() {
			runtime.Gosched()
		}
		for range 1000 { // lets the reading goroutine run until it needs the loop
			runtime.Gosched()
		}
		stub.server.Drain()
	})
	stub.waitSubmitted(1) // the clock stands still
	stub.advance(drainDelayMs)
	stub.answer(0)
	remote.expect(remote.readUntil(noSuchMessage), "value0", endOfConnection)
}

// TestStatementAfterHalfCloseIsIgnored checks that a statement received after the
// router's half-close is neither answered nor submitted, as its client retries it
// on another connection.
func TestStatementAfterHalfCloseIsIgnored(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	stub.loop.Do(func() {
		stub.server.Drain()
		if stub.onlyClient().drainIfIdle(); stub.onlyClient().closing {
			t.Error("connection ended before drainDelayMs")
		}
	})
	stub.advance(drainDelayMs)
	stub.loop.Do(func() {
		body := readQuery(2)[wire.HeaderLen:] // it was being read at the half-close
		if err := stub.onlyClient().receive(wire.Query, body); err != nil {
			t.Error(err)
		}
	})
	remote.expect(remote.readUntil(noSuchMessage), endOfConnection)
	remote.write(readQuery(1))
	if err := remote.conn.Close(); err != nil {
		t.Fatal(err)
	}
	stub.waitUntil(func() bool { return stub.onlyClient() == nil })
	if len(stub.submitted) > 0 {
		t.Errorf("submitted %+v, want nothing", stub.submitted)
	}
}

// TestQueuedStatementsAtDrainAreAnswered checks that statements queued when a drain
// begins are answered in order, and that one received after drainGraceMs is
// rejected without being submitted.
func TestQueuedStatementsAtDrainAreAnswered(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(append(writeQuery(1), writeQuery(2)...))
	stub.waitQueued(1, 2)
	stub.loop.Do(stub.server.Drain)
	stub.advance(drainGraceMs + 1)
	remote.write(writeQuery(3))
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 3 })
	stub.answer(0)
	stub.waitSubmitted(2)
	stub.answer(1)
	remote.expect(remote.readUntil(noSuchMessage), "value0", "value1", "57P03", endOfConnection)
	stub.loop.Do(func() {
		if len(stub.submitted) != 2 {
			t.Errorf("submitted %d statements, want 2", len(stub.submitted))
		}
	})
}

// TestPartialMessageDoesNotDelayDrain checks that a connection with an incomplete
// message is ended drainGraceMs after the start of a drain.
func TestPartialMessageDoesNotDelayDrain(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(readQuery(1)[:9])
	stub.waitUntil(func() bool { return stub.onlyClient().partial })
	stub.loop.Do(stub.server.Drain)
	stub.advance(drainGraceMs)
	remote.expect(remote.readUntil(noSuchMessage), endOfConnection)
}

// TestClientThatKeepsSendingDoesNotDelayDrain checks that unread bytes do not keep
// a connection open once drainGraceMs has passed.
func TestClientThatKeepsSendingDoesNotDelayDrain(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	stub.loop.Do(stub.server.Drain)
	stub.loop.Do(func() {
		c := stub.onlyClient()
		remote.write([]byte("S\x00\x00\x00\x04"))
		for c.conn.Quiet() {
			runtime.Gosched()
		}
		stub.clock.Set(stub.clock.Now() + drainGraceMs)
	})
	stub.loop.Do(func() {
		if c := stub.onlyClient(); !c.closing {
			remote.write([]byte("S\x00\x00\x00\x04"))
			c.drainIfIdle()
			if !c.closing {
				t.Error("connection with unread bytes is open after drainGraceMs")
			}
		}
	})
	remote.expect(remote.readUntil(noSuchMessage), endOfConnection)
}

// TestDrainedClientThatDoesNotCloseIsDisconnected checks that a client that does not
// close its connection after the half-close is disconnected after closeTimeoutMs.
func TestDrainedClientThatDoesNotCloseIsDisconnected(t *testing.T) {
	stub := newStub(t, 100)
	stub.connect()
	stub.loop.Do(stub.server.Drain)
	stub.advance(drainDelayMs)
	stub.advance(closeTimeoutMs)
	stub.waitClosed()
}
