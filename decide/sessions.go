package decide

import (
	"maps"
	"time"
)

// maxSessions bounds the sessions whose commits a group remembers.
const maxSessions = 1 << 14

// sessionCommit is what the reads of a session must see: its last commit known
// here, and those of writes in flight. An answer counts as known to the client a
// while after it was sent, although it may be lost on the way.
type sessionCommit struct {
	position time.Duration
	inFlight int // writes
}

// sessionCommits remembers the commits of the sessions that write to a group.
// Past maxSessions it forgets those without a write in flight, and every session
// must then see the latest of all commits known: that may tighten the check of
// a replica's freshness, but never loosens it.
type sessionCommits struct {
	commits map[uint64]sessionCommit
	floor   time.Duration // no forgotten commit is later
}

// required returns the position that the session's reads need, and whether a
// write of the session is in flight.
func (s *sessionCommits) required(session uint64) (position time.Duration, writing bool) {
	commit := s.commits[session]
	return max(s.floor, commit.position), commit.inFlight > 0
}

// record raises the session's commit and adds to its writes in flight.
func (s *sessionCommits) record(session uint64, inFlight int, position time.Duration) {
	commit := s.commits[session]
	s.commits[session] = sessionCommit{
		position: max(commit.position, position),
		inFlight: commit.inFlight + inFlight,
	}
	if len(s.commits) > maxSessions {
		s.forget()
	}
}

func (s *sessionCommits) forget() {
	maps.DeleteFunc(s.commits, func(_ uint64, commit sessionCommit) bool {
		s.floor = max(s.floor, commit.position)
		return commit.inFlight == 0
	})
}

// rememberCommit records a write's commit for the reads of its session, and how
// many writes are in flight.
func (r *Router) rememberCommit(request *trackedRequest, inFlight int, position time.Duration) {
	if request.class.Consistency == Write && !r.cfg.SessionTokens && request.Session != 0 {
		request.group.sessions.record(request.Session, inFlight, position)
	}
}
