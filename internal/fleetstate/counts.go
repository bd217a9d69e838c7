package fleetstate

import (
	"cmp"
	"slices"
)

// Kind is what a counter counts, by class of request.
type CounterKind uint8

// The counters of a class.
const (
	Requests          CounterKind = iota // taken from clients
	Rejections                           // answered as refused
	Retries                              // attempts after a request's first
	CrossZoneAttempts                    // attempts that left the router's zone
	Attempts                             // attempts of which a host got something
	counterKinds
)

// KindNames are the kinds' names, in their order.
func CounterKindNames() []string {
	return []string{"requests", "refusals", "repeats", "crossings", "attempts"}
}

// Cells are a router's counters: cell class*kinds + kind.
type Counters []uint64

// maxClasses bounds the classes that a peer's counters may tell of.
const maxClasses = 64

// Get reads one counter.
func (c Counters) Get(class int, k CounterKind) uint64 {
	if i := class*int(counterKinds) + int(k); i < len(c) {
		return c[i]
	}
	return 0
}

// Add counts n more.
func (c *Counters) Add(class int, k CounterKind, n uint64) {
	i := class*int(counterKinds) + int(k)
	if class < 0 || class >= maxClasses {
		return
	}
	for len(*c) <= i {
		*c = append(*c, make([]uint64, counterKinds)...)
	}
	(*c)[i] += n
}

// add adds another's cells; max takes the larger of each. Both report whether
// anything changed.
func (c *Counters) add(o Counters) bool { return c.combine(o, func(a, b uint64) uint64 { return a + b }) }
func (c *Counters) max(o Counters) bool {
	return c.combine(o, func(a, b uint64) uint64 { return max(a, b) })
}

func (c *Counters) combine(o Counters, f func(a, b uint64) uint64) (changed bool) {
	for len(*c) < len(o) {
		*c = append(*c, 0)
	}
	for i, v := range o {
		was := (*c)[i]
		(*c)[i] = f(was, v)
		changed = changed || (*c)[i] != was
	}
	return changed
}

// Entry is one router's counters in one of its lives: a grow-only counter
// (G-Counter). Only that router raises them; everybody else takes the larger
// of two copies, cell by cell, so order, doubles and losses of messages do
// not matter.
type CounterEntry struct {
	Name     string
	Epoch    int64 // the instance's start, or later where it closed an epoch
	Stamp    int64 // the owner's time when it last told
	Counters Counters
	sends     int // how often this router told it since it changed
}

// Counts are every router's counters as this router has heard them.
//
// Memory is bounded by the routers alive within CounterRetentionMs: an entry not told of
// for that long joins one total. Copies of it that come later are too old to
// be taken. A router that heard no peer for half of that closes its epoch, so
// that what others may have folded is never told as if it were new: totals
// are exact after every cut shorter than CounterRetentionMs/2, and after a longer one
// lose what was counted in the cut's first part, never count it twice.
type counterStore struct {
	cfg      Config
	own      CounterEntry
	entries  []CounterEntry // of others and of earlier epochs, by name and epoch
	compacted   Counters
	lastReceivedAt  int64
	Rejected uint64 // entries not taken: too old, too many, malformed
}

func newCounterStore(cfg Config, now int64) *counterStore {
	return &counterStore{cfg: cfg, own: CounterEntry{Name: cfg.Name, Epoch: cfg.Start, Stamp: now}, lastReceivedAt: now}
}

// carried adds what this router carried since the last time.
func (c *counterStore) record(cells Counters) { c.own.Counters.add(cells) }

// Total adds up every router's counters.
func (c *counterStore) Total() Counters {
	t := slices.Clone(c.compacted)
	t.add(c.own.Counters)
	for _, e := range c.entries {
		t.add(e.Counters)
	}
	return t
}

func (c *counterStore) find(name string, epoch int64) (int, bool) {
	return slices.BinarySearchFunc(c.entries, CounterEntry{Name: name, Epoch: epoch}, func(a, b CounterEntry) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
	})
}

// merge takes an entry that a peer told of.
func (c *counterStore) merge(e CounterEntry, now int64) {
	if e.Name == "" || len(e.Counters) > maxClasses*int(counterKinds) || e.Name == c.own.Name && e.Epoch == c.own.Epoch {
		return // nobody tells us anything of our own counters
	}
	i, found := c.find(e.Name, e.Epoch)
	switch {
	case found && c.cfg.Sabotage == "counts-by-sum":
		c.entries[i].Counters.add(e.Counters)
	case found:
		if c.entries[i].Counters.max(e.Counters) {
			c.entries[i].sends = 0
		}
		c.entries[i].Stamp = max(c.entries[i].Stamp, min(e.Stamp, now+c.cfg.SkewMs))
	case now-e.Stamp >= c.cfg.CounterRetentionMs || len(c.entries) >= c.cfg.MaxCounterEntries:
		c.Rejected++ // folded here already, or more than can be held
	default:
		e.Stamp = min(e.Stamp, now+c.cfg.SkewMs) // a stamp far ahead would never fold
		e.Counters, e.sends = slices.Clone(e.Counters), 0
		c.entries = slices.Insert(c.entries, i, e)
	}
}

// tick stamps the own entry, folds what was not told of for CounterRetentionMs, and
// closes the own epoch after a long silence around this router.
func (c *counterStore) tick(now int64) {
	c.own.Stamp = now
	if now-c.lastReceivedAt >= c.cfg.CounterRetentionMs/2 && len(c.own.Counters) > 0 {
		closed := c.own
		closed.Stamp = c.lastReceivedAt
		c.own = CounterEntry{Name: c.cfg.Name, Epoch: max(now, closed.Epoch+1), Stamp: now}
		c.lastReceivedAt = now
		if i, found := c.find(closed.Name, closed.Epoch); !found {
			c.entries = slices.Insert(c.entries, i, closed)
		}
	}
	c.entries = slices.DeleteFunc(c.entries, func(e CounterEntry) bool {
		if now-e.Stamp < c.cfg.CounterRetentionMs {
			return false
		}
		c.compacted.add(e.Counters)
		return true
	})
}

// all copies every entry, the own one first.
func (c *counterStore) snapshot() []CounterEntry {
	out := append([]CounterEntry{c.own}, c.entries...)
	for i := range out {
		out[i].Counters = slices.Clone(out[i].Counters)
	}
	return out
}

// page returns the own entry and the others that fit into room bytes, those
// first that were told least often since they changed: news spreads as gossip
// does, and what is old goes round again.
func (c *counterStore) page(room int) []CounterEntry {
	own := c.own
	own.Counters = slices.Clone(own.Counters) // what is told must not move with what is counted next
	out := []CounterEntry{own}
	room -= own.size()
	order := make([]int, len(c.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(c.entries[a].sends, c.entries[b].sends) })
	for _, i := range order {
		e := &c.entries[i]
		if room -= e.size(); room < 0 {
			break
		}
		e.sends++
		copied := *e
		copied.Counters = slices.Clone(e.Counters)
		out = append(out, copied)
	}
	return out
}
