package front

import (
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/slotmap"
)

// Phases of a drain, counted from its start.
const (
	// drainDelayMs is the time during which no connection is ended for the drain.
	// Bytes received before the drain may be in transit from the kernel to the
	// read buffer, and Quiet would see them in neither place.
	drainDelayMs = 10
	// drainGraceMs is the time during which statements are still accepted, because
	// they may have been received before the drain.
	drainGraceMs = 100
)

// Drain starts to end all connections: idle ones after drainDelayMs, the others
// after their pending commands are answered. New connections are rejected with
// CodeCannotConnectNow at once, and statements after drainGraceMs, so that their
// clients retry elsewhere.
func (s *Server) Drain() {
	s.draining = true
	s.drainBegan = s.loop.Now()
	drainIdle := func() {
		s.clients.Each(func(_ slotmap.Handle, c *client) { c.drainIfIdle() })
	}
	s.loop.At(s.drainBegan+drainDelayMs, drainIdle)
	s.loop.At(s.drainBegan+drainGraceMs, drainIdle)
}

// drainIfIdle ends the connection of c if the server is draining and every
// command is answered. Until drainGraceMs, a connection with unread bytes is left
// open, as they may have been received before the drain; it is checked again once
// they are read. Later, unread bytes are ignored, so that a client that keeps
// sending cannot delay the drain.
func (c *client) drainIfIdle() {
	s := c.server
	now := s.loop.Now()
	if !s.draining || now < s.drainBegan+drainDelayMs || c.busy() || c.closing {
		return
	}
	if now >= s.drainBegan+drainGraceMs {
		c.halfClose()
	} else if !c.partial {
		c.halfCloseIfQuiet()
	}
}

// GiveUpLateClients answers all commands of the clients that have sent anything since
// the drain began or do so from now on, without waiting for endpoints any longer.
// Answers are sent in the order of the commands, so what was sent late would otherwise
// wait for statements that may outlast the process.
func (s *Server) GiveUpLateClients() {
	s.givingUp = true
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if c.sentInDrain {
			c.giveUp()
		}
	})
}

// LateClients returns the number of clients that have sent anything since the drain
// began.
func (s *Server) LateClients() (late int) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if c.sentInDrain {
			late++
		}
	})
	return late
}

// giveUp ends the running statements of c as if their deadlines had passed. Those that
// wait for them end as they start.
func (c *client) giveUp() {
	c.givenUp = true
	var running []slotmap.Handle
	c.queue.Each(func(command *pipeline.Command[*statement]) {
		if command.Running() {
			running = append(running, command.Value.requestHandle)
		}
	})
	for _, request := range running {
		c.server.handler.GiveUp(request)
	}
}
