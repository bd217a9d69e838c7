package intake

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"lotusbend/internal/edge/timers"
)

// ID identifies a reading. It is the same for every copy of the reading, at any
// router.
type ID struct {
	Device string // name of the device, 1 to MaxDeviceNameBytes bytes
	Epoch  uint64 // increased by the device whenever it lost its sequence counter
	Seq    uint64 // sequence number within the epoch
}

// The limits on a reading. Longer ones are answered Invalid.
const (
	MaxDeviceNameBytes = 64
	MaxValueBytes      = 32 << 10
)

// Reading is one reading as a device sent it.
type Reading struct {
	ID
	Route  int    // index in the routes given to New
	Value  []byte // 1 to MaxValueBytes bytes
	Urgent bool   // submitted before routine readings
}

// valid reports whether the reading is within its limits and its Route is one of
// the given number of routes.
func (reading *Reading) valid(routes int) bool {
	validDevice := len(reading.Device) > 0 && len(reading.Device) <= MaxDeviceNameBytes
	validValue := len(reading.Value) > 0 && len(reading.Value) <= MaxValueBytes
	return validDevice && validValue && reading.Route >= 0 && reading.Route < routes
}

// Row returns the id of the reading's database row, 32 hexadecimal digits. Every
// router derives the same id, also after a restart. It is 128 bits of SHA-256,
// so that no device can choose a name whose rows collide with another's.
func (id ID) Row() string { return id.hash("row") }

// Key returns the reading's idempotency key, 32 hexadecimal digits. It is
// derived like Row, but differs from it.
func (id ID) Key() string { return id.hash("key") }

// hash derives 32 hexadecimal digits from the ID; different purposes give
// different digits. Every router and release must derive the same ones.
func (id ID) hash(purpose string) string {
	b := make([]byte, 0, 128)
	b = append(b, purpose...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, id.Epoch)
	b = binary.BigEndian.AppendUint64(b, id.Seq)
	b = append(b, id.Device...) // last, because only its length varies
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// localID identifies a reading among those of its device.
type localID struct {
	epoch uint64
	seq   uint64
}

func (id ID) local() localID { return localID{epoch: id.Epoch, seq: id.Seq} }

// valueDigest returns 64 bits of a value's SHA-256, by which values are compared.
func valueDigest(value []byte) uint64 {
	sum := sha256.Sum256(value)
	return binary.BigEndian.Uint64(sum[:])
}

// group returns the number of a device's replica group, the same at every
// router.
func (r *Route) group(device string) int { return GroupOf(r.Groups, device) }

// GroupOf returns one of groups, chosen by the hash of name. groups must not be
// empty.
func GroupOf(groups []int, name string) int {
	return groups[xxhash.Sum64String(name)%uint64(len(groups))]
}

// phase is the state of a reading in progress.
type phase uint8

const (
	queued     phase = iota // in its device's queue
	retryReady              // its backoff is over; it precedes the queued readings
	storing                 // being written to the store
	writing                 // a write is in flight
	checking                // a check is in flight
	backingOff              // waiting for retryTimer
)

// readingOverheadBytes is the memory of a reading in progress, apart from its
// value and its device's name.
const readingOverheadBytes = 512

// trackedReading is a reading in progress. Times are Unix milliseconds.
type trackedReading struct {
	Reading
	digest    uint64 // digest of the value
	device    *trackedDevice
	network   netip.Prefix // the sender's; invalid if not known
	group     *replicaGroup
	queue     *deviceQueue
	waiters   []Origin // copies that are not answered yet
	phase     phase
	stored    bool // the reading is on disk
	removed   bool // the reading is no longer in progress
	arrivedAt float64

	safeUntil     float64 // a write that ends before this cannot record the reading twice; 0: check first
	writeSent     bool    // this router sent a write, which may have run
	attemptsEndBy float64 // after this no attempt of this router can be running
	failures      int     // submissions rejected or failed since a check last found no row

	submission  uint64 // number of the submission in flight
	submittedAt float64
	deadline    float64 // of the submission in flight

	retryTimer  *timers.Timer // set while backingOff
	answerTimer *timers.Timer // answers the waiters at the answer timeout; nil if not set
}

// memoryBytes returns how much of Config.MaxBytes the reading uses.
func (reading *trackedReading) memoryBytes() int {
	return len(reading.Value) + len(reading.Device) + readingOverheadBytes
}

// abandoned reports whether the reading need not be recorded by this router: it
// is not stored and no copy waits for an answer, so the device will send it
// again.
func (reading *trackedReading) abandoned() bool { return len(reading.waiters) == 0 && !reading.stored }

// evictable reports whether the reading may be rejected although it was
// admitted: it is routine, queued, not stored and was never submitted.
func (reading *trackedReading) evictable() bool {
	if reading.phase != queued || reading.Urgent || reading.stored {
		return false
	}
	return !reading.writeSent && reading.failures == 0
}
