package lab

import "lotusbend/internal/standin"

// auditEdge compares the acknowledgements that the devices received with the executed
// writes, and sets OK if every reading was acknowledged and recorded exactly once, in a
// row of its own. It matches readings by their values, which are unique.
func auditEdge(devices []*device, log []standin.Execution, result *EdgeResult) {
	recordings := map[string]int{} // number of executions by value
	rows := map[string]bool{}      // rows that were written
	for _, execution := range log {
		recordings[execution.Doc]++
		rows[execution.Row] = true
	}
	sent := map[string]bool{} // values of all readings
	for _, d := range devices {
		d.mu.Lock()
		for _, reading := range d.readings {
			sent[reading.Value] = true
			result.addReading(reading, recordings[reading.Value])
		}
		d.mu.Unlock()
	}
	for _, execution := range log {
		if !sent[execution.Doc] {
			result.RecordedUnasked++
		}
	}
	allRecordedOnce := result.Recorded == result.Sent && result.RecordedTwice == 0 &&
		result.RecordedUnasked == 0 && len(rows) == result.Sent
	allAcked := result.Acked == result.Sent && result.AckedNotRecorded == 0 && result.Unanswered == 0
	result.OK = result.Sent > 0 && allRecordedOnce && allAcked
}

// addReading adds a reading to the result. recordings is how often it was recorded.
func (r *EdgeResult) addReading(reading *Reading, recordings int) {
	r.Sent++
	r.Transmissions += reading.sent
	if recordings > 0 {
		r.Recorded++
	} else {
		r.Lost++
	}
	if recordings > 1 {
		r.RecordedTwice++
	}
	if !reading.Acked {
		r.Unanswered++
		return
	}
	r.Acked++
	if recordings == 0 {
		r.AckedNotRecorded++
	}
}

// unacknowledged returns the number of the device's unacknowledged readings.
func (d *device) unacknowledged() (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, reading := range d.readings {
		if !reading.Acked {
			count++
		}
	}
	return count
}
