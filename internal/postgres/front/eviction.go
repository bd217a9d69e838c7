package front

import "lotusbend/internal/slotmap"

const (
	// minReserveClients bounds the closing clients, which use the descriptors
	// kept in reserve. They may also use spareFraction of the descriptors that
	// nobody has taken: a connection closed without a message looks to its client
	// like a router that has crashed.
	minReserveClients = 12
	spareFraction     = 0.5
	// activeFraction of what clients may open for requests is where those that
	// have sent a statement begin to be evicted for each other.
	activeFraction = 0.75
)

// maxReserveClients is how many clients may use descriptors of the reserve.
func (s *Server) maxReserveClients() int {
	return minReserveClients + int(spareFraction*float64(s.budget.Available()))
}

// evictOne ends the connection that has been idle longest, one that never sent
// a statement before any other. Of those that did, it ends only one that may be
// closed: its client may be about to send another statement. It reports whether
// a connection was ended.
func (s *Server) evictOne() bool {
	evicted := s.longestIdle(func(c *client) bool { return !c.active })
	if evicted == nil {
		evicted = s.longestIdle(func(c *client) bool {
			return s.loop.Now() >= c.idleSince+partialTimeout && c.conn.Quiet()
		})
	}
	if evicted != nil {
		s.evict(evicted)
		return true
	}
	slow := s.slowestToClose()
	if slow == nil {
		return false
	}
	slow.release()
	slow.conn.Close()
	return true
}

// slowestToClose returns the client that has been closing longest with all its
// answers sent, nil if there is none.
func (s *Server) slowestToClose() (slowest *client) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if c.closing && !c.sending && (slowest == nil || c.idleSince < slowest.idleSince) {
			slowest = c
		}
	})
	return slowest
}

// evict ends c and gives its place in the budget to another at once. It uses a
// descriptor of the reserve until its client closes; if none is left, the
// connection is closed at once.
func (s *Server) evict(c *client) {
	c.release()
	if s.reserveClients >= s.maxReserveClients() {
		c.conn.Close()
		return
	}
	c.onReserve = true
	s.reserveClients++
	c.halfClose()
}

// evictIdle ends the connection that has been idle longest when clients have
// opened nearly all that they may for requests. Where each sends one and keeps
// its connection, none is left for the next request, which would be rejected on
// the client's side, unseen here. The protocol lets a router close between
// requests.
func (s *Server) evictIdle() {
	if float64(s.activeClients) <= activeFraction*float64(s.budget.MaxActiveClients) {
		return
	}
	evicted := s.longestIdle(func(c *client) bool { return c.active && !c.partial && c.conn.Quiet() })
	if evicted != nil {
		s.evict(evicted)
	}
}

// longestIdle returns the client that has been idle longest among those that
// allowed accepts, nil if there is none.
func (s *Server) longestIdle(allowed func(*client) bool) (found *client) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if !c.busy() && !c.closing && (found == nil || c.idleSince < found.idleSince) && allowed(c) {
			found = c
		}
	})
	return found
}
