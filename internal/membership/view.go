package membership

import "slices"

// Stats are counters since the start, for the metrics page.
type Stats struct {
	PacketsIn, PacketsOut, BytesOut uint64
	Malformed                       uint64 // rumors or kinds that no member sends
	Misdirected                     uint64 // pings for another name at our address
	Stale                           uint64 // rumors older than what we hold
	Dropped                         uint64 // relays beyond the bound
	UnknownSenders                  uint64 // state packets of no member, or from another address
	Throttled                       uint64 // gossip or pages the budget did not allow
	Suspected                       uint64 // probes that failed, by us
	DeclaredDead                    uint64 // suspicions of ours that became deaths
	Refuted                         uint64 // suspicions or deaths of us, refuted
	Conflicts                       uint64 // other live instances under our name
}

// Size is an estimate of how many members there are, with its bounds: at
// least those alive, at most those alive or suspect.
type Size struct {
	Low, High int
}

// View is what this member holds of the fleet, itself included.
type View struct {
	Version   uint64 // moves with every change
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
	v := View{Version: n.version, ChangedAt: n.changedAt, Self: n.self, Zones: map[string]Size{},
		Awareness: n.aware, Stats: n.stats}
	count := func(r Update) {
		z := v.Zones[r.Zone]
		switch r.State {
		case Alive:
			z.Low++
			z.High++
			v.Fleet.Low++
			v.Fleet.High++
		case Suspect:
			z.High++
			v.Fleet.High++
		}
		v.Zones[r.Zone] = z
	}
	count(n.self)
	v.Members = append(v.Members, n.self)
	for _, e := range n.members {
		v.Members = append(v.Members, e.Update)
		count(e.Update)
	}
	slices.SortFunc(v.Members, func(a, b Update) int {
		if a.Name < b.Name {
			return -1
		}
		if a.Name > b.Name {
			return 1
		}
		return 0
	})
	return v
}
