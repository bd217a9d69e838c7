// Package intake holds the rules by which readings from devices are recorded
// exactly once. It has no I/O, no clock and no goroutines: every method is an
// event with its time in Unix milliseconds, and what must follow goes out
// through Actions. The same events give the same actions.
//
// The promise rests on one invariant. A shard drops a repeat of a key for
// KeyTTL from the moment at which it began the first. A write may therefore
// go out at time t only if every earlier execution of the same reading, by
// this router or any other, either began after t - KeyTTL, or would have been
// seen by a read that was sent before. entry.cover is the time up to which
// that is known to hold; past it, a read comes first.
package intake

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"

	"lotusbend/internal/edge/timers"
)

// Status is a final answer to one copy of a reading.
type Status uint8

// The final answers.
const (
	Recorded Status = iota // it is in the database, once
	Stored                 // it is on this router's lasting disk and will be recorded
	Conflict               // another value is recorded under its identity; nothing was written
	Refused                // it went nowhere; send it again after Wait
	Unknown                // it may have been recorded; send it again after Wait, marked as sent before
	Invalid                // it can never be recorded as it is
)

// String returns the status as one word.
func (s Status) String() string {
	words := [...]string{"recorded", "stored", "conflict", "refused", "unknown", "invalid"}
	if int(s) < len(words) {
		return words[s]
	}
	return "status " + strconv.Itoa(int(s))
}

// Done tells whether the reading needs no further copy.
func (s Status) Done() bool { return s == Recorded || s == Stored }

// Origin names who waits for an answer, in the caller's terms.
type Origin struct {
	Peer    uint64
	Message uint32
	Index   uint16
}

// Claim is what a copy of a reading says of its past.
type Claim struct {
	First     bool    // no copy of it was sent before
	NotBefore float64 // it was sent after this time, 0 if that is not known
}

// drift is how much faster than ours a device's clock may run.
const drift = 0.001

// Since returns a time before which a message cannot have been sent, whose
// sender says that it heard something of ours, written at mark, elapsed
// milliseconds ago by its own clock.
func Since(mark, elapsed float64) float64 { return mark + max(elapsed, 0)*(1-drift) }

// Answer ends one copy of a reading.
type Answer struct {
	Status Status
	Wait   float64 // milliseconds, of Refused and Unknown
}

// Work is what a submission asks for.
type Work uint8

// The kinds of submission.
const (
	Write Work = iota // record the reading under its key
	Check             // read its row with all that was written before
)

// Actions is what an Intake can do. Its methods are called from within the
// Intake's own and must not call back into it.
type Actions interface {
	Submit(id ID, n uint64, w Work, r *Reading, group int, wait float64) // ends in Served, Refused or Failed with n
	Answer(to Origin, a Answer)
	Persist(r *Reading)  // ends in Persisted
	Forget(id ID)        // it is recorded
	Quarantine(*Reading) // it is kept aside: another value is recorded under its identity
}

// Route is what the rules need to know of a route.
type Route struct {
	KeyTTL float64 // milliseconds for which a shard drops a repeat of a key
	Groups []int
}

// Config bounds what an Intake holds and says how long things take. Times are
// in milliseconds.
type Config struct {
	// TrustFirst believes a device that says it never sent a reading before, so
	// that a check is saved. Without it every reading is checked first.
	TrustFirst   bool
	Durable      bool // readings are stored first, and acknowledged then
	MaxReadings  int  // under way together
	MaxBytes     int  // of their values, with overhead
	PerDevice    int
	PerNetwork   int
	MaxDevices   int // remembered
	Recent       int // finished readings remembered for each device
	Waiters      int // copies of one reading that wait for its answer
	MaxWindow    int // submissions out together to one group
	WriteWait    float64
	CheckWait    float64
	MayRun       float64 // how long past its deadline, or out of sight, an attempt may go on
	Margin       float64 // for clocks that disagree and answers on their way
	AnswerWithin float64
	RetryMin     float64
	RetryMax     float64
	Ramp         float64 // in which a group's window opens after an outage
}

// Defaults suit a small router.
func Defaults() Config {
	return Config{
		TrustFirst: true, MaxReadings: 20000, MaxBytes: 16 << 20, PerDevice: 64, PerNetwork: 5000, MaxDevices: 50000, Recent: 32,
		Waiters: 4, MaxWindow: 32, WriteWait: 1200, CheckWait: 1200, MayRun: 3000, Margin: 200,
		AnswerWithin: 20000, RetryMin: 500, RetryMax: 30000, Ramp: 10000,
	}
}

// minWrite is the shortest wait that a write is worth, in milliseconds.
const minWrite = 250

// Stats counts what happened since the start.
type Stats struct {
	Offered, Recorded, Proven, Stored, Conflicts, Refused, Unknown, Invalid uint64
	Replayed, Joined, Ancient, Evicted, Writes, Checks, Rewrites            uint64
	Open, Bytes, Devices                                                    int
}

// Intake is the rules' state.
type Intake struct {
	cfg      Config
	routes   []Route
	act      Actions
	rand     *rand.Rand
	devices  map[string]*device
	idle     lru // devices without readings, the longest idle first
	holders  holders
	networks map[netip.Prefix]int
	groups   map[int]*group
	order    []*group // by first use, so that nothing hangs on a map's order
	timers   timers.Heap
	out      map[uint64]*entry // by the number of their submission
	next     uint64
	open     int
	bytes    int
	rate     rate // of readings that end
	returnAt float64
	stats    Stats
}

// New returns an empty Intake. An error tells what in the settings makes the
// promise impossible.
func New(cfg Config, routes []Route, seed uint64, act Actions) (*Intake, error) {
	for i, r := range routes {
		if need := cfg.MayRun + cfg.Margin + minWrite; r.KeyTTL <= need {
			return nil, fmt.Errorf("route %d: its class drops repeats for %g ms; with may_run_ms and clock_margin_ms over %g ms are needed",
				i+1, r.KeyTTL, need)
		}
		if len(r.Groups) == 0 {
			return nil, fmt.Errorf("route %d has no groups", i+1)
		}
	}
	return &Intake{
		cfg: cfg, routes: routes, act: act, rand: rand.New(rand.NewPCG(seed, 0x1a7a4e)),
		devices: map[string]*device{}, networks: map[netip.Prefix]int{}, groups: map[int]*group{},
		out: map[uint64]*entry{},
	}, nil
}

// Stats returns the counts.
func (in *Intake) Stats() Stats {
	s := in.stats
	s.Open, s.Bytes, s.Devices = in.open, in.bytes, len(in.devices)
	return s
}

// Next returns when Tick is due, if it is.
func (in *Intake) Next() (float64, bool) { return in.timers.Next() }

// Tick does what is due.
func (in *Intake) Tick(now float64) { in.timers.Tick(now) }

// Offer takes one copy of a reading from a device in a network.
func (in *Intake) Offer(now float64, r Reading, c Claim, from Origin, network netip.Prefix) {
	in.stats.Offered++
	if !r.valid(len(in.routes)) {
		in.answer(from, Answer{Status: Invalid})
		return
	}
	d := in.device(r.Device)
	if d == nil { // every remembered device has readings under way
		in.refuse(now, from)
		return
	}
	sum := digest(r.Value)
	if e := d.open[r.number()]; e != nil {
		in.join(now, e, sum, from)
		return
	}
	if known, ok := d.recall(r.number()); ok {
		if known != sum {
			in.answer(from, Answer{Status: Conflict})
		} else {
			in.stats.Replayed++
			in.answer(from, Answer{Status: Recorded})
		}
		in.settle(d)
		return
	}
	e := &entry{Reading: r, digest: sum, device: d, network: network, since: now}
	if r.Epoch < d.epoch {
		in.stats.Ancient++
	}
	d.begin(r.Epoch)
	if in.cfg.TrustFirst && c.First && c.NotBefore > 0 && d.trusts(r.number()) {
		e.cover = min(c.NotBefore, now) + in.routes[r.Route].KeyTTL
	}
	if !in.admit(now, e) {
		in.settle(d)
		in.refuse(now, from)
		return
	}
	e.waiters = []Origin{from}
	in.hold(now, e)
	if in.cfg.Durable {
		e.phase = storing
		in.act.Persist(&e.Reading)
		return
	}
	in.enqueue(e)
	in.pump(now, e.group)
}

// Recover takes a reading that the store held at the start. Whether it was
// sent before is not known.
func (in *Intake) Recover(now float64, r Reading) {
	d := in.device(r.Device)
	if d == nil {
		d = in.newDevice(r.Device) // what is stored was promised: the bound holds for new devices only
	}
	d.begin(r.Epoch)
	e := &entry{Reading: r, digest: digest(r.Value), device: d, since: now, stored: true}
	in.hold(now, e)
	in.enqueue(e)
	in.pump(now, e.group)
}

// Known returns which readings of a device's epoch are surely recorded, in
// order, as far as this router remembers.
func (in *Intake) Known(device string, epoch uint64) []uint64 {
	d := in.devices[device]
	if d == nil {
		return nil
	}
	var seqs []uint64
	for _, f := range d.recent {
		if f.epoch == epoch {
			seqs = append(seqs, f.seq)
		}
	}
	slices.Sort(seqs)
	return seqs
}
