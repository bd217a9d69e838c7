package intake

import "strconv"

// Status is the final answer to one copy of a reading. Devices receive its
// numeric values, so their order is part of the protocol.
type Status uint8

// The final answers to a copy of a reading.
const (
	Recorded Status = iota // the reading is in the database, exactly once
	Stored                 // the reading is on this router's disk and will be recorded
	Conflict               // another value is recorded under the reading's ID; nothing was written
	Rejected               // the reading was not submitted; retry after RetryAfter
	Unknown                // the reading may have been recorded; retry after RetryAfter, marked as a retry
	Invalid                // the reading is malformed; a retry cannot succeed
)

// String returns the status as one word, which MQTT devices also receive. A
// value that is no known status becomes "status N".
func (s Status) String() string {
	words := [...]string{"recorded", "stored", "conflict", "refused", "unknown", "invalid"}
	if int(s) < len(words) {
		return words[s]
	}
	return "status " + strconv.Itoa(int(s))
}

// Done reports whether the reading is acknowledged, so that the device need not
// send it again.
func (s Status) Done() bool { return s == Recorded || s == Stored }

// Origin identifies one copy of a reading, so that its answer reaches the
// sender. The caller of Offer assigns the numbers; Intake only hands them back.
type Origin struct {
	Peer    uint64 // the sender, or the message itself
	Message uint32 // the message of the sender; 0 if Peer identifies it
	Index   uint16 // the reading within the message
}

// DeclaredHistory is what a device declares about earlier copies of a reading.
type DeclaredHistory struct {
	FirstCopy bool    // no copy was sent before, to any router
	NotBefore float64 // earliest time at which the reading was sent, in Unix milliseconds; 0 if unknown
}

// maxClockDriftRatio is the fraction by which a device's clock may run fast.
const maxClockDriftRatio = 0.001

// SentAfter returns the earliest time, in Unix milliseconds, at which a device
// can have sent a message. The device received something that this router wrote
// at the time mark, and declares that this was elapsed milliseconds ago by its
// own clock, which may run fast by maxClockDriftRatio. A negative elapsed counts
// as 0.
func SentAfter(mark, elapsed float64) float64 {
	return mark + max(elapsed, 0)*(1-maxClockDriftRatio)
}

// Answer is the final answer to one copy of a reading.
type Answer struct {
	Status     Status
	RetryAfter float64 // in milliseconds, for Rejected and Unknown; otherwise 0
}

// Operation is the kind of a submission.
type Operation uint8

// The kinds of submission.
const (
	Write Operation = iota // record the reading under its idempotency key
	Check                  // read the reading's row; the result includes every earlier write
)

// Actions carries out what an Intake decides. Its methods are called from
// within the Intake's methods and must not call back into the Intake.
type Actions interface {
	// Submit sends a statement to a replica group; timeout is in milliseconds.
	// The caller reports its end with exactly one call of Served, Rejected or
	// Failed that has the same submission number.
	Submit(id ID, submission uint64, operation Operation, reading *Reading, group int, timeout float64)
	// Answer sends the final answer to one copy of a reading.
	Answer(to Origin, answer Answer)
	// Persist stores a reading on disk. The caller reports the result with
	// Persisted.
	Persist(reading *Reading)
	// Delete removes a recorded reading from the store.
	Delete(id ID)
	// Quarantine moves a reading to the conflicts in the store, because another
	// value is recorded under its ID.
	Quarantine(reading *Reading)
}

// Route is the part of a route's configuration that an Intake needs.
type Route struct {
	IdempotencyWindow float64 // how long a shard drops duplicates of an idempotency key, in milliseconds
	Groups            []int   // the replica groups among which devices are distributed
}

// Stats counts events since the start; the last three fields are gauges.
type Stats struct {
	Offered       uint64 // copies of readings received
	Recorded      uint64 // copies answered Recorded
	FoundRecorded uint64 // checks that found the reading recorded
	Stored        uint64 // copies answered Stored
	Conflicts     uint64 // copies answered Conflict, and stored readings that were quarantined
	Rejected      uint64 // copies answered Rejected
	Unknown       uint64 // copies answered Unknown
	Invalid       uint64 // copies answered Invalid
	Duplicates    uint64 // copies answered Recorded from the recorded readings in memory
	Coalesced     uint64 // further copies of a reading in progress, with the same value
	PastEpoch     uint64 // readings of an earlier epoch than the device's latest
	Evicted       uint64 // admitted readings that were rejected in favour of others
	Writes        uint64 // write submissions
	Checks        uint64 // check submissions
	WriteRetries  uint64 // writes that were not the reading's first

	InProgress int // readings in progress
	Bytes      int // memory of the readings in progress, in bytes with overhead
	Devices    int // devices in memory
}
