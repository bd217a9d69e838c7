package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	modelBasePort   = 7000
	maxModelPackets = 2000 // in flight, the oldest are lost
)

// TestInvariantsUnderAnyEventOrder plays 3 to 5 members under arbitrary orders of
// delivery, losses, duplicates and ticks, and checks after every event: nothing
// panics; a member's own incarnation never falls; what a member believes of
// another never goes back in (start, incarnation, state) unless it is forgotten;
// only a member itself raises its incarnation above what it has stated.
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

// model is a set of members whose events happen in any order.
type model struct {
	nodes    []*Node
	stated   []uint64 // the highest own incarnation of each
	inFlight []Packet
	now      int64 // ms
}

func modelAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", modelBasePort+i) }

// newModel makes members that join through the first.
func newModel(count int) *model {
	m := &model{stated: make([]uint64, count)}
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

// step delivers a packet, loses one, or lets time pass for one member.
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

// deliver hands over any packet, perhaps to do so again later.
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

// beliefs are what each member believes of the others, by both names.
func (m *model) beliefs() map[string]Update {
	beliefs := map[string]Update{}
	for i, node := range m.nodes {
		for name, known := range node.members {
			beliefs[fmt.Sprint(i, name)] = known.Update
		}
	}
	return beliefs
}

func (m *model) checkOwnIncarnations(t *rapid.T) {
	for i, node := range m.nodes {
		if node.self.Incarnation < m.stated[i] {
			t.Fatalf("m%d's incarnation fell from %d to %d", i, m.stated[i], node.self.Incarnation)
		}
		m.stated[i] = node.self.Incarnation
	}
}

func (m *model) checkBeliefs(t *rapid.T, before map[string]Update) {
	after := m.beliefs()
	for names, old := range before {
		if update, ok := after[names]; ok && old.supersedes(update) {
			t.Fatalf("%s went back from %+v to %+v", names, old, update)
		}
	}
	for names, update := range after {
		var subject int
		fmt.Sscanf(update.Name, "m%d", &subject)
		if stated := m.nodes[subject].self.Incarnation; update.Incarnation > stated {
			t.Fatalf("%s believes m%d at incarnation %d, which it never stated (%d)",
				names, subject, update.Incarnation, stated)
		}
	}
}
