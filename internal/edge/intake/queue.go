package intake

// deviceQueue holds one device's queued readings for one replica group, in order
// of arrival.
type deviceQueue struct {
	device  *trackedDevice
	group   *replicaGroup
	urgent  []*trackedReading
	routine []*trackedReading

	listedUrgent  bool // the queue is in group.urgent
	listedRoutine bool // the queue is in group.routine
	busy          bool // a durable reading was taken out; the next waits until it is finished
}

// remove takes a given reading out of the queue.
func (queue *deviceQueue) remove(reading *trackedReading) {
	for _, readings := range []*[]*trackedReading{&queue.urgent, &queue.routine} {
		for i, candidate := range *readings {
			if candidate == reading {
				*readings = append((*readings)[:i:i], (*readings)[i+1:]...)
				return
			}
		}
	}
}

// pop takes out and returns the first urgent reading, else the first routine
// one, or nil if the queue is empty.
func (queue *deviceQueue) pop() *trackedReading {
	readings := &queue.urgent
	if len(*readings) == 0 {
		readings = &queue.routine
	}
	if len(*readings) == 0 {
		return nil
	}
	reading := (*readings)[0]
	(*readings)[0] = nil // so that the garbage collector can free the reading
	*readings = (*readings)[1:]
	return reading
}

// queueOf returns the device's queue for a group, creating it if needed.
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

// enqueue puts a reading into its device's queue.
func (in *Intake) enqueue(reading *trackedReading) {
	reading.phase = queued
	if reading.queue == nil {
		reading.queue = reading.device.queueOf(reading.group)
	}
	if reading.Urgent && !in.cfg.Durable { // durable readings are submitted in order
		reading.queue.urgent = append(reading.queue.urgent, reading)
	} else {
		reading.queue.routine = append(reading.queue.routine, reading)
	}
	if reading.evictable() {
		in.adjustEvictable(reading.device, 1)
	}
	in.scheduleQueue(reading.queue)
}

// scheduleQueue adds a queue to its group's round-robin lists, unless it is
// there already or busy.
func (in *Intake) scheduleQueue(queue *deviceQueue) {
	if queue.busy {
		return
	}
	// Durable urgent readings are in the routine list, because they are submitted
	// in order: the queue is treated as urgent once its first reading is urgent.
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

// nextReading takes out and returns the reading to submit next, or nil if there
// is none: first those whose backoff is over, then urgent ones, then routine
// ones, round robin among devices. Every routineTurnInterval-th turn goes to a
// device with routine readings; its own urgent readings still come first.
func (in *Intake) nextReading(group *replicaGroup) *trackedReading {
	if reading := group.popRetry(); reading != nil {
		return reading
	}
	for len(group.urgent)+len(group.routine) > 0 {
		queue := group.popQueue()
		// Its readings may have been removed, or taken out by a turn in the other
		// list.
		if len(queue.urgent)+len(queue.routine) == 0 || queue.busy {
			continue
		}
		reading := queue.pop()
		if reading.evictable() {
			in.adjustEvictable(reading.device, -1)
		}
		queue.busy = in.cfg.Durable
		in.scheduleQueue(queue)
		return reading
	}
	return nil
}

// popRetry takes out and returns the first reading in progress whose backoff is
// over, or nil if there is none.
func (group *replicaGroup) popRetry() *trackedReading {
	for len(group.retries) > 0 {
		reading := group.retries[0]
		group.retries[0] = nil // so that the garbage collector can free the reading
		group.retries = group.retries[1:]
		if !reading.removed {
			return reading
		}
	}
	return nil
}

// popQueue takes out and returns the queue whose turn it is. At least one queue
// must be listed.
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
