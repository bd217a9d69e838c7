package intake

// coalesce handles another copy of a reading in progress, which waits for the
// same answer. At MaxWaiters the oldest copy is answered Unknown. A copy with
// another value is answered Conflict at once, and one of a stored reading Stored.
func (in *Intake) coalesce(now float64, reading *trackedReading, sum uint64, from Origin) {
	if sum != reading.digest { // two devices have one name, or one lost its counter without a new epoch
		in.answer(from, Answer{Status: Conflict})
		return
	}
	in.stats.Coalesced++
	if reading.stored {
		in.answer(from, Answer{Status: Stored})
		return
	}
	if len(reading.waiters) >= in.cfg.MaxWaiters { // the sender of the oldest copy has most likely timed out
		in.answer(reading.waiters[0], Answer{Status: Unknown, RetryAfter: in.retryAfter(now)})
		reading.waiters = append(reading.waiters[:0:0], reading.waiters[1:]...)
	}
	reading.waiters = append(reading.waiters, from)
	in.armAnswerTimer(now, reading)
}

// armAnswerTimer restarts the answer timeout of the reading's waiters.
func (in *Intake) armAnswerTimer(now float64, reading *trackedReading) {
	in.timers.Cancel(reading.answerTimer)
	reading.answerTimer = in.timers.At(now+in.cfg.AnswerTimeout, func(now float64) {
		in.answerTimedOut(now, reading)
	})
}

// answerTimedOut answers Unknown to all waiters, so that the device keeps the
// reading and sends it again. A submission in flight or a write to the store goes
// on, and its result is kept for later copies; a reading that is queued or waits
// for its retry is removed.
func (in *Intake) answerTimedOut(now float64, reading *trackedReading) {
	reading.answerTimer = nil
	for _, waiter := range reading.waiters {
		in.answer(waiter, Answer{Status: Unknown, RetryAfter: in.retryAfter(now)})
	}
	reading.waiters = nil
	switch reading.phase {
	case queued:
		reading.queue.remove(reading)
		if reading.evictable() {
			in.adjustEvictable(reading.device, -1)
		}
		in.remove(reading)
	case backingOff, retryReady:
		in.finish(now, reading)
	}
}

// submitNext sends the reading's next submission: a write if one that ends
// within safeUntil has enough time, else a check.
func (in *Intake) submitNext(now float64, reading *trackedReading) {
	timeout := min(in.cfg.WriteTimeout, reading.safeUntil-in.cfg.ClockMargin-now)
	if timeout >= minWriteTimeoutMs {
		in.submit(now, reading, Write, timeout)
		return
	}
	// While an attempt of this router may still be running, its row may not exist
	// yet, so the absence of a row would not mean that it can be written.
	if now < reading.attemptsEndBy {
		in.backOff(reading, reading.attemptsEndBy)
		return
	}
	in.submit(now, reading, Check, in.cfg.CheckTimeout)
}

// submit sends a write or a check, which counts against the group's window until
// it ends; timeout is in milliseconds.
func (in *Intake) submit(now float64, reading *trackedReading, operation Operation, timeout float64) {
	in.lastSubmission++
	reading.submission = in.lastSubmission
	reading.submittedAt = now
	reading.deadline = now + timeout
	in.submissions[reading.submission] = reading
	reading.group.inFlight++
	if operation == Write {
		reading.phase = writing
		in.stats.Writes++
		if reading.writeSent {
			in.stats.WriteRetries++
		}
		// The write may run from now on, whether or not an answer arrives.
		reading.writeSent = true
		reading.attemptsEndBy = max(reading.attemptsEndBy, reading.deadline+in.cfg.MaxOverrun)
	} else {
		reading.phase = checking
		in.stats.Checks++
	}
	group := reading.group.number
	in.actions.Submit(reading.ID, reading.submission, operation, &reading.Reading, group, timeout)
}

// endSubmission ends a submission and returns its reading, or nil if the
// submission is not in flight.
func (in *Intake) endSubmission(submission uint64) *trackedReading {
	reading := in.submissions[submission]
	if reading != nil {
		delete(in.submissions, submission)
		reading.group.inFlight--
	}
	return reading
}

// Served reports that a submission was served. value is the content of the
// reading's row: after a write the value that is recorded under the key, after a
// check empty if there is no row.
func (in *Intake) Served(now float64, submission uint64, value []byte) {
	reading := in.endSubmission(submission)
	if reading == nil {
		return
	}
	group := reading.group
	group.recordSuccess(now, &in.cfg)
	sum := valueDigest(value)
	switch {
	case reading.phase == checking && len(value) == 0:
		in.rowAbsent(now, reading)
	case sum == reading.digest:
		if reading.phase == checking {
			in.stats.FoundRecorded++
		}
		in.complete(now, reading, sum, Recorded)
	default:
		in.complete(now, reading, sum, Conflict)
	}
	in.dispatch(now, group)
}

// rowAbsent handles a check that found no row: the reading is submitted again,
// unless it is abandoned.
func (in *Intake) rowAbsent(now float64, reading *trackedReading) {
	// The row was absent at submittedAt. An execution that the check did not see
	// began less than MaxOverrun before that, or later, so that its key is held at
	// least until safeUntil.
	reading.safeUntil = reading.submittedAt - in.cfg.MaxOverrun + in.routes[reading.Route].IdempotencyWindow
	reading.failures = 0
	if reading.abandoned() {
		in.finish(now, reading)
		return
	}
	in.submitNext(now, reading)
}

// complete ends a reading whose recorded value is known. sum is the digest of
// that value; status is Recorded or Conflict.
func (in *Intake) complete(now float64, reading *trackedReading, sum uint64, status Status) {
	in.completions.add(now)
	device := reading.device
	device.addRecorded(reading.ID.local(), sum, in.cfg.MaxRecent)
	if reading.Epoch == device.epoch {
		device.epochConfirmed = true
		device.epochConflicted = device.epochConflicted || status == Conflict
	}
	for _, waiter := range reading.waiters {
		in.answer(waiter, Answer{Status: status})
	}
	reading.waiters = nil
	if reading.stored {
		if status == Conflict {
			in.stats.Conflicts++
			in.actions.Quarantine(&reading.Reading)
		} else {
			in.actions.Delete(reading.ID)
		}
	}
	in.finish(now, reading)
}

// finish removes a reading and releases its queue if it was busy, so that the
// next durable reading is submitted.
func (in *Intake) finish(now float64, reading *trackedReading) {
	queue := reading.queue
	in.remove(reading)
	if queue.busy {
		queue.busy = false
		in.scheduleQueue(queue)
		in.dispatch(now, queue.group)
	}
}

// Rejected reports that the router rejected a submission. retryAfter is how long
// the router advises to wait, in milliseconds: the group is paused for that time,
// at most Config.MaxRetryAfter. 0 means no pause.
func (in *Intake) Rejected(now float64, submission uint64, retryAfter float64) {
	reading := in.endSubmission(submission)
	if reading == nil {
		return
	}
	group := reading.group
	group.recordFailure(now)
	if retryAfter > 0 {
		group.pausedUntil = max(group.pausedUntil, now+min(retryAfter, in.cfg.MaxRetryAfter))
	}
	in.scheduleRetry(now, reading)
	in.dispatch(now, group)
}

// Failed reports that a submission failed. A write may have run, or may run
// until its deadline plus MaxOverrun.
func (in *Intake) Failed(now float64, submission uint64) {
	reading := in.endSubmission(submission)
	if reading == nil {
		return
	}
	reading.group.recordFailure(now)
	in.scheduleRetry(now, reading)
	in.dispatch(now, reading.group)
}

// The backoff before a retry doubles with each failure from minBackoffMs to
// maxBackoffMs. The wait is drawn at random between half of the backoff and all
// of it. maxBackoffDoublings keeps the power of two from overflowing; fewer than
// that many doublings reach maxBackoffMs.
const (
	minBackoffMs        = 100
	maxBackoffMs        = 2000
	maxBackoffDoublings = 6
)

// scheduleRetry makes a reading back off before its next submission, and removes
// it if it is abandoned.
func (in *Intake) scheduleRetry(now float64, reading *trackedReading) {
	if reading.abandoned() {
		in.finish(now, reading)
		return
	}
	doublings := min(reading.failures, maxBackoffDoublings)
	backoff := min(minBackoffMs*float64(uint(1)<<doublings), maxBackoffMs)
	reading.failures++
	in.backOff(reading, now+backoff*(0.5+0.5*in.rand.Float64()))
}

// backOff keeps a reading from being submitted before until, in Unix
// milliseconds.
func (in *Intake) backOff(reading *trackedReading, until float64) {
	reading.phase = backingOff
	reading.retryTimer = in.timers.At(until, func(now float64) {
		reading.retryTimer = nil
		reading.group.retries = append(reading.group.retries, reading)
		reading.phase = retryReady
		in.dispatch(now, reading.group)
	})
}

// Persisted reports the result of Actions.Persist: ok if the reading is durably
// on disk. If so its copies are answered Stored and it is queued, else they are
// rejected. It is ignored for a reading that is not being stored.
func (in *Intake) Persisted(now float64, id ID, ok bool) {
	device := in.devices[id.Device]
	if device == nil {
		return
	}
	reading := device.inProgress[id.local()]
	if reading == nil || reading.phase != storing {
		return
	}
	if !ok {
		for _, waiter := range reading.waiters {
			in.reject(now, waiter)
		}
		reading.waiters = nil
		in.remove(reading)
		return
	}
	reading.stored = true
	in.timers.Cancel(reading.answerTimer)
	reading.answerTimer = nil
	for _, waiter := range reading.waiters {
		in.answer(waiter, Answer{Status: Stored})
	}
	reading.waiters = nil
	in.enqueue(reading)
	in.dispatch(now, reading.group)
}
