package pooling

import (
	"container/list"
	"slices"
)

// dispatch grants idle connections to an endpoint's queued requests and opens
// connections for the others within the limits. It serves the user with the
// fewest connections to the endpoint first, and among a user's requests the one
// that was queued first.
func (l *Leases) dispatch(endpoint *endpointState) {
	opened := map[queueKey]bool{} // queues for which openConnection was called
	for {
		queued := l.nextQueued(endpoint, opened)
		if queued == nil {
			return
		}
		if l.grantIdle(endpoint, &queued.ConnectionRequest) {
			l.dequeue(queued)
			continue
		}
		l.openConnection(endpoint, queued)
		opened[queued.queueKey()] = true
	}
}

// nextQueued returns the request to serve next among the first ones of an
// endpoint's queues, except the queues in skip; nil if there is none.
func (l *Leases) nextQueued(endpoint *endpointState, skip map[queueKey]bool) *queuedRequest {
	var best *queuedRequest
	bestUsage := 0
	for _, key := range endpoint.queueOrder {
		if skip[key] {
			continue
		}
		first := endpoint.queues[key].Front().Value.(*queuedRequest)
		usage := l.usage(endpoint, first)
		if best == nil || usage < bestUsage || usage == bestUsage && first.sequence < best.sequence {
			best = first
			bestUsage = usage
		}
	}
	return best
}

// usage returns the number of connections to an endpoint of a request's user, in
// units of half a connection. It is one and a half connections lower if there is
// an idle connection that the request could use: otherwise two users with equal
// numbers of connections would evict each other's in turn.
func (l *Leases) usage(endpoint *endpointState, queued *queuedRequest) int {
	halves := 2 * endpoint.perUser[queued.Key.User]
	if l.idle[queued.Key] != nil {
		halves -= 3
	}
	return halves
}

// grantIdle leases an idle connection to a request and reports true, if there is
// one that the request may use.
func (l *Leases) grantIdle(endpoint *endpointState, request *ConnectionRequest) bool {
	pool := l.idle[request.Key]
	if pool == nil || !request.Write && l.onlyReserveLeft(endpoint) {
		return false
	}
	conn := selectIdle(pool, request.Client)
	l.removeIdle(conn)
	conn.state = connLeased
	conn.client = request.Client
	endpoint.leased++
	l.actions.Grant(request.Client, conn.id)
	return true
}

// selectIdle returns a connection of a pool that the client was the last to use,
// since it still has the client's session state, or else the most recently used
// one.
func selectIdle(pool *list.List, client uint64) *serverConn {
	for element := pool.Back(); element != nil; element = element.Prev() {
		if conn := element.Value.(*serverConn); conn.client == client {
			return conn
		}
	}
	return pool.Back().Value.(*serverConn)
}

// onlyReserveLeft reports whether an endpoint's remaining connections are
// reserved for writes.
func (l *Leases) onlyReserveLeft(endpoint *endpointState) bool {
	if l.limits.WriteReserve == 0 || l.limits.PerEndpoint == 0 {
		return false
	}
	return endpoint.leased+endpoint.opening >= l.limits.PerEndpoint-l.limits.WriteReserve
}

// openConnection opens a connection for a request if the limits allow it,
// evicting idle connections where that is needed.
func (l *Leases) openConnection(endpoint *endpointState, queued *queuedRequest) {
	key := queued.Key
	if l.opening[key] >= countQueued(endpoint, key) {
		return // a connection is being opened for each request queued for this key
	}
	if l.limits.MaxOpening > 0 && endpoint.opening >= l.limits.MaxOpening {
		return
	}
	if !queued.Write && l.onlyReserveLeft(endpoint) {
		return
	}
	for !l.hasCapacity(endpoint, key) {
		if !l.evictIdle(endpoint, key) {
			return
		}
	}
	l.lastID++
	conn := &serverConn{id: l.lastID, key: key}
	l.connections[conn.id] = conn
	endpoint.connections++
	endpoint.opening++
	endpoint.perUser[key.User]++
	l.opening[key]++
	l.perUser[key.User]++
	l.perDatabase[key.Database]++
	l.actions.Open(conn.id, key)
}

// countQueued returns the number of requests queued for connections of a key.
func countQueued(endpoint *endpointState, key PoolKey) int {
	count := 0
	for _, write := range []bool{false, true} {
		queue := endpoint.queues[queueKey{user: key.User, database: key.Database, write: write}]
		if queue != nil {
			count += queue.Len()
		}
	}
	return count
}

// hasCapacity reports whether every limit allows one more connection.
func (l *Leases) hasCapacity(endpoint *endpointState, key PoolKey) bool {
	return !limitReached(len(l.connections), l.limits.Total) &&
		!limitReached(endpoint.connections, l.limits.PerEndpoint) &&
		!limitReached(l.perUser[key.User], l.limits.PerUser) &&
		!limitReached(l.perDatabase[key.Database], l.limits.PerDatabase)
}

// limitReached reports whether a count is at or above its limit. A zero limit
// sets no bound.
func limitReached(count, limit int) bool { return limit > 0 && count >= limit }

// evictIdle closes an idle connection that counts towards a limit which a new
// connection of this key would exceed, and reports whether there was one. Among the
// least recently used connections of all pools it selects the one with the
// lowest ID, which was opened first.
func (l *Leases) evictIdle(endpoint *endpointState, key PoolKey) bool {
	var victim *serverConn
	for _, pool := range l.idle {
		conn := pool.Front().Value.(*serverConn)
		if l.evictionHelps(endpoint, key, conn) && (victim == nil || conn.id < victim.id) {
			victim = conn
		}
	}
	if victim == nil {
		return false
	}
	l.closeConnection(victim)
	return true
}

// evictionHelps reports whether a connection counts towards a limit that is
// reached for a new connection of this key.
func (l *Leases) evictionHelps(endpoint *endpointState, key PoolKey, conn *serverConn) bool {
	switch {
	case limitReached(len(l.connections), l.limits.Total):
		return true
	case limitReached(endpoint.connections, l.limits.PerEndpoint) && conn.key.Endpoint == endpoint.id:
		return true
	case limitReached(l.perUser[key.User], l.limits.PerUser) && conn.key.User == key.User:
		return true
	default:
		return limitReached(l.perDatabase[key.Database], l.limits.PerDatabase) &&
			conn.key.Database == key.Database
	}
}

// dispatchAll dispatches at every endpoint, the given one first, after a
// connection has ended: the limits across endpoints may allow a new one anywhere.
func (l *Leases) dispatchAll(endpoint *endpointState) {
	l.dispatch(endpoint)
	l.dispatchOthers(endpoint)
}

// dispatchOthers dispatches at all other endpoints, ordered by ID.
func (l *Leases) dispatchOthers(endpoint *endpointState) {
	if len(l.requests) == 0 {
		return
	}
	ids := make([]uint32, 0, len(l.endpoints))
	for id, other := range l.endpoints {
		if other != endpoint && len(other.queueOrder) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		l.dispatch(l.endpoints[id])
	}
}
