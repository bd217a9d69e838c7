// Package progress holds the rules for messages that are received in part.
// Silence alone says little on a slow link: what counts is how many bytes come
// in a window. All unfinished messages together have a limit, and past it the
// slowest is evicted. The package has no I/O and no clock; times are Unix
// milliseconds. A Ledger is not safe for concurrent use.
package progress

import "container/list"

// overheadBytes is the memory of an unfinished message beside its bytes, in bytes.
const overheadBytes = 256

// startAllowanceMs is added to a message's age for its rate, so that one that
// has just started has a finite rate.
const startAllowanceMs = 1000

// Limits bound unfinished messages.
type Limits struct {
	WindowMs   float64 // over which progress is measured
	MinBytes   int     // that must come in each window
	TotalBytes int     // of all unfinished messages together, with overhead
}

// Tracker accounts for unfinished messages, one for each owner.
type Tracker struct {
	limits   Limits
	messages map[uint64]*unfinishedMessage // by owner
	byWindow list.List                     // messages by the end of their windows, which have one length
	bytes    int                           // of all messages, with overhead
}

// message is an unfinished message.
type unfinishedMessage struct {
	owner           uint64
	startedAt       float64
	bytes           int
	windowStartedAt float64 // when its window began
	windowBytes     int     // received in the window
	element         *list.Element
}

// New returns an empty Ledger.
func New(limits Limits) *Tracker {
	return &Tracker{limits: limits, messages: map[uint64]*unfinishedMessage{}}
}

// Bytes returns the memory of all unfinished messages, in bytes.
func (l *Tracker) Bytes() int { return l.bytes }

// Len returns how many unfinished messages there are.
func (l *Tracker) Len() int { return len(l.messages) }

// Add adds n bytes to the owner's unfinished message, which starts with its
// first ones. The messages of the returned owners are removed to keep the limit,
// and must be ended: the slowest, which may be the owner itself.
func (l *Tracker) Add(now float64, owner uint64, n int) (evicted []uint64) {
	message := l.messages[owner]
	if message == nil {
		message = &unfinishedMessage{owner: owner, startedAt: now, windowStartedAt: now}
		message.element = l.byWindow.PushBack(message)
		l.messages[owner] = message
		l.bytes += overheadBytes
	}
	message.bytes += n
	message.windowBytes += n
	l.bytes += n
	for l.bytes > l.limits.TotalBytes {
		slowest := l.slowest(now)
		l.End(slowest.owner)
		evicted = append(evicted, slowest.owner)
	}
	return evicted
}

// slowest returns the message with the lowest rate, among equals the oldest.
func (l *Tracker) slowest(now float64) (slowest *unfinishedMessage) {
	var lowest float64
	for element := l.byWindow.Front(); element != nil; element = element.Next() {
		message := element.Value.(*unfinishedMessage)
		rate := message.rate(now)
		older := rate == lowest && slowest != nil && message.startedAt < slowest.startedAt
		if slowest == nil || rate < lowest || older {
			slowest = message
			lowest = rate
		}
	}
	return slowest
}

// rate is in bytes per millisecond.
func (message *unfinishedMessage) rate(now float64) float64 {
	return float64(message.bytes) / (now - message.startedAt + startAllowanceMs)
}

// End removes the owner's message: it is complete, or its owner has gone.
func (l *Tracker) End(owner uint64) {
	message := l.messages[owner]
	if message == nil {
		return
	}
	delete(l.messages, owner)
	l.byWindow.Remove(message.element)
	l.bytes -= message.bytes + overheadBytes
}

// Next returns when Tick is due, in Unix milliseconds; false if it is not.
func (l *Tracker) Next() (float64, bool) {
	first := l.byWindow.Front()
	if first == nil {
		return 0, false
	}
	return l.windowEnd(first.Value.(*unfinishedMessage)), true
}

func (l *Tracker) windowEnd(message *unfinishedMessage) float64 {
	return message.windowStartedAt + l.limits.WindowMs
}

// Tick ends windows. It removes the messages that made too little progress, and
// returns their owners, which must be ended.
func (l *Tracker) Tick(now float64) (stalled []uint64) {
	for {
		first := l.byWindow.Front()
		if first == nil {
			return stalled
		}
		message := first.Value.(*unfinishedMessage)
		if l.windowEnd(message) > now {
			return stalled
		}
		if message.windowBytes < l.limits.MinBytes {
			l.End(message.owner)
			stalled = append(stalled, message.owner)
			continue
		}
		message.windowStartedAt = now
		message.windowBytes = 0
		l.byWindow.MoveToBack(first)
	}
}
