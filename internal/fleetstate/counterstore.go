package fleetstate

import (
	"cmp"
	"slices"
)

// CounterEntry is the counters of one incarnation of a router: a grow-only
// counter (G-Counter). Only that router raises them; every other takes the
// maximum of two copies, counter by counter, so reordered, duplicated and lost
// messages do no harm.
type CounterEntry struct {
	Name     string
	Epoch    int64 // start of the incarnation, or later where it closed an epoch; ms
	Stamp    int64 // the owner's time when it last sent them; ms
	Counters Counters
	sends    int // by this router, since they changed
}

// compareEntries orders entries by name and epoch.
func compareEntries(a, b CounterEntry) int {
	if order := cmp.Compare(a.Name, b.Name); order != 0 {
		return order
	}
	return cmp.Compare(a.Epoch, b.Epoch)
}

// clone copies an entry with its counters.
func (e CounterEntry) clone() CounterEntry {
	e.Counters = slices.Clone(e.Counters)
	return e
}

// counterStore holds every router's counters as far as this router has
// received them.
//
// Its size is bounded by the routers alive within CounterRetentionMs: an entry
// not updated for that long is compacted into one total, and copies of it that
// arrive later are too old to be accepted. A router that received nothing for
// half of that time closes its epoch, so that what others may have compacted is
// never sent as if it were new. Totals are therefore exact after every
// partition shorter than CounterRetentionMs/2; after a longer one they lose
// what was counted in its first part, and never count anything twice.
type counterStore struct {
	cfg            Config
	faults         FaultInjection
	own            CounterEntry
	entries        []CounterEntry // of others and of closed epochs, by name and epoch
	compacted      Counters       // sum of the entries that were dropped
	lastReceivedAt int64          // when any peer's message came, ms
	rejected       uint64         // entries that were too old or too many
}

func newCounterStore(cfg Config, now int64) *counterStore {
	return &counterStore{
		cfg:            cfg,
		faults:         cfg.faults(),
		own:            CounterEntry{Name: cfg.Name, Epoch: cfg.Start, Stamp: now},
		lastReceivedAt: now,
	}
}

// record adds what this router counted since the last time.
func (s *counterStore) record(counted Counters) { s.own.Counters.add(counted) }

// total is the sum of all routers' counters.
func (s *counterStore) total() Counters {
	total := slices.Clone(s.compacted)
	total.add(s.own.Counters)
	for _, entry := range s.entries {
		total.add(entry.Counters)
	}
	return total
}

// find returns the index of an entry, or where it belongs.
func (s *counterStore) find(name string, epoch int64) (index int, found bool) {
	return slices.BinarySearchFunc(s.entries, CounterEntry{Name: name, Epoch: epoch}, compareEntries)
}

// merge takes an entry that a peer sent.
func (s *counterStore) merge(entry CounterEntry, now int64) {
	if entry.Name == "" || len(entry.Counters) > maxClasses*int(counterKinds) {
		return
	}
	if entry.Name == s.own.Name && entry.Epoch == s.own.Epoch {
		return // nobody knows more of this router's own counters than it does
	}
	// A stamp far ahead would never be compacted.
	entry.Stamp = min(entry.Stamp, now+s.cfg.SkewMs)
	i, found := s.find(entry.Name, entry.Epoch)
	switch {
	case found:
		s.update(&s.entries[i], entry)
	case now-entry.Stamp >= s.cfg.CounterRetentionMs || len(s.entries) >= s.cfg.MaxCounterEntries:
		s.rejected++ // compacted here already, or more than can be kept
	default:
		entry = entry.clone()
		entry.sends = 0
		s.entries = slices.Insert(s.entries, i, entry)
	}
}

// update merges a received copy into a known entry.
func (s *counterStore) update(known *CounterEntry, received CounterEntry) {
	if s.faults.SumCounters() {
		known.Counters.add(received.Counters)
		return
	}
	if known.Counters.mergeMax(received.Counters) {
		known.sends = 0
	}
	known.Stamp = max(known.Stamp, received.Stamp)
}

// tick stamps the own entry, closes its epoch after a long silence and compacts
// entries that were not updated for CounterRetentionMs.
func (s *counterStore) tick(now int64) {
	s.own.Stamp = now
	if now-s.lastReceivedAt >= s.cfg.CounterRetentionMs/2 && len(s.own.Counters) > 0 {
		s.closeEpoch(now)
	}
	s.entries = slices.DeleteFunc(s.entries, func(entry CounterEntry) bool {
		if now-entry.Stamp < s.cfg.CounterRetentionMs {
			return false
		}
		s.compacted.add(entry.Counters)
		return true
	})
}

// closeEpoch keeps the own entry as one of the past and begins another.
func (s *counterStore) closeEpoch(now int64) {
	closed := s.own
	closed.Stamp = s.lastReceivedAt
	s.own = CounterEntry{Name: s.cfg.Name, Epoch: max(now, closed.Epoch+1), Stamp: now}
	s.lastReceivedAt = now
	if i, found := s.find(closed.Name, closed.Epoch); !found {
		s.entries = slices.Insert(s.entries, i, closed)
	}
}

// snapshot copies every entry, the own one first.
func (s *counterStore) snapshot() []CounterEntry {
	copied := []CounterEntry{s.own.clone()}
	for _, entry := range s.entries {
		copied = append(copied, entry.clone())
	}
	return copied
}

// page copies the own entry and those of the others that fit into the bytes
// left, first the ones sent least often since they changed: updates spread
// epidemically, and old entries go round again.
func (s *counterStore) page(bytesLeft int) []CounterEntry {
	page := []CounterEntry{s.own.clone()}
	bytesLeft -= s.own.size()
	order := make([]int, len(s.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(s.entries[a].sends, s.entries[b].sends)
	})
	for _, i := range order {
		entry := &s.entries[i]
		bytesLeft -= entry.size()
		if bytesLeft < 0 {
			break
		}
		entry.sends++
		page = append(page, entry.clone())
	}
	return page
}
