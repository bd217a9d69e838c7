package front

import (
	"errors"

	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/slots"
)

// makeRoom ends the connection that has been quiet longest, one that never
// asked before any other. Of those that did, only one that may be closed goes:
// its client may be about to ask again.
func (s *Server) makeRoom() bool {
	c := s.quietest(func(c *client) bool { return !c.asked })
	if c == nil {
		c = s.quietest(func(c *client) bool { return s.loop.Now() >= c.quietAt+quietLimit && c.link.Quiet() })
	}
	if c != nil {
		s.displace(c)
		return true
	}
	s.clients.Each(func(_ slots.Ref, told *client) { // it takes its time to go
		if told.leaving && (c == nil || told.quietAt < c.quietAt) {
			c = told
		}
	})
	if c != nil {
		c.release()
		c.link.Close()
	}
	return c != nil
}

// displace lets c go and gives its place in the budget to another at once. It
// lives on a descriptor of the reserve until its client has heard; only where
// none is left it is closed hard.
func (s *Server) displace(c *client) {
	c.release()
	if s.leaving >= s.mostLeaving() {
		c.link.Close()
		return
	}
	c.reserve = true
	s.leaving++
	c.part()
}

// askingShare of what clients may hold for requests is where those that have
// asked begin to make room for each other.
const askingShare = 0.75

// trim ends the connection that has been idle longest when clients hold nearly
// all that they open for requests. Where each asks once and keeps its
// connection, none is left for the next request: it would be refused over
// there, unseen here. The protocol lets a router close between requests.
func (s *Server) trim() {
	if float64(s.asked) <= askingShare*float64(s.budget.Asking) {
		return
	}
	if c := s.quietest(func(c *client) bool { return c.asked && !c.half && c.link.Quiet() }); c != nil {
		s.displace(c)
	}
}

// quietest returns the client that has been quiet longest of those that may
// be, nil if there is none.
func (s *Server) quietest(may func(*client) bool) (found *client) {
	s.clients.Each(func(_ slots.Ref, c *client) {
		if !c.busy && !c.sending && !c.leaving && (found == nil || c.quietAt < found.quietAt) && may(c) {
			found = c
		}
	})
	return found
}

// quiet begins the time that c may go without a request.
func (c *client) quiet() {
	c.quietAt = c.server.loop.Now()
	c.checkAt(c.quietAt + quietLimit)
}

func (c *client) checkAt(at float64) {
	loop := c.server.loop
	loop.Cancel(c.check)
	c.check = loop.At(at, c.checkQuiet)
}

// checkQuiet ends a connection that has been quiet too long. That is no
// answer: it must not cross a statement that is on its way up to here.
func (c *client) checkQuiet() {
	now, budget := c.server.loop.Now(), c.server.budget
	idleEnds := now >= c.quietAt+idleLimit || budget.ClientsShort()
	switch {
	case c.ended, c.leaving:
	case c.busy, c.sending: // only a part of what comes next is there
		c.checkAt(now + quietLimit)
	case c.half:
		c.fault(errHalf)
	case c.asked && !idleEnds:
		c.checkAt(min(now+quietLimit, c.quietAt+idleLimit))
	case !c.partQuiet():
		c.checkAt(now + quietLimit)
	}
}

// part lets c go, that owes nothing: its client hears the end after what was
// sent, and ends the connection, at the latest after a while.
func (c *client) part() {
	if c.leaving && !c.reserve {
		return
	}
	c.link.Finish()
	c.parted()
}

// partQuiet is part where everything that has come was read, and tells whether
// it was.
func (c *client) partQuiet() bool {
	if !c.link.FinishQuiet() {
		return false
	}
	c.parted()
	return true
}

func (c *client) parted() {
	loop := c.server.loop
	c.leaving = true
	loop.Cancel(c.leave)
	c.leave = loop.At(loop.Now()+leaveTimeout, c.link.Close)
}

// settle lets c go if the server drains and c owes nothing. What may have come
// before the drain is still read, and c settled after; what can only have come
// later is not waited for, or who goes on sending would hold the drain up.
func (c *client) settle() {
	s := c.server
	now := s.loop.Now()
	if !s.closing || now < s.closedAt+arriving || c.busy || c.sending || c.leaving || len(c.ahead) > 0 {
		return
	}
	if now >= s.closedAt+crossing {
		c.part()
	} else if !c.half {
		c.partQuiet()
	}
}

// fault ends a connection on which something came that is no message.
func (c *client) fault(err error) {
	code := wire.CodeProtocol
	if errors.Is(err, errVersion) {
		code = wire.CodeUnsupported
	}
	if !errors.Is(err, errBye) {
		c.link.Send(wire.AppendError(nil, "FATAL", code, err.Error(), ""), nil)
	}
	c.part()
}

// release gives c's slot and socket back.
func (c *client) release() {
	if c.ended {
		return
	}
	c.ended, c.leaving = true, true
	c.server.loop.Cancel(c.check)
	c.server.loop.Cancel(c.leave)
	c.server.clients.Remove(c.ref)
	c.server.budget.GiveClient()
	c.ahead = nil
	if c.asked {
		c.server.asked--
	}
	if c.busy {
		delete(c.server.open, c.id)
	}
}

// hungUp learns that the connection has ended, by either side.
func (c *client) hungUp() {
	c.link.Close()
	c.server.loop.Cancel(c.leave)
	if c.reserve {
		c.server.leaving--
		return
	}
	c.release()
	if c.busy {
		c.busy = false
		c.server.requests.Lapse(c.request)
	}
}

// Drain lets clients go between their requests, from now on: those that are
// idle now, the others after their answer. New ones are told to come again, and
// so are statements that come later. It runs inside Do.
func (s *Server) Drain() {
	s.closing, s.closedAt = true, s.loop.Now()
	settle := func() { s.clients.Each(func(_ slots.Ref, c *client) { c.settle() }) }
	s.loop.At(s.closedAt+arriving, settle)
	s.loop.At(s.closedAt+crossing, settle)
}

// Open returns how many clients have a slot, and how many others were told to
// go and have not gone. It runs inside Do.
func (s *Server) Open() (clients, leaving int) {
	s.clients.Each(func(slots.Ref, *client) { clients++ })
	return clients, s.leaving
}
