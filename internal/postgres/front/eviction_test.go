package front

import "testing"

// TestEvictedClientIsNotReset checks that an evicted client receives EOF and no
// reset, even if it sends a statement at that moment. A reset could discard its
// last answer in transit.
func TestEvictedClientIsNotReset(t *testing.T) {
	stub := newStub(t, 28) // enough for two clients
	remote := stub.connect()
	remote.write(readQuery(1))
	stub.waitSubmitted(1)
	stub.answer(0)
	remote.expect(remote.readUntil("Z"), "value0")
	stub.waitUntil(func() bool { return !stub.onlyClient().sending })
	stub.connect()
	stub.advance(partialTimeoutMs - 1)
	stub.connect() // evicts the client that has sent no statement
	stub.advance(1)
	stub.loop.Do(func() {
		if !stub.server.evictOne() {
			t.Error("evictOne() = false, want true")
		}
		if stub.server.reserveClients != 2 {
			t.Errorf("reserveClients = %d, want the 2 evicted clients", stub.server.reserveClients)
		}
		remote.write(readQuery(2))
	})
	remote.expect(remote.readUntil(noSuchMessage), endOfConnection)
	stub.loop.Do(func() {
		if clients, _ := stub.server.budget.InUse(); clients > 1 {
			t.Errorf("budget counts %d clients, want at most 1", clients)
		}
	})
}

// TestManyClientsRejectedAtOnceGetError checks that each of many clients rejected at
// the same time receives an error while unused descriptors are left.
func TestManyClientsRejectedAtOnceGetError(t *testing.T) {
	stub := newStub(t, 100) // clients may use 50 of the budget's 76
	for n := range 50 {
		stub.connect().write(readQuery(n))
		stub.waitSubmitted(n + 1)
	}
	var rejected []*testClient
	for range 20 {
		rejected = append(rejected, stub.dial())
	}
	for _, remote := range rejected {
		remote.expect(remote.readUntil(noSuchMessage), "53300", endOfConnection)
	}
}
