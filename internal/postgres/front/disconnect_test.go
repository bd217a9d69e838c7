package front

import (
	"errors"
	"fmt"
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
		if stub.reservedBytes() != 0 || len(stub.server.runningIDs) != 0 {
			t.Errorf("%d bytes reserved and %d running IDs, want none", stub.reservedBytes(), len(stub.server.runningIDs))
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
				if len(stub.server.runningIDs) > 0 || stub.reservedBytes() != 0 {
					t.Errorf("%s: %d running IDs and %d bytes reserved, want none", at, len(stub.server.runningIDs), stub.reservedBytes())
				}
			})
		}
	}
}
