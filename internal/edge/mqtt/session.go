package mqtt

import (
	"container/list"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/timers"
)

// session is a client's state that outlives a connection [MQTT 4.1].
type session struct {
	clientID   string
	connection *connection       // nil while the client is disconnected
	subscribed bool              // to the answers to the client's readings
	unreleased map[uint16]uint64 // digests of recorded QoS 2 messages before PUBREL, by packet identifier
	expiryMs   float64           // how long the session is kept without a connection

	expiryTimer         *timers.Timer
	disconnectedElement *list.Element // in Server.disconnected
}

// sessionExpiry returns the session expiry, in milliseconds, for one that a client
// requests.
func (s *Server) sessionExpiry(seconds uint32) float64 {
	return min(float64(seconds)*1000, s.limits.MaxSessionExpiryMs)
}

// openSession returns the client's session and whether it existed before. It
// closes another connection of the client; clean discards an existing session. It
// returns nil if there are too many sessions and all of them have connections.
func (s *Server) openSession(now float64, clientID string, clean bool) (sess *session, resumed bool) {
	existing := s.sessions[clientID]
	if existing != nil && existing.connection != nil { // [MQTT 3.1.4-3]
		s.stats.TakenOver++
		s.disconnect(existing.connection, packets.ErrSessionTakenOver.Code)
		s.detachSession(now, existing)
		existing = s.sessions[clientID]
	}
	if existing != nil && clean {
		s.removeSession(existing)
		existing = nil
	}
	if existing != nil {
		s.stats.Resumed++
		s.timers.Cancel(existing.expiryTimer)
		s.disconnected.Remove(existing.disconnectedElement)
		existing.disconnectedElement = nil
		return existing, true
	}
	if !s.evictForCapacity() {
		return nil, false
	}
	sess = &session{clientID: clientID}
	s.sessions[clientID] = sess
	return sess, false
}

// evictForCapacity evicts sessions until there is capacity for another, those
// longest without a connection first. It returns false if all sessions have
// connections.
func (s *Server) evictForCapacity() bool {
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

// detachSession keeps a session whose connection has ended until it expires, or
// removes it at once if its expiry is 0.
func (s *Server) detachSession(now float64, sess *session) {
	sess.connection = nil
	if sess.expiryMs <= 0 {
		delete(s.sessions, sess.clientID)
		return
	}
	sess.disconnectedElement = s.disconnected.PushBack(sess)
	sess.expiryTimer = s.timers.At(now+sess.expiryMs, func(float64) { s.removeSession(sess) })
}

// removeSession removes a session without a connection.
func (s *Server) removeSession(sess *session) {
	s.timers.Cancel(sess.expiryTimer)
	if sess.disconnectedElement != nil {
		s.disconnected.Remove(sess.disconnectedElement)
		sess.disconnectedElement = nil
	}
	delete(s.sessions, sess.clientID)
}
