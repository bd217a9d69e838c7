package front

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// TestConcurrentReadsAreAnsweredInOrder checks that reads of one connection run
// concurrently and are answered in the order in which they were sent.
func TestConcurrentReadsAreAnsweredInOrder(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(append(append(readQuery(1), readQuery(2)...), "S\x00\x00\x00\x04"...))
	stub.waitSubmitted(2)
	stub.answer(1)
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 3 })
	stub.loop.Do(func() {
		if stub.onlyClient().sending {
			t.Error("second answer sent before the first")
		}
	})
	stub.answer(0)
	remote.expect(remote.readUntil("Z")+remote.readUntil("Z")+remote.readUntil("Z"), "value0", "Z", "value1", "Z", "Z")
}

// TestWritesRunInOrder checks that a write is not submitted before earlier writes
// are answered.
func TestWritesRunInOrder(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(append(append(writeQuery(1), writeQuery(2)...), readQuery(3)...))
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 3 })
	stub.loop.Do(func() {
		if len(stub.submitted) != 2 || !strings.Contains(stub.submitted[1].text, "id=3") {
			t.Errorf("submitted %+v, want the first write and the read only", stub.submitted)
		}
	})
	stub.answer(0)
	stub.waitSubmitted(3)
}

// TestReadsThatMustSeeWriteRunAfterIt checks that a fresh read of the same group,
// a read of the same session and another write to the same group wait for an
// earlier write, and that other statements do not.
func TestReadsThatMustSeeWriteRunAfterIt(t *testing.T) {
	for read, waits := range map[string]bool{
		"SELECT 1 /* id=2,c=f,d=900,cluster=1 */":                             true,
		"SELECT 1 /* id=2,c=f,d=900,cluster=2 */":                             false,
		"SELECT doc FROM items WHERE id = 'a' /* id=2,c=s,d=900,cluster=1 */": true,
		"SELECT doc FROM items WHERE id = 'b' /* id=2,c=s,d=900,cluster=1 */": false,
		"SELECT doc FROM items WHERE id = 'a' /* id=2,c=x,d=900,cluster=1 */": false,
		"INSERT INTO items VALUES ('b') /* id=2,c=w,d=900,cluster=1 */":       true,
		"INSERT INTO items VALUES ('a') /* id=2,c=w,d=900,cluster=2 */":       false,
	} {
		stub := newStub(t, 100)
		remote := stub.connect()
		b := wire.AppendQuery(nil, []byte("INSERT INTO items VALUES ('a') /* id=1,c=w,d=900,cluster=1 */"))
		remote.write(wire.AppendQuery(b, []byte(read)))
		stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 2 })
		stub.loop.Do(func() {
			if waited := len(stub.submitted) == 1; waited != waits {
				t.Errorf("%s: waits = %v, want %v", read, waited, waits)
			}
		})
	}
}

// TestStatementThatExpiresInQueueKeepsNoText checks that a statement whose deadline
// passes in the queue is submitted with no time left, that its text is released and
// that its answer still comes after the earlier ones.
func TestStatementThatExpiresInQueueKeepsNoText(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(append(writeQuery(1), largeQuery(2, 64<<10)...))
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 2 })
	stub.advance(900)
	stub.waitSubmitted(2)
	stub.loop.Do(func() {
		if stub.submitted[1].timeLeft != 0 {
			t.Errorf("submitted with %v ms left, want 0", stub.submitted[1].timeLeft)
		}
		stub.server.Answer(stub.submitted[1].client, router.Answer{Verdict: router.Rejected})
		stub.onlyClient().queue.Each(func(c *pipeline.Command[*statement]) {
			if !c.Running() && len(c.Value.request.Statement.Text)+len(c.Value.id) > 0 {
				t.Error("text or ID of the answered statement is still set")
			}
		})
		if reserved := stub.reservedBytes(); reserved > 4<<10 {
			t.Errorf("%d bytes reserved, want at most 4096", reserved)
		}
	})
	stub.answer(0)
	remote.expect(remote.readUntil("Z")+remote.readUntil("Z"), "value0", "53300")
}

// TestConnectionEndKeepsAnswerOfRunningStatement checks that a running statement is
// answered although a malformed message or a Terminate follows it.
func TestConnectionEndKeepsAnswerOfRunningStatement(t *testing.T) {
	for name, c := range map[string]struct{ behind, want string }{
		"malformed": {"Q\x00\x00\x00\x00", "08P01"},
		"terminate": {"X\x00\x00\x00\x04", endOfConnection},
	} {
		stub := newStub(t, 100)
		remote := stub.connect()
		remote.write(append(readQuery(1), c.behind...))
		stub.waitQueued(1, 2)
		stub.answer(0)
		if got := remote.readUntil("Z"); !strings.Contains(got, "value0") {
			t.Errorf("%s: got %q, want value0 in it", name, got)
		}
		remote.expect(remote.readUntil(noSuchMessage), c.want)
	}
}

// TestCancelRequestCancelsRunningStatement checks that a CancelRequest cancels the
// oldest running statement, and that one with a wrong secret has no effect.
func TestCancelRequestCancelsRunningStatement(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	remote.write(append(writeQuery(1), writeQuery(2)...))
	stub.waitSubmitted(1)
	var process, secret uint32
	stub.loop.Do(func() {
		process = stub.onlyClient().handle.Slot
		secret = stub.onlyClient().secret
	})
	cancel := func(secret uint32) {
		b := binary.BigEndian.AppendUint32(nil, 16)
		for _, v := range []uint32{wire.CancelRequest, process, secret} {
			b = binary.BigEndian.AppendUint32(b, v)
		}
		canceller := stub.dial()
		canceller.write(b)
		if got := canceller.readMessage(); got != endOfConnection {
			t.Errorf("answer to the CancelRequest: got %q, want the end of the connection", got)
		}
	}
	cancel(secret + 1)
	stub.loop.Do(func() {
		if stub.cancelled != 0 {
			t.Error("CancelRequest with a wrong secret cancelled a request")
		}
	})
	cancel(secret)
	stub.waitSubmitted(2)
	stub.loop.Do(func() {
		if stub.cancelled != 1 {
			t.Errorf("cancelled %d requests, want 1", stub.cancelled)
		}
	})
	remote.expect(remote.readUntil("Z"), "57014")
	stub.answer(1)
	remote.expect(remote.readUntil("Z"), "value1")
}

// A client may queue only so many statements, so that those of one client, expiring
// together, do not hold up all others. Further ones are rejected in their turn.
func TestStatementsPastTheQueueAreRejected(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	var b []byte
	for n := range maxQueuedCommands + 3 {
		b = append(b, writeQuery(n)...)
	}
	go func() { _, _ = remote.conn.Write(b) }() // fails if the test ends early
	stub.waitUntil(func() bool {
		c := stub.onlyClient()
		return c != nil && c.queue.Commands() == maxQueuedCommands+3
	})
	for n := range maxQueuedCommands {
		stub.waitSubmitted(n + 1)
		stub.answer(n)
		remote.expect(remote.readUntil("Z"), fmt.Sprint("value", n))
	}
	for range 3 {
		remote.expect(remote.readUntil("Z"), wire.CodeTooManyConnections)
	}
}
