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
	Seq    uint64
}

// MaxDevice is how long a device's name may be, and MaxValue a value.
const (
	MaxDevice = 64
	MaxValue  = 32 << 10
)

// Reading is one reading as a device sent it.
type Reading struct {
	ID
	Route  int
	Value  []byte
	Urgent bool
}

func (r *Reading) valid(routes int) bool {
	return len(r.Device) > 0 && len(r.Device) <= MaxDevice && len(r.Value) > 0 && len(r.Value) <= MaxValue &&
		r.Route >= 0 && r.Route < routes
}

// Row returns the id of the reading's row, and Key its idempotency key: 128
// bits of SHA-256, so that no device can choose a name that meets another's.
// Every router and every restart gives the same.
func (id ID) Row() string { return id.hash("row") }

// Key returns the reading's idempotency key.
func (id ID) Key() string { return id.hash("key") }

func (id ID) hash(kind string) string {
	b := make([]byte, 0, 128)
	b = append(append(b, kind...), 0)
	b = binary.BigEndian.AppendUint64(b, id.Epoch)
	b = binary.BigEndian.AppendUint64(b, id.Seq)
	sum := sha256.Sum256(append(b, id.Device...)) // the name comes last: it has no fixed length
	return hex.EncodeToString(sum[:16])
}

// number is an ID within its device.
type number struct{ epoch, seq uint64 }

func (id ID) number() number { return number{id.Epoch, id.Seq} }

// digest tells values apart.
func digest(value []byte) uint64 {
	sum := sha256.Sum256(value)
	return binary.BigEndian.Uint64(sum[:])
}

// group draws a device's group, the same at every router.
func (r *Route) group(device string) int { return GroupOf(r.Groups, device) }

// GroupOf draws one of several groups by a name.
func GroupOf(groups []int, name string) int {
	return groups[xxhash.Sum64String(name)%uint64(len(groups))]
}

type phase uint8

const (
	queued   phase = iota // waits for its turn
	again                 // its rest is over: it goes before others
	storing               // on its way to the disk
	writing               // a write is out
	checking              // a read is out
	resting               // until wake
)

// entryCost is what an entry takes in memory beside its value, in bytes.
const entryCost = 512

// entry is a reading under way.
type entry struct {
	Reading
	digest  uint64
	device  *device
	network netip.Prefix
	group   *group
	line    *line
	waiters []Origin
	phase   phase
	stored  bool          // on the disk
	over    bool          // off the books
	cover   float64       // until then a write cannot run twice; 0: a read must come first
	sent    bool          // a write of ours may have run
	deadAt  float64       // when no attempt of ours can be running any more
	number  uint64        // of the submission that is out
	asked   float64       // when it went out
	until   float64       // its deadline
	tries   int           // without an answer that helped
	since   float64       // when it came
	wake    *timers.Timer // of resting
	answer  *timers.Timer // of the latest time for its answer
}

func (e *entry) cost() int { return len(e.Value) + len(e.Device) + entryCost }
