package standin

import (
	"fmt"
	"net"
	"sync"
)

// Host is a database host with its own listening socket.
type Host struct {
	Name    string
	Address string // host:port, the same after a restart
	Zone    string

	group *group
	lagMs float64       // replication lag of a replica; guarded by group.mu
	cores chan struct{} // semaphore: holds one element per running statement

	mu          sync.Mutex
	down        bool
	hung        chan struct{} // nil unless the host hangs; closed when the hang ends
	startedAtMs float64       // Unix milliseconds; 0 if it has not restarted
	listener    net.Listener
	conns       map[net.Conn]bool
	queueLength int // statements that wait or run
	received    []Received
}

// Received records an insert or select that a host read from a connection, also
// one that it rejected. Health checks are not recorded.
type Received struct {
	AtMs float64 // Unix milliseconds
	ID   string  // the request's id in the statement's comment
	Hung bool    // the host was hanging at that time
}

// Received returns every insert and select that the host has received.
func (h *Host) Received() []Received {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Received(nil), h.received...)
}

// SetLag sets the replication lag of a replica, in milliseconds.
func (h *Host) SetLag(ms float64) {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	h.lagMs = ms
}

// StartedAtMs returns when the host last restarted, in Unix milliseconds; 0 if it
// has not restarted.
func (h *Host) StartedAtMs() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startedAtMs
}

func (h *Host) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

func (h *Host) isHung() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hung != nil
}

// waitWhileHung blocks until the hang in progress ends, if there is one.
func (h *Host) waitWhileHung() {
	h.mu.Lock()
	hung := h.hung
	h.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// work occupies a core for the execution time of a statement, which is longer
// while the host warms up. With Options.IgnoresLoad it only sleeps, for an
// execution time that does not depend on the warm-up. It also waits for the end
// of a hang.
func (h *Host) work() {
	opt := h.group.opt
	if opt.IgnoresLoad {
		sleepMs(h.group.draw(opt.WorkMinMs, opt.WorkMaxMs))
		h.waitWhileHung()
		return
	}
	h.cores <- struct{}{}
	defer func() { <-h.cores }()
	h.waitWhileHung()
	ms := h.group.draw(opt.WorkMinMs, opt.WorkMaxMs)
	startedAtMs := h.StartedAtMs()
	if ageMs := nowMs() - startedAtMs; startedAtMs > 0 && ageMs < opt.WarmUpMs {
		ms /= opt.StartCapacity + (1-opt.StartCapacity)*ageMs/opt.WarmUpMs
	}
	sleepMs(ms)
}

// enqueue records a statement and adds it to the queue. It returns false if the
// queue is full; otherwise the caller must call leaveQueue.
func (h *Host) enqueue(requestID string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, Received{AtMs: nowMs(), ID: requestID, Hung: h.hung != nil})
	if h.queueLength >= h.group.opt.QueueLimit {
		return false
	}
	h.queueLength++
	return true
}

func (h *Host) leaveQueue() {
	h.mu.Lock()
	h.queueLength--
	h.mu.Unlock()
}

// start listens until stop is called, on the previous address if there was one.
func (h *Host) start() error {
	address := h.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("standin: starting host %s: %w", h.Name, err)
	}
	h.mu.Lock()
	h.listener = listener
	h.Address = listener.Addr().String()
	h.down = false
	h.conns = map[net.Conn]bool{}
	h.mu.Unlock()
	go h.accept(listener)
	return nil
}

// accept serves connections until the listener is closed.
func (h *Host) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !h.addConn(conn) {
			_ = conn.Close()
			continue
		}
		go h.serve(conn)
	}
}

// addConn registers a connection, which stop will close. It returns false if the
// host is down.
func (h *Host) addConn(conn net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return false
	}
	h.conns[conn] = true
	return true
}

func (h *Host) removeConn(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, conn)
}

// stop closes the listener and resets all connections, as if the process had
// ended.
func (h *Host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = true
	_ = h.listener.Close()
	for conn := range h.conns {
		resetOnClose(conn)
		_ = conn.Close()
	}
}

// resetOnClose makes Close send a TCP reset instead of an orderly shutdown.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
