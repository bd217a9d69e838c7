package intake

// admit decides whether there is capacity for e. Each device and each network
// has its limit. At the limits of the whole, a device with fewer readings than
// another displaces the other's newest routine one.
func (in *Intake) admit(now float64, e *entry) bool {
	if len(e.device.inProgress) >= in.cfg.MaxPerDevice || in.networks[e.network] >= in.cfg.MaxPerNetwork {
		return false
	}
	for in.inProgress >= in.cfg.MaxReadings || in.bytes+e.cost() > in.cfg.MaxBytes {
		victim := in.victim(e)
		if victim == nil {
			return false
		}
		in.stats.Evicted++
		in.evict(now, victim)
	}
	return true
}

// victim returns the reading that is evicted for e, nil if none is. It was
// never submitted and is not stored, so that rejecting it is harmless. An urgent
// reading displaces a routine one of any device; a routine one only that of a
// device which has more than its own would.
func (in *Intake) victim(e *entry) *entry {
	if len(in.evictable) == 0 {
		return nil
	}
	d := in.evictable[0]
	if !e.Urgent && d.evictable <= e.device.evictable+1 {
		return nil
	}
	var newest *entry
	for _, queue := range d.queues {
		if len(queue.routine) == 0 {
			continue
		}
		last := queue.routine[len(queue.routine)-1]
		if last.evictable() && (newest == nil || last.arrivedAt >= newest.arrivedAt) {
			newest = last
		}
	}
	return newest
}

// register adds e to the readings in progress.
func (in *Intake) register(now float64, e *entry) {
	d := e.device
	in.markBusy(d)
	if d.inProgress == nil {
		d.inProgress = map[localID]*entry{}
	}
	d.inProgress[e.ID.local()] = e
	in.inProgress++
	in.bytes += e.cost()
	if e.network.IsValid() {
		in.networks[e.network]++
	}
	e.group = in.group(in.routes[e.Route].group(e.Device))
	if !e.stored {
		in.armAnswerTimer(now, e)
	}
}

// remove takes e off the readings in progress.
func (in *Intake) remove(e *entry) {
	d := e.device
	e.removed = true
	delete(d.inProgress, e.ID.local())
	in.inProgress--
	in.bytes -= e.cost()
	if e.network.IsValid() {
		in.networks[e.network]--
		if in.networks[e.network] <= 0 {
			delete(in.networks, e.network)
		}
	}
	in.timers.Cancel(e.retryTimer)
	in.timers.Cancel(e.answerTimer)
	e.retryTimer = nil
	e.answerTimer = nil
	in.markIdle(d)
}

// evict rejects a queued reading that was never submitted.
func (in *Intake) evict(now float64, e *entry) {
	e.queue.remove(e)
	in.countEvictable(e.device, -1)
	for _, waiter := range e.waiters {
		in.reject(now, waiter)
	}
	e.waiters = nil
	in.remove(e)
}

// reject answers a copy that was not submitted.
func (in *Intake) reject(now float64, to Origin) {
	in.answer(to, Answer{Status: Rejected, RetryAfter: in.retryAfter(now)})
}

// answer gives one copy its final answer and counts it.
func (in *Intake) answer(to Origin, answer Answer) {
	switch answer.Status {
	case Recorded:
		in.stats.Recorded++
	case Stored:
		in.stats.Stored++
	case Conflict:
		in.stats.Conflicts++
	case Rejected:
		in.stats.Rejected++
	case Unknown:
		in.stats.Unknown++
	case Invalid:
		in.stats.Invalid++
	}
	in.actions.Answer(to, answer)
}
