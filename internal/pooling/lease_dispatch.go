package pooling

import (
	"container/list"
	"slices"
)

// dispatch grants connections to an endpoint's queued requests as far as it
// can, and opens connections for the others within the limits. Among the users
// it serves the one with the fewest connections there first, and of a user the
// request that was queued first.
func (l *Leases) dispatch(endpoint *endpointState) {
	opened := map[queueKey]bool{} // queues for which open was tried
	for {
		queued := l.nextQueued(endpoint, opened)
		if queued == nil {
			return
		}
		if l.grantIdle(endpoint, &queued.ConnectionRequest) {
			l.dequeue(queued)
			continue
		}
		l.open(endpoint, queued)
		opened[queued.queueKey()] = true
	}
}

// nextQueued selects among the first requests of an endpoint's queues, without
// the queues to skip; nil if there is none.
func (l *Leases) nextQueued(endpoint *endpointState, skip map[queueKey]bool) *queuedRequest {
	var best *queuedRequest
	bestUsage := 0
	for _, key := range endpoint.queueOrder {
		if skip[key] {
			continue
		}
		first := endpoint.queues[key].Front().Value.(*queuedRequest)
		usage := l.usage(endpoint, first)
		if best == nil || usage < bestUsage || usage == bestUsage && first.seq < best.seq {
			best = first
			bestUsage = usage
		}
	}
	return best
}

// usage is how many connections a request's user has at an endpoint, in halves.
// An idle connection that the request could use counts as one and a half fewer:
// otherwise two users with equally many would evict each other's connections in
// turn.
func (l *Leases) usage(endpoint *endpointState, queued *queuedRequest) int {
	halves := 2 * endpoint.perUser[queued.Key.User]
	if l.idle[queued.Key] != nil {
		halves -= 3
	}
	return halves
}

// grantIdle leases an idle connection to a request, if there is one that it may
// use.
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

// selectIdle prefers the connection that the client used last, since it has the
// client's session state already, and otherwise the one that was used last.
func selectIdle(pool *list.List, client uint64) *serverConn {
	for element := pool.Back(); element != nil; element = element.Prev() {
		if conn := element.Value.(*serverConn); conn.client == client {
			return conn
		}
	}
	return pool.Back().Value.(*serverConn)
}

// onlyReserveLeft reports whether reads must leave an endpoint's remaining
// connections to writes.
func (l *Leases) onlyReserveLeft(endpoint *endpointState) bool {
	if l.limits.WriteReserve == 0 || l.limits.PerEndpoint == 0 {
		return false
	}
	return endpoint.leased+endpoint.opening >= l.limits.PerEndpoint-l.limits.WriteReserve
}

// open opens a connection for a request, if the limits allow one more or
// evicting idle connections makes them.
func (l *Leases) open(endpoint *endpointState, queued *queuedRequest) {
	key := queued.Key
	if l.opening[key] >= queuedFor(endpoint, key) {
		return // each request that waits for this key has a connection that opens
	}
	if l.limits.MaxOpening > 0 && endpoint.opening >= l.limits.MaxOpening {
		return
	}
	if !queued.Write && l.onlyReserveLeft(endpoint) {
		return
	}
	for !l.hasCapacity(endpoint, key) {
		if !l.evict(endpoint, key) {
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

// queuedFor counts the requests that wait for a connection of a key.
func queuedFor(endpoint *endpointState, key PoolKey) int {
	count := 0
	for _, write := range []bool{false, true} {
		queue := endpoint.queues[queueKey{user: key.User, database: key.Database, write: write}]
		if queue != nil {
			count += queue.Len()
		}
	}
	return count
}

// hasCapacity reports whether one more connection is within every limit.
func (l *Leases) hasCapacity(endpoint *endpointState, key PoolKey) bool {
	return !reached(len(l.connections), l.limits.Total) &&
		!reached(endpoint.connections, l.limits.PerEndpoint) &&
		!reached(l.perUser[key.User], l.limits.PerUser) &&
		!reached(l.perDatabase[key.Database], l.limits.PerDatabase)
}

// reached reports whether a count is at its limit. A zero limit sets no bound.
func reached(count, limit int) bool { return limit > 0 && count >= limit }

// evict closes an idle connection that takes from a limit which a new one of
// this key would exceed. Of the longest idle connections of all pools it takes
// the one with the lowest id, the one that was opened first.
func (l *Leases) evict(endpoint *endpointState, key PoolKey) bool {
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
	l.close(victim)
	return true
}

// evictionHelps reports whether a connection counts in a limit that is reached
// for a new connection of this key.
func (l *Leases) evictionHelps(endpoint *endpointState, key PoolKey, conn *serverConn) bool {
	switch {
	case reached(len(l.connections), l.limits.Total):
		return true
	case reached(endpoint.connections, l.limits.PerEndpoint) && conn.key.Endpoint == endpoint.id:
		return true
	case reached(l.perUser[key.User], l.limits.PerUser) && conn.key.User == key.User:
		return true
	default:
		return reached(l.perDatabase[key.Database], l.limits.PerDatabase) && conn.key.Database == key.Database
	}
}

// dispatchAll dispatches at every endpoint after a connection has ended, since
// their common limits allow another now. The given endpoint comes first.
func (l *Leases) dispatchAll(endpoint *endpointState) {
	l.dispatch(endpoint)
	l.dispatchOthers(endpoint)
}

// dispatchOthers dispatches at all other endpoints, in the order of their ids.
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
