package fleetstate

import (
	"cmp"
	"slices"
)

// CounterEntry holds the counters of one router in one epoch. It is a grow-only
// counter (G-Counter): only the owner increments it, and other routers merge two
// copies by taking the maximum of each counter. Reordered, duplicated and lost
// messages therefore cannot corrupt it.
type CounterEntry struct {
	Name     string // of the owner
	Epoch    int64  // start of the owner's incarnation, or of a later epoch that it began; ms
	Stamp    int64  // owner's clock when it last sent the entry; ms
	Counters Counters
	sends    int // how often this router sent the entry since it changed
}

// compareEntries orders entries by name and epoch.
func compareEntries(a, b CounterEntry) int {
	if order := cmp.Compare(a.Name, b.Name); order != 0 {
		return order
	}
	return cmp.Compare(a.Epoch, b.Epoch)
}

// clone returns a deep copy.
func (e CounterEntry) clone() CounterEntry {
	e.Counters = slices.Clone(e.Counters)
	return e
}

// counterStore holds the counters of every router, as far as this router has
// received them.
//
// Its size is bounded by the routers that were alive within CounterRetentionMs:
// an entry not updated for that long is compacted into one total, and copies of
// it that arrive later are rejected as too old. A router that received nothing
// for half of that time begins a new epoch, so that it never sends counters as
// new that others may have compacted already. Totals are therefore exact after
// every partition shorter than CounterRetentionMs/2. A longer partition loses the
// counts of its first part, but counts nothing twice.
type counterStore struct {
	cfg            Config
	faults         FaultInjection
	own            CounterEntry
	entries        []CounterEntry // of peers and of this router's closed epochs, sorted by name and epoch
	compacted      Counters       // sum of the entries removed
	lastReceivedAt int64          // when the last message of a peer arrived, or the epoch began if later, ms
	rejected       uint64         // number of received entries that were too old or too many
}

func newCounterStore(cfg Config, now int64) *counterStore {
	return &counterStore{
		cfg:            cfg,
		faults:         cfg.faults(),
		own:            CounterEntry{Name: cfg.Name, Epoch: cfg.Start, Stamp: now},
		lastReceivedAt: now,
	}
}

// record adds the counts of this router since the previous call.
func (s *counterStore) record(counted Counters) { s.own.Counters.add(counted) }

// total returns the sum of the counters of all routers and epochs.
func (s *counterStore) total() Counters {
	total := slices.Clone(s.compacted)
	total.add(s.own.Counters)
	for _, entry := range s.entries {
		total.add(entry.Counters)
	}
	return total
}

// find returns the index of an entry, or the index to insert it at.
func (s *counterStore) find(name string, epoch int64) (index int, found bool) {
	return slices.BinarySearchFunc(s.entries, CounterEntry{Name: name, Epoch: epoch}, compareEntries)
}

// merge merges an entry received from a peer. It ignores entries without a name
// or with too many counters.
func (s *counterStore) merge(entry CounterEntry, now int64) {
	if entry.Name == "" || len(entry.Counters) > maxClasses*int(numCounterKinds) {
		return
	}
	if entry.Name == s.own.Name && entry.Epoch == s.own.Epoch {
		return // a peer's copy of this router's counters is never newer
	}
	// An entry with a stamp far in the future would never be compacted.
	entry.Stamp = min(entry.Stamp, now+s.cfg.SkewMs)
	i, found := s.find(entry.Name, entry.Epoch)
	switch {
	case found:
		s.update(&s.entries[i], entry)
	case now-entry.Stamp >= s.cfg.CounterRetentionMs || len(s.entries) >= s.cfg.MaxCounterEntries:
		s.rejected++ // it may be compacted here already, or the store is full
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

// tick updates the stamp of the own entry, begins a new epoch if nothing was
// received for half of CounterRetentionMs, and compacts entries that were not
// updated for CounterRetentionMs.
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

// closeEpoch moves the own entry to the entries that no longer change and begins
// a new one.
func (s *counterStore) closeEpoch(now int64) {
	closed := s.own
	closed.Stamp = s.lastReceivedAt
	s.own = CounterEntry{Name: s.cfg.Name, Epoch: max(now, closed.Epoch+1), Stamp: now}
	s.lastReceivedAt = now
	if i, found := s.find(closed.Name, closed.Epoch); !found {
		s.entries = slices.Insert(s.entries, i, closed)
	}
}

// snapshot returns deep copies of all entries, the own one first.
func (s *counterStore) snapshot() []CounterEntry {
	copied := []CounterEntry{s.own.clone()}
	for _, entry := range s.entries {
		copied = append(copied, entry.clone())
	}
	return copied
}

// page returns deep copies of the own entry, even if it exceeds bytesLeft, and of
// as many others as fit into the rest. Entries sent least often since they changed
// come first, so that updates spread epidemically and unchanged entries are
// repeated in turn.
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
