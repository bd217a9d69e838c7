package netio

import (
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// States of a PollerHold.
const (
	holdOffered   int32 = iota // the poller has started a callback, which may take the hold
	holdTaken                  // the poller waits for Release
	holdWithdrawn              // the poller has gone on
)

// PollerHold makes netpoll's only poller wait for a callback of a connection that has no
// ReadGate, as long as the callback holds it. Meanwhile nothing else reads from any
// connection, so that the callback may read from its socket directly.
type PollerHold struct {
	state    atomic.Int32
	released chan struct{}
}

// offeredHold is the hold that the callback started last may take, nil for none.
var offeredHold atomic.Pointer[PollerHold]

// otherStarters counts the goroutines beside the poller that may start a callback.
var otherStarters atomic.Int32

// HoldPoller makes the poller wait until Release is called. It returns nil if the
// poller no longer waits for the present callback, and must be called in a callback.
func HoldPoller() *PollerHold {
	hold := offeredHold.Load()
	if hold == nil || !hold.state.CompareAndSwap(holdOffered, holdTaken) {
		return nil
	}
	return hold
}

// Release lets the poller continue. It does nothing if h is nil.
func (h *PollerHold) Release() {
	if h != nil {
		close(h.released)
	}
}

// ReadSocket reads received bytes of a connection that netpoll has not read yet. It
// returns 0 if there are none or the connection has ended, and does not block. The
// caller must hold the poller, and have taken all bytes from netpoll's buffer.
func (h *PollerHold) ReadSocket(nc netpoll.Connection, into []byte) (n int) {
	socket, ok := nc.(interface{ Fd() int })
	if !ok {
		return 0
	}
	n, _, err := syscall.Recvfrom(socket.Fd(), into, syscall.MSG_DONTWAIT)
	if err != nil { // netpoll's next read has the same error, or the end of the connection
		return 0
	}
	return n
}

// SetOnRequest sets the callback of a dialled connection. If bytes have arrived already,
// netpoll starts the callback from here.
func SetOnRequest(nc netpoll.Connection, callback netpoll.OnRequest) {
	otherStarters.Add(1)
	defer otherStarters.Add(-1)
	_ = nc.SetOnRequest(callback) // never fails
}

// runUngated runs the callback of a connection without a ReadGate. It waits until the
// callback has started, and then until it has released the poller if it holds it: on
// one processor the callback then runs up to where it waits.
func runUngated(callback func()) {
	hold := &PollerHold{released: make(chan struct{})}
	started := make(chan struct{})
	if otherStarters.Load() == 0 {
		offeredHold.Store(hold)
	}
	workers.run(func() {
		close(started)
		callback()
	})
	<-started
	if !hold.state.CompareAndSwap(holdOffered, holdWithdrawn) {
		<-hold.released
	}
}
