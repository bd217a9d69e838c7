package front

import (
	"runtime"
	"testing"

	"lotusbend/internal/postgres/wire"
)

// A statement that has arrived when the drain begins is answered, wherever it
// waits to be read; then its connection ends.
func TestStatementBeforeDrainIsAnswered(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	stub.loop.Do(func() { // nothing that is read can be received before the drain
		c := stub.onlyClient()
		peer.write(readQuery(1))
		for c.conn.Quiet() {
			runtime.Gosched()
		}
		for range 1000 { // its reader gets as far as it does without the loop
			runtime.Gosched()
		}
		stub.server.Drain()
	})
	stub.waitSubmitted(1) // without any time passing
	stub.advance(drainDelay)
	stub.answer(0)
	peer.expect(peer.readUntil(noSuchMessage), "value0", endOfConnection)
}

// A statement that arrives after our half-close is neither answered nor
// submitted: its client sends it again elsewhere.
func TestStatementAfterHalfCloseIsIgnored(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	stub.loop.Do(func() {
		stub.server.Drain()
		if stub.onlyClient().drainIfIdle(); stub.onlyClient().closing {
			t.Error("ended before what had arrived can be seen")
		}
	})
	stub.advance(drainDelay)
	stub.loop.Do(func() {
		body := readQuery(2)[wire.HeaderLen:] // it was being read
		if err := stub.onlyClient().receive(wire.Query, body); err != nil {
			t.Error(err)
		}
	})
	peer.expect(peer.readUntil(noSuchMessage), endOfConnection)
	peer.write(readQuery(1))
	if err := peer.conn.Close(); err != nil {
		t.Fatal(err)
	}
	stub.waitUntil(func() bool { return stub.onlyClient() == nil })
	if len(stub.submitted) > 0 {
		t.Errorf("%+v was submitted", stub.submitted)
	}
}

// Of the statements behind a running one, those that arrived in time are answered
// in their turn; later ones are rejected and not submitted.
func TestStatementsBehindRunningOneAtDrain(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(append(writeQuery(1), writeQuery(2)...))
	stub.waitQueued(1, 2)
	stub.loop.Do(stub.server.Drain)
	stub.advance(drainGrace + 1)
	peer.write(writeQuery(3))
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 3 })
	stub.answer(0)
	stub.waitSubmitted(2)
	stub.answer(1)
	peer.expect(peer.readUntil(noSuchMessage), "value0", "value1", "57P03", endOfConnection)
	stub.loop.Do(func() {
		if len(stub.submitted) != 2 {
			t.Errorf("%d statements were submitted", len(stub.submitted))
		}
	})
}

// A part of a message is not waited for once a drain has begun.
func TestPartialMessageDoesNotDelayDrain(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(readQuery(1)[:9])
	stub.waitUntil(func() bool { return stub.onlyClient().partial })
	stub.loop.Do(stub.server.Drain)
	stub.advance(drainGrace)
	peer.expect(peer.readUntil(noSuchMessage), endOfConnection)
}

// A client that goes on sending does not delay a drain: what is unread by then
// crosses our half-close.
func TestClientThatKeepsSendingDoesNotDelayDrain(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	stub.loop.Do(stub.server.Drain)
	stub.loop.Do(func() {
		c := stub.onlyClient()
		peer.write([]byte("S\x00\x00\x00\x04"))
		for c.conn.Quiet() {
			runtime.Gosched()
		}
		stub.clock.Set(stub.clock.Now() + drainGrace)
	})
	stub.loop.Do(func() {
		if c := stub.onlyClient(); !c.closing {
			peer.write([]byte("S\x00\x00\x00\x04"))
			c.drainIfIdle()
			if !c.closing {
				t.Error("bytes that keep arriving keep the connection open")
			}
		}
	})
	peer.expect(peer.readUntil(noSuchMessage), endOfConnection)
}

// A client that does not close after our half-close is cut off at the timeout.
func TestDrainedClientThatStaysIsCutOff(t *testing.T) {
	stub := newStub(t, 100)
	stub.connect()
	stub.loop.Do(stub.server.Drain)
	stub.advance(drainDelay)
	stub.advance(closeTimeout)
	stub.waitClosed()
}
