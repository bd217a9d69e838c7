package membership_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/membership"
	"lotusbend/internal/membership/faultinjection"
)

// update rewrites the expected digests. They pin what the package does, so
// they may change only with a deliberate change of behaviour, never to make a
// refactoring pass.
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt, only with a deliberate change of behaviour")

var goldenFile = filepath.Join("testdata", "characterization.txt")

// TestCharacterization replays seeded scenarios of a simulated network and
// compares a digest of everything the nodes emitted with the recorded one. The
// digests cover numbers, positions and bytes alone: renaming a type, a field
// or a kind does not move them.
func TestCharacterization(t *testing.T) {
	golden, got := readGolden(t), map[string]string{}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			n := newNetwork(t, s)
			s.script(n)
			n.recordViews()
			got[s.name] = n.digest.sum()
			if !*update && got[s.name] != golden[s.name] {
				t.Errorf("digest %s, want %q", got[s.name], golden[s.name])
			}
		})
	}
	if *update {
		writeGolden(t, got)
		return
	}
	for name := range golden {
		if !slices.ContainsFunc(scenarios, func(s scenario) bool { return s.name == name }) {
			t.Errorf("%s has a digest for %q, which is no scenario", goldenFile, name)
		}
	}
}

// readGolden reads lines of a scenario's name and its digest.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open(goldenFile)
	if os.IsNotExist(err) && *update {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	golden := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, value, found := strings.Cut(lines.Text(), " ")
		if _, twice := golden[name]; !found || twice {
			t.Fatalf("%s: line %q is malformed or repeated", goldenFile, lines.Text())
		}
		golden[name] = value
	}
	return golden
}

func writeGolden(t *testing.T, got map[string]string) {
	t.Helper()
	if len(got) != len(scenarios) {
		t.Fatalf("only %d of %d scenarios ran: update with all of them", len(got), len(scenarios))
	}
	var content strings.Builder
	for _, name := range slices.Sorted(maps.Keys(got)) {
		fmt.Fprintln(&content, name, got[name])
	}
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, []byte(content.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// digest is a running SHA-256 of numbers and byte strings.
type digest struct {
	hash     hash.Hash
	buffered *bufio.Writer
}

func newDigest() *digest {
	h := sha256.New()
	return &digest{hash: h, buffered: bufio.NewWriter(h)}
}

func (d *digest) numbers(values ...int64) {
	for _, v := range values {
		d.buffered.Write(binary.BigEndian.AppendUint64(d.buffered.AvailableBuffer(), uint64(v)))
	}
}

func (d *digest) counters(values ...uint64) {
	for _, v := range values {
		d.numbers(int64(v))
	}
}

func (d *digest) flag(b bool) {
	if b {
		d.numbers(1)
	} else {
		d.numbers(0)
	}
}

// texts writes each string after its length, so that no two lists collide.
func (d *digest) texts(values ...string) {
	for _, v := range values {
		d.numbers(int64(len(v)))
		d.buffered.WriteString(v)
	}
}

func (d *digest) sum() string {
	d.buffered.Flush()
	return hex.EncodeToString(d.hash.Sum(nil))
}

// The functions from here to view turn the package's types into numbers and
// bytes; a renamed field or type is adapted here.

func (d *digest) rumor(r membership.Update) {
	d.texts(r.Name, r.Addr, r.Zone, r.Suspector)
	d.numbers(r.Start, int64(r.Incarnation), int64(r.State))
}

func (d *digest) message(m membership.Message) {
	d.numbers(int64(m.Kind), int64(m.Seq), int64(m.Count), int64(membership.PacketSize(m)))
	d.texts(m.From, m.Target, m.TargetAddr, m.After, string(m.Payload))
	d.numbers(int64(len(m.Updates)))
	for _, r := range m.Updates {
		d.rumor(r)
	}
}

func (d *digest) ready(r membership.Ready) {
	d.numbers(int64(len(r.Packets)))
	for _, p := range r.Packets {
		d.texts(p.To)
		d.message(p.Message)
	}
	d.numbers(int64(len(r.Changes)))
	for _, c := range r.Changes {
		d.numbers(int64(c.Kind), int64(c.Previous), c.At)
		d.rumor(c.Member)
	}
	d.flag(r.UserData != nil)
	d.texts(string(r.UserData), r.From)
}

func (d *digest) size(s membership.Size) { d.numbers(int64(s.Low), int64(s.High)) }

func (d *digest) stats(s membership.Stats) {
	d.counters(s.PacketsIn, s.PacketsOut, s.BytesOut, s.Malformed, s.Misdirected, s.Stale, s.Dropped,
		s.UnknownSenders, s.Throttled, s.Suspected, s.DeclaredDead, s.Refuted, s.Conflicts)
}

func (d *digest) view(v membership.View) {
	d.numbers(int64(v.Version), v.ChangedAt, int64(v.Awareness), int64(len(v.Members)))
	d.rumor(v.Self)
	for _, r := range v.Members {
		d.rumor(r)
	}
	d.size(v.Fleet)
	for _, zone := range slices.Sorted(maps.Keys(v.Zones)) {
		d.texts(zone)
		d.size(v.Zones[zone])
	}
	d.stats(v.Stats)
}

// settings are the scenario's own; newNetwork and boot set the rest.
func settings(change func(*membership.Config)) membership.Config {
	config := membership.Defaults()
	if change != nil {
		change(&config)
	}
	return config
}

// process is one simulated member of the network, or a series of them under
// one name.
type process struct {
	name, address, zone string
	node                *membership.Node
	running             bool
	pausedUntil         int64
}

// flight is a packet on its way to a process.
type flight struct {
	at      int64
	from    string // an address
	to      int
	message membership.Message
}

const (
	stepMs      = 20 // the simulated clock's step, a tenth of a period
	viewEveryMs = 1000
)

// network carries packets between processes on one simulated clock. All of its
// randomness comes from the scenario's seed.
type network struct {
	t            *testing.T
	random       *rand.Rand
	digest       *digest
	config       membership.Config
	now          int64
	processes    []*process
	inFlight     []flight
	loss         float64
	duplication  float64
	longestDelay int64                   // ms
	cut          func(from, to int) bool // whether packets between two processes are lost
}

func newNetwork(t *testing.T, s scenario) *network {
	n := &network{t: t, random: rand.New(rand.NewPCG(s.seed, 1)), digest: newDigest(), config: settings(s.config),
		now: 1_000_000, longestDelay: 5}
	for i := range max(s.processes, 12) {
		n.add(fmt.Sprintf("member-%02d", i), fmt.Sprintf("10.0.0.%d:7000", i+1), fmt.Sprintf("zone-%d", i%3))
	}
	return n
}

func (n *network) add(name, address, zone string) int {
	n.processes = append(n.processes, &process{name: name, address: address, zone: zone})
	return len(n.processes) - 1
}

// boot starts process i as a new instance, which joins through seeds.
func (n *network) boot(i int, seeds ...int) {
	n.t.Helper()
	p, config := n.processes[i], n.config
	config.Name, config.Addr, config.Zone = p.name, p.address, p.zone
	config.Start, config.Seed = n.now, n.random.Uint64()
	if err := config.Check(); err != nil {
		n.t.Fatal(err)
	}
	p.node, p.running, p.pausedUntil = membership.New(config, n.now), true, 0
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, n.processes[s].address)
	}
	n.record(i, p.node.Join(addresses, n.now))
}

// bootAll starts every process, joining through the first two.
func (n *network) bootAll() {
	n.t.Helper()
	for i := range n.processes {
		n.boot(i, 0, 1)
	}
}

func (n *network) kill(i int) { n.processes[i].running = false }

func (n *network) pause(i int, ms int64) { n.processes[i].pausedUntil = n.now + ms }

func (n *network) up(i int) bool {
	return n.processes[i].running && n.now >= n.processes[i].pausedUntil
}

func (n *network) leave(i int) { n.record(i, n.processes[i].node.Leave(n.now)) }

// share sends a payload from one process to a name.
func (n *network) share(from int, to string, length int) {
	payload := make([]byte, length)
	for i := range payload {
		payload[i] = byte(n.random.Uint32())
	}
	r, sent := n.processes[from].node.SendUserData(to, payload, n.now)
	n.digest.flag(sent)
	n.record(from, r)
}

// inject hands process to a message from any address at once.
func (n *network) inject(from string, to int, m membership.Message) {
	n.record(to, n.processes[to].node.Receive(from, m, n.now))
}

// record hashes what an event of process i asked for, and sends its packets.
func (n *network) record(i int, r membership.Ready) {
	n.digest.numbers(n.now, int64(i))
	n.digest.ready(r)
	for _, p := range r.Packets {
		to := slices.IndexFunc(n.processes, func(p2 *process) bool { return p2.address == p.To })
		if to < 0 || n.cut != nil && n.cut(i, to) || n.random.Float64() < n.loss {
			continue
		}
		n.send(n.processes[i].address, to, p.Message)
		if n.random.Float64() < n.duplication {
			n.send(n.processes[i].address, to, p.Message)
		}
	}
}

func (n *network) send(from string, to int, m membership.Message) {
	n.inFlight = append(n.inFlight, flight{n.now + 1 + n.random.Int64N(n.longestDelay), from, to, m})
}

// recordViews hashes what every process holds of the others.
func (n *network) recordViews() {
	for i, p := range n.processes {
		if p.node == nil {
			continue
		}
		n.digest.numbers(int64(i))
		n.digest.view(p.node.View())
		names, size := p.node.Peers()
		n.digest.texts(names...)
		n.digest.numbers(int64(size))
	}
}

// run moves the clock by ms: packets arrive, processes tick.
func (n *network) run(ms int64) {
	for end := n.now + ms; n.now < end; {
		n.now += stepMs
		n.deliver()
		for i, p := range n.processes {
			if n.up(i) {
				n.record(i, p.node.Tick(n.now))
			}
		}
		if n.now%viewEveryMs == 0 {
			n.recordViews()
		}
	}
}

// deliver hands over the packets that are due. A paused process gets them once
// it goes on, a stopped one never.
func (n *network) deliver() {
	var due []flight
	n.inFlight = slices.DeleteFunc(n.inFlight, func(f flight) bool {
		p := n.processes[f.to]
		if f.at > n.now || p.running && n.now < p.pausedUntil {
			return false
		}
		due = append(due, f)
		return true
	})
	slices.SortStableFunc(due, func(a, b flight) int { return int(a.at - b.at) })
	for _, f := range due {
		if n.up(f.to) {
			n.record(f.to, n.processes[f.to].node.Receive(f.from, f.message, n.now))
		}
	}
}

// between cuts both directions between the processes below i and the others.
func between(i int) func(from, to int) bool {
	return func(from, to int) bool { return (from < i) != (to < i) }
}

// scenario is one seeded run of a network of 12 processes or more.
type scenario struct {
	name      string
	seed      uint64
	processes int
	config    func(*membership.Config)
	script    func(*network)
}

var scenarios = []scenario{
	{name: "calm", seed: 1, script: calm},
	{name: "calm-large", seed: 2, processes: 66, script: calmLarge},
	{name: "loss-delay-duplicates", seed: 3, script: badLinks},
	{name: "kills-and-restarts", seed: 4, config: quickForget, script: killsAndRestarts},
	{name: "split-and-heal", seed: 5, script: splitAndHeal},
	{name: "split-past-forgetting", seed: 6, config: quickForget, script: splitAndHeal},
	{name: "pauses", seed: 7, script: pauses},
	{name: "one-way-cuts", seed: 8, script: oneWayCuts},
	{name: "leaves", seed: 9, config: quickForget, script: leaves},
	{name: "flood-of-names", seed: 10, config: func(c *membership.Config) { c.MaxMembers = 20 }, script: floodOfNames},
	{name: "twin", seed: 11, script: twin},
	{name: "odd-messages", seed: 12, script: oddMessages},
	{name: "accusations", seed: 13, processes: 16, script: accusations},
	{name: "small-budget", seed: 14, processes: 16, config: smallBudget, script: badLinks},
	{name: "fast-periods", seed: 15, config: fastPeriods, script: badLinks},
	{name: "no-relays", seed: 16, config: func(c *membership.Config) { c.IndirectProbes = 0 }, script: oneWayCuts},
	{name: "sabotage-1", seed: 17, config: inject(faultinjection.NoRefutation), script: pauses},
	{name: "sabotage-2", seed: 18, config: inject(faultinjection.NoPushPull), script: splitAndHeal},
	{name: "sabotage-3", seed: 19, config: inject(faultinjection.NoSuspicion), script: pauses},
	{name: "churn-1", seed: 20, config: quickForget, script: churn},
	{name: "churn-2", seed: 21, config: smallBudget, script: churn},
	{name: "churn-3", seed: 22, config: fastPeriods, script: churn},
	{name: "forget-at-once", seed: 25, config: func(c *membership.Config) { c.ReclaimMs = 20 }, script: churn},
	{name: "settings", seed: 23, script: checkSettings},
	{name: "state-texts", seed: 24, script: stateTexts},
}

func quickForget(c *membership.Config) { c.ReclaimMs, c.ReconnectEvery = 4000, 2 }

func smallBudget(c *membership.Config) { c.MaxPacketBytes, c.GossipBytesPerSecond = 512, 700 }

func fastPeriods(c *membership.Config) {
	c.ProbeIntervalMs, c.ProbeTimeoutMs, c.PushPullIntervalMs, c.RetransmitMult = 100, 40, 300, 2
	c.SuspicionMult, c.SuspicionMaxMult, c.MaxAwareness, c.MaxPacketBytes = 5, 2, 3, 900
}

func inject(fault faultinjection.Fault) func(*membership.Config) {
	return func(c *membership.Config) { c.FaultInjection = fault }
}

func calm(n *network) {
	n.bootAll()
	for range 20 {
		n.run(500)
		from := n.random.IntN(len(n.processes))
		n.share(from, n.processes[n.random.IntN(len(n.processes))].name, n.random.IntN(600))
	}
	for range 20 { // until half of a second's budget is spent
		n.share(3, n.processes[4].name, 1000)
	}
	n.share(3, n.processes[4].name, n.config.MaxPacketBytes)
	n.share(3, "member-unknown", 10)
	n.run(2000)
}

func calmLarge(n *network) {
	n.bootAll()
	n.run(3000)
	n.kill(7)
	n.leave(8)
	n.run(4000)
}

func badLinks(n *network) {
	n.loss, n.duplication, n.longestDelay = 0.2, 0.1, 90
	n.bootAll()
	n.run(7000)
	n.loss, n.longestDelay = 0.45, 160
	n.run(5000)
	n.loss, n.longestDelay = 0, 5
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
	n.cut = between(5)
	n.run(7000)
	n.cut = nil
	n.run(3000)
	n.cut = between(1)
	n.run(11_000)
	n.cut = nil
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

func oneWayCuts(n *network) {
	n.bootAll()
	n.run(2000)
	for _, cut := range []func(from, to int) bool{
		func(from, to int) bool { return from == 4 },
		func(from, to int) bool { return to == 4 },
		func(from, to int) bool { return from == 2 && to >= 6 },
		func(from, to int) bool { return from%2 == 0 && to == 9 },
	} {
		n.cut = cut
		n.run(5000)
		n.cut = nil
		n.run(2500)
	}
}

func leaves(n *network) {
	n.bootAll()
	n.run(3000)
	for _, i := range []int{3, 7} {
		n.leave(i)
		n.leave(i) // a second leave asks for nothing
		n.share(i, n.processes[0].name, 20)
		n.run(1000)
		n.share(0, n.processes[i].name, 20)
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

// floodOfNames tells of more members than a view may hold, in pages and in
// gossip, most of them at addresses where nobody answers.
func floodOfNames(n *network) {
	n.bootAll()
	n.run(3000)
	for k := range 60 {
		m := membership.Message{Kind: membership.Ping, From: "member-stranger"}
		if k%2 == 0 {
			m.Kind, m.Count = membership.Sync, 500
		}
		for j := range 8 {
			m.Updates = append(m.Updates, membership.Update{Name: fmt.Sprintf("invented-%03d", 8*k+j), Addr: "10.9.9.9:1",
				Zone: "zone-x", Start: int64(k), Incarnation: uint64(j), State: membership.State(j % 4), Suspector: "member-stranger"})
		}
		n.inject("10.9.9.8:1", k%len(n.processes), m)
		n.run(100)
	}
	n.run(7000)
}

func twin(n *network) {
	n.bootAll()
	n.run(2000)
	later := n.add(n.processes[5].name, "10.0.0.200:7000", "zone-1")
	n.boot(later, 0)
	n.run(4000)
	earlier := n.add(n.processes[6].name, "10.0.0.1:6000", "zone-2")
	n.now -= 4000 // its clock is behind that of the instance it meets
	n.boot(earlier, 0)
	n.now += 4000
	n.run(4000)
	n.kill(5)
	n.kill(earlier)
	n.run(8000)
}

// oddMessages sends what no member in order sends.
func oddMessages(n *network) {
	n.bootAll()
	n.run(2000)
	self, peer := n.processes[1], n.processes[2]
	for _, m := range []membership.Message{
		{Kind: 0},
		{Kind: 200, From: peer.name},
		{Kind: membership.Ping, Seq: 9, Target: "member-other"},
		{Kind: membership.Ping, Seq: 10},
		{Kind: membership.Ping, Seq: 11, Target: self.name, Updates: []membership.Update{{}, {Name: "x", State: 9}, {Name: "y", State: 2}}},
		{Kind: membership.PingReq, Seq: 12, Target: peer.name},
		{Kind: membership.Ack, Seq: 1 << 60, Target: peer.name},
		{Kind: membership.Nack, Seq: 1 << 60, Target: peer.name},
		{Kind: membership.SyncReply, From: peer.name, After: "z", Count: 3, Updates: []membership.Update{{Name: "m", Addr: "10.9.9.9:2"}}},
		{Kind: membership.Sync, From: "member-other"},
		{Kind: membership.Sync, From: "member-other", After: peer.name, Count: 1},
		{Kind: membership.UserData, From: peer.name, Payload: []byte("from the wrong address")},
		{Kind: membership.UserData, From: "member-other", Payload: []byte("from a stranger")},
	} {
		n.inject("10.9.9.7:1", 1, m)
	}
	n.inject(peer.address, 1, membership.Message{Kind: membership.UserData, From: peer.name, Payload: []byte{}})
	for k := range 40 { // more relays than there are members
		n.inject(peer.address, 1, membership.Message{Kind: membership.PingReq, Seq: uint64(k), Target: "t", TargetAddr: n.processes[3+k%3].address})
	}
	n.run(3000)
	n.lonely()
}

// lonely boots a process without seeds; it learns of a seed by a packet.
func (n *network) lonely() {
	i := n.add("member-lonely", "10.0.0.150:7000", "zone-0")
	n.boot(i)
	n.run(1500)
	n.inject(n.processes[0].address, i, membership.Message{Kind: membership.Ping, Seq: 1, From: n.processes[0].name})
	n.run(4000)
}

// accusations tell a process, and others of it, that it is suspect, dead or
// gone, at its own incarnation and at others.
func accusations(n *network) {
	n.bootAll()
	n.run(3000)
	accused := n.processes[2].node.View().Self
	for k := range 40 {
		r := accused
		r.Incarnation, r.State, r.Suspector = uint64(k/3), membership.State(1+k%3), n.processes[3+k%12].name
		switch {
		case k%11 == 0:
			r.Start--
		case k%13 == 0:
			r.Addr = "10.0.0.99:7000"
		}
		to := []int{2, 2, 4, 7}[k%4]
		kind := []membership.Kind{membership.Ping, membership.Ack, membership.SyncReply}[k%3]
		n.inject(n.processes[5].address, to, membership.Message{Kind: kind, From: n.processes[5].name, Updates: []membership.Update{r}})
		n.run(int64(40 * (k % 5)))
	}
	n.run(3000)
	n.confirmations()
}

// confirmations suspect a stopped process in the name of several members, one
// after another, so that its suspicion gets shorter.
func (n *network) confirmations() {
	n.kill(9)
	r := n.processes[9].node.View().Self
	r.State = membership.Suspect
	for k := range 6 {
		r.Suspector = n.processes[10+k].name
		m := membership.Message{Kind: membership.Ack, Seq: 1 << 50, Updates: []membership.Update{r, r}}
		n.inject(n.processes[10+k].address, 1, m)
		n.run(200)
	}
	n.run(8000)
}

// churn lets the seed choose what befalls the processes.
func churn(n *network) {
	n.loss, n.duplication, n.longestDelay = 0.05, 0.02, 30
	n.bootAll()
	n.run(2000)
	for range 80 {
		n.mishap(n.random.IntN(len(n.processes)))
		n.run(100 + 20*n.random.Int64N(20))
	}
	n.cut, n.loss = nil, 0
	n.run(5000)
}

func (n *network) mishap(i int) {
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
		n.cut = between(1 + i/2)
	case 6, 7:
		n.cut = nil
	case 8:
		n.cut = func(from, to int) bool { return from == i && to != other }
	case 9:
		n.loss = 0.3 * n.random.Float64()
	}
	n.share(other, n.processes[i].name, n.random.IntN(300))
}

// checkSettings hashes which settings are accepted.
func checkSettings(n *network) {
	for _, change := range []func(*membership.Config){
		func(c *membership.Config) {},
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

// accepted reports whether the default settings are accepted after a change.
func accepted(change func(*membership.Config)) bool {
	config := membership.Defaults()
	config.Name = "a"
	change(&config)
	return config.Check() == nil
}

// stateTexts reads each state back from its text and hashes the number alone.
func stateTexts(n *network) {
	for s := membership.Alive; s <= membership.Left; s++ {
		text, err := s.MarshalText()
		var back membership.State
		if err == nil {
			err = back.UnmarshalText(text)
		}
		n.digest.flag(err == nil)
		n.digest.numbers(int64(back))
	}
	unknown := membership.Alive
	n.digest.flag(unknown.UnmarshalText([]byte("no state has this text")) == nil)
	n.digest.flag(len((membership.Left + 1).String()) > 0)
}
