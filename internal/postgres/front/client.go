package front

import (
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/slotmap"
)

// client is one client connection. The fields of the first group are accessed
// inside the loop's Do, the others by the connection's own callbacks, which
// never run concurrently.
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
	skipping    bool            // after an error in the extended protocol: ignores messages up to Sync
	idleSince   float64         // Unix milliseconds of the last beginIdle
	idleTimer   *clock.Deadline // runs checkIdle
	closeTimer  *clock.Deadline // closes the connection if answers or the close take too long
	queue       pipeline.Queue[*statement]
	unreadBytes int // reserved in server.unreadMemory

	rejection      []byte // ErrorResponse to a rejected client, nil for any other
	discarding     bool   // further input is dropped without being parsed
	discardedBytes int
	started        bool // the startup message was processed
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

// reserveUnread sets the reservation for unparsed input to n bytes: the contents
// of the read buffer, or the full length of an incomplete message. It reports
// whether the connection may go on within the memory budget. netpoll keeps
// reading into the buffer even if nothing is parsed, so a client that exceeds the
// budget must be disconnected.
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
