package front

import (
	"errors"
	"fmt"
	"testing"

	"lotusbend/internal/postgres/wire"
)

// A client that disconnects, by an EOF or a reset, with statements sent ahead and
// a part of one more, is released at once; nothing more of it is submitted.
func TestClientThatDisconnectsIsReleased(t *testing.T) {
	for _, linger := range []int{-1, 0} { // an EOF, a reset
		stub := newStub(t, 100)
		peer := stub.connect()
		peer.write(append(append(writeQuery(1), writeQuery(2)...), writeQuery(3)[:11]...))
		stub.waitUntil(func() bool {
			return len(stub.submitted) == 1 && stub.onlyClient().queue.Len() == 2 && stub.onlyClient().partial
		})
		if err := errors.Join(peer.conn.SetLinger(linger), peer.conn.Close()); err != nil {
			t.Fatal(err)
		}
		stub.waitUntil(func() bool { // without any time passing
			return stub.cancelled == 1 && stub.onlyClient() == nil
		})
		if len(stub.submitted) != 1 {
			t.Errorf("%d statements were submitted", len(stub.submitted))
		}
		if stub.bookedBytes() != 0 || len(stub.server.runningIDs) != 0 {
			t.Errorf("%d bytes and %d IDs are kept", stub.bookedBytes(), len(stub.server.runningIDs))
		}
	}
}

// What a client sends may be truncated after any of its bytes, by an EOF or a
// reset. Only a whole statement is submitted; its request is cancelled, and the
// client is released without any time passing.
func TestTruncatedInput(t *testing.T) {
	stub := newStub(t, 100)
	whole := append(wire.AppendStartup(nil, "app", "shop"), readQuery(1)...)
	for _, linger := range []int{-1, 0} { // an EOF, a reset
		for cut := range len(whole) + 1 {
			stub.loop.Do(func() {
				stub.submitted = nil
				stub.cancelled = 0
			})
			peer := stub.dial()
			peer.write(whole[:cut])
			if cut == len(whole) {
				stub.waitSubmitted(1)
			} else {
				stub.waitUntil(func() bool {
					clients, _ := stub.server.ClientCounts()
					return clients == 1
				})
			}
			if err := errors.Join(peer.conn.SetLinger(linger), peer.conn.Close()); err != nil {
				t.Fatal(err)
			}
			stub.waitClosed()
			stub.loop.Do(func() {
				at := fmt.Sprintf("truncated after %d of %d bytes, linger %d", cut, len(whole), linger)
				if submitted := len(stub.submitted) > 0; submitted != (cut == len(whole)) {
					t.Errorf("%s: submitted %v", at, submitted)
				}
				if len(stub.submitted) != stub.cancelled {
					t.Errorf("%s: %d submitted, %d cancelled", at, len(stub.submitted), stub.cancelled)
				}
				if clients, _ := stub.server.budget.Open(); clients != 0 {
					t.Errorf("%s: %d clients are counted", at, clients)
				}
				if len(stub.server.runningIDs) > 0 || stub.bookedBytes() != 0 {
					t.Errorf("%s: %d IDs and %d bytes are kept", at, len(stub.server.runningIDs), stub.bookedBytes())
				}
			})
		}
	}
}
