package intake

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"lotusbend/internal/edge/timers"
)

// ID names a reading wherever and however often it is sent.
type ID struct {
	Device string
	Epoch  uint64 // of the device's counter: a larger one after each restart that lost it
	Seq    uint64 // sequence number within the epoch
}

// The longest name of a device and the largest value, in bytes.
const (
	MaxDeviceNameBytes = 64
	MaxValueBytes      = 32 << 10
)

// Reading is one reading as a device sent it.
type Reading struct {
	ID
	Route  int // index in the routes given to New
	Value  []byte
	Urgent bool
}

func (reading *Reading) valid(routes int) bool {
	validDevice := len(reading.Device) > 0 && len(reading.Device) <= MaxDeviceNameBytes
	validValue := len(reading.Value) > 0 && len(reading.Value) <= MaxValueBytes
	return validDevice && validValue && reading.Route >= 0 && reading.Route < routes
}

// Row returns the id of the reading's row, 32 hexadecimal digits. Every router
// derives the same one, also after a restart. It is 128 bits of SHA-256, so
// that no device can choose a name that collides with another's.
func (id ID) Row() string { return id.hash("row") }

// Key returns the reading's idempotency key, derived as Row is.
func (id ID) Key() string { return id.hash("key") }

func (id ID) hash(purpose string) string {
	b := make([]byte, 0, 128)
	b = append(b, purpose...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, id.Epoch)
	b = binary.BigEndian.AppendUint64(b, id.Seq)
	b = append(b, id.Device...) // last, because it has no fixed length
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// localID is an ID within its device.
type localID struct {
	epoch uint64
	seq   uint64
}

func (id ID) local() localID { return localID{epoch: id.Epoch, seq: id.Seq} }

// valueDigest distinguishes values.
func valueDigest(value []byte) uint64 {
	sum := sha256.Sum256(value)
	return binary.BigEndian.Uint64(sum[:])
}

// group returns a device's replica group, the same at every router.
func (r *Route) group(device string) int { return GroupOf(r.Groups, device) }

// GroupOf returns one of several groups, by the hash of a name.
func GroupOf(groups []int, name string) int {
	return groups[xxhash.Sum64String(name)%uint64(len(groups))]
}

type readingPhase uint8

const (
	queued     readingPhase = iota // in its device's queue
	retryReady                     // its backoff is over: it goes before queued ones
	storing                        // on its way to the disk
	writing                        // a write is in flight
	checking                       // a check is in flight
	backingOff                     // until retryTimer
)

// readingOverheadBytes is the memory of an entry beside its value and name, in bytes.
const readingOverheadBytes = 512

// entry is a reading in progress. Times are Unix milliseconds.
type trackedReading struct {
	Reading
	digest    uint64 // of the value
	device    *trackedDevice
	network   netip.Prefix
	group     *replicaGroup
	queue     *deviceQueue
	waiters   []Origin // copies that are not answered yet
	phase     readingPhase
	stored    bool // on the disk
	removed   bool
	arrivedAt float64

	safeUntil     float64 // until then a write cannot run twice; 0: a check must come first
	writeSent     bool    // a write of ours may have run
	attemptsEndBy float64 // when no attempt of ours can be running any more
	failures      int     // submissions rejected or failed since the last useful answer

	submission  uint64 // number of the one in flight
	submittedAt float64
	deadline    float64 // of the submission

	retryTimer  *timers.Timer // while backingOff
	answerTimer *timers.Timer // for the waiters
}

// memoryBytes is the entry's part of MaxBytes, in bytes.
func (reading *trackedReading) memoryBytes() int {
	return len(reading.Value) + len(reading.Device) + readingOverheadBytes
}

// abandoned reports whether nobody depends on the entry: no copy waits, so that
// the device will send it again, and it is not stored.
func (reading *trackedReading) abandoned() bool { return len(reading.waiters) == 0 && !reading.stored }

// evictable reports whether a reading may be rejected although it was admitted.
func (reading *trackedReading) evictable() bool {
	if reading.phase != queued || reading.Urgent || reading.stored {
		return false
	}
	return !reading.writeSent && reading.failures == 0
}
