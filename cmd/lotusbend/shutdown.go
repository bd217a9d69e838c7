package main

import "lotusbend/internal/clock"

// Times of a graceful shutdown, in milliseconds.
const (
	// drainDelayMs is how long new clients are still served after SIGTERM: the
	// load balancer in front needs this long to learn of the restart.
	drainDelayMs = 600
	// edgeAnswerMs bounds the wait for the answers to devices' readings; a device
	// without an answer by then sends its readings again. It is also the shortest
	// time that the shutdown waits for a request.
	edgeAnswerMs = 3000
	// maxGraceMs is the longest that the platform waits for requests before SIGKILL,
	// besides the drain delay and the front's grace for statements: it counts longer
	// deadlines as this.
	maxGraceMs = 3000
	// shutdownCheckMs is the interval at which the shutdown checks for pending
	// work.
	shutdownCheckMs = 20
	// rejectedClientsMs is how long the last rejected clients have to read the
	// rejection.
	rejectedClientsMs = 1000
)

// shutdown is the state of a graceful shutdown. It is owned by the loop.
type shutdown struct {
	*node
	beganAt        float64       // time at which begin ran, in milliseconds
	onlyRejectedAt float64       // since when nothing but rejected clients is left, 0 while anything else is
	clients        int           // open client connections
	unsent         int           // of these, the ones with answers not yet written to the socket
	gaveUp         bool          // requests were given up because SIGKILL may come
	ended          chan struct{} // closed at the end of the shutdown
}

// begin stops accepting work, after the drain delay.
func (s *shutdown) begin() {
	s.beganAt = s.loop.Now()
	s.server.Drain()
	if s.edge != nil {
		s.edge.Drain()
	}
	s.check()
}

// check ends the shutdown once no request, no unsent answer and no client
// connection is left, and otherwise runs again later. Each wait is bounded:
//   - requests by longestWaitMs, whatever deadline their clients ask for, and by
//     graceMs on a connection that was used after the drain began;
//   - answers to devices by edgeAnswerMs;
//   - unsent answers and closing connections by the timeouts of package front;
//   - rejected clients, of which new ones keep connecting, by rejectedClientsMs
//     after everything else has ended.
func (s *shutdown) check() {
	now := s.loop.Now()
	if now >= s.beganAt+s.graceMs() {
		s.giveUpLateClients()
	}
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

// giveUpLateClients answers the clients that have sent anything since the drain began,
// and logs their number once.
func (s *shutdown) giveUpLateClients() {
	late := s.server.LateClients()
	if late > 0 && !s.gaveUp {
		s.log.Warn("requests given up before their deadlines", "clients", late)
	}
	s.gaveUp = true
	s.server.GiveUpLateClients()
}

// edgePending reports whether devices still wait for answers and edgeAnswerMs
// has not passed.
func (s *shutdown) edgePending(now float64) bool {
	return s.edge != nil && s.edge.HasPending() && now < s.beganAt+edgeAnswerMs
}

// longestWaitMs returns the longest deadline of any class, in milliseconds, and
// at least edgeAnswerMs: settings without deadlines must not end requests at once.
func (n *node) longestWaitMs() float64 { return max(edgeAnswerMs, n.longestDeadlineMs()) }

// graceMs returns how long after the start of the drain SIGKILL may come, in
// milliseconds, less the front's grace for statements, in which the last answers are
// sent. The platform waits for the longest deadline, but not longer than maxGraceMs.
func (n *node) graceMs() float64 {
	longest := n.longestDeadlineMs()
	if longest <= 0 { // the settings have no deadlines
		return maxGraceMs
	}
	return min(longest, maxGraceMs)
}

// longestDeadlineMs returns the longest deadline of any class, in milliseconds, 0 if
// there is none.
func (n *node) longestDeadlineMs() (longest float64) {
	for _, class := range n.config.Settings.Config.Classes {
		longest = max(longest, clock.Millis(class.Deadline))
	}
	return longest
}
