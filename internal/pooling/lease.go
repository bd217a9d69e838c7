package pooling

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"

	"lotusbend/internal/edge/timers"
)

// PoolKey is what the connections of one pool have in common. A connection is
// never leased under another key.
type PoolKey struct {
	Endpoint uint32
	User     string
	Database string
}

// ConnectionRequest is a client's request for a connection.
type ConnectionRequest struct {
	Client       uint64
	Key          PoolKey
	Write        bool    // a write may use the reserve that reads leave
	QueueTimeout float64 // longest time in the queue, milliseconds
}

// Limits bound connections. A zero field sets no bound.
type Limits struct {
	Total           int     // connections
	PerEndpoint     int     // connections
	PerUser         int     // connections
	PerDatabase     int     // connections
	WriteReserve    int     // of PerEndpoint, connections that reads must leave to writes
	MaxQueued       int     // queued requests of all endpoints
	MaxQueueTimeout float64 // longest time in the queue, milliseconds
	MaxOpening      int     // connections that open to one endpoint at the same time
	IdleTimeout     float64 // until an idle connection is closed, milliseconds
	// MaxLifetime of a connection in milliseconds. Up to a tenth is added at
	// random, so that connections opened together do not all end together.
	MaxLifetime float64
}

// LeaseActions are the requests of Leases to its caller. The methods must not
// call back into Leases.
type LeaseActions interface {
	// Open opens a connection; Opened or Closed reports the outcome.
	Open(conn uint64, key PoolKey)
	// Grant leases a connection to a client, until Released.
	Grant(client, conn uint64)
	// Reject ends a request with SQLSTATE 53300. retryAfter is in milliseconds.
	Reject(client uint64, retryAfter float64)
	// Close closes a connection. Closed need not be called for it.
	Close(conn uint64)
}

type connState uint8

const (
	connOpening connState = iota
	connIdle
	connLeased
)

// serverConn is one connection to an endpoint.
type serverConn struct {
	id          uint64
	key         PoolKey
	state       connState
	client      uint64        // that leases it, or leased it last
	idleElement *list.Element // in Leases.idle, while idle
	expires     float64       // end of its lifetime, Unix milliseconds; 0 for none
	timer       *timers.Timer // end of its idle time or lifetime
}

// queuedRequest is a request that waits for a connection.
type queuedRequest struct {
	ConnectionRequest
	seq     uint64 // order of arrival
	timer   *timers.Timer
	element *list.Element // in its queue
}

// queueKey names a queue of an endpoint. Reads and writes have queues of their
// own, since a write must not wait behind reads that the reserve holds back.
type queueKey struct {
	user     string
	database string
	write    bool
}

func (r *ConnectionRequest) queueKey() queueKey {
	return queueKey{user: r.Key.User, database: r.Key.Database, write: r.Write}
}

// endpointState is one endpoint's connections and queues.
type endpointState struct {
	id          uint32
	connections int
	opening     int
	leased      int
	queues      map[queueKey]*list.List // of *queuedRequest in order of arrival, none empty
	queueOrder  []queueKey              // the keys of queues, in order of their creation
	perUser     map[string]int          // connections, also those that open
	draining    bool
}

// Leases decides which client gets which connection, and when connections are
// opened and closed. It is not safe for concurrent use. Times are Unix
// milliseconds.
type Leases struct {
	limits      Limits
	actions     LeaseActions
	rand        *rand.Rand
	connections map[uint64]*serverConn
	idle        map[PoolKey]*list.List // of *serverConn, the one used last at the back; none empty
	endpoints   map[uint32]*endpointState
	opening     map[PoolKey]int
	perUser     map[string]int
	perDatabase map[string]int
	requests    map[uint64]*queuedRequest // by client
	timers      timers.Heap
	lastID      uint64 // of connections and queued requests
}

// NewLeases returns Leases without connections. The seed decides its random
// draws.
func NewLeases(limits Limits, seed uint64, actions LeaseActions) *Leases {
	return &Leases{
		limits:      limits,
		actions:     actions,
		rand:        rand.New(rand.NewPCG(seed, 0x1ea5e)),
		connections: map[uint64]*serverConn{},
		idle:        map[PoolKey]*list.List{},
		endpoints:   map[uint32]*endpointState{},
		opening:     map[PoolKey]int{},
		perUser:     map[string]int{},
		perDatabase: map[string]int{},
		requests:    map[uint64]*queuedRequest{},
	}
}

// Next returns when Tick is due, if it is.
func (l *Leases) Next() (float64, bool) { return l.timers.Next() }

// Tick runs the timers that are due.
func (l *Leases) Tick(now float64) { l.timers.Tick(now) }

// endpoint returns an endpoint's state, which it creates if there is none.
func (l *Leases) endpoint(id uint32) *endpointState {
	endpoint := l.endpoints[id]
	if endpoint == nil {
		endpoint = &endpointState{id: id, queues: map[queueKey]*list.List{}, perUser: map[string]int{}}
		l.endpoints[id] = endpoint
	}
	return endpoint
}

// Acquire takes a request. It ends in one Grant or Reject, unless Cancel comes
// before. A client's second request is ignored while its first is queued.
func (l *Leases) Acquire(now float64, request ConnectionRequest) {
	if l.requests[request.Client] != nil {
		return
	}
	endpoint := l.endpoint(request.Key.Endpoint)
	// Queued requests go first: a new one must not overtake its own user's, and
	// a connection is idle only if no queued request can use it.
	noneAhead := endpoint.queues[request.queueKey()] == nil
	if noneAhead && !endpoint.draining && l.grantIdle(endpoint, &request) {
		return
	}
	queueFull := l.limits.MaxQueued > 0 && len(l.requests) >= l.limits.MaxQueued
	if endpoint.draining || queueFull {
		l.actions.Reject(request.Client, l.retryAfter())
		return
	}
	l.enqueue(now, endpoint, request)
	l.dispatch(endpoint)
}

// enqueue adds a request to its queue until it is granted or its time is over.
func (l *Leases) enqueue(now float64, endpoint *endpointState, request ConnectionRequest) {
	l.lastID++
	queued := &queuedRequest{ConnectionRequest: request, seq: l.lastID}
	l.requests[request.Client] = queued
	key := request.queueKey()
	queue := endpoint.queues[key]
	if queue == nil {
		queue = list.New()
		endpoint.queues[key] = queue
		endpoint.queueOrder = append(endpoint.queueOrder, key)
	}
	queued.element = queue.PushBack(queued)
	wait := request.QueueTimeout
	if l.limits.MaxQueueTimeout > 0 {
		wait = min(wait, l.limits.MaxQueueTimeout)
	}
	queued.timer = l.timers.At(now+wait, func(float64) {
		l.dequeue(queued)
		l.actions.Reject(queued.Client, l.retryAfter())
	})
}

// retryAfter draws when a rejected client may retry, in milliseconds. Retries
// are spread over as long as a request may be queued.
func (l *Leases) retryAfter() float64 {
	return max(l.limits.MaxQueueTimeout, 100) * (0.5 + 0.5*l.rand.Float64())
}

// Cancel ends a client's queued request, if there is one.
func (l *Leases) Cancel(client uint64) {
	if queued := l.requests[client]; queued != nil {
		l.dequeue(queued)
	}
}

// dequeue removes a request from its queue.
func (l *Leases) dequeue(queued *queuedRequest) {
	l.timers.Cancel(queued.timer)
	delete(l.requests, queued.Client)
	endpoint := l.endpoints[queued.Key.Endpoint]
	key := queued.queueKey()
	queue := endpoint.queues[key]
	queue.Remove(queued.element)
	if queue.Len() == 0 {
		delete(endpoint.queues, key)
		position := slices.Index(endpoint.queueOrder, key)
		endpoint.queueOrder = slices.Delete(endpoint.queueOrder, position, position+1)
	}
}

// SetDraining stops or resumes the use of an endpoint. While it drains, its idle
// connections are closed, its leased ones are closed when their leases end, and
// requests for it are rejected.
func (l *Leases) SetDraining(id uint32, draining bool) {
	endpoint := l.endpoint(id)
	endpoint.draining = draining
	if !draining {
		return
	}
	for _, conn := range l.idleConnections(id) {
		l.close(conn)
	}
	for len(endpoint.queueOrder) > 0 {
		queue := endpoint.queues[endpoint.queueOrder[0]]
		queued := queue.Front().Value.(*queuedRequest)
		l.dequeue(queued)
		l.actions.Reject(queued.Client, l.retryAfter())
	}
	l.dispatchOthers(endpoint)
}

// idleConnections returns an endpoint's idle connections in the order of their
// ids.
func (l *Leases) idleConnections(endpoint uint32) []*serverConn {
	var idle []*serverConn
	for key, pool := range l.idle {
		if key.Endpoint != endpoint {
			continue
		}
		for element := pool.Front(); element != nil; element = element.Next() {
			idle = append(idle, element.Value.(*serverConn))
		}
	}
	slices.SortFunc(idle, func(a, b *serverConn) int { return cmp.Compare(a.id, b.id) })
	return idle
}
