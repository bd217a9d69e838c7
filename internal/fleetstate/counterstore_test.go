package fleetstate

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/fleetstate/faultinjection"
)

func newTestCounterStore(name string, epoch int64) *counterStore {
	cfg := Defaults()
	cfg.Name, cfg.Start = name, epoch
	return newCounterStore(cfg, epoch)
}

// exchange sends every store's whole knowledge to every other, twice, in
// an order and number drawn from pick.
func exchange(stores []*counterStore, now int64, order []int) {
	for range 2 {
		for _, i := range order {
			for _, j := range order {
				if i != j {
					for _, e := range stores[i].page(1 << 20) {
						stores[j].merge(e, now)
					}
					stores[j].lastReceivedAt = now
				}
			}
		}
	}
}

// TestTotalsAreExactAfterAnyOrder holds for any order of counting, sending in
// part, doubles, losses and restarts: nobody ever counts more than there
// was; after the partitions heal every total is the same, and without
// restarts exactly what was counted; a restart loses only what it sent nobody.
func TestTotalsAreExactAfterAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "routers")
		now := int64(1000)
		stores := make([]*counterStore, n)
		for i := range stores {
			stores[i] = newTestCounterStore(fmt.Sprint("r", i), int64(i))
		}
		type sentEntry struct {
			to int
			e  CounterEntry
		}
		var inFlight []sentEntry
		counted, ended, restarts, known := uint64(0), uint64(0), 0, 0
		sum := func(c *counterStore) (s uint64) {
			for _, v := range c.total() {
				s += v
			}
			return s
		}
		last, was := make([]uint64, n), slices.Clone(stores)
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += 100
			i := rapid.IntRange(0, n-1).Draw(t, "router")
			switch ev := rapid.IntRange(0, 9).Draw(t, fmt.Sprint("event", step)); {
			case ev < 4:
				var cells Counters
				k := uint64(rapid.IntRange(1, 9).Draw(t, "much"))
				class := rapid.IntRange(0, 2).Draw(t, "class")
				kind := rapid.IntRange(0, int(counterKinds)-1).Draw(t, "kind")
				cells.Add(class, CounterKind(kind), k)
				stores[i].record(cells)
				counted += k
			case ev < 6:
				stores[i].tick(now)
				for _, e := range stores[i].page(rapid.IntRange(0, 400).Draw(t, "room")) {
					inFlight = append(inFlight, sentEntry{rapid.IntRange(0, n-1).Draw(t, "to"), e})
				}
			case ev < 9 && len(inFlight) > 0:
				k := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				stores[inFlight[k].to].merge(inFlight[k].e, now)
				if rapid.Bool().Draw(t, "once") {
					inFlight = slices.Delete(inFlight, k, k+1)
				}
			case ev == 9: // a restart: what nobody else has of its last incarnation is lost
				restarts++
				dies := stores[i].own
				for _, v := range dies.Counters {
					ended += v
				}
				for _, c := range stores {
					if k, ok := c.find(dies.Name, dies.Epoch); ok && slices.Equal(c.entries[k].Counters, dies.Counters) {
						known++
						break
					}
				}
				stores[i] = newTestCounterStore(dies.Name, now)
			}
			for k, c := range stores {
				s := sum(c)
				if s > counted {
					t.Fatalf("%s totals %d of %d counted", c.own.Name, s, counted)
				}
				if s < last[k] && c == was[k] { // an old copy must not undo a newer one
					t.Fatalf("%s totals %d after %d", c.own.Name, s, last[k])
				}
				last[k], was[k] = s, c
			}
		}
		exchange(stores, now, rapid.Permutation([]int{0, 1, 2, 3, 4}[:n]).Draw(t, "order"))
		first := sum(stores[0])
		for _, c := range stores {
			if !slices.Equal(c.total(), stores[0].total()) {
				t.Fatalf("after the heal %s totals %v, %s %v", c.own.Name, c.total(), stores[0].own.Name, stores[0].total())
			}
		}
		if restarts == 0 && first != counted {
			t.Fatalf("totals are %d, counted %d, and nobody restarted", first, counted)
		}
		if restarts == 1 && known == 1 && first != counted {
			t.Fatalf("totals are %d, counted %d; the one that restarted had sent all", first, counted)
		}
		if first < counted-ended {
			t.Fatalf("totals are %d, and %d was counted by incarnations that go on", first, counted-ended)
		}
	})
}

// A merge by addition counts duplicates twice: the same search would find it.
func TestMergeBySumCountsDuplicatesTwice(t *testing.T) {
	cfg := Defaults()
	cfg.Name = "a"
	cfg.FaultInjection = faultinjection.CountsBySum
	a, b := newCounterStore(cfg, 0), newTestCounterStore("b", 0)
	var cells Counters
	cells.Add(0, Requests, 5)
	b.record(cells)
	for range 2 {
		a.merge(b.page(1000)[0], 10)
	}
	if a.total().Get(0, Requests) == 5 {
		t.Error("a duplicate is not counted twice: the injected fault does nothing")
	}
}

// The counters of stopped routers are compacted into one total, and copies of
// them that come later change nothing: memory is bounded by the routers alive.
func TestCountersOfStoppedRoutersAreCompactedOnce(t *testing.T) {
	a := newTestCounterStore("a", 0)
	var old []CounterEntry
	for i := range 100 {
		c := newTestCounterStore(fmt.Sprint("gone", i), int64(i))
		var cells Counters
		cells.Add(1, Rejections, 3)
		c.record(cells)
		c.tick(int64(1000 + i))
		old = append(old, c.page(1000)...)
	}
	for _, e := range old {
		a.merge(e, 2000)
	}
	a.lastReceivedAt = 1100 + a.cfg.CounterRetentionMs
	a.tick(1100 + a.cfg.CounterRetentionMs)
	if len(a.entries) != 0 || a.total().Get(1, Rejections) != 300 {
		t.Fatalf("%d entries kept, total %d; want 0 and 300", len(a.entries), a.total().Get(1, Rejections))
	}
	for _, e := range old {
		a.merge(e, 1200+a.cfg.CounterRetentionMs)
	}
	if got := a.total().Get(1, Rejections); got != 300 || a.rejected != 100 {
		t.Errorf("after late copies the total is %d, %d rejected; want 300 and 100", got, a.rejected)
	}
}

// A router partitioned for longer than others wait before compacting it comes back
// in a new epoch: what they compacted is never counted again.
func TestLongPartitionNeverCountsTwice(t *testing.T) {
	a, b := newTestCounterStore("a", 0), newTestCounterStore("b", 0)
	var one Counters
	one.Add(0, Requests, 1)
	now := int64(0)
	counted := uint64(0)
	for ; now < 3*a.cfg.CounterRetentionMs; now += 10_000 {
		b.record(one)
		counted++
		a.tick(now)
		b.tick(now)
		if now < 60_000 || now > 2*a.cfg.CounterRetentionMs {
			exchange([]*counterStore{a, b}, now, []int{0, 1})
		}
	}
	got := a.total().Get(0, Requests)
	if got > counted {
		t.Fatalf("a totals %d of %d that b counted", got, counted)
	}
	if got < counted/2 {
		t.Errorf("a totals %d of %d: what was counted after the heal and before the partition must be there", got, counted)
	}
}
