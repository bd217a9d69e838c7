package front

import (
	"errors"

	"lotusbend/internal/postgres/wire"
)

// closeTimeout is how long, in milliseconds, a client may take to close its
// connection after our half-close.
const closeTimeout = 1000

// fail ends an idle connection on which something came that is not a message.
func (c *client) fail(err error) {
	if message := finalMessage(err); len(message) > 0 {
		c.conn.Send(message, nil)
	}
	c.halfClose()
}

// finalMessage is the last message to a client whose connection err ends.
func finalMessage(err error) []byte {
	code := wire.CodeProtocolViolation
	switch {
	case errors.Is(err, errTerminate):
		return nil
	case errors.Is(err, errVersion):
		code = wire.CodeFeatureNotSupported
	case errors.Is(err, errMemory):
		code = wire.CodeOutOfMemory
	}
	return wire.AppendErrorResponse(nil, "FATAL", code, err.Error(), "")
}

// halfClose ends our side of a connection whose commands are all answered. Its
// client sees the end after what was sent, and closes the connection; if it
// takes too long, the connection is closed here.
func (c *client) halfClose() {
	if c.closing && !c.onReserve {
		return
	}
	c.conn.Finish()
	c.awaitClose()
}

// halfCloseIfQuiet is halfClose if everything that has arrived was read. It
// reports whether it was.
func (c *client) halfCloseIfQuiet() bool {
	if !c.conn.FinishIfQuiet() {
		return false
	}
	c.awaitClose()
	return true
}

// awaitClose closes the connection if its client takes too long: to read its
// last answers while these are being sent, then to close.
func (c *client) awaitClose() {
	loop := c.server.loop
	c.closing = true
	timeout := float64(closeTimeout)
	if c.sending {
		timeout = writeTimeout
	}
	loop.Cancel(c.closeTimer)
	c.closeTimer = loop.At(loop.Now()+timeout, c.conn.Close)
}

// release returns c's slot, socket and memory, and cancels its requests.
func (c *client) release() {
	if c.released {
		return
	}
	c.bookUnread(0)
	c.released = true
	c.closing = true
	c.server.loop.Cancel(c.idleTimer)
	c.server.loop.Cancel(c.closeTimer)
	c.server.clients.Remove(c.handle)
	c.server.budget.ReleaseClient()
	if c.active {
		c.server.activeClients--
	}
	c.abandonCommands()
}

// disconnected takes the end of the connection, by either side.
func (c *client) disconnected() {
	c.conn.Close()
	c.server.loop.Cancel(c.closeTimer)
	if c.onReserve {
		c.onReserve = false
		c.server.reserveClients--
		return
	}
	c.release()
}
