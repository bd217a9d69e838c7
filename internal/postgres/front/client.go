package front

import (
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/slotmap"
)

// client is one connection. The fields of the first group are accessed inside
// the loop's Do, the others by the connection's own callbacks, which never run
// concurrently.
type client struct {
	handle      slotmap.Handle
	secret      uint32 // that a CancelRequest must show
	server      *Server
	conn        *netio.Conn
	released    bool            // it has no slot
	onReserve   bool            // it uses a descriptor kept in reserve
	closing     bool            // nothing more is accepted from it
	sending     bool            // answers that are not all written to the system
	active      bool            // it has sent a whole statement
	partial     bool            // it has sent a part of a message
	starting    bool            // startCommands is running
	skipping    bool            // after an error in the extended protocol, until Sync
	idleSince   float64         // Unix milliseconds: no command since, or only that part
	idleTimer   *clock.Deadline // checks how long it has been idle
	closeTimer  *clock.Deadline // for reading its answers, or for closing
	queue       pipeline.Queue[*statement]
	unreadBytes int // booked for what was received and not parsed

	rejection      []byte // the message to a client without a slot
	discarding     bool   // what it sends is not parsed any more
	discardedBytes int
	started        bool // its startup is complete
}

// reject marks a connection that gets no slot.
func (c *client) reject(code, message string) {
	c.released = true
	c.closing = true
	c.onReserve = true
	c.rejection = wire.AppendErrorResponse(nil, "FATAL", code, message, "")
	c.server.reserveClients++
}

// busy reports whether a command is not answered, or an answer not written to
// the system.
func (c *client) busy() bool { return c.queue.Len() > 0 || c.sending }

// bookUnread books n bytes for what is in the read buffer, or is missing of a
// message that has begun. It reports whether there is memory for them: the
// poller reads on whatever becomes of the bytes, so that a flood must be ended.
func (c *client) bookUnread(n int) bool {
	if c.released {
		return true
	}
	c.server.unreadMemory.Reserve(n - c.unreadBytes)
	c.unreadBytes = n
	return n <= smallMessage || !c.server.unreadMemory.Exceeded()
}

// bookCommand returns the record of a command that is not executed, with size
// bytes booked for it.
func (c *client) bookCommand(size int) *statement {
	c.server.queuedMemory.Reserve(size)
	return &statement{client: c, bookedBytes: size}
}
