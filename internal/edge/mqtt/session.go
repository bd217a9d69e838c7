package mqtt

import (
	"container/list"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/timers"
)

// session is a client's state that outlives a connection [MQTT 4.1].
type session struct {
	clientID   string
	connection *connection       // nil without one
	subscribed bool              // to the answers
	unreleased map[uint16]uint64 // digests of QoS 2 messages recorded before PUBREL, by packet identifier
	expiryMs   float64           // for which it is kept without a connection

	expiryTimer         *timers.Timer
	disconnectedElement *list.Element // in Server.disconnected
}

// sessionExpiry returns the expiry of a session in milliseconds.
func (s *Server) sessionExpiry(seconds uint32) float64 {
	return min(float64(seconds)*1000, s.limits.MaxSessionExpiryMs)
}

// openSession returns the client's session, whose other connection is closed,
// or a new one if there is none or it must be clean. It returns nil if all
// sessions have connections.
func (s *Server) openSession(now float64, clientID string, clean bool) (opened *session, resumed bool) {
	known := s.sessions[clientID]
	if known != nil && known.connection != nil { // [MQTT 3.1.4-3]
		s.stats.TakenOver++
		s.disconnect(known.connection, packets.ErrSessionTakenOver.Code)
		s.detach(now, known)
		known = s.sessions[clientID]
	}
	if known != nil && clean {
		s.removeSession(known)
		known = nil
	}
	if known != nil {
		s.stats.Resumed++
		s.timers.Cancel(known.expiryTimer)
		s.disconnected.Remove(known.disconnectedElement)
		known.disconnectedElement = nil
		return known, true
	}
	if !s.makeCapacity() {
		return nil, false
	}
	opened = &session{clientID: clientID}
	s.sessions[clientID] = opened
	return opened, false
}

// makeCapacity evicts the sessions longest without a connection while there is
// no capacity for another.
func (s *Server) makeCapacity() bool {
	for len(s.sessions) >= s.limits.Sessions {
		oldest := s.disconnected.Front()
		if oldest == nil {
			return false
		}
		s.stats.Evicted++
		s.removeSession(oldest.Value.(*session))
	}
	return true
}

// detach keeps a session whose connection has ended, or removes it.
func (s *Server) detach(now float64, detached *session) {
	detached.connection = nil
	if detached.expiryMs <= 0 {
		delete(s.sessions, detached.clientID)
		return
	}
	detached.disconnectedElement = s.disconnected.PushBack(detached)
	detached.expiryTimer = s.timers.At(now+detached.expiryMs, func(float64) { s.removeSession(detached) })
}

// removeSession removes a session without a connection.
func (s *Server) removeSession(removed *session) {
	s.timers.Cancel(removed.expiryTimer)
	if removed.disconnectedElement != nil {
		s.disconnected.Remove(removed.disconnectedElement)
		removed.disconnectedElement = nil
	}
	delete(s.sessions, removed.clientID)
}
