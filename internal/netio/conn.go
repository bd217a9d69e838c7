// Package netio provides connections whose writes never block the caller, so that
// a slow peer does not delay others (conn.go), and budgets of file descriptors
// (descriptors.go) and memory (memory.go).
package netio

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// maxQueuedBytes bounds the bytes queued on one connection, without those that are
// being written. A peer that lets more accumulate is disconnected.
const maxQueuedBytes = 1 << 20

// States of a TCP connection whose peer has closed its side, in the first byte of the
// kernel's tcp_info.
const (
	tcpStateMask = 0xff
	tcpClosed    = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// ErrUnsent is the error of a Send whose bytes were not all passed to the operating
// system, because the peer does not read or the connection is closing or closed.
var ErrUnsent = errors.New("netio: data not written: the peer does not read or the connection is closed")

// Conn is a connection with a write queue. Its methods are safe for concurrent use
// and do not block. A goroutine writes the queue; it runs only while bytes are
// queued and the connection is open.
//
// An open connection queues the bytes that are sent. After Finish or
// FinishIfQuiet it accepts no more; once the queue is written, this side is
// half-closed. Then the peer closes the connection, or the owner calls Close if
// the peer takes too long. Closing at once while bytes from the peer arrive would
// reset the connection, and the reset could discard the bytes sent last before
// the peer reads them. Abandon is for a connection whose queued bytes may be lost.
type Conn struct {
	nc net.Conn

	mu        sync.Mutex
	queued    []byte
	callbacks []func(error) // called when the queued bytes are written or dropped
	flushing  bool          // the flush goroutine is running
	closing   bool          // no more bytes are accepted; half-closed once the queue is written
	closed    bool
}

// NewConn returns a Conn on nc, a connection of netpoll or of the standard library.
func NewConn(nc net.Conn) *Conn { return &Conn{nc: nc} }

// Send queues a copy of b. If more than maxQueuedBytes would be queued, it closes
// the connection instead. done, if not nil, is called once from another goroutine:
// with nil when the operating system has accepted all of b, otherwise with
// ErrUnsent or the error of the write.
func (c *Conn) Send(b []byte, done func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing || len(c.queued)+len(b) > maxQueuedBytes {
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
		workers.run(c.flush)
	}
}

// flush writes until the queue is empty or the connection is closed. At most one
// flush runs at a time, in its own goroutine. Nothing else blocks on the peer.
func (c *Conn) flush() {
	var buffer []byte // buffer of the last write, reused for the queue
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
		// A peer that reads fast and has much to receive must not keep the processor.
		runtime.Gosched()
	}
}

// nextBatch takes the queued bytes and their callbacks; further bytes are queued in
// buffer. If the queue is empty or the connection is closed, it ends flushing,
// returns false for more, and returns the callbacks of the bytes not written.
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

// report calls the callbacks of a batch with the result of its write.
func report(callbacks []func(error), err error) {
	for _, callback := range callbacks {
		callback(err)
	}
}

// Quiet reports whether the connection still accepts bytes and nothing from the
// peer is unread, neither bytes nor the end of its stream. It checks the socket's
// receive queue before the read buffer, because the poller may move bytes from the
// first to the second in between.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quiet()
}

// quiet implements Quiet. c.mu must be held.
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

// PeerClosed reports whether the peer has closed its side of the connection, although
// received bytes may still be unread.
func (c *Conn) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	socket, ok := c.nc.(interface{ Fd() int })
	if !ok || c.closed {
		return false
	}
	info, err := syscall.GetsockoptInt(socket.Fd(), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false
	}
	switch info & tcpStateMask {
	case tcpClosed, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// Finish accepts no more bytes and half-closes the connection once the operating
// system has accepted the queued ones.
func (c *Conn) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish()
}

// FinishIfQuiet calls Finish if the connection is Quiet, and reports whether it
// did. Bytes that arrive later may have been sent before the peer received the
// half-close.
func (c *Conn) FinishIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.quiet() {
		return false
	}
	c.finish()
	return true
}

// finish implements Finish. c.mu must be held.
func (c *Conn) finish() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	if !c.flushing {
		c.halfClose()
	}
}

// Abandon half-closes the connection at once and discards the queued bytes. The
// connection can still be read. As with Close, the end of the stream is sent to
// the peer before Abandon returns.
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

// Close closes the connection at once and discards the queued bytes. The end of
// the stream is sent to the peer before Close returns: if bytes sent next on
// another connection arrived before it, a cancelled attempt could execute
// concurrently with its retry. The close callbacks of netpoll run in another
// goroutine, because they acquire the owner's lock.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.abort()
	}
}

// abort closes the connection. c.mu must be held and c must not be closed.
func (c *Conn) abort() {
	c.halfClose()
	c.closed = true
	closings.begin()
	go func() {
		defer closings.end()
		_ = c.nc.Close()
	}()
}

// Finishing reports whether the connection accepts no more bytes, because it is
// closing or closed.
func (c *Conn) Finishing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.closed
}

// halfClose shuts down the writing side. c.mu must be held and c must not be
// closed, so that the descriptor cannot have been reused: netpoll closes it after
// the owner's close callback, which calls Close and so needs c.mu.
func (c *Conn) halfClose() {
	switch conn := c.nc.(type) { // fails only if the peer has ended the connection, so errors are ignored
	case interface{ Fd() int }:
		_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR)
	case interface{ CloseWrite() error }:
		_ = conn.CloseWrite()
	}
}
