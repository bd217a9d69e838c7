package membership_test

import (
	"fmt"
	"strings"

	"lotusbend/internal/membership"
	"lotusbend/internal/membership/faultinjection"
)

// scenario is one run of a network of 12 processes or more.
type scenario struct {
	name      string // key in the golden file
	seed      uint64
	processes int
	config    func(*membership.Config)
	script    func(*network)
}

var scenarios = []scenario{
	{name: "calm", seed: 1, script: faultFree},
	{name: "calm-large", seed: 2, processes: 66, script: largeFleet},
	{name: "loss-delay-duplicates", seed: 3, script: unreliableLinks},
	{name: "kills-and-restarts", seed: 4, config: shortReclaim, script: killsAndRestarts},
	{name: "split-and-heal", seed: 5, script: splitAndHeal},
	{name: "split-past-forgetting", seed: 6, config: shortReclaim, script: splitAndHeal},
	{name: "pauses", seed: 7, script: pauses},
	{name: "one-way-cuts", seed: 8, script: oneWayLinkFailures},
	{name: "leaves", seed: 9, config: shortReclaim, script: leaves},
	{name: "flood-of-names", seed: 10, config: func(c *membership.Config) { c.MaxMembers = 20 }, script: nameFlood},
	{name: "twin", seed: 11, script: nameConflict},
	{name: "odd-messages", seed: 12, script: invalidMessages},
	{name: "accusations", seed: 13, processes: 16, script: suspicions},
	{name: "small-budget", seed: 14, processes: 16, config: smallBudget, script: unreliableLinks},
	{name: "fast-periods", seed: 15, config: shortIntervals, script: unreliableLinks},
	{name: "no-relays", seed: 16, config: func(c *membership.Config) { c.IndirectProbes = 0 }, script: oneWayLinkFailures},
	{name: "sabotage-1", seed: 17, config: withFault(faultinjection.NoRefutation), script: pauses},
	{name: "sabotage-2", seed: 18, config: withFault(faultinjection.NoPushPull), script: splitAndHeal},
	{name: "sabotage-3", seed: 19, config: withFault(faultinjection.NoSuspicion), script: pauses},
	{name: "churn-1", seed: 20, config: shortReclaim, script: churn},
	{name: "churn-2", seed: 21, config: smallBudget, script: churn},
	{name: "churn-3", seed: 22, config: shortIntervals, script: churn},
	{name: "forget-at-once", seed: 25, config: func(c *membership.Config) { c.ReclaimMs = 20 }, script: churn},
	{name: "settings", seed: 23, script: checkSettings},
	{name: "state-texts", seed: 24, script: stateTexts},
}

func shortReclaim(c *membership.Config) { c.ReclaimMs, c.ReconnectEvery = 4000, 2 }

func smallBudget(c *membership.Config) { c.MaxPacketBytes, c.GossipBytesPerSecond = 512, 700 }

func shortIntervals(c *membership.Config) {
	c.ProbeIntervalMs, c.ProbeTimeoutMs, c.PushPullIntervalMs, c.RetransmitMult = 100, 40, 300, 2
	c.SuspicionMult, c.SuspicionMaxMult, c.MaxAwareness, c.MaxPacketBytes = 5, 2, 3, 900
}

func withFault(fault faultinjection.Fault) func(*membership.Config) {
	return func(c *membership.Config) { c.FaultInjection = fault }
}

func faultFree(n *network) {
	n.bootAll()
	for range 20 {
		n.run(500)
		from := n.random.IntN(len(n.processes))
		n.sendUserData(from, n.processes[n.random.IntN(len(n.processes))].name, n.random.IntN(600))
	}
	for range 20 { // more than the budget of user data allows
		n.sendUserData(3, n.processes[4].name, 1000)
	}
	n.sendUserData(3, n.processes[4].name, n.config.MaxPacketBytes)
	n.sendUserData(3, "member-unknown", 10)
	n.run(2000)
}

func largeFleet(n *network) {
	n.bootAll()
	n.run(3000)
	n.kill(7)
	n.leave(8)
	n.run(4000)
}

func unreliableLinks(n *network) {
	n.loss, n.duplication, n.maxDelayMs = 0.2, 0.1, 90
	n.bootAll()
	n.run(7000)
	n.loss, n.maxDelayMs = 0.45, 160
	n.run(5000)
	n.loss, n.maxDelayMs = 0, 5
	n.run(3000)
}

func killsAndRestarts(n *network) {
	n.loss = 0.05
	n.bootAll()
	n.run(3000)
	for i := 2; i < 10; i++ {
		n.kill(i)
		n.run(1500 * int64(i%4))
		if i%3 != 0 {
			n.boot(i, 0)
		}
		n.run(1000)
	}
	n.run(9000)
	n.processes[3].address = "10.0.0.103:7000" // a restart at another address
	n.boot(3, 1)
	n.boot(6, 0)
	n.run(4000)
}

func splitAndHeal(n *network) {
	n.bootAll()
	n.run(2000)
	n.linkDown = splitBefore(5)
	n.run(7000)
	n.linkDown = nil
	n.run(3000)
	n.linkDown = splitBefore(1)
	n.run(11_000)
	n.linkDown = nil
	n.run(4000)
}

func pauses(n *network) {
	n.loss = 0.02
	n.bootAll()
	n.run(3000)
	for i, ms := range []int64{300, 900, 2000, 4500, 6500} {
		n.pause(i+1, ms)
		n.pause(i+6, ms/2)
		n.run(ms + 1500)
	}
	n.run(3000)
}

func oneWayLinkFailures(n *network) {
	n.bootAll()
	n.run(2000)
	for _, linkDown := range []func(from, to int) bool{
		func(from, _ int) bool { return from == 4 },
		func(_, to int) bool { return to == 4 },
		func(from, to int) bool { return from == 2 && to >= 6 },
		func(from, to int) bool { return from%2 == 0 && to == 9 },
	} {
		n.linkDown = linkDown
		n.run(5000)
		n.linkDown = nil
		n.run(2500)
	}
}

func leaves(n *network) {
	n.bootAll()
	n.run(3000)
	for _, i := range []int{3, 7} {
		n.leave(i)
		n.leave(i) // a second leave has no effect
		n.sendUserData(i, n.processes[0].name, 20)
		n.run(1000)
		n.sendUserData(0, n.processes[i].name, 20)
		n.kill(i)
	}
	n.run(2000)
	n.boot(3, 0)
	n.leave(0)
	n.run(9000)
	n.kill(0)
	n.boot(0, 1)
	n.run(3000)
}

// nameFlood sends updates of more members than a view may contain, in pages and
// gossip. No process has the address of these members.
func nameFlood(n *network) {
	n.bootAll()
	n.run(3000)
	for k := range 60 {
		m := membership.Message{Kind: membership.Ping, From: "member-stranger"}
		if k%2 == 0 {
			m.Kind, m.Count = membership.Sync, 500
		}
		for j := range 8 {
			m.Updates = append(m.Updates, membership.Update{
				Name:        fmt.Sprintf("invented-%03d", 8*k+j),
				Addr:        "10.9.9.9:1",
				Zone:        "zone-x",
				Start:       int64(k),
				Incarnation: uint64(j),
				State:       membership.State(j % 4),
				Suspector:   "member-stranger",
			})
		}
		n.inject("10.9.9.8:1", k%len(n.processes), m)
		n.run(100)
	}
	n.run(7000)
}

func nameConflict(n *network) {
	n.bootAll()
	n.run(2000)
	later := n.add(n.processes[5].name, "10.0.0.200:7000", "zone-1")
	n.boot(later, 0)
	n.run(4000)
	earlier := n.add(n.processes[6].name, "10.0.0.1:6000", "zone-2")
	n.now -= 4000 // an earlier Start than that of the running instance
	n.boot(earlier, 0)
	n.now += 4000
	n.run(4000)
	n.kill(5)
	n.kill(earlier)
	n.run(8000)
}

// invalidMessages sends messages that no correct member sends.
func invalidMessages(n *network) {
	n.bootAll()
	n.run(2000)
	self, peer := n.processes[1], n.processes[2]
	malformed := []membership.Update{{}, {Name: "x", State: 9}, {Name: "y", State: 2}}
	outOfOrder := []membership.Update{{Name: "m", Addr: "10.9.9.9:2"}}
	for _, m := range []membership.Message{
		{Kind: 0},
		{Kind: 200, From: peer.name},
		{Kind: membership.Ping, Seq: 9, Target: "member-other"},
		{Kind: membership.Ping, Seq: 10},
		{Kind: membership.Ping, Seq: 11, Target: self.name, Updates: malformed},
		{Kind: membership.PingReq, Seq: 12, Target: peer.name},
		{Kind: membership.Ack, Seq: 1 << 60, Target: peer.name},
		{Kind: membership.Nack, Seq: 1 << 60, Target: peer.name},
		{Kind: membership.SyncReply, From: peer.name, After: "z", Count: 3, Updates: outOfOrder},
		{Kind: membership.Sync, From: "member-other"},
		{Kind: membership.Sync, From: "member-other", After: peer.name, Count: 1},
		{Kind: membership.UserData, From: peer.name, Payload: []byte("from the wrong address")},
		{Kind: membership.UserData, From: "member-other", Payload: []byte("from a stranger")},
	} {
		n.inject("10.9.9.7:1", 1, m)
	}
	n.inject(peer.address, 1, membership.Message{Kind: membership.UserData, From: peer.name, Payload: []byte{}})
	for k := range 40 { // more indirect probes than members
		target := n.processes[3+k%3].address
		request := membership.Message{Kind: membership.PingReq, Seq: uint64(k), Target: "t", TargetAddr: target}
		n.inject(peer.address, 1, request)
	}
	n.run(3000)
	n.learnSeed()
}

// learnSeed boots a process without seeds, which learns a seed from a packet.
func (n *network) learnSeed() {
	i := n.add("member-lonely", "10.0.0.150:7000", "zone-0")
	n.boot(i)
	n.run(1500)
	n.inject(n.processes[0].address, i, membership.Message{Kind: membership.Ping, Seq: 1, From: n.processes[0].name})
	n.run(4000)
}

// suspicions sends updates of a process as suspect, dead or left, at its own and
// other incarnations, to that process and to others.
func suspicions(n *network) {
	n.bootAll()
	n.run(3000)
	suspected := n.processes[2].node.View().Self
	for k := range 40 {
		update := suspected
		update.Incarnation, update.State, update.Suspector = uint64(k/3), membership.State(1+k%3), n.processes[3+k%12].name
		switch {
		case k%11 == 0:
			update.Start--
		case k%13 == 0:
			update.Addr = "10.0.0.99:7000"
		}
		to := []int{2, 2, 4, 7}[k%4]
		kind := []membership.Kind{membership.Ping, membership.Ack, membership.SyncReply}[k%3]
		m := membership.Message{Kind: kind, From: n.processes[5].name, Updates: []membership.Update{update}}
		n.inject(n.processes[5].address, to, m)
		n.run(int64(40 * (k % 5)))
	}
	n.run(3000)
	n.confirmations()
}

// confirmations sends suspicions of a stopped process by several members, one after
// another, which shorten its suspicion.
func (n *network) confirmations() {
	n.kill(9)
	suspicion := n.processes[9].node.View().Self
	suspicion.State = membership.Suspect
	for k := range 6 {
		suspicion.Suspector = n.processes[10+k].name
		m := membership.Message{Kind: membership.Ack, Seq: 1 << 50, Updates: []membership.Update{suspicion, suspicion}}
		n.inject(n.processes[10+k].address, 1, m)
		n.run(200)
	}
	n.run(8000)
}

// churn executes 80 random faults, restarts and leaves.
func churn(n *network) {
	n.loss, n.duplication, n.maxDelayMs = 0.05, 0.02, 30
	n.bootAll()
	n.run(2000)
	for range 80 {
		n.randomFault(n.random.IntN(len(n.processes)))
		n.run(100 + 20*n.random.Int64N(20))
	}
	n.linkDown, n.loss = nil, 0
	n.run(5000)
}

// randomFault executes a random event for process i, and sends user data to it.
func (n *network) randomFault(i int) {
	other := n.random.IntN(len(n.processes))
	switch n.random.IntN(10) {
	case 0:
		n.kill(i)
	case 1, 2:
		n.boot(i, other, 0)
	case 3:
		n.pause(i, 200+n.random.Int64N(4000))
	case 4:
		if n.random.IntN(3) == 0 {
			n.leave(i)
		}
	case 5:
		n.linkDown = splitBefore(1 + i/2)
	case 6, 7:
		n.linkDown = nil
	case 8:
		n.linkDown = func(from, to int) bool { return from == i && to != other }
	case 9:
		n.loss = 0.3 * n.random.Float64()
	}
	n.sendUserData(other, n.processes[i].name, n.random.IntN(300))
}

// checkSettings adds to the digest which settings are valid.
func checkSettings(n *network) {
	for _, change := range []func(*membership.Config){
		func(*membership.Config) {},
		func(c *membership.Config) { c.Name = "" },
		func(c *membership.Config) { c.ProbeIntervalMs = 0 },
		func(c *membership.Config) { c.ProbeTimeoutMs = 0 },
		func(c *membership.Config) { c.ProbeTimeoutMs = c.ProbeIntervalMs },
		func(c *membership.Config) { c.IndirectProbes = -1 },
		func(c *membership.Config) { c.IndirectProbes = 16 },
		func(c *membership.Config) { c.IndirectProbes = 17 },
		func(c *membership.Config) { c.SuspicionMult = 0.9 },
		func(c *membership.Config) { c.SuspicionMaxMult = 0.9 },
		func(c *membership.Config) { c.RetransmitMult = 0 },
		func(c *membership.Config) { c.MaxAwareness = -1 },
		func(c *membership.Config) { c.ReconnectEvery = 0 },
		func(c *membership.Config) { c.MaxMembers = 0 },
		func(c *membership.Config) { c.PushPullIntervalMs = 0 },
		func(c *membership.Config) { c.ReclaimMs = 0 },
		func(c *membership.Config) { c.MaxPacketBytes = 511 },
		func(c *membership.Config) { c.MaxPacketBytes = 1401 },
		func(c *membership.Config) { c.GossipBytesPerSecond = c.MaxPacketBytes - 1 },
	} {
		n.digest.flag(accepted(change))
	}
	_, err := faultinjection.Parse("unknown")
	n.digest.flag(err == nil)
	n.digest.flag(accepted(func(c *membership.Config) { c.Addr = strings.Repeat("a", 261) }))
	n.digest.flag(accepted(func(c *membership.Config) { c.Addr = strings.Repeat("a", 262) }))
}

// accepted reports whether the default settings with a change are valid.
func accepted(change func(*membership.Config)) bool {
	config := membership.Defaults()
	config.Name = "a"
	change(&config)
	return config.Check() == nil
}

// stateTexts parses the text of each state and adds the number of the result to the
// digest, so that renaming a state does not change it.
func stateTexts(n *network) {
	for s := membership.Alive; s <= membership.Left; s++ {
		text, err := s.MarshalText()
		var parsed membership.State
		if err == nil {
			err = parsed.UnmarshalText(text)
		}
		n.digest.flag(err == nil)
		n.digest.numbers(int64(parsed))
	}
	unknown := membership.Alive
	n.digest.flag(unknown.UnmarshalText([]byte("no state has this text")) == nil)
	n.digest.flag(len((membership.Left + 1).String()) > 0)
}
