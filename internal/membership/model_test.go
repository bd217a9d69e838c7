package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestInvariantsUnderAnyEventOrder plays 3 to 5 members under arbitrary orders of
// delivery, losses, duplicates and ticks, and checks after every event:
// nothing panics; a member's own incarnation never falls; what a member
// believes of another never goes back in (start, incarnation, state) unless forgotten;
// only a member itself raises its incarnation above what it has stated.
func TestInvariantsUnderAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 5).Draw(t, "members")
		cfg := Defaults()
		nodes := make([]*Node, count)
		addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }
		var wire []Packet
		var now int64
		for i := range nodes {
			c := cfg
			c.Name = fmt.Sprint("m", i)
			c.Addr = addr(i)
			c.Start = int64(i)
			c.Seed = uint64(i)
			nodes[i] = New(c, 0)
		}
		for i := 1; i < count; i++ {
			wire = append(wire, nodes[i].Join([]string{addr(0)}, 0).Packets...)
		}
		beliefs := func() map[string]Update {
			m := map[string]Update{}
			for i, n := range nodes {
				for name, e := range n.members {
					m[fmt.Sprint(i, name)] = e.Update
				}
			}
			return m
		}
		stated := make([]uint64, count)
		for step := range rapid.IntRange(1, 300).Draw(t, "steps") {
			before := beliefs()
			switch ev := rapid.IntRange(0, 9).Draw(t, fmt.Sprint("event", step)); {
			case ev < 5 && len(wire) > 0: // deliver any packet, perhaps twice
				k := rapid.IntRange(0, len(wire)-1).Draw(t, "which")
				p := wire[k]
				if !rapid.Bool().Draw(t, "dup") {
					wire = append(wire[:k], wire[k+1:]...)
				}
				var to int
				fmt.Sscanf(p.To, "127.0.0.1:%d", &to)
				if to -= 7000; to >= 0 && to < count {
					wire = append(wire, nodes[to].Receive(addr(to), p.Message, now).Packets...)
				}
			case ev < 7 && len(wire) > 0: // lose one
				k := rapid.IntRange(0, len(wire)-1).Draw(t, "lost")
				wire = append(wire[:k], wire[k+1:]...)
			default: // time passes for one member
				now += int64(rapid.IntRange(1, 400).Draw(t, "ms"))
				i := rapid.IntRange(0, count-1).Draw(t, "ticks")
				wire = append(wire, nodes[i].Tick(now).Packets...)
			}
			if len(wire) > 2000 {
				wire = wire[len(wire)-2000:]
			}
			for i, n := range nodes {
				if n.self.Incarnation < stated[i] {
					t.Fatalf("m%d's incarnation fell from %d to %d", i, stated[i], n.self.Incarnation)
				}
				stated[i] = n.self.Incarnation
			}
			after := beliefs()
			for k, old := range before {
				if r, ok := after[k]; ok && old.supersedes(r) {
					t.Fatalf("%s went back from %+v to %+v", k, old, r)
				}
			}
			for k, r := range after {
				var i int
				fmt.Sscanf(r.Name, "m%d", &i)
				if r.Incarnation > nodes[i].self.Incarnation {
					t.Fatalf("%s believes m%d at incarnation %d, which it never stated (%d)",
						k, i, r.Incarnation, nodes[i].self.Incarnation)
				}
			}
		}
	})
}
