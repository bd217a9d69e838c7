package pooling

import "container/list"

// Opened reports that a connection has been opened.
func (l *Leases) Opened(now float64, id uint64) {
	conn := l.connections[id]
	if conn == nil || conn.state != connOpening {
		return
	}
	l.endOpening(conn)
	if l.limits.MaxLifetime > 0 {
		conn.expiresAt = now + l.limits.MaxLifetime*(1+lifetimeJitter*l.rand.Float64())
	}
	l.makeIdle(now, conn)
}

// Closed reports that a connection has ended or could not be opened. The
// client of a leased connection is not notified; it observes the end itself.
func (l *Leases) Closed(id uint64) {
	conn := l.connections[id]
	if conn == nil {
		return
	}
	l.removeConnection(conn)
	l.dispatchAll(l.endpoints[conn.key.Endpoint])
}

// Released reports that a lease has ended. A connection that is not clean is
// closed, so that no other client sees the session state left on it.
func (l *Leases) Released(now float64, id uint64, clean bool) {
	conn := l.connections[id]
	if conn == nil || conn.state != connLeased {
		return
	}
	endpoint := l.endpoints[conn.key.Endpoint]
	expired := conn.expiresAt > 0 && now >= conn.expiresAt
	if !clean || endpoint.draining || expired {
		l.closeConnection(conn)
		l.dispatchAll(endpoint)
		return
	}
	endpoint.leased--
	l.makeIdle(now, conn)
}

// makeIdle adds a connection to its pool. It then grants the connection to a
// queued request, or sets the timer that closes it and dispatches at the other
// endpoints, for which the connection may be evicted.
func (l *Leases) makeIdle(now float64, conn *serverConn) {
	endpoint := l.endpoints[conn.key.Endpoint]
	conn.state = connIdle
	pool := l.idle[conn.key]
	if pool == nil {
		pool = list.New()
		l.idle[conn.key] = pool
	}
	conn.idleElement = pool.PushBack(conn)
	if endpoint.draining {
		l.closeConnection(conn)
		return
	}
	l.dispatch(endpoint)
	if conn.state != connIdle || l.connections[conn.id] != conn {
		return // dispatch granted or evicted the connection
	}
	if end := l.idleDeadline(now, conn); end > 0 {
		conn.timer = l.timers.At(end, func(float64) {
			l.closeConnection(conn)
			l.dispatchAll(endpoint)
		})
	}
	l.dispatchOthers(endpoint)
}

// idleDeadline returns the time at which an idle connection must be closed, 0
// for never.
func (l *Leases) idleDeadline(now float64, conn *serverConn) float64 {
	if l.limits.IdleTimeout <= 0 {
		return conn.expiresAt
	}
	end := now + l.limits.IdleTimeout
	if conn.expiresAt > 0 {
		end = min(end, conn.expiresAt)
	}
	return end
}

// closeConnection removes a connection and asks the caller to close it.
func (l *Leases) closeConnection(conn *serverConn) {
	l.removeConnection(conn)
	l.actions.Close(conn.id)
}

// removeConnection deletes a connection in any state and its part of the counts.
func (l *Leases) removeConnection(conn *serverConn) {
	endpoint := l.endpoints[conn.key.Endpoint]
	switch conn.state {
	case connIdle:
		l.removeIdle(conn)
	case connOpening:
		l.endOpening(conn)
	case connLeased:
		endpoint.leased--
	}
	l.timers.Cancel(conn.timer)
	delete(l.connections, conn.id)
	endpoint.connections--
	decrement(endpoint.perUser, conn.key.User)
	decrement(l.perUser, conn.key.User)
	decrement(l.perDatabase, conn.key.Database)
}

// decrement lowers a count by one and deletes it at zero.
func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// endOpening stops counting a connection among those being opened.
func (l *Leases) endOpening(conn *serverConn) {
	l.endpoints[conn.key.Endpoint].opening--
	decrement(l.opening, conn.key)
}

// removeIdle removes a connection from its pool and cancels its timer.
func (l *Leases) removeIdle(conn *serverConn) {
	l.timers.Cancel(conn.timer)
	pool := l.idle[conn.key]
	pool.Remove(conn.idleElement)
	conn.idleElement = nil
	if pool.Len() == 0 {
		delete(l.idle, conn.key)
	}
}
