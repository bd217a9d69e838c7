package front

import (
	"errors"

	"lotusbend/internal/postgres/wire"
)

// closeTimeoutMs is how long a client may take to close its connection after the
// router's half-close.
const closeTimeoutMs = 1000

// endWithError sends err to the client and ends the connection, on which no
// command is pending.
func (c *client) endWithError(err error) {
	if message := fatalMessage(err); len(message) > 0 {
		c.conn.Send(message, nil)
	}
	c.halfClose()
}

// fatalMessage returns the ErrorResponse for an error that ends the connection,
// nil for errTerminate.
func fatalMessage(err error) []byte {
	code := wire.CodeProtocolViolation
	switch {
	case errors.Is(err, errTerminate):
		return nil
	case errors.Is(err, errUnsupportedVersion):
		code = wire.CodeFeatureNotSupported
	case errors.Is(err, errOutOfMemory):
		code = wire.CodeOutOfMemory
	}
	return wire.AppendErrorResponse(nil, "FATAL", code, err.Error(), "")
}

// halfClose shuts down the sending side of a connection whose commands are all
// answered. The client receives everything that was sent, then EOF, and is
// expected to close; after a timeout the router closes the connection.
func (c *client) halfClose() {
	if c.closing && !c.usesReserve {
		return
	}
	c.conn.Finish()
	c.awaitClose()
}

// halfCloseIfQuiet half-closes the connection unless received bytes are unread.
// It reports whether it did.
func (c *client) halfCloseIfQuiet() bool {
	if c.partial || !c.conn.FinishIfQuiet() {
		return false
	}
	c.awaitClose()
	return true
}

// awaitClose schedules the close of a half-closed connection: after
// writeTimeoutMs while answers are being sent, otherwise after closeTimeoutMs.
func (c *client) awaitClose() {
	loop := c.server.loop
	c.closing = true
	c.dropUnfinished()
	timeout := float64(closeTimeoutMs)
	if c.sending {
		timeout = writeTimeoutMs
	}
	loop.Cancel(c.closeTimer)
	c.closeTimer = loop.At(loop.Now()+timeout, c.conn.Close)
}

// release frees the slot, descriptor and memory reservations of c, and cancels
// its requests.
func (c *client) release() {
	if c.released {
		return
	}
	c.dropUnfinished()
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

// disconnected handles the end of the connection, by either side.
func (c *client) disconnected() {
	c.conn.Close()
	c.server.loop.Cancel(c.closeTimer)
	if c.usesReserve {
		c.usesReserve = false
		c.server.reserveClients--
		return
	}
	c.release()
}
