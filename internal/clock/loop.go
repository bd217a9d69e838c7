package clock

import (
	"container/heap"
	"context"
	"sync"
	"time"
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

	mu       sync.Mutex
	now      float64 // ms, of the event in progress
	due      deadlines
	sequence uint64 // of the last deadline
	posted   []func()
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
type Deadline struct {
	at       float64 // ms
	sequence uint64  // orders deadlines of the same time
	fn       func()
	index    int // in the heap, -1 once it has run or was cancelled
}

// At runs fn inside Do at a time in milliseconds, unless it is cancelled. Call it
// inside Do.
func (l *Loop) At(at float64, fn func()) *Deadline {
	l.sequence++
	d := &Deadline{at: at, sequence: l.sequence, fn: fn}
	heap.Push(&l.due, d)
	if d.index == 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	return d
}

// Cancel cancels a deadline that has not run, and releases what its function refers
// to. A nil deadline, or one that has run, is left as it is. Call it inside Do.
func (l *Loop) Cancel(d *Deadline) {
	if d != nil && d.index >= 0 && d.fn != nil {
		heap.Remove(&l.due, d.index)
		d.fn = nil
	}
}

// Pending returns the number of scheduled deadlines. Call it inside Do.
func (l *Loop) Pending() int { return len(l.due) }

// After returns a channel that is closed after so many milliseconds.
func (l *Loop) After(ms float64) <-chan struct{} {
	fired := make(chan struct{})
	l.Do(func() { l.At(l.now+ms, func() { close(fired) }) })
	return fired
}

// Fire runs every deadline that is due, in order.
func (l *Loop) Fire() {
	l.Do(func() {
		for len(l.due) > 0 && l.due[0].at <= l.now {
			heap.Pop(&l.due).(*Deadline).fn()
			l.drain()
		}
	})
}

// Next returns the time in milliseconds of the first deadline, if there is one.
func (l *Loop) Next() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.due) == 0 {
		return 0, false
	}
	return l.due[0].at, true
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

// deadlines implements heap.Interface.
type deadlines []*Deadline

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].sequence < d[j].sequence
}
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}
func (d *deadlines) Push(x any) {
	pushed := x.(*Deadline)
	pushed.index = len(*d)
	*d = append(*d, pushed)
}
func (d *deadlines) Pop() any {
	old := *d
	popped := old[len(old)-1]
	old[len(old)-1] = nil // so that it can be garbage-collected
	*d = old[:len(old)-1]
	popped.index = -1
	return popped
}
