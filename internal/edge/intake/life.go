package intake

// join lets another copy of a reading under way wait for the same answer.
func (in *Intake) join(now float64, e *entry, sum uint64, from Origin) {
	if sum != e.digest { // two devices with one name, or one that lost its counter
		in.answer(from, Answer{Status: Conflict})
		return
	}
	in.stats.Joined++
	if e.stored {
		in.answer(from, Answer{Status: Stored})
		return
	}
	if len(e.waiters) >= in.cfg.Waiters { // the oldest copy's sender has most surely given up
		in.answer(e.waiters[0], Answer{Status: Unknown, Wait: in.wait(now)})
		e.waiters = append(e.waiters[:0:0], e.waiters[1:]...)
	}
	e.waiters = append(e.waiters, from)
	in.promise(now, e)
}

// promise sets the time by which whoever waits for e has an answer.
func (in *Intake) promise(now float64, e *entry) {
	in.timers.Cancel(e.answer)
	e.answer = in.timers.At(now+in.cfg.AnswerWithin, func(now float64) { in.late(now, e) })
}

// late answers those who have waited long enough: the device keeps the reading
// and sends it again. What is out goes on, and its end is remembered; what
// waits for its turn is let go.
func (in *Intake) late(now float64, e *entry) {
	e.answer = nil
	for _, w := range e.waiters {
		in.answer(w, Answer{Status: Unknown, Wait: in.wait(now)})
	}
	e.waiters = nil
	switch e.phase {
	case queued:
		e.line.take(e)
		if e.evictable() {
			in.holds(e.device, -1)
		}
		in.release(e)
	case resting, again:
		in.done(now, e)
	}
}

// start sends e's next submission, which takes a place of its group's window.
func (in *Intake) start(now float64, e *entry) {
	if wait := min(in.cfg.WriteWait, e.cover-in.cfg.Margin-now); wait >= minWrite {
		in.submit(now, e, Write, wait)
		return
	}
	// Past the cover nothing goes out blindly. While an attempt of our own may
	// still be running its row may not be there yet, so the read would say too
	// little.
	if now < e.deadAt {
		in.rest(e, e.deadAt)
		return
	}
	in.submit(now, e, Check, in.cfg.CheckWait)
}

func (in *Intake) submit(now float64, e *entry, w Work, wait float64) {
	in.next++
	e.number, e.asked, e.until = in.next, now, now+wait
	in.out[e.number] = e
	e.group.out++
	if w == Write {
		e.phase = writing
		in.stats.Writes++
		if e.sent {
			in.stats.Rewrites++
		}
		// Assumed from here on, so that nothing hangs on an answer coming.
		e.sent = true
		e.deadAt = max(e.deadAt, e.until+in.cfg.MayRun)
	} else {
		e.phase = checking
		in.stats.Checks++
	}
	in.act.Submit(e.ID, e.number, w, &e.Reading, e.group.number, wait)
}

// ended takes the submission n off the books and returns its reading, nil if
// n is not out.
func (in *Intake) ended(n uint64) *entry {
	e := in.out[n]
	if e != nil {
		delete(in.out, n)
		e.group.out--
	}
	return e
}

// Served takes the value that the database holds in the reading's row: after
// a write what it recorded under the key, after a check nothing if there is no
// such row.
func (in *Intake) Served(now float64, n uint64, value []byte) {
	e := in.ended(n)
	if e == nil {
		return
	}
	g := e.group
	g.helped(now, &in.cfg)
	switch sum := digest(value); {
	case e.phase == checking && len(value) == 0:
		// Absent as of asked. What ran unseen began less than MayRun before
		// that, or later: its key holds until then.
		e.cover = e.asked - in.cfg.MayRun + in.routes[e.Route].KeyTTL
		e.tries = 0
		if len(e.waiters) == 0 && !e.stored { // nobody waits: the device will send it again
			in.done(now, e)
		} else {
			in.start(now, e)
		}
	case sum == e.digest:
		if e.phase == checking {
			in.stats.Proven++
		}
		in.conclude(now, e, sum, Recorded)
	default:
		in.conclude(now, e, sum, Conflict)
	}
	in.pump(now, g)
}

// conclude ends a reading for good.
func (in *Intake) conclude(now float64, e *entry, sum uint64, s Status) {
	in.rate.add(now)
	d := e.device
	d.remember(e.ID.number(), sum, in.cfg.Recent)
	if e.Epoch == d.epoch {
		d.sure = true
		d.doubted = d.doubted || s == Conflict
	}
	for _, w := range e.waiters {
		in.answer(w, Answer{Status: s})
	}
	e.waiters = nil
	if e.stored {
		if s == Conflict {
			in.stats.Conflicts++
			in.act.Quarantine(&e.Reading)
		} else {
			in.act.Forget(e.ID)
		}
	}
	in.done(now, e)
}

// done takes a reading off the books and lets its line go on.
func (in *Intake) done(now float64, e *entry) {
	l := e.line
	in.release(e)
	if l.serving {
		l.serving = false
		in.turn(l)
		in.pump(now, l.group)
	}
}

// Refused learns that the module turned a submission away, with its advice
// when to come again, 0 for none.
func (in *Intake) Refused(now float64, n uint64, retryAfter float64) {
	e := in.ended(n)
	if e == nil {
		return
	}
	g := e.group
	g.unhelped(now)
	if retryAfter > 0 {
		g.holdTo = max(g.holdTo, now+min(retryAfter, in.cfg.RetryMax))
	}
	in.retry(now, e)
	in.pump(now, g)
}

// Failed learns that a submission failed; a write may have run, or may yet.
func (in *Intake) Failed(now float64, n uint64) {
	e := in.ended(n)
	if e == nil {
		return
	}
	e.group.unhelped(now)
	in.retry(now, e)
	in.pump(now, e.group)
}

// restFirst and restMost bound the pause before another try, in milliseconds.
const (
	restFirst = 100
	restMost  = 2000
)

// retry lets e rest before its next try, longer each time.
func (in *Intake) retry(now float64, e *entry) {
	if len(e.waiters) == 0 && !e.stored {
		in.done(now, e)
		return
	}
	pause := min(restFirst*float64(uint(1)<<min(e.tries, 6)), restMost)
	e.tries++
	in.rest(e, now+pause*(0.5+0.5*in.rand.Float64()))
}

func (in *Intake) rest(e *entry, until float64) {
	e.phase = resting
	e.wake = in.timers.At(until, func(now float64) {
		e.wake = nil
		e.group.again = append(e.group.again, e)
		e.phase = again
		in.pump(now, e.group)
	})
}

// Persisted learns whether a reading is on the disk for good.
func (in *Intake) Persisted(now float64, id ID, ok bool) {
	d := in.devices[id.Device]
	if d == nil {
		return
	}
	e := d.open[id.number()]
	if e == nil || e.phase != storing {
		return
	}
	if !ok {
		for _, w := range e.waiters {
			in.refuse(now, w)
		}
		e.waiters = nil
		in.release(e)
		return
	}
	e.stored = true
	in.timers.Cancel(e.answer)
	e.answer = nil
	for _, w := range e.waiters {
		in.answer(w, Answer{Status: Stored})
	}
	e.waiters = nil
	in.enqueue(e)
	in.pump(now, e.group)
}
