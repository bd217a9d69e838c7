package intake

// deviceQueue is one device's readings for one replica group, in their order.
type deviceQueue struct {
	device  *trackedDevice
	group   *replicaGroup
	urgent  []*trackedReading
	routine []*trackedReading

	listedUrgent  bool // listed in group.urgent
	listedRoutine bool // listed in group.routine
	busy          bool // a durable reading is in progress: the next waits for its end
}

// remove takes out an entry that was not submitted.
func (queue *deviceQueue) remove(reading *trackedReading) {
	for _, entries := range []*[]*trackedReading{&queue.urgent, &queue.routine} {
		for i, candidate := range *entries {
			if candidate == reading {
				*entries = append((*entries)[:i:i], (*entries)[i+1:]...)
				return
			}
		}
	}
}

// pop takes out the first urgent reading, else the first routine one; nil if
// there is none.
func (queue *deviceQueue) pop() *trackedReading {
	entries := &queue.urgent
	if len(*entries) == 0 {
		entries = &queue.routine
	}
	if len(*entries) == 0 {
		return nil
	}
	reading := (*entries)[0]
	(*entries)[0] = nil // for the garbage collector
	*entries = (*entries)[1:]
	return reading
}

// queueOf returns the device's queue for a group, a new one if there is none.
func (device *trackedDevice) queueOf(group *replicaGroup) *deviceQueue {
	for _, queue := range device.queues {
		if queue.group == group {
			return queue
		}
	}
	queue := &deviceQueue{device: device, group: group}
	device.queues = append(device.queues, queue)
	return queue
}

// enqueue puts e into its device's queue.
func (in *Intake) enqueue(reading *trackedReading) {
	reading.phase = queued
	if reading.queue == nil {
		reading.queue = reading.device.queueOf(reading.group)
	}
	if reading.Urgent && !in.cfg.Durable { // stored readings are delivered in order
		reading.queue.urgent = append(reading.queue.urgent, reading)
	} else {
		reading.queue.routine = append(reading.queue.routine, reading)
	}
	if reading.evictable() {
		in.countEvictable(reading.device, 1)
	}
	in.scheduleQueue(reading.queue)
}

// scheduleQueue lists a queue for its turns in its group, unless it is listed.
func (in *Intake) scheduleQueue(queue *deviceQueue) {
	if queue.busy {
		return
	}
	// A stored urgent reading is delivered in order: it gives its queue an
	// urgent turn only once it is the first.
	urgentFirst := len(queue.routine) > 0 && queue.routine[0].Urgent
	if !queue.listedUrgent && (len(queue.urgent) > 0 || urgentFirst) {
		queue.listedUrgent = true
		queue.group.urgent = append(queue.group.urgent, queue)
	}
	if !queue.listedRoutine && len(queue.routine) > 0 && !urgentFirst {
		queue.listedRoutine = true
		queue.group.routine = append(queue.group.routine, queue)
	}
}

// nextReading returns the reading to submit next, nil if there is none: first
// those whose backoff is over, then urgent ones, then routine ones, device by
// device.
func (in *Intake) nextReading(group *replicaGroup) *trackedReading {
	if reading := group.popRetry(); reading != nil {
		return reading
	}
	for len(group.urgent)+len(group.routine) > 0 {
		queue := group.popQueue()
		// Its readings were evicted, or submitted by its other turn.
		if len(queue.urgent)+len(queue.routine) == 0 || queue.busy {
			continue
		}
		reading := queue.pop()
		if reading.evictable() {
			in.countEvictable(reading.device, -1)
		}
		queue.busy = in.cfg.Durable
		in.scheduleQueue(queue)
		return reading
	}
	return nil
}

// popRetry takes out the first reading whose backoff is over; nil if none is.
func (group *replicaGroup) popRetry() *trackedReading {
	for len(group.retries) > 0 {
		reading := group.retries[0]
		group.retries[0] = nil // for the garbage collector
		group.retries = group.retries[1:]
		if !reading.removed {
			return reading
		}
	}
	return nil
}

// popQueue takes out the queue whose turn it is. There must be one.
func (group *replicaGroup) popQueue() *deviceQueue {
	group.turns++
	routineTurn := len(group.routine) > 0 && group.turns%routineTurnInterval == 0
	if len(group.urgent) == 0 || routineTurn {
		queue := group.routine[0]
		group.routine = group.routine[1:]
		queue.listedRoutine = false
		return queue
	}
	queue := group.urgent[0]
	group.urgent = group.urgent[1:]
	queue.listedUrgent = false
	return queue
}
