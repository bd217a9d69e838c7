package front

const (
	// partialTimeoutMs is how long a connection may be idle before it is ended if
	// it has not sent a complete statement, or has sent an incomplete message.
	// Any other connection may be ended after this time if its descriptor is
	// needed.
	partialTimeoutMs = 2000
	// idleTimeoutMs is how long any connection may be idle; some clients never
	// close their connections.
	idleTimeoutMs = 10000
)

// beginIdle starts the idle time of c.
func (c *client) beginIdle() {
	c.idleSince = c.server.loop.Now()
	c.checkIdleAt(c.idleSince + partialTimeoutMs)
}

// checkIdleAt schedules the next checkIdle, at a time in Unix milliseconds.
func (c *client) checkIdleAt(at float64) {
	loop := c.server.loop
	loop.Cancel(c.idleTimer)
	c.idleTimer = loop.At(at, c.checkIdle)
}

// checkIdle ends a connection that has been idle for too long. It postpones this
// while bytes are unread, since they may be a statement that is being received.
func (c *client) checkIdle() {
	now := c.server.loop.Now()
	expired := now >= c.idleSince+idleTimeoutMs || c.server.budget.ClientPressure()
	switch {
	case c.released, c.closing:
	case c.busy(): // an incomplete message behind pending commands does not end the connection
		c.checkIdleAt(now + partialTimeoutMs)
	case c.partial:
		c.endWithError(errIncompleteMessage)
	case c.active && !expired:
		c.checkIdleAt(min(now+partialTimeoutMs, c.idleSince+idleTimeoutMs))
	case !c.halfCloseIfQuiet():
		c.checkIdleAt(now + partialTimeoutMs)
	}
}
