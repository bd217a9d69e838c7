package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	modelBasePort   = 7000
	maxModelPackets = 2000 // in flight; beyond that the oldest are lost
)

// TestInvariantsUnderAnyEventOrder executes random sequences of deliveries, losses,
// duplicates and ticks on 3 to 5 members. After every event: nothing panicked; no
// member's own incarnation decreased; what a member believes of another did not go
// back in (start, incarnation, state) unless it was forgotten; and no member
// believes an incarnation of another that is higher than that one's own.
func TestInvariantsUnderAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(3, 5).Draw(t, "members"))
		for step := range rapid.IntRange(1, 300).Draw(t, "steps") {
			before := m.beliefs()
			m.step(t, step)
			m.checkOwnIncarnations(t)
			m.checkBeliefs(t, before)
		}
	})
}

// model is a set of members, and the packets between them, whose events happen in
// random order.
type model struct {
	nodes        []*Node
	incarnations []uint64 // own incarnation of each node after the previous event
	inFlight     []Packet
	now          int64 // ms
}

func modelAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", modelBasePort+i) }

// newModel returns a model of members that join through the first.
func newModel(count int) *model {
	m := &model{incarnations: make([]uint64, count)}
	for i := range count {
		cfg := Defaults()
		cfg.Name = fmt.Sprint("m", i)
		cfg.Addr = modelAddress(i)
		cfg.Start = int64(i)
		cfg.Seed = uint64(i)
		m.nodes = append(m.nodes, New(cfg, 0))
	}
	for _, node := range m.nodes[1:] {
		m.send(node.Join([]string{modelAddress(0)}, 0))
	}
	return m
}

func (m *model) send(ready Ready) {
	m.inFlight = append(m.inFlight, ready.Packets...)
}

// step delivers a packet, loses one, or advances the time and ticks one member.
func (m *model) step(t *rapid.T, step int) {
	event := rapid.IntRange(0, 9).Draw(t, fmt.Sprint("event", step))
	switch {
	case event < 5 && len(m.inFlight) > 0:
		m.deliver(t)
	case event < 7 && len(m.inFlight) > 0:
		lost := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "lost")
		m.inFlight = slices.Delete(m.inFlight, lost, lost+1)
	default:
		m.now += int64(rapid.IntRange(1, 400).Draw(t, "ms"))
		ticking := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "ticks")
		m.send(m.nodes[ticking].Tick(m.now))
	}
	if len(m.inFlight) > maxModelPackets {
		m.inFlight = m.inFlight[len(m.inFlight)-maxModelPackets:]
	}
}

// deliver delivers a random packet, and may keep it in flight as a duplicate. The
// receiver is given its own address as the sender's, because a Packet does not have
// the sender's, so it sends its replies to itself.
func (m *model) deliver(t *rapid.T) {
	which := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
	packet := m.inFlight[which]
	if !rapid.Bool().Draw(t, "duplicate") {
		m.inFlight = slices.Delete(m.inFlight, which, which+1)
	}
	var port int
	fmt.Sscanf(packet.To, "127.0.0.1:%d", &port)
	if to := port - modelBasePort; to >= 0 && to < len(m.nodes) {
		m.send(m.nodes[to].Receive(modelAddress(to), packet.Message, m.now))
	}
}

// beliefs returns what each member believes of the others. The keys are the index
// of the one followed by the name of the other.
func (m *model) beliefs() map[string]Update {
	beliefs := map[string]Update{}
	for i, node := range m.nodes {
		for name, known := range node.members {
			beliefs[fmt.Sprint(i, name)] = known.Update
		}
	}
	return beliefs
}

// checkOwnIncarnations checks that no member's own incarnation decreased.
func (m *model) checkOwnIncarnations(t *rapid.T) {
	for i, node := range m.nodes {
		if node.self.Incarnation < m.incarnations[i] {
			t.Fatalf("the incarnation of m%d decreased from %d to %d", i, m.incarnations[i], node.self.Incarnation)
		}
		m.incarnations[i] = node.self.Incarnation
	}
}

// checkBeliefs checks that no belief went back since before, and that no member
// believes a higher incarnation of another than that one's own.
func (m *model) checkBeliefs(t *rapid.T, before map[string]Update) {
	after := m.beliefs()
	for key, old := range before {
		if update, ok := after[key]; ok && old.supersedes(update) {
			t.Fatalf("%s: the belief went back from %+v to %+v", key, old, update)
		}
	}
	for key, update := range after {
		var subject int
		fmt.Sscanf(update.Name, "m%d", &subject)
		if own := m.nodes[subject].self.Incarnation; update.Incarnation > own {
			t.Fatalf("%s believes m%d at incarnation %d, want at most its own incarnation %d",
				key, subject, update.Incarnation, own)
		}
	}
}
