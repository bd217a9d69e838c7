package front

import "lotusbend/internal/slotmap"

// Times are in milliseconds.
const (
	// drainDelay is how long after a drain began no connection is ended: what had
	// arrived by then may be on its way from the system to the read buffer, where
	// Quiet sees it in neither.
	drainDelay = 10
	// drainGrace is for how long after a drain began a statement that is read may
	// have arrived before it.
	drainGrace = 100
)

// Drain ends connections between their commands, from now on: those that are
// idle now, and the others after their answers. New connections and later
// statements are rejected with the advice to retry.
func (s *Server) Drain() {
	s.draining = true
	s.drainBegan = s.loop.Now()
	drainIdle := func() {
		s.clients.Each(func(_ slotmap.Handle, c *client) { c.drainIfIdle() })
	}
	s.loop.At(s.drainBegan+drainDelay, drainIdle)
	s.loop.At(s.drainBegan+drainGrace, drainIdle)
}

// drainIfIdle ends c's connection if the server drains and every command is
// answered. What may have arrived before the drain is still read, after which c
// is checked again. What can only have arrived later is not waited for, or a
// client that goes on sending would delay the drain.
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
