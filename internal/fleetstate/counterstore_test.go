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

// exchange sends all entries of every store to every other store, twice, in the
// given order.
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

// For any order of counting, partial sends, duplicates, losses and restarts, no
// router's total ever exceeds the true count. Once all messages are exchanged, all
// totals are equal, and without restarts they equal the true count. A restart
// loses only counts that no other router received.
func TestTotalsAreExactAfterAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(2, 5).Draw(t, "routers")
		simulation := newCounterSimulation(routers)
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			simulation.now += 100
			simulation.step(t, step)
			simulation.checkTotals(t)
		}
		order := rapid.Permutation([]int{0, 1, 2, 3, 4}[:routers]).Draw(t, "order")
		exchange(simulation.stores, simulation.now, order)
		simulation.checkConverged(t)
	})
}

// counterSimulation increments counters of random routers and exchanges them.
type counterSimulation struct {
	now       int64
	stores    []*counterStore
	inFlight  []counterMessage
	counted   uint64 // true count over all routers
	ended     uint64 // part of counted by incarnations that ended
	restarts  int
	known     int             // number of restarts at which another router had all counters
	lastTotal []uint64        // by router
	lastStore []*counterStore // by router, before its last restart
}

type counterMessage struct {
	to    int
	entry CounterEntry
}

func newCounterSimulation(routers int) *counterSimulation {
	s := &counterSimulation{now: 1000, lastTotal: make([]uint64, routers)}
	for i := range routers {
		s.stores = append(s.stores, newTestCounterStore(fmt.Sprint("r", i), int64(i)))
	}
	s.lastStore = slices.Clone(s.stores)
	return s
}

// step lets one router count, send, receive or restart.
func (s *counterSimulation) step(t *rapid.T, step int) {
	i := rapid.IntRange(0, len(s.stores)-1).Draw(t, "router")
	switch event := rapid.IntRange(0, 9).Draw(t, fmt.Sprint("event", step)); {
	case event < 4:
		s.count(t, i)
	case event < 6:
		s.stores[i].tick(s.now)
		for _, entry := range s.stores[i].page(rapid.IntRange(0, 400).Draw(t, "bytes")) {
			to := rapid.IntRange(0, len(s.stores)-1).Draw(t, "to")
			s.inFlight = append(s.inFlight, counterMessage{to: to, entry: entry})
		}
	case event < 9 && len(s.inFlight) > 0:
		k := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "which")
		message := s.inFlight[k]
		s.stores[message.to].merge(message.entry, s.now)
		if rapid.Bool().Draw(t, "once") {
			s.inFlight = slices.Delete(s.inFlight, k, k+1)
		}
	case event == 9:
		s.restart(i)
	}
}

func (s *counterSimulation) count(t *rapid.T, i int) {
	var counters Counters
	n := uint64(rapid.IntRange(1, 9).Draw(t, "count"))
	class := rapid.IntRange(0, 2).Draw(t, "class")
	kind := rapid.IntRange(0, int(numCounterKinds)-1).Draw(t, "kind")
	counters.Add(class, CounterKind(kind), n)
	s.stores[i].record(counters)
	s.counted += n
}

// restart begins a new incarnation of router i. Counts of the previous one that no
// other router received are lost.
func (s *counterSimulation) restart(i int) {
	s.restarts++
	last := s.stores[i].own
	for _, value := range last.Counters {
		s.ended += value
	}
	for _, store := range s.stores {
		k, ok := store.find(last.Name, last.Epoch)
		if ok && slices.Equal(store.entries[k].Counters, last.Counters) {
			s.known++
			break
		}
	}
	s.stores[i] = newTestCounterStore(last.Name, s.now)
}

// sumOf returns the total over all classes and kinds.
func sumOf(store *counterStore) (sum uint64) {
	for _, value := range store.total() {
		sum += value
	}
	return sum
}

// checkTotals checks that no total exceeds the true count or decreases.
func (s *counterSimulation) checkTotals(t *rapid.T) {
	for i, store := range s.stores {
		total := sumOf(store)
		if total > s.counted {
			t.Fatalf("total of %s = %d, want at most the true count %d", store.own.Name, total, s.counted)
		}
		if total < s.lastTotal[i] && store == s.lastStore[i] { // an old copy must not undo a newer one
			t.Fatalf("total of %s = %d, want at least the previous %d", store.own.Name, total, s.lastTotal[i])
		}
		s.lastTotal[i], s.lastStore[i] = total, store
	}
}

// checkConverged compares the totals with the true count once every router has
// received all entries.
func (s *counterSimulation) checkConverged(t *rapid.T) {
	first := s.stores[0]
	for _, store := range s.stores {
		if !slices.Equal(store.total(), first.total()) {
			t.Fatalf("after the exchange the totals of %s are %v, of %s %v, want them equal",
				store.own.Name, store.total(), first.own.Name, first.total())
		}
	}
	total := sumOf(first)
	if s.restarts == 0 && total != s.counted {
		t.Fatalf("total = %d, want the true count %d as no router restarted", total, s.counted)
	}
	if s.restarts == 1 && s.known == 1 && total != s.counted {
		t.Fatalf("total = %d, want the true count %d as the router sent all counters before its restart",
			total, s.counted)
	}
	if total < s.counted-s.ended {
		t.Fatalf("total = %d, want at least the %d counted by running incarnations", total, s.counted-s.ended)
	}
}

// With the injected fault, merging by addition counts a duplicate twice, so that
// the test of totals detects it.
func TestMergeBySumCountsDuplicatesTwice(t *testing.T) {
	cfg := Defaults()
	cfg.Name = "a"
	cfg.FaultInjection = faultinjection.CountsBySum
	a, b := newCounterStore(cfg, 0), newTestCounterStore("b", 0)
	var counts Counters
	counts.Add(0, Requests, 5)
	b.record(counts)
	for range 2 {
		a.merge(b.page(1000)[0], 10)
	}
	if a.total().Get(0, Requests) == 5 {
		t.Error("total after a duplicate = 5, want more: the injected fault has no effect")
	}
}

// Counters of stopped routers are compacted into one total, so that memory is
// bounded by the live routers. Copies that arrive later are rejected.
func TestCountersOfStoppedRoutersAreCompactedOnce(t *testing.T) {
	a := newTestCounterStore("a", 0)
	var old []CounterEntry
	for i := range 100 {
		c := newTestCounterStore(fmt.Sprint("gone", i), int64(i))
		var counts Counters
		counts.Add(1, Rejections, 3)
		c.record(counts)
		c.tick(int64(1000 + i))
		old = append(old, c.page(1000)...)
	}
	for _, e := range old {
		a.merge(e, 2000)
	}
	a.lastReceivedAt = 1100 + a.cfg.CounterRetentionMs
	a.tick(1100 + a.cfg.CounterRetentionMs)
	if len(a.entries) != 0 || a.total().Get(1, Rejections) != 300 {
		t.Fatalf("after compaction %d entries, total %d, want 0 and 300", len(a.entries), a.total().Get(1, Rejections))
	}
	for _, e := range old {
		a.merge(e, 1200+a.cfg.CounterRetentionMs)
	}
	if got := a.total().Get(1, Rejections); got != 300 || a.rejected != 100 {
		t.Errorf("after late copies total %d, %d rejected, want 300 and 100", got, a.rejected)
	}
}

// A router that was partitioned for longer than CounterRetentionMs begins a new
// epoch, so that counters that its peers compacted are not counted again.
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
		t.Fatalf("total of a = %d, want at most the %d that b counted", got, counted)
	}
	if got < counted/2 {
		t.Errorf("total of a = %d of %d, want at least the counts before the partition and after it", got, counted)
	}
}
