// Package progress holds the rules for messages that have begun and not ended.
// Silence alone says little on a slow link: what counts is how many bytes come
// in a window. All unfinished messages together have a bound, and past it the
// slowest goes first. It has no I/O and no clock; times are Unix milliseconds.
package progress

import "container/list"

// overhead is what an unfinished message takes beside its bytes.
const overhead = 256

// Limits bound unfinished messages.
type Limits struct {
	Window float64 // milliseconds over which progress is measured
	Least  int     // bytes that must come in each window
	Bytes  int     // of all unfinished messages together, with overhead
}

// Ledger is the books on unfinished messages, each by its owner's number.
type Ledger struct {
	lim   Limits
	parts map[uint64]*part
	due   list.List // by the end of their windows, which all have one length
	bytes int
}

type part struct {
	owner   uint64
	began   float64
	bytes   int
	window  float64 // when its window began
	recent  int     // bytes in it
	element *list.Element
}

// New returns an empty Ledger.
func New(lim Limits) *Ledger { return &Ledger{lim: lim, parts: map[uint64]*part{}} }

// Bytes returns what all unfinished messages hold.
func (l *Ledger) Bytes() int { return l.bytes }

// Len returns how many there are.
func (l *Ledger) Len() int { return len(l.parts) }

// Grow books n more bytes of the owner's unfinished message, its first ones
// included. Whoever is returned must be ended: the slowest, until the bound
// holds. The owner itself may be among them.
func (l *Ledger) Grow(now float64, owner uint64, n int) (evicted []uint64) {
	p := l.parts[owner]
	if p == nil {
		p = &part{owner: owner, began: now, window: now}
		p.element = l.due.PushBack(p)
		l.parts[owner] = p
		l.bytes += overhead
	}
	p.bytes += n
	p.recent += n
	l.bytes += n
	for l.bytes > l.lim.Bytes {
		s := l.slowest(now)
		l.End(s.owner)
		evicted = append(evicted, s.owner)
	}
	return evicted
}

// slowest is the one with the fewest bytes for its age; of equals the oldest.
func (l *Ledger) slowest(now float64) (worst *part) {
	var rate float64
	for e := l.due.Front(); e != nil; e = e.Next() {
		p := e.Value.(*part)
		// A second is added to each age: one that has just begun has no rate yet.
		if r := float64(p.bytes) / (now - p.began + 1000); worst == nil || r < rate ||
			r == rate && p.began < worst.began {
			worst, rate = p, r
		}
	}
	return worst
}

// End takes a message off the books: it is whole, or its owner has gone.
func (l *Ledger) End(owner uint64) {
	if p := l.parts[owner]; p != nil {
		delete(l.parts, owner)
		l.due.Remove(p.element)
		l.bytes -= p.bytes + overhead
	}
}

// Next returns when Tick is due, if it is.
func (l *Ledger) Next() (float64, bool) {
	if e := l.due.Front(); e != nil {
		return e.Value.(*part).window + l.lim.Window, true
	}
	return 0, false
}

// Tick returns whose message made too little progress in its window. They must
// be ended, and are off the books.
func (l *Ledger) Tick(now float64) (stalled []uint64) {
	for e := l.due.Front(); e != nil && e.Value.(*part).window+l.lim.Window <= now; e = l.due.Front() {
		p := e.Value.(*part)
		if p.recent < l.lim.Least {
			l.End(p.owner)
			stalled = append(stalled, p.owner)
			continue
		}
		p.window, p.recent = now, 0
		l.due.MoveToBack(e)
	}
	return stalled
}
