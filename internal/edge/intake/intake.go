// Package intake records readings from devices exactly once. It admits readings,
// queues them, detects duplicates, submits writes and checks to the database,
// retries these, and tells rejected devices when to retry.
//
// The package has no I/O, no clock and no goroutines: every method is an event
// with its time in Unix milliseconds, and its effects go out through Actions.
// The same events with the same seed give the same actions. An Intake is not
// safe for concurrent use.
//
// Exactly-once recording rests on one invariant. A shard drops duplicates of an
// idempotency key for Route.IdempotencyWindow from the start of the first
// execution. A write may therefore be sent at time t only if every earlier
// execution of the same reading, by this router or any other, either began after
// t - IdempotencyWindow, or would have been seen by a check that was sent before
// the write. trackedReading.safeUntil is the time up to which this is known to
// hold; after it, the reading is checked first.
package intake

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"lotusbend/internal/edge/timers"
)

// seedStream is the second half of the random generator's seed.
const seedStream = 0x1a7a4e

// Intake tracks the readings in progress, the known devices and the rate limit
// of each replica group.
type Intake struct {
	cfg         Config
	routes      []Route
	actions     Actions
	rand        *rand.Rand
	devices     map[string]*trackedDevice
	idleDevices lruList               // devices without readings in progress, least recently used first
	evictable   evictionHeap          // devices with readings that may be evicted
	networks    map[netip.Prefix]int  // readings in progress by network
	groups      map[int]*replicaGroup // by number
	timers      timers.Heap

	submissions    map[uint64]*trackedReading // in flight, by number
	lastSubmission uint64                     // number of the latest submission

	inProgress  int     // number of readings in progress
	bytes       int     // memory of the readings in progress, with overhead
	completions rate    // readings whose recorded value became known
	nextRetryAt float64 // latest retry time that retryAfter assigned, in Unix milliseconds
	stats       Stats
}

// New returns an Intake without readings. seed determines its random backoffs
// and retry times. It returns an error that names the route if a route's
// idempotency window is too short for recording exactly once, or if a route has
// no groups.
func New(cfg Config, routes []Route, seed uint64, actions Actions) (*Intake, error) {
	if err := validateRoutes(&cfg, routes); err != nil {
		return nil, err
	}
	return &Intake{
		cfg:         cfg,
		routes:      routes,
		actions:     actions,
		rand:        rand.New(rand.NewPCG(seed, seedStream)),
		devices:     map[string]*trackedDevice{},
		networks:    map[netip.Prefix]int{},
		groups:      map[int]*replicaGroup{},
		submissions: map[uint64]*trackedReading{},
	}, nil
}

// validateRoutes checks that every route has a replica group, and an idempotency
// window that leaves time for a write after a check that is answered at once.
func validateRoutes(cfg *Config, routes []Route) error {
	minWindowMs := cfg.MaxOverrun + cfg.ClockMargin + minWriteTimeoutMs
	for i, route := range routes {
		if route.IdempotencyWindow <= minWindowMs {
			return fmt.Errorf("route %d: its class has an idempotency window of %g ms; "+
				"with may_run_ms and clock_margin_ms it must be longer than %g ms",
				i+1, route.IdempotencyWindow, minWindowMs)
		}
		if len(route.Groups) == 0 {
			return fmt.Errorf("route %d has no replica groups", i+1)
		}
	}
	return nil
}

// Stats returns the counters since the start and the current gauges.
func (in *Intake) Stats() Stats {
	stats := in.stats
	stats.InProgress = in.inProgress
	stats.Bytes = in.bytes
	stats.Devices = len(in.devices)
	return stats
}

// Next returns when the next Tick is due, in Unix milliseconds, and false if no
// timer is set.
func (in *Intake) Next() (float64, bool) { return in.timers.Next() }

// Tick runs the timers that are due at now.
func (in *Intake) Tick(now float64) { in.timers.Tick(now) }

// Offer handles one copy of a reading that a device in a network sent; an
// invalid prefix means that no limit per network applies. Exactly one call of
// Actions.Answer answers the copy, before Offer returns or later.
func (in *Intake) Offer(
	now float64, received Reading, declared DeclaredHistory, from Origin, network netip.Prefix,
) {
	in.stats.Offered++
	if !received.valid(len(in.routes)) {
		in.answer(from, Answer{Status: Invalid})
		return
	}
	device := in.device(received.Device)
	if device == nil { // every remembered device has readings in progress
		in.reject(now, from)
		return
	}
	sum := valueDigest(received.Value)
	if reading := device.inProgress[received.local()]; reading != nil {
		in.coalesce(now, reading, sum, from)
		return
	}
	if recorded, ok := device.recordedDigest(received.local()); ok {
		in.answerDuplicate(sum == recorded, from)
		in.markIdle(device)
		return
	}
	reading := &trackedReading{
		Reading:   received,
		digest:    sum,
		device:    device,
		network:   network,
		arrivedAt: now,
	}
	if received.Epoch < device.epoch {
		in.stats.PastEpoch++
	}
	device.advanceEpoch(received.Epoch)
	if in.writesWithoutCheck(reading, declared) {
		reading.safeUntil = min(declared.NotBefore, now) + in.routes[received.Route].IdempotencyWindow
	}
	if !in.admit(now, reading) {
		in.markIdle(device)
		in.reject(now, from)
		return
	}
	reading.waiters = []Origin{from}
	in.register(now, reading)
	if in.cfg.Durable {
		reading.phase = storing
		in.actions.Persist(&reading.Reading)
		return
	}
	in.enqueue(reading)
	in.dispatch(now, reading.group)
}

// answerDuplicate answers a copy of a reading that is known to be recorded:
// Recorded if it has the recorded value, else Conflict.
func (in *Intake) answerDuplicate(sameValue bool, from Origin) {
	if !sameValue {
		in.answer(from, Answer{Status: Conflict})
		return
	}
	in.stats.Duplicates++
	in.answer(from, Answer{Status: Recorded})
}

// writesWithoutCheck reports whether a new reading may be written without a
// check, because its device declares that this is the first copy and the
// declaration is trusted.
func (in *Intake) writesWithoutCheck(reading *trackedReading, declared DeclaredHistory) bool {
	return in.cfg.TrustFirstCopies && declared.FirstCopy && declared.NotBefore > 0 &&
		reading.device.trustsFirstCopy(reading.local())
}

// Recover resumes a reading that the store contained at startup. It is checked
// first, because it may have been submitted before the restart.
func (in *Intake) Recover(now float64, received Reading) {
	device := in.device(received.Device)
	if device == nil {
		// A stored reading was acknowledged and must be recorded, so MaxDevices
		// does not apply to its device.
		device = in.newDevice(received.Device)
	}
	device.advanceEpoch(received.Epoch)
	reading := &trackedReading{
		Reading:   received,
		digest:    valueDigest(received.Value),
		device:    device,
		arrivedAt: now,
		stored:    true,
	}
	in.register(now, reading)
	in.enqueue(reading)
	in.dispatch(now, reading.group)
}

// RecordedSequences returns the sequence numbers of the named device's epoch that
// this router knows to be recorded, in ascending order. At most Config.MaxRecent
// are known of a device; nil means none.
func (in *Intake) RecordedSequences(name string, epoch uint64) []uint64 {
	device := in.devices[name]
	if device == nil {
		return nil
	}
	var sequences []uint64
	for _, recorded := range device.recent {
		if recorded.epoch == epoch {
			sequences = append(sequences, recorded.seq)
		}
	}
	slices.Sort(sequences)
	return sequences
}
