// Package netio puts connections behind writes that never block the
// caller, so that a slow peer stalls nobody, and counts sockets.
package netio

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// maxUnsent bounds what one peer that does not read may cost.
const maxUnsent = 1 << 20

var errUnsent = errors.New("netio: the peer does not read")

// Conn is one connection. Its methods may be called from anywhere and return
// at once.
type Conn struct {
	nc       net.Conn
	mu       sync.Mutex
	out      []byte
	done     []func(error)
	flushing bool
	closing  bool // once all is flushed
	closed   bool
}

// NewConn returns a Conn on nc, netpoll's or the standard library's.
func NewConn(nc net.Conn) *Conn { return &Conn{nc: nc} }

// Send writes a copy of b after what was sent before. done, if not nil, is
// called once from another goroutine: with nil when the last byte of b is
// with the system, with an error if it never got there.
func (c *Conn) Send(b []byte, done func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing || len(c.out)+len(b) > maxUnsent {
		if done != nil {
			go done(errUnsent)
		}
		if !c.closed && !c.closing {
			c.abort()
		}
		return
	}
	c.out = append(c.out, b...)
	if done != nil {
		c.done = append(c.done, done)
	}
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

// flush writes until nothing is left. Only one runs at a time; it alone may
// wait for the peer.
func (c *Conn) flush() {
	var spare []byte
	for {
		c.mu.Lock()
		b, done := c.out, c.done
		if len(b) == 0 || c.closed {
			c.flushing = false
			if c.closing && !c.closed {
				c.endSending()
			}
			c.out, c.done = nil, nil
			c.mu.Unlock()
			for _, f := range done {
				f(errUnsent)
			}
			return
		}
		c.out, c.done = spare[:0], nil
		c.mu.Unlock()
		_, err := c.nc.Write(b)
		spare = b
		for _, f := range done {
			f(err)
		}
		if err != nil {
			c.Close()
		}
	}
}

// Quiet tells whether the peer has sent nothing that was not read yet, not
// even its end. What is still with the system counts, too; that is looked at
// first, as the poller may move it to the buffer meanwhile.
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
	if f, ok := c.nc.(interface{ Fd() int }); ok {
		_, _, err := syscall.Recvfrom(f.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EAGAIN) {
			return false
		}
	}
	r, ok := c.nc.(interface{ Reader() netpoll.Reader })
	return !ok || r.Reader().Len() == 0
}

// A connection's close, one way for all: while open it takes what is sent;
// Finish and FinishQuiet end that, the system still takes what was sent, and
// then this side's sending ends (a half-close); the peer ends the connection,
// or its owner does with Close when the peer takes too long. Closing at once
// while the peer's bytes come in would reset the connection, and the reset may
// overtake what was sent last.

// Finish ends this side's sending once all that was sent is with the system.
func (c *Conn) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish()
}

// FinishQuiet is Finish where the peer has sent nothing that was not read, and
// tells whether it was: what comes from then on has crossed our end.
func (c *Conn) FinishQuiet() bool {
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
		c.endSending()
	}
}

// Abandon ends this side's sending at once, with what is unsent, and goes on
// reading: the peer's system hears so before this returns, as with Close.
func (c *Conn) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return
	}
	c.closing = true
	c.out = nil
	c.endSending()
}

// Close ends the connection now, with what is unsent. The peer's system hears
// so before this returns: what is sent next on another connection must not
// overtake it, or an attempt that was given up would have a second copy.
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
	c.endSending()
	c.closed = true
	go func() { _ = c.nc.Close() }()
}

// Finishing tells whether nothing more can be sent.
func (c *Conn) Finishing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.closed
}

// endSending is called with the lock held, and not closed: the descriptor is
// still this connection's, as its close callback takes the lock first.
func (c *Conn) endSending() {
	switch f := c.nc.(type) { // it fails only where the peer has gone
	case interface{ Fd() int }:
		_ = syscall.Shutdown(f.Fd(), syscall.SHUT_WR)
	case interface{ CloseWrite() error }:
		_ = f.CloseWrite()
	}
}

// Budget shares the process's descriptors among clients and database hosts.
// It is part of the owner's state.
type DescriptorBudget struct {
	Total   int // sockets that may be open
	Clients int // of these, the most that clients may hold
	Asking  int // of these, the most that clients hold for requests by themselves
	clients int
	hosts   int
}

// reserve is kept for the listener, pollers, discovery and the runtime.
const reserve = 24

// NewBudget divides a limit on descriptors.
func NewDescriptorBudget(descriptors int) *DescriptorBudget {
	b := &DescriptorBudget{}
	b.Resize(descriptors)
	return b
}

// Resize divides another limit. What is booked beyond it stays so.
func (b *DescriptorBudget) Resize(descriptors int) {
	b.Total = max(descriptors-reserve, 2)
	b.Clients = max(b.Total*2/3, 1)
	b.Asking = max(descriptors/3, 1)
}

// Open returns how many sockets are booked.
func (b *DescriptorBudget) Open() (clients, hosts int) { return b.clients, b.hosts }

// TakeClient books a client's socket, if one is left.
func (b *DescriptorBudget) TakeClient() bool {
	if b.clients >= b.Clients || b.clients+b.hosts >= b.Total {
		return false
	}
	b.clients++
	return true
}

// GiveClient returns it.
func (b *DescriptorBudget) GiveClient() { b.clients-- }

// Spare returns how many more sockets may be open.
func (b *DescriptorBudget) Spare() int { return max(b.Total-b.clients-b.hosts, 0) }

// ClientsShort tells whether clients hold more than half of what they may: the
// rest is for those yet to come.
func (b *DescriptorBudget) ClientsShort() bool { return b.clients > b.Clients/2 }

// TakeHost books a socket to a database host, if one is left.
func (b *DescriptorBudget) TakeHost() bool {
	if b.clients+b.hosts >= b.Total {
		return false
	}
	b.hosts++
	return true
}

// GiveHost returns it.
func (b *DescriptorBudget) GiveHost() { b.hosts-- }
