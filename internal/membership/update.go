package membership

import "fmt"

// State is what a member is believed to be.
type State uint8

// The states in the order in which one supersedes another at the same
// incarnation: a suspicion supersedes alive, a death supersedes a suspicion, and
// a graceful leave supersedes everything of the same instance.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of a state, "unknown" for no state.
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

// MarshalText implements encoding.TextMarshaler, for the admin page and the log.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error is an
// *UnknownStateError.
func (s *State) UnmarshalText(text []byte) error {
	for state := Alive; state <= Left; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return &UnknownStateError{Text: string(text)}
}

// UnknownStateError is returned by State.UnmarshalText for a text that names no
// state.
type UnknownStateError struct {
	Text string
}

// Error implements error.
func (e *UnknownStateError) Error() string { return fmt.Sprintf("membership: no state %q", e.Text) }

// Update is what one member states of another.
//
// Start distinguishes instances under one name: it is the process's start in
// milliseconds on its own clock, so a restart has a later one and supersedes
// whatever was stated of the earlier instance at any incarnation. Only the
// member itself raises Incarnation, to refute a suspicion or a death.
type Update struct {
	Name        string
	Addr        string // where its packets go, opaque to the protocol
	Zone        string
	Start       int64 // ms
	Incarnation uint64
	State       State
	Suspector   string // the member that raised a suspicion: confirmations count by name
}

// supersedes reports whether the update is newer than old, both of one name.
func (u Update) supersedes(old Update) bool {
	if u.Start != old.Start {
		return u.Start > old.Start
	}
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.State > old.State
}

// isJoin reports whether the update announces a new instance, rather than
// suspecting or refuting.
func (u Update) isJoin() bool { return u.State == Alive && u.Incarnation == 0 }

// updateOverhead bounds what the codec adds to an update's strings: field keys,
// lengths, two integers of up to nine bytes and the state. The tests of package
// wire check that no encoding exceeds size().
const updateOverhead = 48

// size is the most bytes that the update takes in a packet.
func (u Update) size() int {
	return updateOverhead + len(u.Name) + len(u.Addr) + len(u.Zone) + len(u.Suspector)
}
