package pooling

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"

	"lotusbend/internal/edge/timers"
)

// lifetimeJitter is the largest fraction of Limits.MaxLifetime that is added at
// random to a connection's lifetime.
const lifetimeJitter = 0.1

// minRetryAfterBoundMs is the upper bound of the time after which a rejected
// client may retry, in milliseconds, if Limits.MaxQueueTimeout is lower or not
// set.
const minRetryAfterBoundMs = 100

// PoolKey identifies a pool: connections to one endpoint with the same user and
// database. A connection is never leased under another key.
type PoolKey struct {
	Endpoint uint32
	User     string
	Database string
}

// ConnectionRequest is a client's request to lease a connection.
type ConnectionRequest struct {
	Client       uint64
	Key          PoolKey
	Write        bool    // may use the connections that are reserved for writes
	QueueTimeout float64 // longest time in the queue, milliseconds
}

// Limits bound connections. A zero field sets no bound.
type Limits struct {
	Total           int     // connections
	PerEndpoint     int     // connections
	PerUser         int     // connections
	PerDatabase     int     // connections
	WriteReserve    int     // connections of PerEndpoint that are reserved for writes
	MaxQueued       int     // queued requests for all endpoints
	MaxQueueTimeout float64 // longest time in the queue, milliseconds
	MaxOpening      int     // connections being opened to one endpoint at the same time
	IdleTimeout     float64 // time until an idle connection is closed, milliseconds
	// MaxLifetime is the age in milliseconds at which a connection is closed,
	// once it is not leased. Up to a tenth is added at random, so that
	// connections opened together are not all closed together.
	MaxLifetime float64
}

// LeaseActions carries out the decisions of Leases. Its methods must not call
// back into Leases.
type LeaseActions interface {
	// Open starts to open a connection. The outcome must be reported to
	// Leases.Opened or Leases.Closed.
	Open(conn uint64, key PoolKey)
	// Grant leases a connection to a client until Leases.Released or
	// Leases.Closed is called.
	Grant(client, conn uint64)
	// Reject fails a request with SQLSTATE 53300. retryAfter is in milliseconds.
	Reject(client uint64, retryAfter float64)
	// Close closes a connection. Leases.Closed need not be called for it.
	Close(conn uint64)
}

// connState is the state of a server connection.
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
	client      uint64        // client that holds the lease, or held the last one
	idleElement *list.Element // in Leases.idle, while idle
	expiresAt   float64       // end of its lifetime, Unix milliseconds; 0 for none
	timer       *timers.Timer // closes it while idle, at the end of its idle time or lifetime
}

// queuedRequest is a request that waits for a connection.
type queuedRequest struct {
	ConnectionRequest
	sequence uint64        // increases with the order of arrival
	timer    *timers.Timer // rejects the request at its timeout
	element  *list.Element // in its queue
}

// queueKey identifies a queue of an endpoint. Reads and writes have separate
// queues, since a write must not wait behind reads that the reserve for writes
// holds back.
type queueKey struct {
	user     string
	database string
	write    bool
}

func (r *ConnectionRequest) queueKey() queueKey {
	return queueKey{user: r.Key.User, database: r.Key.Database, write: r.Write}
}

// endpointState holds the connection counts and request queues of one endpoint.
type endpointState struct {
	id          uint32
	connections int
	opening     int
	leased      int
	queues      map[queueKey]*list.List // of *queuedRequest in order of arrival; no list is empty
	queueOrder  []queueKey              // keys of queues in order of creation
	perUser     map[string]int          // connections, including those being opened
	draining    bool
}

// Leases assigns pooled connections to clients and decides when connections are
// opened and closed. It queues requests that cannot be granted at once. It is
// not safe for concurrent use. Times are Unix milliseconds.
type Leases struct {
	limits      Limits
	actions     LeaseActions
	rand        *rand.Rand
	connections map[uint64]*serverConn
	idle        map[PoolKey]*list.List // of *serverConn, most recently used last; no list is empty
	endpoints   map[uint32]*endpointState
	opening     map[PoolKey]int
	perUser     map[string]int            // connections, including those being opened
	perDatabase map[string]int            // connections, including those being opened
	requests    map[uint64]*queuedRequest // by client
	timers      timers.Heap
	lastID      uint64 // last connection ID or request sequence number assigned
}

// NewLeases returns Leases without connections. The seed makes its random draws
// reproducible.
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

// Next returns the time at which Tick is due. The second result is false if no
// timer is set.
func (l *Leases) Next() (float64, bool) { return l.timers.Next() }

// Tick runs the timers that are due.
func (l *Leases) Tick(now float64) { l.timers.Tick(now) }

// endpoint returns an endpoint's state and creates it at first use.
func (l *Leases) endpoint(id uint32) *endpointState {
	endpoint := l.endpoints[id]
	if endpoint == nil {
		endpoint = &endpointState{id: id, queues: map[queueKey]*list.List{}, perUser: map[string]int{}}
		l.endpoints[id] = endpoint
	}
	return endpoint
}

// Acquire requests a connection. The request ends in exactly one Grant or
// Reject, unless it is cancelled before. While a client's request is queued,
// further requests of that client are ignored.
func (l *Leases) Acquire(now float64, request ConnectionRequest) {
	if l.requests[request.Client] != nil {
		return
	}
	endpoint := l.endpoint(request.Key.Endpoint)
	// A new request must not overtake those in its queue. No request of another
	// queue can use an idle connection: it would have been granted.
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

// enqueue adds a request to its queue and sets the timer that rejects it.
func (l *Leases) enqueue(now float64, endpoint *endpointState, request ConnectionRequest) {
	l.lastID++
	queued := &queuedRequest{ConnectionRequest: request, sequence: l.lastID}
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

// retryAfter draws the time after which a rejected client may retry, in
// milliseconds. Retries are spread over the upper half of the longest time in the
// queue, or of minRetryAfterBoundMs if that is longer.
func (l *Leases) retryAfter() float64 {
	return max(l.limits.MaxQueueTimeout, minRetryAfterBoundMs) * (0.5 + 0.5*l.rand.Float64())
}

// Cancel removes a client's queued request, if there is one.
func (l *Leases) Cancel(client uint64) {
	if queued := l.requests[client]; queued != nil {
		l.dequeue(queued)
	}
}

// dequeue removes a request from its queue and cancels its timer.
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
		l.closeConnection(conn)
	}
	for len(endpoint.queueOrder) > 0 {
		queue := endpoint.queues[endpoint.queueOrder[0]]
		queued := queue.Front().Value.(*queuedRequest)
		l.dequeue(queued)
		l.actions.Reject(queued.Client, l.retryAfter())
	}
	l.dispatchOthers(endpoint)
}

// idleConnections returns an endpoint's idle connections ordered by ID.
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
