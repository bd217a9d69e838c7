package polling

import "testing"

// A connection can fall silent at any time within a request. The router must know
// the changes that it misses 6 s after the silence began, or 2 s after the end of
// the long poll if that is later. The next request must be answered before that,
// after a dial that hangs and 1.5 s of queueing, in which all routers whose
// connections fell silent at the same time are answered one after another.
func TestSilentWatchIsPolledAgainBeforeDeadline(t *testing.T) {
	const dial, queueing = 500, 1500
	const slack = 350 // shortest grace period of a drain, 300 ms, and a tolerance of 50 ms
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
				t.Fatalf("%+v: NextPoll() = %+v, want incremental %v and a timeout after the long poll", config, poll, incremental)
			}
			for range 100 {
				delay := schedule.Failed(TimedOut)
				for silentFrom := 0.0; silentFrom < poll.Timeout; silentFrom += 100 {
					mustKnowAt := max(silentFrom+6000, poll.LongPoll+2000)
					if answeredAt := poll.Timeout + delay + dial + queueing; answeredAt > mustKnowAt+slack {
						t.Fatalf("%+v: silent from %.0f ms, answered again at %.0f ms, want %.0f ms at the latest",
							config, silentFrom, answeredAt, mustKnowAt+slack)
					}
				}
			}
			if schedule.NextPoll() != poll {
				t.Errorf("%+v: NextPoll() = %+v after a timeout, want %+v", config, schedule.NextPoll(), poll)
			}
		}
	}
}

// If the endpoint list is pushed, the router must know every change that its local
// agent has. So it reconnects within 300 ms, however often connections have failed.
func TestPushedListIsPolledSoonAfterFailure(t *testing.T) {
	schedule := NewSchedule(Config{Routers: 300}, 3)
	if delay := schedule.Failed(ConnectionFailed); delay > 100 {
		t.Errorf("first Failed(ConnectionFailed) = %.0f ms, want at most 100", delay)
	}
	for range 50 {
		if delay := schedule.Failed(ConnectionFailed); delay <= 0 || delay > 300 {
			t.Errorf("Failed(ConnectionFailed) = %.0f ms, want more than 0 and at most 300", delay)
		}
	}
}

// The outcome of a request determines the next request, and whether there is a
// delay before it.
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
		"changes":                        {answered(43, false, true, 5), true, 43, false},
		"no update, after the long poll": {answered(41, false, false, 3000), true, 41, false},
		"no update, at once":             {answered(41, false, false, 1), true, 41, true},
		"a snapshot":                     {answered(7, true, true, 1), true, 7, false},
		"changes of an older list":       {answered(7, false, true, 1), false, 7, true},
		"a timeout":                      {failed(TimedOut), true, 41, true},
		"a broken connection":            {failed(ConnectionFailed), true, 41, true},
		"an overloaded service":          {failed(Overloaded), true, 41, true},
		"an error status":                {failed(ErrorStatus), false, 41, true},
		"a malformed list":               {failed(Malformed), false, 41, true},
	} {
		schedule := NewSchedule(Config{}, 1)
		schedule.Resume(41)
		delay := c.outcome(schedule)
		poll := schedule.NextPoll()
		wrongIndex := poll.Incremental && poll.Index != c.index
		if poll.Incremental != c.incremental || wrongIndex || delay > 0 != c.delayed {
			t.Errorf("%s: delay of %.0f ms, then %+v; want delayed %v, then incremental %v, index %d",
				name, delay, poll, c.delayed, c.incremental, c.index)
		}
	}
}
