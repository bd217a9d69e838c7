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
// the given order.
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
// part, duplicates, losses and restarts: nobody ever counts more than there
// was; after the partitions heal every total is the same, and without
// restarts exactly what was counted; a restart loses only what it sent nobody.
func TestTotalsAreExactAfterAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(2, 5).Draw(t, "routers")
		search := newCounterSearch(routers)
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			search.now += 100
			search.step(t, step)
			search.checkTotals(t)
		}
		order := rapid.Permutation([]int{0, 1, 2, 3, 4}[:routers]).Draw(t, "order")
		exchange(search.stores, search.now, order)
		search.checkHealed(t)
	})
}

// counterSearch counts at random routers and sends their counters around.
type counterSearch struct {
	now       int64
	stores    []*counterStore
	inFlight  []counterMessage
	counted   uint64 // by all routers
	ended     uint64 // of it, by incarnations that ended
	restarts  int
	known     int             // restarts of routers whose counters another had
	lastTotal []uint64        // by router
	lastStore []*counterStore // by router, before its last restart
}

type counterMessage struct {
	to    int
	entry CounterEntry
}

func newCounterSearch(routers int) *counterSearch {
	s := &counterSearch{now: 1000, lastTotal: make([]uint64, routers)}
	for i := range routers {
		s.stores = append(s.stores, newTestCounterStore(fmt.Sprint("r", i), int64(i)))
	}
	s.lastStore = slices.Clone(s.stores)
	return s
}

// step lets one router count, send, receive or restart.
func (s *counterSearch) step(t *rapid.T, step int) {
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

func (s *counterSearch) count(t *rapid.T, i int) {
	var counters Counters
	n := uint64(rapid.IntRange(1, 9).Draw(t, "count"))
	class := rapid.IntRange(0, 2).Draw(t, "class")
	kind := rapid.IntRange(0, int(counterKinds)-1).Draw(t, "kind")
	counters.Add(class, CounterKind(kind), n)
	s.stores[i].record(counters)
	s.counted += n
}

// restart begins another incarnation: what no other router has of the last one
// is lost.
func (s *counterSearch) restart(i int) {
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

// sumOf is the total over all classes and kinds.
func sumOf(store *counterStore) (sum uint64) {
	for _, value := range store.total() {
		sum += value
	}
	return sum
}

// checkTotals holds that no router counts too much, nor less than before.
func (s *counterSearch) checkTotals(t *rapid.T) {
	for i, store := range s.stores {
		total := sumOf(store)
		if total > s.counted {
			t.Fatalf("%s totals %d of %d counted", store.own.Name, total, s.counted)
		}
		if total < s.lastTotal[i] && store == s.lastStore[i] { // an old copy must not undo a newer one
			t.Fatalf("%s totals %d after %d", store.own.Name, total, s.lastTotal[i])
		}
		s.lastTotal[i], s.lastStore[i] = total, store
	}
}

// checkHealed holds the totals against what was counted, once every router has
// received everything.
func (s *counterSearch) checkHealed(t *rapid.T) {
	first := s.stores[0]
	for _, store := range s.stores {
		if !slices.Equal(store.total(), first.total()) {
			t.Fatalf("after the heal %s totals %v, %s %v", store.own.Name, store.total(), first.own.Name, first.total())
		}
	}
	total := sumOf(first)
	if s.restarts == 0 && total != s.counted {
		t.Fatalf("totals are %d, counted %d, and nobody restarted", total, s.counted)
	}
	if s.restarts == 1 && s.known == 1 && total != s.counted {
		t.Fatalf("totals are %d, counted %d; the one that restarted had sent all", total, s.counted)
	}
	if total < s.counted-s.ended {
		t.Fatalf("totals are %d, and %d was counted by incarnations that go on", total, s.counted-s.ended)
	}
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
