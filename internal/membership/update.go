package membership

import "fmt"

// State is the state that a member is believed to be in.
type State uint8

// The states, in ascending order of precedence: among updates of the same instance
// and incarnation, a later state supersedes an earlier one.
const (
	Alive   State = iota
	Suspect       // failed a probe, and has not refuted the suspicion
	Dead          // did not refute the suspicion in time
	Left          // left gracefully
)

// String returns the name of the state, "unknown" for an undefined value.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler. It returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an
// *UnknownStateError for a text that is not the name of a state.
func (s *State) UnmarshalText(text []byte) error {
	for state := Alive; state <= Left; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return &UnknownStateError{Text: string(text)}
}

// UnknownStateError is the error of State.UnmarshalText for a text that is not the
// name of a state.
type UnknownStateError struct {
	Text string
}

// Error implements error.
func (e *UnknownStateError) Error() string {
	return fmt.Sprintf("unknown member state %q: want alive, suspect, dead or left", e.Text)
}

// Update is a statement about the state of a member, as disseminated by gossip and
// push-pull.
//
// Start distinguishes the instances under one name: the updates of a restarted
// process, which has a later Start, supersede those of an earlier instance at any
// incarnation. Only the member itself raises Incarnation, to refute a suspicion or
// death, or to leave.
type Update struct {
	Name        string // of the member
	Addr        string // address for packets to the member, opaque to the protocol
	Zone        string
	Start       int64 // start time of the process on its own clock, in milliseconds
	Incarnation uint64
	State       State
	Suspector   string // name of the member that suspects, to count confirmations, or declared the death
}

// supersedes reports whether the update is newer than old, an update of the same
// name.
func (u Update) supersedes(old Update) bool {
	if u.Start != old.Start {
		return u.Start > old.Start
	}
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.State > old.State
}

// isJoin reports whether the update announces a new instance, and is neither a
// suspicion nor a refutation.
func (u Update) isJoin() bool { return u.State == Alive && u.Incarnation == 0 }

// updateOverhead is the maximum encoded size, in bytes, of an update without its
// strings: field keys, lengths, two integers of up to nine bytes, and the state.
// The tests of package wire check that no encoding exceeds size.
const updateOverhead = 48

// size returns the maximum encoded size of the update in bytes.
func (u Update) size() int {
	return updateOverhead + len(u.Name) + len(u.Addr) + len(u.Zone) + len(u.Suspector)
}
