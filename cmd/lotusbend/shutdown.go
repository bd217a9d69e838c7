package main

import "lotusbend/internal/clock"

// Times of a graceful shutdown, in milliseconds.
const (
	// drainDelayMs is how long after SIGTERM new clients are still served: the
	// load balancer in front needs a while to learn of the restart.
	drainDelayMs = 600
	// edgeAnswerMs is how long devices' readings may take to have their answers;
	// who gets none by then sends them again. It is also the least time that a
	// request is waited for.
	edgeAnswerMs = 3000
	// shutdownCheckMs is how often it is checked what is left.
	shutdownCheckMs = 20
	// rejectedClientsMs is how long the last rejected clients have to read that.
	rejectedClientsMs = 1000
)

// shutdown is a graceful shutdown after its delay. It lives in the loop.
type shutdown struct {
	*node
	beganAt        float64
	onlyRejectedAt float64 // since when only rejected connections are left, 0 if others are
	clients        int     // connections left
	unsent         int     // of these, with answers that the system has not taken yet
	ended          chan struct{}
}

func (s *shutdown) begin() {
	s.beganAt = s.loop.Now()
	s.server.Drain()
	if s.edge != nil {
		s.edge.Drain()
	}
	s.check()
}

// check ends the shutdown when nothing is left to wait for: a request, the way
// of its answer to the client, a connection that has not ended. Each has its
// bound: a request the longest wait that any class gives its clients, whatever
// its own client says; an answer and an end their own in the front; and clients
// that go on coming and are rejected one second.
func (s *shutdown) check() {
	now := s.loop.Now()
	if now >= s.beganAt+s.longestWaitMs() {
		s.router.ExpireAll()
	}
	clients, leaving := s.server.ClientCounts()
	s.clients = clients + leaving
	s.unsent = s.server.UnsentClients()
	pending := s.router.PendingRequests() > 0 || clients > 0 || s.edgePending(now)
	switch {
	case pending:
		s.onlyRejectedAt = 0
	case s.onlyRejectedAt == 0:
		s.onlyRejectedAt = now
	}
	if pending || leaving > 0 && now < s.onlyRejectedAt+rejectedClientsMs {
		s.loop.At(now+shutdownCheckMs, s.check)
		return
	}
	close(s.ended)
}

// edgePending reports whether devices still wait for answers, within bounds.
func (s *shutdown) edgePending(now float64) bool {
	return s.edge != nil && s.edge.HasPending() && now < s.beganAt+edgeAnswerMs
}

// longestWaitMs is the longest that a client waits by the settings; settings
// that do not say cut nobody off.
func (n *node) longestWaitMs() float64 {
	longest := float64(edgeAnswerMs)
	for _, class := range n.config.Settings.Config.Classes {
		longest = max(longest, clock.Millis(class.Deadline))
	}
	return longest
}
