package fleetstate

import (
	"cmp"
	"slices"
)

// Kind is what a counter counts, by class of request.
type Kind uint8

// The counters of a class.
const (
	Requests  Kind = iota // taken from clients
	Refusals              // answered as refused
	Repeats               // attempts after a request's first
	Crossings             // attempts that left the router's zone
	Attempts              // attempts of which a host got something
	kinds
)

// KindNames are the kinds' names, in their order.
func KindNames() []string {
	return []string{"requests", "refusals", "repeats", "crossings", "attempts"}
}

// Cells are a router's counters: cell class*kinds + kind.
type Cells []uint64

// maxClasses bounds the classes that a peer's counters may tell of.
const maxClasses = 64

// Get reads one counter.
func (c Cells) Get(class int, k Kind) uint64 {
	if i := class*int(kinds) + int(k); i < len(c) {
		return c[i]
	}
	return 0
}

// Add counts n more.
func (c *Cells) Add(class int, k Kind, n uint64) {
	i := class*int(kinds) + int(k)
	if class < 0 || class >= maxClasses {
		return
	}
	for len(*c) <= i {
		*c = append(*c, make([]uint64, kinds)...)
	}
	(*c)[i] += n
}

// add adds another's cells; max takes the larger of each. Both report whether
// anything changed.
func (c *Cells) add(o Cells) bool { return c.each(o, func(a, b uint64) uint64 { return a + b }) }
func (c *Cells) max(o Cells) bool { return c.each(o, func(a, b uint64) uint64 { return max(a, b) }) }

func (c *Cells) each(o Cells, f func(a, b uint64) uint64) (changed bool) {
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
type Entry struct {
	Name  string
	Epoch int64 // the instance's start, or later where it closed an epoch
	Stamp int64 // the owner's time when it last told
	Cells Cells
	told  int // how often this router told it since it changed
}

// Counts are every router's counters as this router has heard them.
//
// Memory is bounded by the routers alive within FoldMs: an entry not told of
// for that long joins one total. Copies of it that come later are too old to
// be taken. A router that heard no peer for half of that closes its epoch, so
// that what others may have folded is never told as if it were new: totals
// are exact after every cut shorter than FoldMs/2, and after a longer one
// lose what was counted in the cut's first part, never count it twice.
type Counts struct {
	cfg     Config
	own     Entry
	entries []Entry // of others and of earlier epochs, by name and epoch
	folded  Cells
	heardAt int64
	Refused uint64 // entries not taken: too old, too many, malformed
}

func newCounts(cfg Config, now int64) *Counts {
	return &Counts{cfg: cfg, own: Entry{Name: cfg.Name, Epoch: cfg.Start, Stamp: now}, heardAt: now}
}

// carried adds what this router carried since the last time.
func (c *Counts) carried(cells Cells) { c.own.Cells.add(cells) }

// Total adds up every router's counters.
func (c *Counts) Total() Cells {
	t := slices.Clone(c.folded)
	t.add(c.own.Cells)
	for _, e := range c.entries {
		t.add(e.Cells)
	}
	return t
}

func (c *Counts) find(name string, epoch int64) (int, bool) {
	return slices.BinarySearchFunc(c.entries, Entry{Name: name, Epoch: epoch}, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
	})
}

// merge takes an entry that a peer told of.
func (c *Counts) merge(e Entry, now int64) {
	if e.Name == "" || len(e.Cells) > maxClasses*int(kinds) || e.Name == c.own.Name && e.Epoch == c.own.Epoch {
		return // nobody tells us anything of our own counters
	}
	i, found := c.find(e.Name, e.Epoch)
	switch {
	case found && c.cfg.Sabotage == "counts-by-sum":
		c.entries[i].Cells.add(e.Cells)
	case found:
		if c.entries[i].Cells.max(e.Cells) {
			c.entries[i].told = 0
		}
		c.entries[i].Stamp = max(c.entries[i].Stamp, min(e.Stamp, now+c.cfg.SkewMs))
	case now-e.Stamp >= c.cfg.FoldMs || len(c.entries) >= c.cfg.MaxEntries:
		c.Refused++ // folded here already, or more than can be held
	default:
		e.Stamp = min(e.Stamp, now+c.cfg.SkewMs) // a stamp far ahead would never fold
		e.Cells, e.told = slices.Clone(e.Cells), 0
		c.entries = slices.Insert(c.entries, i, e)
	}
}

// tick stamps the own entry, folds what was not told of for FoldMs, and
// closes the own epoch after a long silence around this router.
func (c *Counts) tick(now int64) {
	c.own.Stamp = now
	if now-c.heardAt >= c.cfg.FoldMs/2 && len(c.own.Cells) > 0 {
		closed := c.own
		closed.Stamp = c.heardAt
		c.own = Entry{Name: c.cfg.Name, Epoch: max(now, closed.Epoch+1), Stamp: now}
		c.heardAt = now
		if i, found := c.find(closed.Name, closed.Epoch); !found {
			c.entries = slices.Insert(c.entries, i, closed)
		}
	}
	c.entries = slices.DeleteFunc(c.entries, func(e Entry) bool {
		if now-e.Stamp < c.cfg.FoldMs {
			return false
		}
		c.folded.add(e.Cells)
		return true
	})
}

// all copies every entry, the own one first.
func (c *Counts) all() []Entry {
	out := append([]Entry{c.own}, c.entries...)
	for i := range out {
		out[i].Cells = slices.Clone(out[i].Cells)
	}
	return out
}

// page returns the own entry and the others that fit into room bytes, those
// first that were told least often since they changed: news spreads as gossip
// does, and what is old goes round again.
func (c *Counts) page(room int) []Entry {
	own := c.own
	own.Cells = slices.Clone(own.Cells) // what is told must not move with what is counted next
	out := []Entry{own}
	room -= own.size()
	order := make([]int, len(c.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(c.entries[a].told, c.entries[b].told) })
	for _, i := range order {
		e := &c.entries[i]
		if room -= e.size(); room < 0 {
			break
		}
		e.told++
		copied := *e
		copied.Cells = slices.Clone(e.Cells)
		out = append(out, copied)
	}
	return out
}
