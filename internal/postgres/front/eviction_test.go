package front

import "testing"

// An evicted client sees our half-close and no reset, though it sends just then:
// its last answer may still be on its way.
func TestEvictedClientIsNotReset(t *testing.T) {
	stub := newStub(t, 28) // two clients
	peer := stub.connect()
	peer.write(readQuery(1))
	stub.waitSubmitted(1)
	stub.answer(0)
	peer.expect(peer.readUntil("Z"), "value0")
	stub.waitUntil(func() bool { return !stub.onlyClient().sending })
	stub.connect()
	stub.advance(partialTimeout - 1)
	stub.connect() // the silent one is evicted, not the active one
	stub.advance(1)
	stub.loop.Do(func() {
		if !stub.server.evictOne() {
			t.Error("nobody is evicted")
		}
		if stub.server.reserveClients != 2 {
			t.Errorf("%d clients are closing, want the two evicted", stub.server.reserveClients)
		}
		peer.write(readQuery(2))
	})
	peer.expect(peer.readUntil(noSuchMessage), endOfConnection)
	stub.loop.Do(func() {
		if clients, _ := stub.server.budget.Open(); clients > 1 {
			t.Errorf("%d clients are counted", clients)
		}
	})
}

// Rejected clients get an error, however many connect at once, as long as there
// are free descriptors.
func TestManyRejectedAtOnceGetAnError(t *testing.T) {
	stub := newStub(t, 100) // 50 of 76 are for clients
	for n := range 50 {
		stub.connect().write(readQuery(n))
		stub.waitSubmitted(n + 1)
	}
	var rejected []*testClient
	for range 20 {
		rejected = append(rejected, stub.dial())
	}
	for _, peer := range rejected {
		peer.expect(peer.readUntil(noSuchMessage), "53300", endOfConnection)
	}
}
