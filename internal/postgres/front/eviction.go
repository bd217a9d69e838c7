package front

import "lotusbend/internal/slotmap"

const (
	// minReserveClients is how many rejected and evicted clients may always be
	// closed gracefully, on descriptors kept in reserve. They may also use
	// spareFraction of the unused descriptors of the budget. Beyond that,
	// connections are closed without a message, which looks to the client like a
	// crash of the router.
	minReserveClients = 12
	spareFraction     = 0.5
	// activeFraction is the fraction of DescriptorBudget.MaxActiveClients above
	// which idle clients that have sent a statement are evicted.
	activeFraction = 0.75
)

// maxReserveClients returns how many clients may use reserve descriptors.
func (s *Server) maxReserveClients() int {
	return minReserveClients + int(spareFraction*float64(s.budget.Available()))
}

// evictOne frees a client's place in the descriptor budget and reports whether it
// did. It evicts, in order of preference, the longest idle client that has never
// sent a statement; the longest idle client that has been idle for at least
// partialTimeoutMs and has no unread input, as one that was idle for less may be
// about to send a statement; and the client that longestClosing returns.
func (s *Server) evictOne() bool {
	evicted := s.longestIdle(func(c *client) bool { return !c.active })
	if evicted == nil {
		evicted = s.longestIdle(func(c *client) bool {
			return s.loop.Now() >= c.idleSince+partialTimeoutMs && !c.partial && c.conn.Quiet()
		})
	}
	if evicted != nil {
		s.evict(evicted)
		return true
	}
	slow := s.longestClosing()
	if slow == nil {
		return false
	}
	slow.release()
	slow.conn.Close()
	return true
}

// longestClosing returns the client that is closing, has no unsent answers and
// has been idle longest, nil if there is none.
func (s *Server) longestClosing() (slowest *client) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if c.closing && !c.sending && (slowest == nil || c.idleSince < slowest.idleSince) {
			slowest = c
		}
	})
	return slowest
}

// evict releases the place of c in the descriptor budget at once and half-closes
// the connection, which uses a reserve descriptor until the client closes it. If
// no reserve descriptor is left, the connection is closed immediately.
func (s *Server) evict(c *client) {
	c.release()
	if s.reserveClients >= s.maxReserveClients() {
		c.conn.Close()
		return
	}
	c.usesReserve = true
	s.reserveClients++
	c.halfClose()
}

// evictIdle evicts the longest idle active client, if there are more active clients
// than activeFraction of MaxActiveClients. If each client sent one request and kept
// its connection, none would be left for the next request, which would then fail on
// the client's side without this router noticing. The protocol allows closing a
// connection between requests.
func (s *Server) evictIdle() {
	if float64(s.activeClients) <= activeFraction*float64(s.budget.MaxActiveClients) {
		return
	}
	evicted := s.longestIdle(func(c *client) bool { return c.active && !c.partial && c.conn.Quiet() })
	if evicted != nil {
		s.evict(evicted)
	}
}

// longestIdle returns the longest idle client for which allowed returns true, nil
// if there is none.
func (s *Server) longestIdle(allowed func(*client) bool) (found *client) {
	s.clients.Each(func(_ slotmap.Handle, c *client) {
		if !c.busy() && !c.closing && (found == nil || c.idleSince < found.idleSince) && allowed(c) {
			found = c
		}
	})
	return found
}
