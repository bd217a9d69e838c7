// Package progress holds the rules for messages that are received in part.
// Silence alone says little on a slow link: what counts is how many bytes come
// in a window. All unfinished messages together have a limit, and past it the
// slowest is evicted. The package has no I/O and no clock; times are Unix
// milliseconds. A Ledger is not safe for concurrent use.
package progress

import "container/list"

// overhead is the memory of an unfinished message beside its bytes, in bytes.
const overhead = 256

// startAllowanceMs is added to a message's age for its rate, so that one that
// has just started has a finite rate.
const startAllowanceMs = 1000

// Limits bound unfinished messages.
type Limits struct {
	WindowMs   float64 // over which progress is measured
	MinBytes   int     // that must come in each window
	TotalBytes int     // of all unfinished messages together, with overhead
}

// Ledger accounts for unfinished messages, one for each owner.
type Ledger struct {
	limits   Limits
	messages map[uint64]*message // by owner
	byWindow list.List           // messages by the end of their windows, which have one length
	bytes    int                 // of all messages, with overhead
}

// message is an unfinished message.
type message struct {
	owner       uint64
	startedAt   float64
	bytes       int
	windowAt    float64 // when its window began
	windowBytes int     // received in the window
	element     *list.Element
}

// New returns an empty Ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, messages: map[uint64]*message{}}
}

// Bytes returns the memory of all unfinished messages, in bytes.
func (l *Ledger) Bytes() int { return l.bytes }

// Len returns how many unfinished messages there are.
func (l *Ledger) Len() int { return len(l.messages) }

// Grow adds n bytes to the owner's unfinished message, which starts with its
// first ones. The messages of the returned owners are removed to keep the limit,
// and must be ended: the slowest, which may be the owner itself.
func (l *Ledger) Grow(now float64, owner uint64, n int) (evicted []uint64) {
	m := l.messages[owner]
	if m == nil {
		m = &message{owner: owner, startedAt: now, windowAt: now}
		m.element = l.byWindow.PushBack(m)
		l.messages[owner] = m
		l.bytes += overhead
	}
	m.bytes += n
	m.windowBytes += n
	l.bytes += n
	for l.bytes > l.limits.TotalBytes {
		slowest := l.slowest(now)
		l.End(slowest.owner)
		evicted = append(evicted, slowest.owner)
	}
	return evicted
}

// slowest returns the message with the lowest rate, among equals the oldest.
func (l *Ledger) slowest(now float64) (slowest *message) {
	var lowest float64
	for element := l.byWindow.Front(); element != nil; element = element.Next() {
		m := element.Value.(*message)
		rate := m.rate(now)
		older := rate == lowest && slowest != nil && m.startedAt < slowest.startedAt
		if slowest == nil || rate < lowest || older {
			slowest = m
			lowest = rate
		}
	}
	return slowest
}

// rate is in bytes per millisecond.
func (m *message) rate(now float64) float64 {
	return float64(m.bytes) / (now - m.startedAt + startAllowanceMs)
}

// End removes the owner's message: it is complete, or its owner has gone.
func (l *Ledger) End(owner uint64) {
	m := l.messages[owner]
	if m == nil {
		return
	}
	delete(l.messages, owner)
	l.byWindow.Remove(m.element)
	l.bytes -= m.bytes + overhead
}

// Next returns when Tick is due, in Unix milliseconds; false if it is not.
func (l *Ledger) Next() (float64, bool) {
	first := l.byWindow.Front()
	if first == nil {
		return 0, false
	}
	return l.windowEnd(first.Value.(*message)), true
}

func (l *Ledger) windowEnd(m *message) float64 { return m.windowAt + l.limits.WindowMs }

// Tick ends windows. It removes the messages that made too little progress, and
// returns their owners, which must be ended.
func (l *Ledger) Tick(now float64) (stalled []uint64) {
	for {
		first := l.byWindow.Front()
		if first == nil {
			return stalled
		}
		m := first.Value.(*message)
		if l.windowEnd(m) > now {
			return stalled
		}
		if m.windowBytes < l.limits.MinBytes {
			l.End(m.owner)
			stalled = append(stalled, m.owner)
			continue
		}
		m.windowAt = now
		m.windowBytes = 0
		l.byWindow.MoveToBack(first)
	}
}
