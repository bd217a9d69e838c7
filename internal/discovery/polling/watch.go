package polling

// A watch that falls silent is broken, though nothing says so, and what it
// misses counts as told a while after: 6 s, or 2 s after the time for which
// the service was asked to wait, if that is later. Every call is given up well
// before that.
const (
	// callWait is how long, in milliseconds, one call may wait for news. Where
	// one service answers all, a router whose watch falls silent has to wait
	// there in turn once more before it is told.
	callWait = 3000
	// callSlack is what an answer may take beyond that.
	callSlack = 1000
	// wholeLimit is what a call for the whole list may take, which waits for
	// nothing.
	wholeLimit = 4000
	// silentRest bounds the rest after a call that was given up: that took its
	// time already.
	silentRest = 300
)

// Failure is how a call failed.
type Failure uint8

// Failures of a call.
const (
	ConnectionFailed Failure = iota // no connection, or it broke, or what came is no HTTP
	TimedOut                        // it took too long
	Overloaded                      // the service said so: every call may hear it
	ErrorStatus                     // another status: the index may be at fault
	Malformed                       // what came is no list
)

// Call is one call for the list.
type Poll struct {
	Incremental bool    // for what has changed since Index, else for the whole
	Index       uint64  // of the list that the router holds
	LongPoll    float64 // how long the service may wait for news, in milliseconds
	Timeout     float64 // when the call is given up
}

// Watch is one router's watch of the list: which call comes next, and when.
type Schedule struct {
	pace    *Backoff
	resumes bool
	index   uint64
}

// NewSchedule returns a watch that has no list yet.
func NewSchedule(c Config, seed uint64) *Schedule {
	return &Schedule{pace: NewBackoff(c, seed)}
}

// Resume says that the router holds the list of that index: only what has
// changed since is asked for. A whole list is more work for the service, and
// all ask for it at once after a restart of many.
func (w *Schedule) Resume(index uint64) { w.index, w.resumes = index, true }

// First returns how long to wait before the first call, in milliseconds.
func (w *Schedule) InitialDelay() float64 { return w.pace.InitialDelay(w.resumes) }

// Call returns the next call.
func (w *Schedule) NextPoll() Poll {
	if !w.resumes {
		return Poll{Timeout: wholeLimit}
	}
	return Poll{Incremental: true, Index: w.index, LongPoll: callWait, Timeout: callWait + callSlack}
}

// Listed takes an answer to call c, that took so long, and returns how long to
// wait before the next call. A service that answers a waiting call at once, and
// with nothing, must not be asked without a rest. One whose index went back has
// started anew: what it will tell would be waited for in vain.
func (w *Schedule) Answered(c Poll, index uint64, whole, news bool, took float64) float64 {
	w.resumes = whole || !c.Incremental || index >= c.Index
	w.index = index
	if c.Incremental && !whole && (!news || !w.resumes) && took < c.LongPoll/2 {
		return w.pace.Failed(false)
	}
	w.pace.Succeeded()
	return 0
}

// Failed takes a call's failure and returns how long to wait before the next.
func (w *Schedule) Failed(f Failure) float64 {
	switch f {
	case TimedOut:
		return silentRest * w.pace.rng.Float64()
	case ErrorStatus, Malformed:
		w.resumes = false
	}
	return w.pace.Failed(f == Overloaded)
}
