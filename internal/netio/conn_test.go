package netio

import (
	"errors"
	"sync"
	"testing"

	"github.com/cloudwego/netpoll"
)

// stuckConnection is a connection whose peer reads nothing: a write blocks until
// the connection is closed.
type stuckConnection struct {
	netpoll.Connection
	once   sync.Once
	closed chan struct{}
}

func (s *stuckConnection) Write([]byte) (int, error) {
	<-s.closed
	return 0, errors.New("closed")
}

func (s *stuckConnection) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// A peer that does not read must neither block Send, which is called with the
// owner's lock held, nor make the queue grow without bound.
func TestSlowPeerIsDisconnectedWithoutBlocking(t *testing.T) {
	s := &stuckConnection{closed: make(chan struct{})}
	c := NewConn(s)
	done := make(chan error, 100)
	sent := 0
	for ; sent <= 2*maxQueuedBytes; sent += 1 << 17 {
		c.Send(make([]byte, 1<<17), func(err error) { done <- err })
	}
	c.mu.Lock() // flush changes the queue concurrently
	queued := len(c.queued)
	c.mu.Unlock()
	if queued > maxQueuedBytes {
		t.Errorf("%d bytes queued, want at most %d", queued, maxQueuedBytes)
	}
	<-s.closed // Send closes the connection when the queue is full
	for range sent >> 17 {
		if err := <-done; err == nil {
			t.Error("done(nil) for a write that did not complete")
		}
	}
}
