package polling

import "testing"

// What a silent watch misses counts as known 6 s after the silence began, or 2 s
// after the long poll is over if that is later. Whenever within a request it
// begins, the next request must come before that, with a margin for a dial that
// hangs and for 1.5 s in which all routers whose watches fell silent together
// are answered one after another.
func TestTimeoutEndsSilenceBeforeUpdateCountsAsKnown(t *testing.T) {
	const dial, queueing = 500, 1500
	const slack = 350 // of the shortest grace for a drain, 300 ms and 50 by the page
	for _, config := range []Config{
		{},
		{Routers: 300},
		{Routers: 300, PollOnly: true, PollInterval: 10000},
		{PollOnly: true},
	} {
		for _, incremental := range []bool{false, true} {
			schedule := NewSchedule(config, 3)
			if incremental {
				schedule.Resume(41)
			}
			poll := schedule.NextPoll()
			if poll.Incremental != incremental || poll.Timeout <= poll.LongPoll {
				t.Fatalf("%+v: request %+v", config, poll)
			}
			for range 100 {
				delay := schedule.Failed(TimedOut)
				for silentFrom := 0.0; silentFrom < poll.Timeout; silentFrom += 100 {
					knownAt := max(silentFrom+6000, poll.LongPoll+2000)
					if polledAt := poll.Timeout + delay + dial + queueing; polledAt > knownAt+slack {
						t.Fatalf("%+v: silent from %.0f ms on, polled again at %.0f, known at %.0f",
							config, silentFrom, polledAt, knownAt)
					}
				}
			}
			if schedule.NextPoll() != poll {
				t.Errorf("%+v: after a timeout %+v instead of %+v", config, schedule.NextPoll(), poll)
			}
		}
	}
}

// Where the endpoint list is pushed, what the agent has counts as known: a watch
// that breaks is opened anew within 300 ms, however often it failed.
func TestBrokenWatchOfPushedListIsReopenedSoon(t *testing.T) {
	schedule := NewSchedule(Config{Routers: 300}, 3)
	if delay := schedule.Failed(ConnectionFailed); delay > 100 {
		t.Errorf("%.0f ms after the first failure", delay)
	}
	for range 50 {
		if delay := schedule.Failed(ConnectionFailed); delay <= 0 || delay > 300 {
			t.Errorf("%.0f ms after a failure", delay)
		}
	}
}

// The outcome of a request decides the next one, and whether a delay precedes it.
func TestNextPollFollowsOutcome(t *testing.T) {
	answered := func(index uint64, snapshot, updated bool, took float64) func(*Schedule) float64 {
		return func(s *Schedule) float64 { return s.Answered(s.NextPoll(), index, snapshot, updated, took) }
	}
	failed := func(failure Failure) func(*Schedule) float64 {
		return func(s *Schedule) float64 { return s.Failed(failure) }
	}
	for name, c := range map[string]struct {
		outcome     func(*Schedule) float64
		incremental bool
		index       uint64
		delayed     bool
	}{
		"changes":                  {answered(43, false, true, 5), true, 43, false},
		"no update, in time":       {answered(41, false, false, 3000), true, 41, false},
		"no update, at once":       {answered(41, false, false, 1), true, 41, true},
		"a snapshot":               {answered(7, true, true, 1), true, 7, false},
		"changes of an older list": {answered(7, false, true, 1), false, 7, true},
		"a timeout":                {failed(TimedOut), true, 41, true},
		"a broken connection":      {failed(ConnectionFailed), true, 41, true},
		"an overloaded service":    {failed(Overloaded), true, 41, true},
		"an error status":          {failed(ErrorStatus), false, 41, true},
		"a malformed list":         {failed(Malformed), false, 41, true},
	} {
		schedule := NewSchedule(Config{}, 1)
		schedule.Resume(41)
		delay := c.outcome(schedule)
		poll := schedule.NextPoll()
		wrongIndex := poll.Incremental && poll.Index != c.index
		if poll.Incremental != c.incremental || wrongIndex || delay > 0 != c.delayed {
			t.Errorf("%s: %.0f ms, then %+v", name, delay, poll)
		}
	}
}
