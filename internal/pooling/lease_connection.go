package pooling

import "container/list"

// Opened reports that a connection is up.
func (l *Leases) Opened(now float64, id uint64) {
	conn := l.connections[id]
	if conn == nil || conn.state != connOpening {
		return
	}
	l.endOpening(conn)
	if l.limits.MaxLifetime > 0 {
		conn.expires = now + l.limits.MaxLifetime*(1+0.1*l.rand.Float64())
	}
	l.makeIdle(now, conn)
}

// Closed reports that a connection has ended, or could not be opened. A client
// that leases it notices by itself.
func (l *Leases) Closed(id uint64) {
	conn := l.connections[id]
	if conn == nil {
		return
	}
	l.remove(conn)
	l.dispatchAll(l.endpoints[conn.key.Endpoint])
}

// Released reports that a lease has ended. A connection that is not clean is
// closed: no other client may find the session state left there.
func (l *Leases) Released(now float64, id uint64, clean bool) {
	conn := l.connections[id]
	if conn == nil || conn.state != connLeased {
		return
	}
	endpoint := l.endpoints[conn.key.Endpoint]
	expired := conn.expires > 0 && now >= conn.expires
	if !clean || endpoint.draining || expired {
		l.close(conn)
		l.dispatchAll(endpoint)
		return
	}
	endpoint.leased--
	l.makeIdle(now, conn)
}

// makeIdle adds a connection to its pool and grants it to a queued request, or
// sets the timer that closes it.
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
		l.close(conn)
		return
	}
	l.dispatch(endpoint)
	if conn.state != connIdle || l.connections[conn.id] != conn {
		return // dispatch granted or evicted it
	}
	if end := l.idleEnd(now, conn); end > 0 {
		conn.timer = l.timers.At(end, func(float64) {
			l.close(conn)
			l.dispatchAll(endpoint)
		})
	}
	l.dispatchOthers(endpoint)
}

// idleEnd returns when an idle connection must be closed, 0 for never.
func (l *Leases) idleEnd(now float64, conn *serverConn) float64 {
	if l.limits.IdleTimeout <= 0 {
		return conn.expires
	}
	end := now + l.limits.IdleTimeout
	if conn.expires > 0 {
		end = min(end, conn.expires)
	}
	return end
}

// close removes a connection and has it closed.
func (l *Leases) close(conn *serverConn) {
	l.remove(conn)
	l.actions.Close(conn.id)
}

// remove forgets a connection, in whatever state it is.
func (l *Leases) remove(conn *serverConn) {
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

// decrement lowers a count by one, and deletes it at zero.
func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// endOpening stops counting a connection among those that open.
func (l *Leases) endOpening(conn *serverConn) {
	l.endpoints[conn.key.Endpoint].opening--
	decrement(l.opening, conn.key)
}

// removeIdle takes a connection out of its pool.
func (l *Leases) removeIdle(conn *serverConn) {
	l.timers.Cancel(conn.timer)
	pool := l.idle[conn.key]
	pool.Remove(conn.idleElement)
	conn.idleElement = nil
	if pool.Len() == 0 {
		delete(l.idle, conn.key)
	}
}
