// Package progress tracks messages that are received only in part, to detect
// stalled senders and to bound memory. Silence alone is no sign of a stall on a
// slow link, so a message must receive a minimum of bytes in each window. All
// unfinished messages together have a limit, past which the slowest is evicted.
// The package has no I/O and no clock; times are Unix milliseconds.
package progress

import "container/list"

// overheadBytes is the memory of an unfinished message apart from its content.
const overheadBytes = 256

// startAllowanceMs is added to a message's age when its rate is computed, so that
// a message that has just started has a finite rate.
const startAllowanceMs = 1000

// Limits bounds the time and the memory of unfinished messages.
type Limits struct {
	WindowMs   float64 // length of a window in which progress is measured
	MinBytes   int     // bytes that a message must receive in each window
	TotalBytes int     // memory of all unfinished messages together, with overhead
}

// Tracker tracks unfinished messages, at most one for each owner. The caller
// chooses the numbers of the owners. A Tracker is not safe for concurrent use.
type Tracker struct {
	limits   Limits
	messages map[uint64]*unfinishedMessage // by owner
	byWindow list.List                     // messages ordered by the start of their windows
	bytes    int                           // memory of all messages, with overhead
}

// unfinishedMessage is a message of which only a part was received.
type unfinishedMessage struct {
	owner           uint64
	startedAt       float64
	bytes           int
	windowStartedAt float64
	windowBytes     int           // bytes received in the window
	element         *list.Element // of Tracker.byWindow
}

// New returns an empty Tracker.
func New(limits Limits) *Tracker {
	return &Tracker{limits: limits, messages: map[uint64]*unfinishedMessage{}}
}

// Bytes returns the memory of all unfinished messages, in bytes with overhead.
func (t *Tracker) Bytes() int { return t.bytes }

// Len returns the number of unfinished messages.
func (t *Tracker) Len() int { return len(t.messages) }

// Add counts n received bytes for the owner's unfinished message, and starts a
// message if the owner has none. If that exceeds Limits.TotalBytes, the slowest
// messages are removed from the Tracker and their owners returned, perhaps with
// owner itself; the caller must abort their messages.
func (t *Tracker) Add(now float64, owner uint64, n int) (evicted []uint64) {
	message := t.messages[owner]
	if message == nil {
		message = &unfinishedMessage{owner: owner, startedAt: now, windowStartedAt: now}
		message.element = t.byWindow.PushBack(message)
		t.messages[owner] = message
		t.bytes += overheadBytes
	}
	message.bytes += n
	message.windowBytes += n
	t.bytes += n
	for t.bytes > t.limits.TotalBytes {
		slowest := t.slowest(now)
		t.End(slowest.owner)
		evicted = append(evicted, slowest.owner)
	}
	return evicted
}

// slowest returns the message with the lowest rate, the oldest among equal ones.
func (t *Tracker) slowest(now float64) (slowest *unfinishedMessage) {
	var lowest float64
	for element := t.byWindow.Front(); element != nil; element = element.Next() {
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

// rate returns the message's average rate in bytes per millisecond.
func (message *unfinishedMessage) rate(now float64) float64 {
	return float64(message.bytes) / (now - message.startedAt + startAllowanceMs)
}

// End removes the owner's message, if there is one. It is called when the message
// is complete or its owner has disconnected.
func (t *Tracker) End(owner uint64) {
	message := t.messages[owner]
	if message == nil {
		return
	}
	delete(t.messages, owner)
	t.byWindow.Remove(message.element)
	t.bytes -= message.bytes + overheadBytes
}

// Next returns when the next Tick is due, in Unix milliseconds, and false if
// there are no messages.
func (t *Tracker) Next() (float64, bool) {
	first := t.byWindow.Front()
	if first == nil {
		return 0, false
	}
	return t.windowEnd(first.Value.(*unfinishedMessage)), true
}

// windowEnd returns when the message's window ends.
func (t *Tracker) windowEnd(message *unfinishedMessage) float64 {
	return message.windowStartedAt + t.limits.WindowMs
}

// Tick ends the windows that are due. Messages that received fewer than
// Limits.MinBytes in theirs are removed from the Tracker and their owners
// returned; the caller must abort these messages. The others start a new window.
func (t *Tracker) Tick(now float64) (stalled []uint64) {
	for {
		first := t.byWindow.Front()
		if first == nil {
			return stalled
		}
		message := first.Value.(*unfinishedMessage)
		if t.windowEnd(message) > now {
			return stalled
		}
		if message.windowBytes < t.limits.MinBytes {
			t.End(message.owner)
			stalled = append(stalled, message.owner)
			continue
		}
		message.windowStartedAt = now
		message.windowBytes = 0
		t.byWindow.MoveToBack(first)
	}
}
