package intake

// coalesce lets another copy of a reading in progress wait for the same answer.
func (in *Intake) coalesce(now float64, e *entry, sum uint64, from Origin) {
	if sum != e.digest { // two devices with one name, or one that lost its counter
		in.answer(from, Answer{Status: Conflict})
		return
	}
	in.stats.Coalesced++
	if e.stored {
		in.answer(from, Answer{Status: Stored})
		return
	}
	if len(e.waiters) >= in.cfg.MaxWaiters { // the oldest copy's sender has most likely timed out
		in.answer(e.waiters[0], Answer{Status: Unknown, RetryAfter: in.retryAfter(now)})
		e.waiters = append(e.waiters[:0:0], e.waiters[1:]...)
	}
	e.waiters = append(e.waiters, from)
	in.armAnswerTimer(now, e)
}

// armAnswerTimer sets the time by which the waiters of e are answered.
func (in *Intake) armAnswerTimer(now float64, e *entry) {
	in.timers.Cancel(e.answerTimer)
	e.answerTimer = in.timers.At(now+in.cfg.AnswerTimeout, func(now float64) { in.answerTimedOut(now, e) })
}

// answerTimedOut answers Unknown to all waiters: the device keeps the reading
// and sends it again. A submission in flight goes on and its result is
// remembered; a reading that is queued is removed.
func (in *Intake) answerTimedOut(now float64, e *entry) {
	e.answerTimer = nil
	for _, waiter := range e.waiters {
		in.answer(waiter, Answer{Status: Unknown, RetryAfter: in.retryAfter(now)})
	}
	e.waiters = nil
	switch e.phase {
	case queued:
		e.queue.remove(e)
		if e.evictable() {
			in.countEvictable(e.device, -1)
		}
		in.remove(e)
	case backingOff, retryReady:
		in.finish(now, e)
	}
}

// submitNext sends the reading's next submission, a write if that is safe.
func (in *Intake) submitNext(now float64, e *entry) {
	timeout := min(in.cfg.WriteTimeout, e.safeUntil-in.cfg.ClockMargin-now)
	if timeout >= minWriteTimeout {
		in.submit(now, e, Write, timeout)
		return
	}
	// While an attempt of our own may still be running, its row may not be
	// there yet, so that a check would prove nothing.
	if now < e.attemptsEndBy {
		in.backOff(e, e.attemptsEndBy)
		return
	}
	in.submit(now, e, Check, in.cfg.CheckTimeout)
}

// submit takes a place of the group's window; timeout is in milliseconds.
func (in *Intake) submit(now float64, e *entry, operation Operation, timeout float64) {
	in.lastSubmission++
	e.submission = in.lastSubmission
	e.submittedAt = now
	e.deadline = now + timeout
	in.submissions[e.submission] = e
	e.group.inFlight++
	if operation == Write {
		e.phase = writing
		in.stats.Writes++
		if e.writeSent {
			in.stats.WriteRetries++
		}
		// Assumed from here on, so that it does not depend on an answer.
		e.writeSent = true
		e.attemptsEndBy = max(e.attemptsEndBy, e.deadline+in.cfg.MaxOverrun)
	} else {
		e.phase = checking
		in.stats.Checks++
	}
	in.actions.Submit(e.ID, e.submission, operation, &e.Reading, e.group.number, timeout)
}

// takeSubmission ends a submission and returns its reading, nil if it is not in
// flight.
func (in *Intake) takeSubmission(n uint64) *entry {
	e := in.submissions[n]
	if e != nil {
		delete(in.submissions, n)
		e.group.inFlight--
	}
	return e
}

// Served takes the value that the database holds in the reading's row: after a
// write what is recorded under the key, after a check nothing if there is no
// such row.
func (in *Intake) Served(now float64, n uint64, value []byte) {
	e := in.takeSubmission(n)
	if e == nil {
		return
	}
	g := e.group
	g.succeeded(now, &in.cfg)
	sum := digest(value)
	switch {
	case e.phase == checking && len(value) == 0:
		in.absent(now, e)
	case sum == e.digest:
		if e.phase == checking {
			in.stats.FoundRecorded++
		}
		in.complete(now, e, sum, Recorded)
	default:
		in.complete(now, e, sum, Conflict)
	}
	in.dispatch(now, g)
}

// absent handles a check that found no row.
func (in *Intake) absent(now float64, e *entry) {
	// Absent as of submittedAt. An execution that the check did not see began
	// less than MaxOverrun before that, or later: its key holds until then.
	e.safeUntil = e.submittedAt - in.cfg.MaxOverrun + in.routes[e.Route].IdempotencyWindow
	e.failures = 0
	if e.unwanted() {
		in.finish(now, e)
		return
	}
	in.submitNext(now, e)
}

// complete ends a reading whose recorded value is known; sum is its digest.
func (in *Intake) complete(now float64, e *entry, sum uint64, status Status) {
	in.completions.add(now)
	d := e.device
	d.remember(e.ID.local(), sum, in.cfg.MaxRecent)
	if e.Epoch == d.epoch {
		d.confirmed = true
		d.conflicted = d.conflicted || status == Conflict
	}
	for _, waiter := range e.waiters {
		in.answer(waiter, Answer{Status: status})
	}
	e.waiters = nil
	if e.stored {
		if status == Conflict {
			in.stats.Conflicts++
			in.actions.Quarantine(&e.Reading)
		} else {
			in.actions.Delete(e.ID)
		}
	}
	in.finish(now, e)
}

// finish removes a reading and lets the next of its device's queue go out.
func (in *Intake) finish(now float64, e *entry) {
	queue := e.queue
	in.remove(e)
	if queue.busy {
		queue.busy = false
		in.schedule(queue)
		in.dispatch(now, queue.group)
	}
}

// Rejected reports that the router rejected a submission, with the advice to
// retry after that many milliseconds, 0 for none.
func (in *Intake) Rejected(now float64, n uint64, retryAfter float64) {
	e := in.takeSubmission(n)
	if e == nil {
		return
	}
	g := e.group
	g.failed(now)
	if retryAfter > 0 {
		g.pausedUntil = max(g.pausedUntil, now+min(retryAfter, in.cfg.MaxRetryAfter))
	}
	in.scheduleRetry(now, e)
	in.dispatch(now, g)
}

// Failed reports that a submission failed; a write may have run, or may yet.
func (in *Intake) Failed(now float64, n uint64) {
	e := in.takeSubmission(n)
	if e == nil {
		return
	}
	e.group.failed(now)
	in.scheduleRetry(now, e)
	in.dispatch(now, e.group)
}

// The backoff before a retry doubles from minBackoff to maxBackoff, in
// milliseconds, and is drawn between half of it and all.
const (
	minBackoff   = 100
	maxBackoff   = 2000
	maxDoublings = 6
)

// scheduleRetry lets e back off before its next submission.
func (in *Intake) scheduleRetry(now float64, e *entry) {
	if e.unwanted() {
		in.finish(now, e)
		return
	}
	doublings := min(e.failures, maxDoublings)
	backoff := min(minBackoff*float64(uint(1)<<doublings), maxBackoff)
	e.failures++
	in.backOff(e, now+backoff*(0.5+0.5*in.rand.Float64()))
}

// backOff keeps e from being submitted until then.
func (in *Intake) backOff(e *entry, until float64) {
	e.phase = backingOff
	e.retryTimer = in.timers.At(until, func(now float64) {
		e.retryTimer = nil
		e.group.retries = append(e.group.retries, e)
		e.phase = retryReady
		in.dispatch(now, e.group)
	})
}

// Persisted reports whether a reading is on the disk for good.
func (in *Intake) Persisted(now float64, id ID, ok bool) {
	d := in.devices[id.Device]
	if d == nil {
		return
	}
	e := d.inProgress[id.local()]
	if e == nil || e.phase != storing {
		return
	}
	if !ok {
		for _, waiter := range e.waiters {
			in.reject(now, waiter)
		}
		e.waiters = nil
		in.remove(e)
		return
	}
	e.stored = true
	in.timers.Cancel(e.answerTimer)
	e.answerTimer = nil
	for _, waiter := range e.waiters {
		in.answer(waiter, Answer{Status: Stored})
	}
	e.waiters = nil
	in.enqueue(e)
	in.dispatch(now, e.group)
}
