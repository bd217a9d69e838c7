package intake

// admit reports whether there is capacity for a reading. Each device and each
// network has a limit of its own. At the total limits it evicts queued readings,
// which victim selects, until the new one fits.
func (in *Intake) admit(now float64, reading *trackedReading) bool {
	atDeviceLimit := len(reading.device.inProgress) >= in.cfg.MaxPerDevice
	if atDeviceLimit || in.networks[reading.network] >= in.cfg.MaxPerNetwork {
		return false
	}
	for in.inProgress >= in.cfg.MaxReadings || in.bytes+reading.memoryBytes() > in.cfg.MaxBytes {
		victim := in.victim(reading)
		if victim == nil {
			return false
		}
		in.stats.Evicted++
		in.evict(now, victim)
	}
	return true
}

// victim returns the reading to evict in favour of the given one, nil if there
// is none: the newest evictable reading of the device that has the most of them.
// It was never submitted and is not stored, so it can be rejected safely. An
// urgent reading always displaces it; a routine reading does so only if that
// device has more evictable readings than its own device would have with it.
func (in *Intake) victim(reading *trackedReading) *trackedReading {
	if len(in.evictable) == 0 {
		return nil
	}
	device := in.evictable[0]
	if !reading.Urgent && device.evictable <= reading.device.evictable+1 {
		return nil
	}
	var newest *trackedReading
	for _, queue := range device.queues {
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

// register adds a reading to those in progress and, unless it is stored, sets
// its answer timeout.
func (in *Intake) register(now float64, reading *trackedReading) {
	device := reading.device
	in.markBusy(device)
	if device.inProgress == nil {
		device.inProgress = map[localID]*trackedReading{}
	}
	device.inProgress[reading.ID.local()] = reading
	in.inProgress++
	in.bytes += reading.memoryBytes()
	if reading.network.IsValid() {
		in.networks[reading.network]++
	}
	reading.group = in.group(in.routes[reading.Route].group(reading.Device))
	if !reading.stored {
		in.armAnswerTimer(now, reading)
	}
}

// remove takes a reading out of those in progress and cancels its timers.
func (in *Intake) remove(reading *trackedReading) {
	device := reading.device
	reading.removed = true
	delete(device.inProgress, reading.ID.local())
	in.inProgress--
	in.bytes -= reading.memoryBytes()
	if reading.network.IsValid() {
		in.networks[reading.network]--
		if in.networks[reading.network] <= 0 {
			delete(in.networks, reading.network)
		}
	}
	in.timers.Cancel(reading.retryTimer)
	in.timers.Cancel(reading.answerTimer)
	reading.retryTimer = nil
	reading.answerTimer = nil
	in.markIdle(device)
}

// evict removes a queued reading that was never submitted and rejects its
// copies.
func (in *Intake) evict(now float64, reading *trackedReading) {
	reading.queue.remove(reading)
	in.adjustEvictable(reading.device, -1)
	for _, waiter := range reading.waiters {
		in.reject(now, waiter)
	}
	reading.waiters = nil
	in.remove(reading)
}

// reject answers Rejected to a copy whose reading was not submitted.
func (in *Intake) reject(now float64, to Origin) {
	in.answer(to, Answer{Status: Rejected, RetryAfter: in.retryAfter(now)})
}

// answer sends one copy its final answer and counts it.
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
