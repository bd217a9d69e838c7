package membership

import (
	"cmp"
	"slices"
)

// Stats holds counters since the start of the Node, for the metrics page.
type Stats struct {
	PacketsIn      uint64
	PacketsOut     uint64
	BytesOut       uint64 // by the maximum encoded sizes
	Malformed      uint64 // updates or messages with invalid fields
	Misdirected    uint64 // pings for another name at this member's address
	Stale          uint64 // updates that do not supersede the known state
	Dropped        uint64 // ping-reqs without an address, ping-reqs and new names beyond their bounds
	UnknownSenders uint64 // user data that is not from the address of an alive or suspect member
	Throttled      uint64 // packets not sent because of the byte budget or the maximum packet size
	Suspected      uint64 // members that this member suspected after a failed probe
	DeclaredDead   uint64 // members that this member declared dead after a suspicion
	Refuted        uint64 // refuted suspicions or deaths of this member
	Conflicts      uint64 // updates of another live instance under this member's name
}

// Size bounds the number of members.
type Size struct {
	Low  int // number of members alive
	High int // number of members alive or suspect
}

// add counts a member with the given state.
func (s *Size) add(state State) {
	switch state {
	case Alive:
		s.Low++
		s.High++
	case Suspect:
		s.High++
	}
}

// View is the state of the fleet as one member believes it to be.
type View struct {
	Version   uint64 // incremented by every change of another member
	ChangedAt int64  // time of the last change, in milliseconds
	Self      Update
	Members   []Update // all members, this one included, sorted by name
	Fleet     Size
	Zones     map[string]Size // by zone
	Awareness int             // Lifeguard's local health score, 0 is healthy
	Stats     Stats
}

// View returns a copy of this member's view that shares no memory with the Node.
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

// add appends a member to the view and counts it.
func (v *View) add(update Update) {
	v.Members = append(v.Members, update)
	v.Fleet.add(update.State)
	zone := v.Zones[update.Zone]
	zone.add(update.State)
	v.Zones[update.Zone] = zone
}

// Peers returns the sorted names of the other members that are alive or suspect,
// and the number of members that may be running: this one and all others in the
// view that did not leave. Dead members are counted until they are forgotten,
// because they may be running on the other side of a partition.
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
