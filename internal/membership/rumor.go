package membership

import "fmt"

// State is what a member is taken to be.
type State uint8

// The states in the order in which one overrides another at the same
// incarnation: a suspicion overrides alive, a death overrides a suspicion,
// and a graceful leave overrides everything of the same instance.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

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

// Rumor is what one member says of another.
//
// Start tells instances under one name apart: it is the process's start in
// milliseconds on its own clock, so a restart has a later one and overrides
// whatever was said of the earlier instance, whatever its incarnation. Only
// the member itself raises Inc, to refute a suspicion or a death.
type Update struct {
	Name        string
	Addr        string // where its packets go, opaque to the rules
	Zone        string
	Start       int64
	Incarnation uint64
	State       State
	Suspector   string // who suspected it, for Suspect: confirmations count by name
}

// supersedes reports whether r is newer than old, both of one name.
func supersedes(r, old Update) bool {
	if r.Start != old.Start {
		return r.Start > old.Start
	}
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.State > old.State
}

// rumorOverhead bounds what the codec adds to a rumor's strings: field keys,
// lengths, two integers of up to nine bytes and the state. wire's tests hold
// every encoding under size().
const rumorOverhead = 48

// size is the most bytes that r takes in a packet.
func (r Update) size() int {
	return rumorOverhead + len(r.Name) + len(r.Addr) + len(r.Zone) + len(r.Suspector)
}

// MarshalText names the state, for the admin page and the log.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state by its name.
func (s *State) UnmarshalText(b []byte) error {
	for c := Alive; c <= Left; c++ {
		if c.String() == string(b) {
			*s = c
			return nil
		}
	}
	return fmt.Errorf("membership: no state %q", b)
}
