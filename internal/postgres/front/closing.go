package front

import (
	"errors"

	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/slotmap"
)

// Times are in milliseconds.
const (
	// partialTimeout is how long a connection may go without a command under
	// way: one that has not sent a whole statement by then is ended, and any
	// other may be, if its socket is wanted.
	partialTimeout = 2000
	// idleTimeout ends the others: some clients keep their connections for good.
	idleTimeout = 10000
	// closeTimeout is how long a client may take to go once it was told.
	closeTimeout = 1000
	// minOnReserve bounds the clients told to go that have not gone, which live
	// on the descriptors kept in reserve, and spareOnReserve the share of those
	// that nobody has taken that they may hold beside: a close without a word
	// looks to a client like a router that has died.
	minOnReserve   = 12
	spareOnReserve = 0.5
	// drainDelay is how long after a drain began nobody is let go: what had come
	// by then may be on its way from the system to the buffer, where Quiet sees
	// it in neither.
	drainDelay = 10
	// drainGrace is for how long after a drain began a statement that is read
	// may have come before it.
	drainGrace = 100
	// activeShare of what clients may hold for requests is where those that have
	// sent a statement begin to make room for each other.
	activeShare = 0.75
)

func (s *Server) mostOnReserve() int {
	return minOnReserve + int(spareOnReserve*float64(s.budget.Spare()))
}

// evictOne ends the connection that has been idle longest, one that never sent
// a statement before any other. Of those that did, only one that may be closed
// goes: its client may be about to send another.
func (s *Server) evictOne() bool {
	c := s.longestIdle(func(c *client) bool { return !c.active })
	if c == nil {
		c = s.longestIdle(func(c *client) bool { return s.loop.Now() >= c.idleSince+partialTimeout && c.conn.Quiet() })
	}
	if c != nil {
		s.evict(c)
		return true
	}
	s.clients.Each(func(_ slotmap.Handle, told *client) { // it takes its time to go
		if told.closing && !told.sending && (c == nil || told.idleSince < c.idleSince) {
			c = told
		}
	})
	if c != nil {
		c.release()
		c.conn.Close()
	}
	return c != nil
}

// evict lets c go and gives its place in the budget to another at once. It
// lives on a descriptor of the reserve until its client has heard; only where
// none is left it is closed hard.
func (s *Server) evict(c *client) {
	c.release()
	if s.onReserve >= s.mostOnReserve() {
		c.conn.Close()
		return
	}
	c.onReserve = true
	s.onReserve++
	c.halfClose()
}

// evictIdle ends the connection that has been idle longest when clients hold
// nearly all that they open for requests. Where each sends one and keeps its
// connection, none is left for the next request: it would be refused over
// there, unseen here. The protocol lets a router close between requests.
func (s *Server) evictIdle() {
	if float64(s.active) <= activeShare*float64(s.budget.Asking) {
		return
	}
	if c := s.longestIdle(func(c *client) bool { return c.active && !c.partial && c.conn.Quiet() }); c != nil {
		s.evict(c)
	}
}

// longestIdle returns the client that has been idle longest of those that may
// be ended, nil if there is none.
func (s *Server) longestIdle(may func(*client) bool) (found *client) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if !c.busy() && !c.closing && (found == nil || c.idleSince < found.idleSince) && may(c) {
			found = c
		}
	})
	return found
}

// beginIdle begins the time that c may go without a command.
func (c *client) beginIdle() {
	c.idleSince = c.server.loop.Now()
	c.checkIdleAt(c.idleSince + partialTimeout)
}

func (c *client) checkIdleAt(at float64) {
	loop := c.server.loop
	loop.Cancel(c.idleCheck)
	c.idleCheck = loop.At(at, c.checkIdle)
}

// checkIdle ends a connection that has been idle too long. That is no answer:
// it must not cross a statement that is on its way up to here.
func (c *client) checkIdle() {
	now, budget := c.server.loop.Now(), c.server.budget
	expired := now >= c.idleSince+idleTimeout || budget.ClientsShort()
	switch {
	case c.released, c.closing:
	case c.busy(): // only a part of what comes next is there
		c.checkIdleAt(now + partialTimeout)
	case c.partial:
		c.fail(errPartial)
	case c.active && !expired:
		c.checkIdleAt(min(now+partialTimeout, c.idleSince+idleTimeout))
	case !c.halfCloseIfQuiet():
		c.checkIdleAt(now + partialTimeout)
	}
}

// fail ends an idle connection on which something came that is no message.
func (c *client) fail(err error) {
	if b := endAnswer(err); len(b) > 0 {
		c.conn.Send(b, nil)
	}
	c.halfClose()
}

// endAnswer is the last that a client hears when err ends its connection.
func endAnswer(err error) []byte {
	code := wire.CodeProtocol
	switch {
	case errors.Is(err, errTerminate):
		return nil
	case errors.Is(err, errVersion):
		code = wire.CodeUnsupported
	case errors.Is(err, errMemory):
		code = wire.CodeOutOfMemory
	}
	return wire.AppendError(nil, "FATAL", code, err.Error(), "")
}

// halfClose lets c go, that owes nothing: its client hears the end after what
// was sent, and ends the connection, at the latest after a while.
func (c *client) halfClose() {
	if c.closing && !c.onReserve {
		return
	}
	c.conn.Finish()
	c.awaitClose()
}

// halfCloseIfQuiet is halfClose where everything that has come was read, and
// tells whether it was.
func (c *client) halfCloseIfQuiet() bool {
	if !c.conn.FinishQuiet() {
		return false
	}
	c.awaitClose()
	return true
}

// awaitClose has the connection closed if its client takes too long: to read its
// last answers while these are leaving, then to go.
func (c *client) awaitClose() {
	loop := c.server.loop
	c.closing = true
	timeout := float64(closeTimeout)
	if c.sending {
		timeout = writeTimeout
	}
	loop.Cancel(c.closeBy)
	c.closeBy = loop.At(loop.Now()+timeout, c.conn.Close)
}

// drainIfIdle lets c go if the server drains and c owes nothing. What may have
// come before the drain is still read, and c looked at again after; what can
// only have come later is not waited for, or who goes on sending would hold the
// drain up.
func (c *client) drainIfIdle() {
	s := c.server
	now := s.loop.Now()
	if !s.draining || now < s.drainBegan+drainDelay || c.busy() || c.closing {
		return
	}
	if now >= s.drainBegan+drainGrace {
		c.halfClose()
	} else if !c.partial {
		c.halfCloseIfQuiet()
	}
}

// release gives c's slot, socket and memory back; the requests of a client that
// has gone lapse.
func (c *client) release() {
	if c.released {
		return
	}
	c.bookUnread(0)
	c.released, c.closing = true, true
	c.server.loop.Cancel(c.idleCheck)
	c.server.loop.Cancel(c.closeBy)
	c.server.clients.Remove(c.ref)
	c.server.budget.GiveClient()
	if c.active {
		c.server.active--
	}
	c.abandonCommands()
}

// disconnected learns that the connection has ended, by either side.
func (c *client) disconnected() {
	c.conn.Close()
	c.server.loop.Cancel(c.closeBy)
	if c.onReserve {
		c.onReserve = false
		c.server.onReserve--
		return
	}
	c.release()
}

// Drain lets clients go between their commands, from now on: those that are
// idle now, the others after their answers. New ones are told to come again, and
// so are statements that come later. It runs inside Do.
func (s *Server) Drain() {
	s.draining, s.drainBegan = true, s.loop.Now()
	each := func() { s.clients.Each(func(_ slotmap.Handle, c *client) { c.drainIfIdle() }) }
	s.loop.At(s.drainBegan+drainDelay, each)
	s.loop.At(s.drainBegan+drainGrace, each)
}
