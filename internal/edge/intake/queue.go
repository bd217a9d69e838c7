package intake

// deviceQueue is one device's readings for one replica group, in their order.
type deviceQueue struct {
	device  *device
	group   *group
	urgent  []*entry
	routine []*entry

	inUrgent  bool // listed in group.urgent
	inRoutine bool // listed in group.routine
	busy      bool // a durable reading is in progress: the next waits for its end
}

// remove takes out an entry that was not submitted.
func (q *deviceQueue) remove(e *entry) {
	for _, entries := range []*[]*entry{&q.urgent, &q.routine} {
		for i, candidate := range *entries {
			if candidate == e {
				*entries = append((*entries)[:i:i], (*entries)[i+1:]...)
				return
			}
		}
	}
}

// next takes out the first urgent reading, else the first routine one; nil if
// there is none.
func (q *deviceQueue) next() *entry {
	entries := &q.urgent
	if len(*entries) == 0 {
		entries = &q.routine
	}
	if len(*entries) == 0 {
		return nil
	}
	e := (*entries)[0]
	(*entries)[0] = nil // for the garbage collector
	*entries = (*entries)[1:]
	return e
}

// queueOf returns the device's queue for a group, a new one if there is none.
func (d *device) queueOf(g *group) *deviceQueue {
	for _, queue := range d.queues {
		if queue.group == g {
			return queue
		}
	}
	queue := &deviceQueue{device: d, group: g}
	d.queues = append(d.queues, queue)
	return queue
}

// enqueue puts e into its device's queue.
func (in *Intake) enqueue(e *entry) {
	e.phase = queued
	if e.queue == nil {
		e.queue = e.device.queueOf(e.group)
	}
	if e.Urgent && !in.cfg.Durable { // stored readings are delivered in order
		e.queue.urgent = append(e.queue.urgent, e)
	} else {
		e.queue.routine = append(e.queue.routine, e)
	}
	if e.evictable() {
		in.countEvictable(e.device, 1)
	}
	in.schedule(e.queue)
}

// schedule lists a queue for its turns in its group, unless it is listed.
func (in *Intake) schedule(q *deviceQueue) {
	if q.busy {
		return
	}
	// A stored urgent reading is delivered in order: it gives its queue an
	// urgent turn only once it is the first.
	urgentFirst := len(q.routine) > 0 && q.routine[0].Urgent
	if !q.inUrgent && (len(q.urgent) > 0 || urgentFirst) {
		q.inUrgent = true
		q.group.urgent = append(q.group.urgent, q)
	}
	if !q.inRoutine && len(q.routine) > 0 && !urgentFirst {
		q.inRoutine = true
		q.group.routine = append(q.group.routine, q)
	}
}

// nextReading returns the reading to submit next, nil if there is none: first
// those whose backoff is over, then urgent ones, then routine ones, device by
// device.
func (in *Intake) nextReading(g *group) *entry {
	if e := g.nextRetry(); e != nil {
		return e
	}
	for len(g.urgent)+len(g.routine) > 0 {
		queue := g.nextQueue()
		// Its readings were evicted, or submitted by its other turn.
		if len(queue.urgent)+len(queue.routine) == 0 || queue.busy {
			continue
		}
		e := queue.next()
		if e.evictable() {
			in.countEvictable(e.device, -1)
		}
		queue.busy = in.cfg.Durable
		in.schedule(queue)
		return e
	}
	return nil
}

// nextRetry takes out the first reading whose backoff is over; nil if none is.
func (g *group) nextRetry() *entry {
	for len(g.retries) > 0 {
		e := g.retries[0]
		g.retries[0] = nil // for the garbage collector
		g.retries = g.retries[1:]
		if !e.removed {
			return e
		}
	}
	return nil
}

// nextQueue takes out the queue whose turn it is. There must be one.
func (g *group) nextQueue() *deviceQueue {
	g.turn++
	routineTurn := len(g.routine) > 0 && g.turn%routineInterval == 0
	if len(g.urgent) == 0 || routineTurn {
		queue := g.routine[0]
		g.routine = g.routine[1:]
		queue.inRoutine = false
		return queue
	}
	queue := g.urgent[0]
	g.urgent = g.urgent[1:]
	queue.inUrgent = false
	return queue
}
