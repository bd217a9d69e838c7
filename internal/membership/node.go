package membership

import (
	"math/rand/v2"
	"slices"
)

// maxLearnedSeeds bounds the seeds that a member without any other member
// learns from the packets it receives.
const maxLearnedSeeds = 16

// afterAllNames sorts after every member's name: a page after it is empty.
const afterAllNames = "\xff"

// Node is one member's protocol. Its methods are not safe for concurrent use:
// one goroutine owns a Node.
type Node struct {
	cfg    Config
	faults FaultInjection
	rng    *rand.Rand
	self   Update
	seeds  []string // addresses

	members map[string]*member
	names   []string // of all members, sorted, for the push-pull's pages
	watched []string // names of members that are suspect, dead or left: their timers run

	probes         probeSchedule
	indirectProbes map[uint64]*indirectProbe // by the sequence number of this member's ping
	lastSequence   uint64
	health         localHealth
	refutations    refutations
	queue          updateQueue
	budget         byteBudget
	pushPull       pushPullCursor

	version      uint64
	changedAt    int64 // ms
	leaving      bool
	nameConflict bool // another instance keeps this member's name
	stats        Stats
	out          Ready
}

// New makes a member from checked settings (Config.Check). now is in
// milliseconds, as for all methods of a Node.
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

// Join requests the views of the seeds, addresses of members. Until some
// member is known, each push-pull goes to a seed in turn.
func (n *Node) Join(seeds []string, now int64) Ready {
	n.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == n.self.Addr })
	for _, seed := range n.seeds {
		n.sendPage(seed, "", now)
	}
	n.pushPull.nextAt = now + n.cfg.PushPullIntervalMs
	return n.takeReady()
}

// Leave announces that this member leaves: an update to Left at a higher
// incarnation goes at once to up to IndirectProbes+1 members, and is then
// piggy-backed while the caller keeps ticking for a few periods. Probes stop.
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

// Tick advances the protocol to now: the timers of probes, indirect probes,
// suspicions and the push-pull. Call it at least every tenth of a period.
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

// SendUserData sends a payload to a member of the view, for state that the
// routers share on top of it. Half of a second's byte budget is reserved for
// gossip and push-pull, which the view itself needs. It reports whether the
// payload was sent.
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

// recordChange moves the view's version and reports a change to the caller.
func (n *Node) recordChange(change Change) {
	n.version++
	n.changedAt = change.At
	n.out.Changes = append(n.out.Changes, change)
}

// takeReady returns what the event requires of the caller.
func (n *Node) takeReady() Ready {
	ready := n.out
	n.out = Ready{}
	return ready
}

// nextSequence numbers a ping.
func (n *Node) nextSequence() uint64 {
	n.lastSequence++
	return n.lastSequence
}
