package clock

import (
	"context"
	"runtime"
	"sync"
	"time"

	"lotusbend/internal/timerheap"
)

// maxFiredAtOnce is how many deadlines run before other events get their turn. One
// client can have thousands of statements that expire at the same time.
const maxFiredAtOnce = 8

// Loop is the event loop that serializes access to the program's state. All code
// that uses the decision module, a slot table or a connection pool runs inside
// Do, one call at a time, and must not block there. The loop also holds all
// deadlines, in one heap.
//
// Do, After, Fire, Next and Run are safe for concurrent use. The other methods
// must be called inside Do.
type Loop struct {
	clock *Clock
	wake  chan struct{} // receives a value when At has added the earliest deadline

	mu        sync.Mutex
	now       float64 // time of the event in progress or of the last one, in ms
	deadlines timerheap.Heap[func()]
	posted    []func()
}

// NewLoop returns a Loop that takes its time from c.
func NewLoop(c *Clock) *Loop {
	return &Loop{clock: c, now: c.Now(), wake: make(chan struct{}, 1)}
}

// Do runs fn, and then the functions that fn has posted, while no other event
// runs. It must not be called inside another Do, which would deadlock.
func (l *Loop) Do(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = max(l.now, l.clock.Now())
	fn()
	l.drain()
}

// drain runs the posted functions, including those that they post themselves.
func (l *Loop) drain() {
	for i := 0; i < len(l.posted); i++ {
		l.posted[i]()
		l.posted[i] = nil
	}
	l.posted = l.posted[:0]
}

// Post schedules fn to run right after the event in progress. It is used for
// callbacks into a module that must not be called again before it has returned.
// Call it inside Do.
func (l *Loop) Post(fn func()) { l.posted = append(l.posted, fn) }

// Now returns the time of the event in progress, in milliseconds. It never goes
// backwards. Call it inside Do.
func (l *Loop) Now() float64 { return l.now }

// Deadline is a function scheduled by At. nil stands for no deadline.
type Deadline = timerheap.Timer[func()]

// At schedules fn to run inside Do at a time in milliseconds, unless it is
// cancelled before. Call it inside Do.
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

// Cancel cancels a deadline that has not run and drops its function, so that the
// memory it refers to can be freed. It does nothing if the deadline is nil or has
// run. Call it inside Do.
func (l *Loop) Cancel(deadline *Deadline) { l.deadlines.Cancel(deadline) }

// Pending returns the number of scheduled deadlines. Call it inside Do.
func (l *Loop) Pending() int { return l.deadlines.Len() }

// After returns a channel that is closed after ms milliseconds. It must not be
// called inside Do.
func (l *Loop) After(ms float64) <-chan struct{} {
	fired := make(chan struct{})
	l.Do(func() { l.At(l.now+ms, func() { close(fired) }) })
	return fired
}

// Fire runs all deadlines that are due, in the order of their times. The functions
// that one of them posts run before the next one. After each maxFiredAtOnce deadlines
// other events get their turn. It must not be called inside Do.
func (l *Loop) Fire() {
	var until float64
	l.Do(func() { until = l.now })
	for l.fireSome(until) {
		runtime.Gosched()
	}
}

// fireSome runs up to maxFiredAtOnce deadlines that are due at a time in milliseconds,
// and reports whether there may be more.
func (l *Loop) fireSome(until float64) (more bool) {
	l.Do(func() {
		for range maxFiredAtOnce {
			fn, due := l.deadlines.PopDue(until)
			if !due {
				return
			}
			fn()
			l.drain()
		}
		more = true
	})
	return more
}

// Next returns the time of the earliest deadline, in milliseconds, and whether
// there is one. It must not be called inside Do.
func (l *Loop) Next() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadlines.Next()
}

// Run fires deadlines when they are due. It blocks until ctx is done.
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
