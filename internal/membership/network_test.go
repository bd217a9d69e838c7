package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lotusbend/internal/membership"
)

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

// record hashes what an event of process i requires, and sends its packets.
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

// recordViews hashes what every process believes of the others.
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
