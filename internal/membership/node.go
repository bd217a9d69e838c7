package membership

import (
	"math/rand/v2"
	"slices"
)

// maxLearnedSeeds bounds learnSeed, which adds the sender of a packet only while
// there are fewer seeds than this, configured ones included.
const maxLearnedSeeds = 16

// afterAllNames sorts after every name, so a page that starts after it is empty.
const afterAllNames = "\xff"

// Node is the protocol state machine of one member. It is not safe for concurrent
// use.
type Node struct {
	cfg    Config
	faults FaultInjection
	rng    *rand.Rand
	self   Update
	seeds  []string // addresses

	members map[string]*member // the other members, by name
	names   []string           // keys of members, sorted, for the pages of the push-pull
	watched []string           // names of the members with a timer: suspect, dead or left

	probes         probeSchedule
	indirectProbes map[uint64]*indirectProbe // by sequence number of this member's ping
	lastSequence   uint64
	health         localHealth
	refutations    refutations
	queue          updateQueue
	budget         byteBudget
	pushPull       pushPullCursor

	version      uint64 // of the view, see View.Version
	changedAt    int64  // ms
	leaving      bool
	nameConflict bool // another instance keeps this member's name, see recordNameConflict
	stats        Stats
	out          Ready // result of the current event
}

// New returns a Node with the given settings, which must be valid
// ([Config.Check]). now is the time in milliseconds, here and in all methods.
func New(cfg Config, now int64) *Node {
	n := &Node{
		cfg:            cfg,
		faults:         cfg.FaultInjection,
		rng:            rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		self:           Update{Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Start: cfg.Start},
		members:        map[string]*member{},
		indirectProbes: map[uint64]*indirectProbe{},
		probes:         probeSchedule{nextAt: now},
		health:         localHealth{max: cfg.MaxAwareness},
		budget:         newByteBudget(cfg.GossipBytesPerSecond, now),
		changedAt:      now,
	}
	if n.faults == nil {
		n.faults = noFaults{}
	}
	return n
}

// Join requests a page of the view from each seed, the address of a member. Until
// another member is known, the push-pulls go to the seeds in turn.
func (n *Node) Join(seeds []string, now int64) Ready {
	n.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == n.self.Addr })
	for _, seed := range n.seeds {
		n.sendPage(seed, "", now)
	}
	n.pushPull.nextAt = now + n.cfg.PushPullIntervalMs
	return n.takeReady()
}

// Leave announces that this member leaves. It sends an update with state Left and
// a higher incarnation to up to IndirectProbes+1 members, and stops probing. The
// caller should keep calling Tick for a few probe intervals, so that the update is
// also piggybacked.
func (n *Node) Leave(now int64) Ready {
	if n.leaving {
		return n.takeReady()
	}
	n.leaving = true
	n.self.Incarnation++
	n.self.State = Left
	n.queue.add(n.self)
	for _, name := range n.randomAlive(n.cfg.IndirectProbes+1, "") {
		m := Message{Kind: Sync, After: afterAllNames, Updates: []Update{n.self}}
		n.sendBudgeted(n.members[name].Addr, m, now)
	}
	return n.takeReady()
}

// Tick advances the protocol to now: probes, indirect probes, suspicions and the
// push-pull. The caller should call it at least ten times per probe interval.
func (n *Node) Tick(now int64) Ready {
	n.budget.refill(now)
	n.expireIndirectProbes(now)
	n.advanceMemberTimers(now)
	if n.leaving {
		return n.takeReady()
	}
	n.advanceProbe(now)
	if now >= n.pushPull.nextAt && !n.faults.SkipsPushPull() {
		n.startPushPull(now)
	}
	return n.takeReady()
}

// SendUserData sends a payload to the named member, for the state that routers
// share on top of the view. It reports whether the payload was sent: the member
// must be alive or suspect, the packet must not exceed MaxPacketBytes, and half a
// second's byte budget must remain, which is reserved for gossip and push-pull.
func (n *Node) SendUserData(to string, payload []byte, now int64) (Ready, bool) {
	n.budget.refill(now)
	receiver := n.members[to]
	if receiver == nil || !receiver.reachable() || n.leaving {
		return n.takeReady(), false
	}
	m := Message{Kind: UserData, From: n.self.Name, Payload: payload}
	if m.size() > n.cfg.MaxPacketBytes || !n.budget.allowsUserData(m.size()) {
		n.stats.Throttled++
		return n.takeReady(), false
	}
	n.sendBudgeted(receiver.Addr, m, now)
	return n.takeReady(), true
}

// recordChange increments the version of the view and adds a change to the result
// of the event.
func (n *Node) recordChange(change Change) {
	n.version++
	n.changedAt = change.At
	n.out.Changes = append(n.out.Changes, change)
}

// takeReady returns the result of the current event and resets it.
func (n *Node) takeReady() Ready {
	ready := n.out
	n.out = Ready{}
	return ready
}

// nextSequence returns a new sequence number for a ping.
func (n *Node) nextSequence() uint64 {
	n.lastSequence++
	return n.lastSequence
}
