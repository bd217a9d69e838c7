package front

// Times are in milliseconds.
const (
	// partialTimeout is how long a connection may go without a running command:
	// one that has not sent a whole statement by then is ended, and any other may
	// be, if its socket is needed.
	partialTimeout = 2000
	// idleTimeout ends the others: some clients keep their connections for good.
	idleTimeout = 10000
)

// beginIdle begins the time that c may go without a command.
func (c *client) beginIdle() {
	c.idleSince = c.server.loop.Now()
	c.checkIdleAt(c.idleSince + partialTimeout)
}

// checkIdleAt sets when checkIdle runs next.
func (c *client) checkIdleAt(at float64) {
	loop := c.server.loop
	loop.Cancel(c.idleTimer)
	c.idleTimer = loop.At(at, c.checkIdle)
}

// checkIdle ends a connection that has been idle too long. It does so only where
// nothing is unread: the end must not cross a statement that is being received.
func (c *client) checkIdle() {
	now := c.server.loop.Now()
	expired := now >= c.idleSince+idleTimeout || c.server.budget.ClientPressure()
	switch {
	case c.released, c.closing:
	case c.busy(): // only a part of the next message is there
		c.checkIdleAt(now + partialTimeout)
	case c.partial:
		c.fail(errPartial)
	case c.active && !expired:
		c.checkIdleAt(min(now+partialTimeout, c.idleSince+idleTimeout))
	case !c.halfCloseIfQuiet():
		c.checkIdleAt(now + partialTimeout)
	}
}
