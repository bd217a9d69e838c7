package front

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"lotusbend/internal/postgres/wire"
)

// TestClientThatDisconnectsIsReleased checks that a client that disconnects by EOF
// or reset, with queued statements and an incomplete message, is released at once
// and that its queued statements are not submitted.
func TestClientThatDisconnectsIsReleased(t *testing.T) {
	for _, linger := range []int{-1, 0} { // an EOF, a reset
		stub := newStub(t, 100)
		remote := stub.connect()
		remote.write(append(append(writeQuery(1), writeQuery(2)...), writeQuery(3)[:11]...))
		stub.waitUntil(func() bool {
			return len(stub.submitted) == 1 && stub.onlyClient().queue.Len() == 2 && stub.onlyClient().partial
		})
		if err := errors.Join(remote.conn.SetLinger(linger), remote.conn.Close()); err != nil {
			t.Fatal(err)
		}
		stub.waitUntil(func() bool { // the clock stands still
			return stub.cancelled == 1 && stub.onlyClient() == nil
		})
		if len(stub.submitted) != 1 {
			t.Errorf("submitted %d statements, want 1", len(stub.submitted))
		}
		if stub.reservedBytes() != 0 || len(stub.server.identifiers.running) != 0 {
			t.Errorf("%d bytes reserved and %d running IDs, want none", stub.reservedBytes(), len(stub.server.identifiers.running))
		}
	}
}

// TestTruncatedInputSubmitsOnlyCompleteStatement truncates a client's input after
// each of its bytes, by EOF and by reset. Only a complete statement may be
// submitted; its request must be cancelled and the client released without any
// time passing.
func TestTruncatedInputSubmitsOnlyCompleteStatement(t *testing.T) {
	stub := newStub(t, 100)
	whole := append(wire.AppendStartup(nil, "app", "shop"), readQuery(1)...)
	for _, linger := range []int{-1, 0} { // an EOF, a reset
		for cut := range len(whole) + 1 {
			stub.loop.Do(func() {
				stub.submitted = nil
				stub.cancelled = 0
			})
			remote := stub.dial()
			remote.write(whole[:cut])
			if cut == len(whole) {
				stub.waitSubmitted(1)
			} else {
				stub.waitUntil(func() bool {
					clients, _ := stub.server.ClientCounts()
					return clients == 1
				})
			}
			if err := errors.Join(remote.conn.SetLinger(linger), remote.conn.Close()); err != nil {
				t.Fatal(err)
			}
			stub.waitClosed()
			stub.loop.Do(func() {
				at := fmt.Sprintf("truncated after %d of %d bytes, linger %d", cut, len(whole), linger)
				if submitted := len(stub.submitted) > 0; submitted != (cut == len(whole)) {
					t.Errorf("%s: submitted = %v, want true only for the complete statement", at, submitted)
				}
				if len(stub.submitted) != stub.cancelled {
					t.Errorf("%s: submitted %d and cancelled %d requests, want as many", at, len(stub.submitted), stub.cancelled)
				}
				if clients, _ := stub.server.budget.InUse(); clients != 0 {
					t.Errorf("%s: budget counts %d clients, want 0", at, clients)
				}
				if len(stub.server.identifiers.running) > 0 || stub.reservedBytes() != 0 {
					t.Errorf("%s: %d running IDs and %d bytes reserved, want none", at, len(stub.server.identifiers.running), stub.reservedBytes())
				}
			})
		}
	}
}

// A write whose client left may still be executed: the same identifier is rejected until
// the write's deadline, and only that. A read may run again.
func TestIdentifierOfClientThatLeftStaysTaken(t *testing.T) {
	stub := newStub(t, 100)
	leaver := stub.connect()
	leaver.write(append(writeQuery(1), readQuery(2)...))
	stub.waitSubmitted(2)
	if err := leaver.conn.Close(); err != nil {
		t.Fatal(err)
	}
	stub.waitUntil(func() bool { return stub.cancelled == 2 })
	other := stub.connect()
	other.write(writeQuery(1))
	other.expect(other.readUntil("Z"), wire.CodeSyntaxError)
	other.write(readQuery(2))
	stub.waitSubmitted(3)
	stub.answer(2)
	other.expect(other.readUntil("Z"), "value2")
	stub.advance(901) // d of the write
	other.write(writeQuery(1))
	stub.waitSubmitted(4)
	stub.answer(3)
	other.expect(other.readUntil("Z"), "value3")
}

// Clients that leave with ever new identifiers must not make the memory grow.
func TestKeptIdentifiersAreBounded(t *testing.T) {
	ids := newIdentifiers()
	for n := range 3 * maxKeptIdentifiers {
		ids.keep(fmt.Sprint(n), 0, 1000)
	}
	if len(ids.kept) > maxKeptIdentifiers || len(ids.order) > maxKeptIdentifiers {
		t.Errorf("%d identifiers are kept, want at most %d", len(ids.kept), maxKeptIdentifiers)
	}
	if ids.take(fmt.Sprint(3*maxKeptIdentifiers-1), 999) || !ids.take("0", 999) {
		t.Error("the newest identifier is free or the oldest is taken")
	}
}

// Once its client has closed the connection, what is still unread must not be processed:
// none of its statements may be sent.
func TestUnreadStatementsOfClosedClientAreDropped(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	var b []byte
	for n := range 600 {
		b = append(b, readQuery(n)...)
	}
	stub.loop.Do(func() { // nothing can be processed before the close
		remote.write(b)
		if err := remote.conn.Close(); err != nil {
			t.Error(err)
		}
		for c := stub.onlyClient(); !c.conn.PeerClosed(); {
			runtime.Gosched()
		}
	})
	stub.waitClosed()
	stub.loop.Do(func() {
		if len(stub.submitted) > 0 {
			t.Errorf("%d statements were submitted after the client had left, want none", len(stub.submitted))
		}
	})
}

// A client may close its connection right behind a CancelRequest, which has no answer.
func TestCancelRequestOfClosedClientIsProcessed(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(readQuery(1))
	stub.waitSubmitted(1)
	stub.loop.Do(func() { // nothing can be processed before the close
		running := stub.onlyClient()
		canceller := stub.dial()
		request := binary.BigEndian.AppendUint32(nil, 16)
		for _, field := range []uint32{wire.CancelRequest, running.handle.Slot, running.secret} {
			request = binary.BigEndian.AppendUint32(request, field)
		}
		canceller.write(request)
		if err := canceller.conn.Close(); err != nil {
			t.Error(err)
		}
	})
	remote.expect(remote.readUntil("Z"), wire.CodeQueryCanceled)
}
