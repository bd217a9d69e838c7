package intake

import "strconv"

// Status is the final answer to one copy of a reading. Its values go over the
// wire.
type Status uint8

// The final answers.
const (
	Recorded Status = iota // it is in the database, once
	Stored                 // it is on this router's disk and will be recorded
	Conflict               // another value is recorded under its ID; nothing was written
	Rejected               // it was not submitted; retry after RetryAfter
	Unknown                // it may have been recorded; retry after RetryAfter, marked as a retry
	Invalid                // it can never be recorded as it is
)

// String returns the status as one word, which also goes to MQTT devices.
func (s Status) String() string {
	words := [...]string{"recorded", "stored", "conflict", "refused", "unknown", "invalid"}
	if int(s) < len(words) {
		return words[s]
	}
	return "status " + strconv.Itoa(int(s))
}

// Done reports whether the device need not send the reading again.
func (s Status) Done() bool { return s == Recorded || s == Stored }

// Origin names the sender of one copy of a reading, in the caller's terms.
type Origin struct {
	Peer    uint64
	Message uint32
	Index   uint16
}

// DeclaredHistory is what a device declares about earlier copies of a reading.
type DeclaredHistory struct {
	FirstCopy bool    // no copy was sent before
	NotBefore float64 // the reading was sent after this time, Unix milliseconds; 0 if not known
}

// maxClockDrift is the fraction by which a device's clock may run fast.
const maxClockDrift = 0.001

// SentAfter returns a time, in Unix milliseconds, before which a message cannot
// have been sent, if its sender received something that we wrote at the time
// mark and says that this was elapsed milliseconds ago by its own clock.
func SentAfter(mark, elapsed float64) float64 {
	return mark + max(elapsed, 0)*(1-maxClockDrift)
}

// Answer ends one copy of a reading.
type Answer struct {
	Status     Status
	RetryAfter float64 // milliseconds, for Rejected and Unknown
}

// Operation is the kind of a submission.
type Operation uint8

// The kinds of submission.
const (
	Write Operation = iota // record the reading under its idempotency key
	Check                  // read its row, seeing all that was written before
)

// Actions carries out what an Intake decides. Its methods are called from
// within the Intake's own and must not call back into it.
type Actions interface {
	// Submit sends a statement to a replica group; timeout is in milliseconds.
	// It is answered by one call of Served, Rejected or Failed with the same
	// submission, a number.
	Submit(id ID, submission uint64, operation Operation, reading *Reading, group int, timeout float64)
	// Answer answers one copy of a reading.
	Answer(to Origin, answer Answer)
	// Persist stores a reading and is answered by Persisted.
	Persist(reading *Reading)
	// Delete removes a recorded reading from the store.
	Delete(id ID)
	// Quarantine moves a reading aside in the store, because another value is
	// recorded under its ID.
	Quarantine(reading *Reading)
}

// Route is what the rules need to know of a route.
type Route struct {
	IdempotencyWindow float64 // milliseconds for which a shard drops a duplicate of a key
	Groups            []int   // the replica groups among which devices are distributed
}

// Stats counts events since the start; the last three are gauges.
type Stats struct {
	Offered       uint64 // copies of readings
	Recorded      uint64 // copies answered so
	FoundRecorded uint64 // checks that found the reading recorded
	Stored        uint64 // copies answered so
	Conflicts     uint64 // copies answered so, and stored readings moved aside
	Rejected      uint64 // copies answered so
	Unknown       uint64 // copies answered so
	Invalid       uint64 // copies answered so
	Duplicates    uint64 // copies answered from memory
	Coalesced     uint64 // copies of a reading in progress
	PastEpoch     uint64 // readings of an earlier epoch than the device's latest
	Evicted       uint64 // admitted readings rejected in favour of others
	Writes        uint64
	Checks        uint64
	WriteRetries  uint64 // writes that were not the reading's first

	InProgress int // readings
	Bytes      int // of the readings in progress, with overhead
	Devices    int // remembered
}
