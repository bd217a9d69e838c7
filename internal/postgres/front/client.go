package front

import (
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/slotmap"
)

// client is one client connection. Its fields are accessed inside the loop's Do,
// except for rejection, which is set before the connection is registered.
type client struct {
	handle      slotmap.Handle
	secret      uint32 // a CancelRequest for this connection must contain it
	server      *Server
	conn        *netio.Conn
	released    bool            // it has no slot in server.clients
	usesReserve bool            // it uses a reserve descriptor
	closing     bool            // its commands are no longer accepted
	sending     bool            // the kernel has not accepted all answers passed to conn
	active      bool            // it has sent a complete statement
	partial     bool            // the last message received is incomplete
	starting    bool            // startCommands is on the stack
	sentInDrain bool            // it has sent something since the drain began
	givenUp     bool            // its statements no longer wait for endpoints
	gone        bool            // the client has closed its side, though input may be unread
	skipping    bool            // after an error in the extended protocol: ignores messages up to Sync
	idleSince   float64         // Unix milliseconds of the last beginIdle
	idleTimer   *clock.Deadline // runs checkIdle
	closeTimer  *clock.Deadline // closes the connection if answers or the close take too long
	queue       pipeline.Queue[*statement]
	input       wire.Assembler
	unreadBytes int // reserved in server.unreadMemory

	started        bool // the startup message was processed
	discarding     bool // further input is dropped without being parsed
	discardedBytes int
	rejection      []byte          // ErrorResponse to a rejected client, nil for any other
	gate           *netio.ReadGate // keeps netpoll from reading ahead
}

// reject marks a connection that gets no slot and prepares its error message.
func (c *client) reject(code, message string) {
	c.released = true
	c.closing = true
	c.usesReserve = true
	c.rejection = wire.AppendErrorResponse(nil, "FATAL", code, message, "")
	c.server.reserveClients++
}

// busy reports whether a command is queued, with or without its answer, or the
// kernel has not accepted all answers that were sent.
func (c *client) busy() bool { return c.queue.Len() > 0 || c.sending }

// reserveUnread sets the reservation for unparsed input to n bytes: the capacity
// of the incomplete message, and what netpoll has read beyond its buffer. It reports whether
// the connection may go on within the memory budget; if not, the caller must end it
// and drop the input.
func (c *client) reserveUnread(n int) bool {
	if c.released {
		return true
	}
	c.server.unreadMemory.Reserve(n - c.unreadBytes)
	c.unreadBytes = n
	return n <= smallMessageBytes || !c.server.unreadMemory.Exceeded()
}

// reserveCommand returns the record of a command that is answered without being
// submitted, and reserves size bytes for it.
func (c *client) reserveCommand(size int) *statement {
	c.server.queuedMemory.Reserve(size)
	return &statement{client: c, reservedBytes: size}
}
