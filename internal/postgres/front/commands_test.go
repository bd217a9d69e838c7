package front

import (
	"encoding/binary"
	"strings"
	"testing"

	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// Reads run concurrently; their answers are sent in the order of the commands.
func TestConcurrentReadsAreAnsweredInOrder(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(append(append(readQuery(1), readQuery(2)...), "S\x00\x00\x00\x04"...))
	stub.waitSubmitted(2)
	stub.answer(1)
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 3 })
	stub.loop.Do(func() {
		if stub.onlyClient().sending {
			t.Error("an answer is sent before its turn")
		}
	})
	stub.answer(0)
	peer.expect(peer.readUntil("Z")+peer.readUntil("Z")+peer.readUntil("Z"), "value0", "Z", "value1", "Z", "Z")
}

// A write runs after the writes before it.
func TestWritesRunInOrder(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(append(append(writeQuery(1), writeQuery(2)...), readQuery(3)...))
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 3 })
	stub.loop.Do(func() {
		if len(stub.submitted) != 2 || !strings.Contains(stub.submitted[1].text, "id=3") {
			t.Errorf("submitted %+v, want the first write and the read", stub.submitted)
		}
	})
	stub.answer(0)
	stub.waitSubmitted(3)
}

// A read that must see a write runs after it: a fresh one of its group, and one
// of its session. Others do not wait.
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
		peer := stub.connect()
		b := wire.AppendQuery(nil, []byte("INSERT INTO items VALUES ('a') /* id=1,c=w,d=900,cluster=1 */"))
		peer.write(wire.AppendQuery(b, []byte(read)))
		stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 2 })
		stub.loop.Do(func() {
			if waited := len(stub.submitted) == 1; waited != waits {
				t.Errorf("%s: waits %v, want %v", read, waited, waits)
			}
		})
	}
}

// A statement whose deadline passes while it is queued needs no attempt and no
// text, only its answer in its turn.
func TestStatementThatExpiresInQueue(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(append(writeQuery(1), largeQuery(2, 64<<10)...))
	stub.waitUntil(func() bool { return stub.onlyClient().queue.Len() == 2 })
	stub.advance(900)
	stub.waitSubmitted(2)
	stub.loop.Do(func() {
		if stub.submitted[1].timeLeft != 0 {
			t.Errorf("submitted with %v ms left", stub.submitted[1].timeLeft)
		}
		stub.server.Answer(stub.submitted[1].client, router.Answer{Verdict: router.Rejected})
		stub.onlyClient().queue.Each(func(c *pipeline.Command[*statement]) {
			if !c.Running() && len(c.Value.request.Statement.Text)+len(c.Value.id) > 0 {
				t.Error("its text or ID is kept")
			}
		})
		if booked := stub.bookedBytes(); booked > 4<<10 {
			t.Errorf("%d bytes are booked", booked)
		}
	})
	stub.answer(0)
	peer.expect(peer.readUntil("Z")+peer.readUntil("Z"), "value0", "53300")
}

// A malformed message or a Terminate behind a running statement does not cost its
// answer.
func TestErrorBehindStatementDoesNotCostItsAnswer(t *testing.T) {
	for name, c := range map[string]struct{ behind, want string }{
		"malformed": {"Q\x00\x00\x00\x00", "08P01"},
		"terminate": {"X\x00\x00\x00\x04", endOfConnection},
	} {
		stub := newStub(t, 100)
		peer := stub.connect()
		peer.write(append(readQuery(1), c.behind...))
		stub.waitQueued(1, 2)
		stub.answer(0)
		if got := peer.readUntil("Z"); !strings.Contains(got, "value0") {
			t.Errorf("%s: got %q", name, got)
		}
		peer.expect(peer.readUntil(noSuchMessage), c.want)
	}
}

// A CancelRequest cancels the running statement; one with a wrong secret cancels
// nothing.
func TestCancelRequest(t *testing.T) {
	stub := newStub(t, 100)
	peer := stub.connect()
	peer.write(append(writeQuery(1), writeQuery(2)...))
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
			t.Errorf("a CancelRequest is answered by %q", got)
		}
	}
	cancel(secret + 1)
	stub.loop.Do(func() {
		if stub.cancelled != 0 {
			t.Error("cancelled with a wrong secret")
		}
	})
	cancel(secret)
	stub.waitSubmitted(2)
	stub.loop.Do(func() {
		if stub.cancelled != 1 {
			t.Errorf("%d requests were cancelled, want 1", stub.cancelled)
		}
	})
	peer.expect(peer.readUntil("Z"), "57014")
	stub.answer(1)
	peer.expect(peer.readUntil("Z"), "value1")
}
