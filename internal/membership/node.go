package membership

import (
	"math/rand/v2"
	"slices"
)

// entry is what this member holds of another.
type entry struct {
	Update
	since int64      // when its state was set here
	susp  *suspicion // while State is Suspect
}

// Node is one member's protocol. Its methods are not safe for concurrent use:
// one loop owns a Node.
type Node struct {
	cfg     Config
	self    Update
	members map[string]*entry
	seeds   []string
	rng     *rand.Rand

	names []string // the members' names, sorted, for the push-pull's pages
	watch []string // names that are suspect, dead or left: their timers run
	order []string // probe order: shuffled, refilled when used up
	pos   int
	probe *probe
	next  int64 // the next probe's start
	seq   uint64
	aware int // Lifeguard's local health multiplier, 0 to AwarenessMax
	relay map[uint64]*relayed
	tell  []accuser // who still has to hear our refutation

	queue  broadcasts
	tokens float64 // bytes that may still go out
	filled int64   // when tokens were last filled

	cursor   string // push-pull's page starts after this name
	nextSync int64
	syncs    int
	behind   int64  // until then this member knows less than some peer
	pull     string // where the next answer's page starts

	version   uint64
	changedAt int64
	leaving   bool
	yielded   bool // another, newer instance holds our name
	stats     Stats
	out       Ready
}

// New makes a member from checked settings (Config.Check).
func New(cfg Config, now int64) *Node {
	n := &Node{
		cfg:     cfg,
		self:    Update{Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Start: cfg.Start},
		members: map[string]*entry{},
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		relay:   map[uint64]*relayed{},
		tokens:  float64(cfg.GossipBytesPerSecond),
		filled:  now,
		next:    now,
	}
	n.changedAt = now
	return n
}

// Join asks the seeds, addresses of members, for their views. Until some
// member is known, each push-pull goes to a seed in turn.
func (n *Node) Join(seeds []string, now int64) Ready {
	n.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == n.self.Addr })
	for _, s := range n.seeds {
		n.sendSync(s, "", now)
	}
	n.nextSync = now + n.cfg.PushPullIntervalMs
	return n.take()
}

// Leave tells the fleet that this member goes: a Left rumor at a higher
// incarnation, sent at once to up to IndirectK+1 members and then piggy-backed
// while the caller keeps ticking for a few periods. Probes stop.
func (n *Node) Leave(now int64) Ready {
	if n.leaving {
		return n.take()
	}
	n.leaving = true
	n.self.Incarnation++
	n.self.State = Left
	n.queue.add(n.self)
	for _, name := range n.pick(n.cfg.IndirectProbes+1, "", false) {
		n.send(n.members[name].Addr, Message{Kind: Sync, After: "\xff", Updates: []Update{n.self}}, now, false)
	}
	return n.take()
}

// Receive takes a decoded packet from an address.
func (n *Node) Receive(from string, m Message, now int64) Ready {
	n.stats.PacketsIn++
	if m.Kind != Sync && m.Kind != SyncReply {
		n.merge(m.Updates, now)
	}
	if len(n.members) == 0 && !slices.Contains(n.seeds, from) && len(n.seeds) < accusers {
		n.seeds = append(n.seeds, from) // who has heard of us already is as good a seed as a busy one
	}
	switch m.Kind {
	case Ping:
		if m.Target != "" && m.Target != n.self.Name {
			n.stats.Misdirected++ // meant for an earlier member at this address
			break
		}
		ack := Message{Kind: Ack, Seq: m.Seq, Target: n.self.Name}
		if slices.ContainsFunc(m.Updates, func(r Update) bool { return r.Name == n.self.Name && r.State != Alive }) && n.cfg.Sabotage != "no-refute" {
			ack.Updates = append(ack.Updates, n.self) // it doubts us: our word goes with the answer
		}
		n.send(from, ack, now, true)
	case PingReq:
		n.carry(from, m, now)
	case Ack:
		n.acked(m, now)
	case Nack:
		if p := n.probe; p != nil && p.seq == m.Seq {
			p.nacks++
		}
	case Sync:
		n.mergePage(m, now)
		n.compared(m, now)
		n.replySync(from, m, now)
	case SyncReply:
		n.mergePage(m, now)
		n.compared(m, now)
	case UserData:
		// Only a member of the view speaks, and only from its own address.
		if e := n.members[m.From]; e != nil && e.Addr == from && e.State <= Suspect {
			n.out.UserData, n.out.From = m.Payload, m.From
		} else {
			n.stats.UnknownSenders++
		}
	default:
		n.stats.Malformed++
	}
	return n.take()
}

// merge takes rumors in the order they came.
func (n *Node) merge(rs []Update, now int64) {
	for _, r := range rs {
		n.apply(r, now)
	}
}

// mergePage takes a push-pull's page. A death in it becomes a suspicion by
// the sender, as memberlist does: a page is a whole view, often from the far
// side of a healed partition, and the member said dead gets its suspicion's
// time to refute instead of being declared dead by its own side at once.
func (n *Node) mergePage(m Message, now int64) {
	for _, r := range m.Updates {
		if r.State == Dead && r.Name != n.self.Name {
			r.State, r.Suspector = Suspect, m.From
		}
		// A newcomer that a page of another tells of is no news: that other
		// has it, and pages carry it on. The sender itself may be.
		n.learn(r, r.Name != m.From, now)
	}
}

// apply takes one rumor about a member.
func (n *Node) apply(r Update, now int64) { n.learn(r, false, now) }

// learn takes a rumor; paged says that it came in another member's page.
func (n *Node) learn(r Update, paged bool, now int64) {
	if r.Name == "" || r.State > Left {
		n.stats.Malformed++
		return
	}
	if r.Name == n.self.Name {
		n.aboutSelf(r, now)
		return
	}
	e := n.members[r.Name]
	if e == nil {
		if r.State != Alive && r.State != Suspect {
			return // a stranger's death tells nothing we could probe
		}
		if len(n.members) >= n.cfg.MaxMembers {
			n.stats.Dropped++ // a peer that invents names must not grow the view without end
			return
		}
		e = &entry{Update: r, since: now}
		n.members[r.Name] = e
		i, _ := slices.BinarySearch(n.names, r.Name)
		n.names = slices.Insert(n.names, i, r.Name)
		n.order = append(n.order, r.Name)
		if len(n.order) > 1 { // a newcomer takes a random place, not always the last
			i := n.pos + n.rng.IntN(len(n.order)-n.pos)
			n.order[i], n.order[len(n.order)-1] = n.order[len(n.order)-1], n.order[i]
		}
		if r.State == Suspect {
			e.susp = n.newSuspicion(r.Suspector, now)
			n.watch = append(n.watch, r.Name)
		}
		n.changed(Change{Kind: Joined, Member: r, Previous: r.State, At: now})
		if !paged || r.State != Alive {
			n.queue.add(r)
		}
		return
	}
	if r.State == Suspect && e.State == Suspect && r.Start == e.Start && r.Incarnation == e.Incarnation {
		if e.susp != nil && e.susp.confirm(r.Suspector) {
			n.queue.add(r) // a new confirmation travels on, as Lifeguard's do
		}
		return
	}
	if !supersedes(r, e.Update) {
		n.stats.Stale++
		return
	}
	was, restarted := e.State, r.Start != e.Start
	e.Update, e.since, e.susp = r, now, nil
	if r.State == Suspect {
		e.susp = n.newSuspicion(r.Suspector, now)
	}
	if r.State != Alive && !slices.Contains(n.watch, r.Name) {
		n.watch = append(n.watch, r.Name)
	}
	kind := Changed
	if restarted {
		kind = Joined
	}
	n.changed(Change{Kind: kind, Member: r, Previous: was, At: now})
	n.queue.add(r)
}

// aboutSelf refutes what is said of this instance, and tells another
// instance under the same name.
func (n *Node) aboutSelf(r Update, now int64) {
	other := r.Start != n.self.Start || r.Addr != n.self.Addr
	switch {
	case other && (r.Start < n.self.Start || r.State >= Dead):
		n.queue.add(n.self) // an earlier instance's record: ours overrides it
	case other:
		n.stats.Conflicts++
		n.out.Changes = append(n.out.Changes, Change{Kind: Conflict, Member: r, Previous: n.self.State, At: now})
		if r.Start > n.self.Start || r.Addr > n.self.Addr {
			n.yielded = true // the newer one keeps the name; we stop refuting
		}
	case n.leaving || n.yielded || n.cfg.Sabotage == "no-refute":
	case r.State != Alive:
		if r.Incarnation >= n.self.Incarnation {
			n.self.Incarnation = r.Incarnation + 1
			n.stats.Refuted++
			n.queue.add(n.self)
			n.doubt(+1) // Lifeguard: a member that others suspect may be the slow one
		}
		n.answer(r.Suspector, now)
	}
}

// accuser is a member that said we were gone, and how many more pings carry
// our refutation to it.
type accuser struct {
	name string
	left int
}

const (
	refuteTimes = 4  // pings with the refutation to one accuser: at 20% loss all lost once in 600
	accusers    = 16 // told at a time at most; gossip reaches the others
)

// answer tells an accuser at once, and again on the next periods, that we are
// alive: gossip's chance alone, or one packet that got lost, left accusers
// whose confirmed suspicion ended in a death while we ran. It also answers
// who repeats a suspicion that we have refuted already, as a second accuser
// does. The refutations cost at most accusers bare probe packets a period.
func (n *Node) answer(by string, now int64) {
	if i := slices.IndexFunc(n.tell, func(a accuser) bool { return a.name == by }); i >= 0 || len(n.tell) >= accusers {
		return
	}
	if e := n.members[by]; e != nil && e.State <= Suspect {
		n.tell = append(n.tell, accuser{by, refuteTimes})
		n.retell(len(n.tell)-1, now)
	}
}

// retell sends our refutation to the accusers from the i-th on.
func (n *Node) retell(i int, now int64) {
	for ; i < len(n.tell); i++ {
		a := &n.tell[i]
		if e := n.members[a.name]; e != nil {
			n.send(e.Addr, Message{Kind: Ping, Target: e.Name, Updates: []Update{n.self}}, now, true)
		}
		a.left--
	}
}

func (n *Node) changed(c Change) {
	n.version++
	n.changedAt = c.At
	n.out.Changes = append(n.out.Changes, c)
}

// take hands the caller what the event asked for.
func (n *Node) take() Ready {
	r := n.out
	n.out = Ready{}
	return r
}

// pick draws up to k distinct members that are alive (or suspect, with
// suspects true), other than but. Small views are shuffled whole; large ones
// are sampled, a bounded number of draws, so a pick costs O(k), not O(n).
func (n *Node) pick(k int, but string, suspects bool) []string {
	ok := func(name string) bool {
		e := n.members[name]
		return e != nil && name != but && (e.State == Alive || suspects && e.State == Suspect)
	}
	var got []string
	if len(n.order) <= 64 {
		for _, name := range n.order {
			if ok(name) {
				got = append(got, name)
			}
		}
		n.rng.Shuffle(len(got), func(i, j int) { got[i], got[j] = got[j], got[i] })
		return got[:min(k, len(got))]
	}
	for range 8*k + 16 {
		if len(got) == k {
			break
		}
		name := n.order[n.rng.IntN(len(n.order))]
		if ok(name) && !slices.Contains(got, name) {
			got = append(got, name)
		}
	}
	return got
}
