package clock

import (
	"context"
	"sync"
	"time"

	"lotusbend/internal/timerheap"
)

// Loop is the event loop that owns the program's state: whatever touches the
// decision module, a table of slots or a pool runs inside Do, one call at a time,
// and never blocks there. It also has every deadline, in one heap.
//
// Do, After, Fire, Next and Run are safe for concurrent use; the other methods are
// called inside Do.
type Loop struct {
	clock *Clock
	wake  chan struct{} // the first deadline has changed

	mu        sync.Mutex
	now       float64 // ms, of the event in progress
	deadlines timerheap.Heap[func()]
	posted    []func()
}

// NewLoop returns a Loop whose time is that of c.
func NewLoop(c *Clock) *Loop {
	return &Loop{clock: c, now: c.Now(), wake: make(chan struct{}, 1)}
}

// Do runs fn exclusively, then what fn has posted. It must not be called inside
// itself.
func (l *Loop) Do(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = max(l.now, l.clock.Now())
	fn()
	l.drain()
}

// drain runs what was posted, and what that posts.
func (l *Loop) drain() {
	for i := 0; i < len(l.posted); i++ {
		l.posted[i]()
		l.posted[i] = nil
	}
	l.posted = l.posted[:0]
}

// Post runs fn after the event in progress: an action must not call back into the
// module that requested it. Call it inside Do.
func (l *Loop) Post(fn func()) { l.posted = append(l.posted, fn) }

// Now returns the time in milliseconds of the event in progress. Call it inside Do.
func (l *Loop) Now() float64 { return l.now }

// Deadline is a function that At has scheduled. A nil Deadline is none.
type Deadline = timerheap.Timer[func()]

// At runs fn inside Do at a time in milliseconds, unless it is cancelled. Call it
// inside Do.
func (l *Loop) At(at float64, fn func()) *Deadline {
	deadline, first := l.deadlines.Schedule(at, fn)
	if first {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	return deadline
}

// Cancel cancels a deadline that has not run, and releases what its function refers
// to. A nil deadline, or one that has run, is left as it is. Call it inside Do.
func (l *Loop) Cancel(deadline *Deadline) { l.deadlines.Cancel(deadline) }

// Pending returns the number of scheduled deadlines. Call it inside Do.
func (l *Loop) Pending() int { return l.deadlines.Len() }

// After returns a channel that is closed after so many milliseconds.
func (l *Loop) After(ms float64) <-chan struct{} {
	fired := make(chan struct{})
	l.Do(func() { l.At(l.now+ms, func() { close(fired) }) })
	return fired
}

// Fire runs every deadline that is due, in order.
func (l *Loop) Fire() {
	l.Do(func() {
		for {
			fn, due := l.deadlines.PopDue(l.now)
			if !due {
				return
			}
			fn()
			l.drain()
		}
	})
}

// Next returns the time in milliseconds of the first deadline, if there is one.
func (l *Loop) Next() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadlines.Next()
}

// Run fires deadlines when they are due until ctx ends. Its caller owns the
// goroutine.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
		l.Fire()
		if at, ok := l.Next(); ok {
			timer.Reset(max(Duration(at-l.clock.Now()), 0))
		}
	}
}
