// Package netio provides connections whose writes never block the caller, so that
// a slow peer delays nobody (conn.go), and budgets of file descriptors
// (descriptors.go) and memory (memory.go).
package netio

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// maxUnsent bounds the bytes queued for a peer that does not read.
const maxUnsent = 1 << 20

// ErrUnsent is the error of a Send whose bytes were not all handed to the system:
// the peer does not read, or the connection has ended.
var ErrUnsent = errors.New("netio: the peer does not read")

// Conn is one connection. Its methods are safe for concurrent use and do not
// block. One goroutine writes while bytes are queued, and ends with the queue or
// the connection.
//
// A connection ends in one way. While it is open it queues what is sent. Finish
// and FinishIfQuiet end that: the queue is still written, and then this side
// half-closes. The peer closes the connection, or its owner does with Close when
// the peer takes too long. Closing at once while the peer's bytes arrive would
// reset the connection, and the reset may overtake what was sent last.
type Conn struct {
	nc net.Conn

	mu        sync.Mutex
	queued    []byte
	callbacks []func(error) // of the queued bytes
	flushing  bool          // flush runs
	closing   bool          // nothing more is queued; half-closed once all is flushed
	closed    bool
}

// NewConn returns a Conn on nc, netpoll's or the standard library's.
func NewConn(nc net.Conn) *Conn { return &Conn{nc: nc} }

// Send queues a copy of b. done, if not nil, is called once from another
// goroutine: with nil when the system has accepted the last byte of b, with
// ErrUnsent or the error of the write if it did not.
func (c *Conn) Send(b []byte, done func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing || len(c.queued)+len(b) > maxUnsent {
		if done != nil {
			go done(ErrUnsent)
		}
		if !c.closed && !c.closing {
			c.abort()
		}
		return
	}
	c.queued = append(c.queued, b...)
	if done != nil {
		c.callbacks = append(c.callbacks, done)
	}
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

// flush writes until the queue is empty or the connection closed. Only one runs at
// a time; it alone may block on the peer.
func (c *Conn) flush() {
	var buffer []byte // of the last write, reused for the queue
	for {
		batch, callbacks, more := c.nextBatch(buffer)
		if !more {
			report(callbacks, ErrUnsent)
			return
		}
		_, err := c.nc.Write(batch)
		buffer = batch
		report(callbacks, err)
		if err != nil {
			c.Close()
		}
	}
}

// nextBatch takes the queue, which goes on in buffer, with its callbacks. If
// there is nothing to write any more it ends flushing, with the callbacks of what
// is unsent.
func (c *Conn) nextBatch(buffer []byte) (batch []byte, callbacks []func(error), more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch = c.queued
	callbacks = c.callbacks
	c.callbacks = nil
	if len(batch) > 0 && !c.closed {
		c.queued = buffer[:0]
		return batch, callbacks, true
	}
	c.queued = nil
	c.flushing = false
	if c.closing && !c.closed {
		c.halfClose()
	}
	return nil, callbacks, false
}

// report calls the callbacks of a batch.
func report(callbacks []func(error), err error) {
	for _, callback := range callbacks {
		callback(err)
	}
}

// Quiet reports whether the peer has sent nothing that is still unread, not even
// its end. The system's receive queue counts too; it is looked at before the
// buffer, as the poller may move bytes to the buffer meanwhile.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quiet()
}

// quiet is called with the lock held.
func (c *Conn) quiet() bool {
	if c.closed || c.closing {
		return false
	}
	if socket, ok := c.nc.(interface{ Fd() int }); ok {
		_, _, err := syscall.Recvfrom(socket.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EAGAIN) {
			return false
		}
	}
	buffered, ok := c.nc.(interface{ Reader() netpoll.Reader })
	return !ok || buffered.Reader().Len() == 0
}

// Finish half-closes the connection once the system has accepted what was sent.
func (c *Conn) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish()
}

// FinishIfQuiet is Finish if the connection is Quiet; it reports whether it was. What
// arrives later was sent before the peer received this side's end.
func (c *Conn) FinishIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.quiet() {
		return false
	}
	c.finish()
	return true
}

// finish is called with the lock held.
func (c *Conn) finish() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	if !c.flushing {
		c.halfClose()
	}
}

// Abandon half-closes the connection at once, discards what is unsent and goes on
// reading. The peer's system is notified before it returns, as with Close.
func (c *Conn) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return
	}
	c.closing = true
	c.queued = nil
	c.halfClose()
}

// Close closes the connection at once and discards what is unsent. The peer's
// system is notified before it returns: what is sent next on another connection
// must not overtake the end, or an abandoned attempt could run beside its retry.
// netpoll's close callbacks run in another goroutine, as they take the owner's
// lock.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.abort()
	}
}

// abort is called with the lock held, and not closed.
func (c *Conn) abort() {
	c.halfClose()
	c.closed = true
	go func() { _ = c.nc.Close() }()
}

// Finishing reports whether nothing more can be sent.
func (c *Conn) Finishing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.closed
}

// halfClose is called with the lock held, and not closed: the descriptor is still
// this connection's, as its close callback takes the lock first.
func (c *Conn) halfClose() {
	switch conn := c.nc.(type) { // it fails only if the peer has gone
	case interface{ Fd() int }:
		_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR)
	case interface{ CloseWrite() error }:
		_ = conn.CloseWrite()
	}
}
