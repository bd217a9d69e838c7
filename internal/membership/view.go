package membership

import (
	"cmp"
	"slices"
)

// Stats are counters since the start, for the metrics page.
type Stats struct {
	PacketsIn      uint64
	PacketsOut     uint64
	BytesOut       uint64
	Malformed      uint64 // updates or messages that no member sends
	Misdirected    uint64 // pings for another name at this member's address
	Stale          uint64 // updates older than what is believed
	Dropped        uint64 // ping-reqs and new names beyond their bounds
	UnknownSenders uint64 // user data of no member, or from another address
	Throttled      uint64 // packets that the byte budget did not allow
	Suspected      uint64 // probes of this member that failed
	DeclaredDead   uint64 // suspicions that became deaths here
	Refuted        uint64 // suspicions or deaths of this member, refuted
	Conflicts      uint64 // updates of another live instance under this member's name
}

// Size is an estimate of how many members there are, with its bounds: at
// least those alive, at most those alive or suspect.
type Size struct {
	Low  int
	High int
}

// add counts a member in a state.
func (s *Size) add(state State) {
	switch state {
	case Alive:
		s.Low++
		s.High++
	case Suspect:
		s.High++
	}
}

// View is what this member believes of the fleet, itself included.
type View struct {
	Version   uint64 // increases with every change
	ChangedAt int64  // ms, the last change
	Self      Update
	Members   []Update // by name
	Fleet     Size
	Zones     map[string]Size
	Awareness int // Lifeguard's local health: 0 is healthy
	Stats     Stats
}

// View is a copy of this member's view; it shares nothing with the Node.
func (n *Node) View() View {
	view := View{
		Version:   n.version,
		ChangedAt: n.changedAt,
		Self:      n.self,
		Zones:     map[string]Size{},
		Awareness: n.health.score,
		Stats:     n.stats,
	}
	view.add(n.self)
	for _, known := range n.members {
		view.add(known.Update)
	}
	slices.SortFunc(view.Members, func(a, b Update) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

// add lists and counts a member.
func (v *View) add(update Update) {
	v.Members = append(v.Members, update)
	v.Fleet.add(update.State)
	zone := v.Zones[update.Zone]
	zone.add(update.State)
	v.Zones[update.Zone] = zone
}

// Peers returns the names of the members alive or suspect, without this one,
// and how many members there may be: this one and all that did not leave. The
// dead count too, as a partition may separate them.
func (n *Node) Peers() (names []string, size int) {
	size = 1
	for _, name := range n.names {
		switch n.members[name].State {
		case Alive, Suspect:
			names = append(names, name)
			size++
		case Dead:
			size++
		}
	}
	return names, size
}
