package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lotusbend/internal/membership"
)

// settings returns the default settings with the changes of a scenario. boot sets
// the fields of each process.
func settings(change func(*membership.Config)) membership.Config {
	config := membership.Defaults()
	if change != nil {
		change(&config)
	}
	return config
}

// process is a simulated member of the network. A restarted process has a new node.
type process struct {
	name, address, zone string
	node                *membership.Node
	running             bool
	pausedUntil         int64 // ms
}

// inFlightPacket is a packet that has not arrived yet.
type inFlightPacket struct {
	at      int64  // ms, the time of arrival
	from    string // an address
	to      int    // index of a process
	message membership.Message
}

const (
	stepMs         = 20 // step of the simulated clock, a tenth of the default probe interval
	viewIntervalMs = 1000
)

// network transports packets between processes with one simulated clock. The seed
// of the scenario determines all random choices.
type network struct {
	t           *testing.T
	random      *rand.Rand
	digest      *digest
	config      membership.Config
	now         int64 // ms
	processes   []*process
	inFlight    []inFlightPacket
	loss        float64 // probability that a packet is lost
	duplication float64 // probability that a packet is sent twice
	maxDelayMs  int64
	linkDown    func(from, to int) bool // whether a link loses all packets, nil for none
}

// newNetwork returns a network with the stopped processes of a scenario, 12 at
// least.
func newNetwork(t *testing.T, s scenario) *network {
	n := &network{t: t, random: rand.New(rand.NewPCG(s.seed, 1)), digest: newDigest(), config: settings(s.config),
		now: 1_000_000, maxDelayMs: 5}
	for i := range max(s.processes, 12) {
		n.add(fmt.Sprintf("member-%02d", i), fmt.Sprintf("10.0.0.%d:7000", i+1), fmt.Sprintf("zone-%d", i%3))
	}
	return n
}

// add adds a stopped process and returns its index.
func (n *network) add(name, address, zone string) int {
	n.processes = append(n.processes, &process{name: name, address: address, zone: zone})
	return len(n.processes) - 1
}

// boot starts process i as a new instance that joins through the processes seeds.
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

// bootAll starts all processes, which join through the first two.
func (n *network) bootAll() {
	n.t.Helper()
	for i := range n.processes {
		n.boot(i, 0, 1)
	}
}

func (n *network) kill(i int) { n.processes[i].running = false }

// pause stops process i for ms: it neither receives nor ticks.
func (n *network) pause(i int, ms int64) { n.processes[i].pausedUntil = n.now + ms }

// isUp reports whether process i is running and not paused.
func (n *network) isUp(i int) bool {
	return n.processes[i].running && n.now >= n.processes[i].pausedUntil
}

func (n *network) leave(i int) { n.record(i, n.processes[i].node.Leave(n.now)) }

// sendUserData sends a random payload of length bytes from a process to a member.
func (n *network) sendUserData(from int, to string, length int) {
	payload := make([]byte, length)
	for i := range payload {
		payload[i] = byte(n.random.Uint32())
	}
	r, sent := n.processes[from].node.SendUserData(to, payload, n.now)
	n.digest.flag(sent)
	n.record(from, r)
}

// inject delivers a message from any address to process to without delay.
func (n *network) inject(from string, to int, m membership.Message) {
	n.record(to, n.processes[to].node.Receive(from, m, n.now))
}

// record adds the result of an event of process i to the digest and sends its
// packets.
func (n *network) record(i int, r membership.Ready) {
	n.digest.numbers(n.now, int64(i))
	n.digest.ready(r)
	for _, p := range r.Packets {
		to := slices.IndexFunc(n.processes, func(other *process) bool { return other.address == p.To })
		if to < 0 || n.linkDown != nil && n.linkDown(i, to) || n.random.Float64() < n.loss {
			continue
		}
		n.send(n.processes[i].address, to, p.Message)
		if n.random.Float64() < n.duplication {
			n.send(n.processes[i].address, to, p.Message)
		}
	}
}

func (n *network) send(from string, to int, m membership.Message) {
	n.inFlight = append(n.inFlight, inFlightPacket{n.now + 1 + n.random.Int64N(n.maxDelayMs), from, to, m})
}

// recordViews adds the views of all processes to the digest.
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

// run advances the clock by ms in steps. In each step the due packets arrive and
// the processes tick.
func (n *network) run(ms int64) {
	for end := n.now + ms; n.now < end; {
		n.now += stepMs
		n.deliver()
		for i, p := range n.processes {
			if n.isUp(i) {
				n.record(i, p.node.Tick(n.now))
			}
		}
		if n.now%viewIntervalMs == 0 {
			n.recordViews()
		}
	}
}

// deliver delivers the due packets. Packets to a paused process are kept until it
// resumes; those to a stopped process are lost.
func (n *network) deliver() {
	var due []inFlightPacket
	n.inFlight = slices.DeleteFunc(n.inFlight, func(f inFlightPacket) bool {
		p := n.processes[f.to]
		if f.at > n.now || p.running && n.now < p.pausedUntil {
			return false
		}
		due = append(due, f)
		return true
	})
	slices.SortStableFunc(due, func(a, b inFlightPacket) int { return int(a.at - b.at) })
	for _, f := range due {
		if n.isUp(f.to) {
			n.record(f.to, n.processes[f.to].node.Receive(f.from, f.message, n.now))
		}
	}
}

// splitBefore returns a linkDown for a partition that separates the processes below
// i from the others.
func splitBefore(i int) func(from, to int) bool {
	return func(from, to int) bool { return (from < i) != (to < i) }
}
