package polling

import "testing"

// What a silent watch misses counts as told 6 s after the silence began, or 2 s
// after the wait is over if that is later. Whenever in a call it begins, the
// next call must come before that, with room for a dial that hangs and for 1.5 s in
// which all that fell silent together are answered in turn.
func TestSilenceIsEndedBeforeItCountsAsTold(t *testing.T) {
	const dials, turns = 500, 1500
	const slack = 350 // of the shortest grace for a drain, 300 ms and 50 by the page
	for _, c := range []Config{{}, {Routers: 300}, {Routers: 300, PollOnly: true, PollInterval: 10000}, {PollOnly: true}} {
		for _, resumes := range []bool{false, true} {
			w := NewSchedule(c, 3)
			if resumes {
				w.Resume(41)
			}
			call := w.NextPoll()
			if call.Incremental != resumes || call.Timeout <= call.LongPoll {
				t.Fatalf("%+v: call %+v", c, call)
			}
			for range 100 {
				rest := w.Failed(TimedOut)
				for silent := 0.0; silent < call.Timeout; silent += 100 {
					told := max(silent+6000, call.LongPoll+2000)
					if again := call.Timeout + rest + dials + turns; again > told+slack {
						t.Fatalf("%+v: silent from %.0f ms on, asked again at %.0f, told at %.0f", c, silent, again, told)
					}
				}
			}
			if w.NextPoll() != call {
				t.Errorf("%+v: after a silence %+v instead of %+v", c, w.NextPoll(), call)
			}
		}
	}
}

// A watch that breaks goes on where calls come within 200 ms, and what the
// agent has counts as told: a router that is pushed the list is never long
// without a watch, however often it failed.
func TestBrokenWatchOfAPushedListIsOpenedSoon(t *testing.T) {
	w := NewSchedule(Config{Routers: 300}, 3)
	if rest := w.Failed(ConnectionFailed); rest > 100 {
		t.Errorf("%.0f ms after the first break", rest)
	}
	for range 50 {
		if rest := w.Failed(ConnectionFailed); rest <= 0 || rest > 300 {
			t.Errorf("%.0f ms after a break", rest)
		}
	}
}

// What comes back decides what is asked for next.
func TestNextCallFollowsTheAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		do      func(w *Schedule) float64
		resumes bool
		index   uint64
		rests   bool
	}{
		"changes":              {func(w *Schedule) float64 { return w.Answered(w.NextPoll(), 43, false, true, 5) }, true, 43, false},
		"nothing, in time":     {func(w *Schedule) float64 { return w.Answered(w.NextPoll(), 41, false, false, 3000) }, true, 41, false},
		"nothing, at once":     {func(w *Schedule) float64 { return w.Answered(w.NextPoll(), 41, false, false, 1) }, true, 41, true},
		"the whole list":       {func(w *Schedule) float64 { return w.Answered(w.NextPoll(), 7, true, true, 1) }, true, 7, false},
		"changes of an older":  {func(w *Schedule) float64 { return w.Answered(w.NextPoll(), 7, false, true, 1) }, false, 7, true},
		"silence":              {func(w *Schedule) float64 { return w.Failed(TimedOut) }, true, 41, true},
		"a break":              {func(w *Schedule) float64 { return w.Failed(ConnectionFailed) }, true, 41, true},
		"too busy":             {func(w *Schedule) float64 { return w.Failed(Overloaded) }, true, 41, true},
		"a status for no list": {func(w *Schedule) float64 { return w.Failed(ErrorStatus) }, false, 41, true},
		"no list":              {func(w *Schedule) float64 { return w.Failed(Malformed) }, false, 41, true},
	} {
		w := NewSchedule(Config{}, 1)
		w.Resume(41)
		rest := c.do(w)
		if call := w.NextPoll(); call.Incremental != c.resumes || call.Incremental && call.Index != c.index || rest > 0 != c.rests {
			t.Errorf("%s: %.0f ms, then %+v", name, rest, call)
		}
	}
}
