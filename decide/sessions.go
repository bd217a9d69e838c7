package decide

import (
	"maps"
	"time"
)

// maxSessions is the number of sessions whose commits a group stores.
const maxSessions = 1 << 14

// sessionCommit is the data that the reads of a session must see: its last known
// commit, and the commits of its writes in flight. Those count because the
// endpoint may already have committed them, even if the answer is late or lost.
type sessionCommit struct {
	position time.Duration // of the last known commit
	inFlight int           // number of writes in flight
}

// sessionCommits stores the commits of the sessions that write to a group. Above
// maxSessions it drops all sessions without a write in flight. From then on every
// session must see the latest commit known at that time, which can make the
// freshness check of a replica stricter but never less strict.
type sessionCommits struct {
	commits map[uint64]sessionCommit
	floor   time.Duration // not less than the position of any dropped commit
}

// required returns the position that the session's reads must see, and whether a
// write of the session is in flight.
func (s *sessionCommits) required(session uint64) (position time.Duration, writing bool) {
	commit := s.commits[session]
	return max(s.floor, commit.position), commit.inFlight > 0
}

// record raises the position of the session's last commit, and adds inFlight,
// which may be negative, to the number of its writes in flight.
func (s *sessionCommits) record(session uint64, inFlight int, position time.Duration) {
	commit := s.commits[session]
	s.commits[session] = sessionCommit{
		position: max(commit.position, position),
		inFlight: commit.inFlight + inFlight,
	}
	if len(s.commits) > maxSessions {
		s.dropIdle()
	}
}

// dropIdle drops the sessions without a write in flight and raises the floor.
func (s *sessionCommits) dropIdle() {
	maps.DeleteFunc(s.commits, func(_ uint64, commit sessionCommit) bool {
		s.floor = max(s.floor, commit.position)
		return commit.inFlight == 0
	})
}

// rememberCommit records the commit of a write, and the change of its session's
// number of writes in flight. It does nothing for reads, for requests without a
// session, and where clients carry session tokens.
func (r *Router) rememberCommit(request *trackedRequest, inFlight int, position time.Duration) {
	if request.class.Consistency == Write && !r.cfg.SessionTokens && request.Session != 0 {
		request.group.sessions.record(request.Session, inFlight, position)
	}
}
