package intake_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/edge/intake"
)

// update rewrites the golden file. Its values may change only with a deliberate
// change of behaviour, never with a renaming or a refactoring.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; its values may change only with a deliberate change of behaviour")

const goldenFile = "testdata/characterization.txt"

// scenario is a seeded stream of random events for one router.
type scenario struct {
	name     string
	seed     uint64
	events   int                  // number of events
	devices  int                  // number of devices that send readings
	urgent   float64              // fraction of the readings that are urgent
	maxValue int                  // largest size of a value, in bytes
	offers   float64              // fraction of the events that offer a reading
	config   func(*intake.Config) // adapts the default configuration, unless nil
	restart  func(*intake.Config) // changes the configuration at every restart, unless nil
	routes   []intake.Route
}

var (
	oneRoute  = []intake.Route{{IdempotencyWindow: 5000, Groups: []int{1}}}
	twoRoutes = []intake.Route{
		{IdempotencyWindow: 5000, Groups: []int{1, 2}},
		{IdempotencyWindow: 60000, Groups: []int{3, 4, 5}},
	}
)

var scenarios = []scenario{
	{name: "defaults", seed: 1, events: 6000, devices: 30, urgent: 0.2, maxValue: 20, offers: 0.25, routes: twoRoutes},
	{name: "few-devices", seed: 2, events: 6000, devices: 3, urgent: 0.1, maxValue: 20, offers: 0.25, routes: oneRoute,
		config: func(c *intake.Config) { c.MaxRecent = 4; c.MaxWindow = 3 }},
	{name: "crowded", seed: 3, events: 6000, devices: 12, urgent: 0.3, maxValue: 20, offers: 0.5, routes: oneRoute,
		config: smallConfig},
	{name: "many-devices", seed: 4, events: 6000, devices: 40, urgent: 0.1, maxValue: 20, offers: 0.4, routes: twoRoutes,
		config: func(c *intake.Config) { smallConfig(c); c.MaxReadings = 100 }},
	{name: "short-of-bytes", seed: 5, events: 6000, devices: 12, urgent: 0.2, maxValue: 2000, offers: 0.5, routes: twoRoutes,
		config: func(c *intake.Config) { c.MaxBytes = 20000 }},
	{name: "short-of-networks", seed: 6, events: 6000, devices: 12, urgent: 0.2, maxValue: 20, offers: 0.5, routes: twoRoutes,
		config: func(c *intake.Config) { c.MaxPerNetwork = 5 }},
	{name: "without-trust", seed: 7, events: 6000, devices: 10, urgent: 0.2, maxValue: 20, offers: 0.3, routes: twoRoutes,
		config: func(c *intake.Config) { smallConfig(c); c.TrustFirstCopies = false }},
	{name: "durable", seed: 8, events: 6000, devices: 10, urgent: 0.2, maxValue: 20, offers: 0.25, routes: twoRoutes,
		config: func(c *intake.Config) { c.Durable = true }},
	{name: "durable-crowded", seed: 9, events: 6000, devices: 12, urgent: 0.3, maxValue: 20, offers: 0.4, routes: oneRoute,
		config: func(c *intake.Config) { smallConfig(c); c.Durable = true }},
	{name: "durable-fewer-devices", seed: 12, events: 6000, devices: 12, urgent: 0.3, maxValue: 20, offers: 0.3,
		routes:  twoRoutes,
		config:  func(c *intake.Config) { c.Durable = true },
		restart: func(c *intake.Config) { c.MaxDevices = 3 }},
	{name: "wide-window", seed: 10, events: 8000, devices: 50, urgent: 0.2, maxValue: 20, offers: 0.4, routes: oneRoute,
		config: func(c *intake.Config) { c.MaxWindow = 12; c.RecoveryRamp = 2000; c.AnswerTimeout = 60000 }},
	{name: "long-keys", seed: 13, events: 6000, devices: 10, urgent: 0.2, maxValue: 20, offers: 0.25,
		routes: []intake.Route{{IdempotencyWindow: 1e9, Groups: []int{1}}}},
	{name: "short-answers", seed: 11, events: 6000, devices: 10, urgent: 0.2, maxValue: 20, offers: 0.3, routes: twoRoutes,
		config: func(c *intake.Config) { smallConfig(c); c.AnswerTimeout = 700; c.MaxWaiters = 2 }},
}

// smallConfig lowers the limits so that readings often reach them.
func smallConfig(c *intake.Config) {
	c.MaxReadings, c.MaxPerDevice, c.MaxDevices, c.MaxRecent, c.MaxWindow = 12, 8, 6, 4, 3
	c.MaxRetryAfter, c.AnswerTimeout = 3000, 9000
}

// TestCharacterization replays seeded event streams and compares a digest of the
// resulting actions with the golden file. The digest covers only numbers and
// bytes, so that renaming does not change it. The golden file was written on
// amd64: on other architectures Go may fuse floating-point operations, which can
// change the last bits of results.
func TestCharacterization(t *testing.T) {
	digests := map[string]string{
		"settings":   settingsDigest(),
		"start":      startDigest(),
		"identities": identitiesDigest(),
	}
	for _, s := range scenarios {
		digests["stream/"+s.name] = s.replay(t)
	}
	compareWithGolden(t, digests)
}

// settingsDigest covers the default configuration, the exported constants,
// Status.Done and SentAfter.
func settingsDigest() string {
	d := newDigest()
	c := intake.Defaults()
	d.bool(c.TrustFirstCopies)
	d.bool(c.Durable)
	for _, v := range []int{
		c.MaxReadings, c.MaxBytes, c.MaxPerDevice, c.MaxPerNetwork, c.MaxDevices, c.MaxRecent, c.MaxWaiters, c.MaxWindow,
	} {
		d.int(v)
	}
	for _, v := range []float64{
		c.WriteTimeout, c.CheckTimeout, c.MaxOverrun, c.ClockMargin, c.AnswerTimeout, c.MinRetryAfter, c.MaxRetryAfter,
		c.RecoveryRamp,
	} {
		d.float(v)
	}
	d.int(intake.MaxDeviceNameBytes)
	d.int(intake.MaxValueBytes)
	for status := range 8 {
		d.bool(intake.Status(status).Done())
	}
	for _, elapsed := range []float64{-1, 0, 1, 1000, 1e9} {
		d.float(intake.SentAfter(1e6, elapsed))
	}
	return d.sum()
}

// startDigest covers which routes New rejects.
func startDigest() string {
	d := newDigest()
	for _, windowMs := range []float64{0, 3400, 3449, 3450, math.Nextafter(3450, 4000), 5000} {
		for _, groups := range [][]int{nil, {1}} {
			routes := []intake.Route{oneRoute[0], {IdempotencyWindow: windowMs, Groups: groups}}
			_, err := intake.New(intake.Defaults(), routes, 1, nil)
			d.bool(err != nil)
		}
	}
	return d.sum()
}

// identitiesDigest covers the rows, keys and groups that are derived from IDs.
// Every router and every release must derive the same ones.
func identitiesDigest() string {
	random := rand.New(rand.NewPCG(1, 1))
	d := newDigest()
	for n := range 500 {
		id := intake.ID{Device: strings.Repeat("meter", n%4) + fmt.Sprint(n%50), Epoch: random.Uint64(), Seq: uint64(n)}
		d.bytes([]byte(id.Row()))
		d.bytes([]byte(id.Key()))
		d.int(intake.GroupOf([]int{4, 9, 2}[:1+n%3], id.Device))
	}
	return d.sum()
}

// mode is how the endpoints answer submissions for a while.
type mode uint8

const (
	healthy   mode = iota // few submissions fail
	outage                // every submission fails
	rejecting             // half of the submissions are rejected
	modeCount
)

// submission is a submission in flight.
type submission struct {
	number    uint64
	id        intake.ID
	operation intake.Operation
	value     []byte  // of the reading
	deadline  float64 // Unix milliseconds
}

// router drives an Intake with random events and models what surrounds it: a
// database, a disk and devices. It implements intake.Actions. Its behaviour does
// not depend on the order of a map.
type router struct {
	scenario
	t            *testing.T
	random       *rand.Rand
	digest       digest
	intake       *intake.Intake
	settings     intake.Config
	incarnations uint64  // number of starts
	now          float64 // Unix milliseconds
	mode         mode

	inFlight []submission
	storing  []intake.Reading // being written to the disk
	disk     []intake.Reading
	rows     map[intake.ID][]byte // recorded values
	ended    uint64               // number of the last submission that ended
	sent     []intake.Reading     // all valid readings so far
	epochs   []uint64             // epoch by device
	nextSeqs []uint64             // next sequence number by device
	messages uint32               // number of copies offered
}

// replay replays the scenario and returns the digest of what happened.
func (s scenario) replay(t *testing.T) string {
	t.Helper()
	r := &router{
		scenario: s, t: t, random: rand.New(rand.NewPCG(s.seed, 1)), digest: newDigest(), settings: intake.Defaults(),
		now: 1e6, rows: map[intake.ID][]byte{}, epochs: make([]uint64, s.devices), nextSeqs: make([]uint64, s.devices),
	}
	if s.config != nil {
		s.config(&r.settings)
	}
	r.start()
	for n := range s.events {
		if n%250 == 0 {
			r.mode = mode(r.random.IntN(int(modeCount)))
		}
		r.step()
		r.observe()
	}
	r.pass(120e3) // long enough for every timer to run
	r.observe()
	return r.digest.sum()
}

// start replaces the Intake, as a restart does, by a new one that recovers the
// readings on the disk. Submissions and writes to the disk in progress are lost.
func (r *router) start() {
	if r.incarnations++; r.incarnations > 1 && r.restart != nil {
		r.restart(&r.settings)
	}
	in, err := intake.New(r.settings, r.routes, r.incarnations, r)
	if err != nil {
		r.t.Fatal(err)
	}
	r.intake, r.inFlight, r.storing = in, nil, nil
	for _, reading := range slices.Clone(r.disk) {
		in.Recover(r.now, reading)
	}
}

// step executes one random event.
func (r *router) step() {
	if r.random.Float64() < r.offers {
		r.offer()
		return
	}
	switch n := r.random.IntN(1000); {
	case n < 450:
		r.end()
	case n < 650:
		r.persisted()
	case n < 950:
		r.pass(40 * r.random.ExpFloat64())
	case n < 980:
		r.passToNextTimer()
	case n < 985:
		r.pass(3000 + 9000*r.random.Float64())
	case n < 995:
		r.endUnknown()
	case n < 998:
		r.start()
	default:
		r.known()
	}
}

// offer offers a new reading, a copy of an earlier one, another value under the
// ID of an earlier one, or a reading that is invalid or of an earlier epoch.
func (r *router) offer() {
	var reading intake.Reading
	declared := intake.DeclaredHistory{FirstCopy: true, NotBefore: r.now - 1000*r.random.Float64()}
	switch n := r.random.IntN(100); {
	case n < 60 || len(r.sent) == 0:
		reading = r.newReading()
	case n < 90: // a copy of one of the last 20, or in one of 5 cases of any
		back := min(20, len(r.sent))
		if r.random.IntN(5) == 0 {
			back = len(r.sent)
		}
		reading = r.sent[len(r.sent)-1-r.random.IntN(back)]
		declared.FirstCopy = false
	case n < 96: // another value under the same ID, as from a second device of the name
		reading = r.sent[len(r.sent)-1-r.random.IntN(min(50, len(r.sent)))]
		reading.Value = append([]byte("other "), reading.Value...)
	default:
		reading = r.malformed(r.newReading())
	}
	if r.random.IntN(10) == 0 {
		declared.NotBefore = []float64{0, r.now - 4400, r.now + 500}[r.random.IntN(3)]
	}
	from := intake.Origin{Peer: uint64(reading.Seq), Message: r.messages, Index: uint16(r.messages % 7)}
	r.messages++
	r.intake.Offer(r.now, reading, declared, from, r.network())
}

// newReading returns the next reading of a random device.
func (r *router) newReading() intake.Reading {
	device := r.random.IntN(r.devices)
	switch r.random.IntN(200) {
	case 0: // the device lost its sequence counter
		r.epochs[device]++
		r.nextSeqs[device] = 0
	case 1: // the device skips sequence numbers
		r.nextSeqs[device] += uint64(r.random.IntN(5))
	}
	value := make([]byte, 1+r.random.IntN(r.maxValue))
	for i := range value {
		value[i] = byte(r.random.Uint32())
	}
	reading := intake.Reading{
		ID:     intake.ID{Device: fmt.Sprint("meter-", device), Epoch: r.epochs[device], Seq: r.nextSeqs[device]},
		Route:  r.random.IntN(len(r.routes)),
		Value:  value,
		Urgent: r.random.Float64() < r.urgent,
	}
	r.nextSeqs[device]++
	r.sent = append(r.sent, reading)
	return reading
}

// malformed makes a reading invalid, or one of an earlier epoch. Names and values
// of exactly the largest size stay valid.
func (r *router) malformed(reading intake.Reading) intake.Reading {
	switch r.random.IntN(8) {
	case 0:
		reading.Device = ""
	case 1:
		reading.Device = strings.Repeat("x", intake.MaxDeviceNameBytes+r.random.IntN(2))
	case 2:
		reading.Value = nil
	case 3:
		reading.Value = make([]byte, intake.MaxValueBytes+r.random.IntN(2))
	case 4:
		reading.Route = -1
	case 5:
		reading.Route = len(r.routes)
	default:
		reading.Epoch -= min(reading.Epoch, 1)
		reading.Seq += 1000
	}
	return reading
}

// network returns one of four networks, or an invalid prefix for an unknown one.
func (r *router) network() netip.Prefix {
	n := r.random.IntN(5)
	if n == 0 {
		return netip.Prefix{}
	}
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(n), 0}), 24)
}

// end ends one of the three oldest submissions in flight.
func (r *router) end() {
	if len(r.inFlight) == 0 {
		return
	}
	i := r.random.IntN(min(3, len(r.inFlight)))
	s := r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	r.ended = s.number
	failedShare, rejectedShare := 0.1, 0.05
	switch r.mode {
	case outage:
		failedShare = 1
	case rejecting:
		rejectedShare = 0.5
	}
	switch n := r.random.Float64(); {
	case n < failedShare:
		if s.operation == intake.Write && r.random.IntN(2) == 0 {
			r.execute(s)
		}
		if r.random.IntN(2) == 0 { // it fails at its deadline, else before
			r.pass(max(s.deadline-r.now, 0))
		}
		r.intake.Failed(r.now, s.number)
	case n < failedShare+rejectedShare:
		retryAfter := []float64{0, 0, 50, 400, 1e6}[r.random.IntN(5)]
		r.intake.Rejected(r.now, s.number, retryAfter)
	default:
		if s.operation == intake.Write {
			r.execute(s)
		}
		r.intake.Served(r.now, s.number, slices.Clone(r.rows[s.id]))
	}
}

// execute writes the submission's row unless it exists. In one of 40 cases the
// row gets another value, as if another device of the name had been first.
func (r *router) execute(s submission) {
	if r.rows[s.id] != nil {
		return
	}
	r.rows[s.id] = s.value
	if r.random.IntN(40) == 0 {
		r.rows[s.id] = append([]byte("other "), s.value...)
	}
}

// endUnknown reports the end of submissions that are not in flight, in every way.
func (r *router) endUnknown() {
	r.intake.Served(r.now, r.ended, nil)
	r.intake.Rejected(r.now, r.ended, 100)
	r.intake.Failed(r.now, 1<<40)
}

// persisted reports the result of storing a reading. In one of 20 cases it also
// reports a result for a reading that is not being stored.
func (r *router) persisted() {
	if len(r.storing) == 0 {
		return
	}
	i := r.random.IntN(len(r.storing))
	reading := r.storing[i]
	r.storing = slices.Delete(r.storing, i, i+1)
	ok := r.random.IntN(12) != 0
	if ok {
		r.disk = append(r.disk, reading)
	}
	r.intake.Persisted(r.now, reading.ID, ok)
	if r.random.IntN(20) == 0 {
		r.intake.Persisted(r.now, reading.ID, true)
		r.intake.Persisted(r.now, intake.ID{Device: reading.Device, Seq: 1 << 40}, true)
		r.intake.Persisted(r.now, intake.ID{Device: "nobody"}, true)
	}
}

// pass advances the time by a number of milliseconds and runs the timers on the
// way, each at its time.
func (r *router) pass(ms float64) {
	end := r.now + ms
	for at, ok := r.intake.Next(); ok && at <= end; at, ok = r.intake.Next() {
		r.now = max(at, r.now)
		r.intake.Tick(r.now)
	}
	r.now = end
}

// passToNextTimer advances the time to the next timer, or in one of 3 cases to
// 100 ms after it, and runs the timers that are due.
func (r *router) passToNextTimer() {
	if at, ok := r.intake.Next(); ok {
		r.now = max(at, r.now)
		if r.random.IntN(3) == 0 {
			r.now += 100
		}
		r.intake.Tick(r.now)
	}
}

// known adds the sequence numbers that are known to be recorded of a random
// device to the digest.
func (r *router) known() {
	device := r.random.IntN(r.devices)
	for epoch := range r.epochs[device] + 1 {
		known := r.intake.RecordedSequences(fmt.Sprint("meter-", device), epoch)
		r.digest.int(len(known))
		for _, seq := range known {
			r.digest.uint(seq)
		}
	}
	r.digest.int(len(r.intake.RecordedSequences("nobody", 0)))
}

// observe adds the Intake's Stats and the time of the next timer to the digest.
func (r *router) observe() {
	s := r.intake.Stats()
	for _, v := range []uint64{
		s.Offered, s.Recorded, s.FoundRecorded, s.Stored, s.Conflicts, s.Rejected, s.Unknown, s.Invalid,
		s.Duplicates, s.Coalesced, s.PastEpoch, s.Evicted, s.Writes, s.Checks, s.WriteRetries,
	} {
		r.digest.uint(v)
	}
	for _, v := range []int{s.InProgress, s.Bytes, s.Devices} {
		r.digest.int(v)
	}
	at, ok := r.intake.Next()
	r.digest.float(at)
	r.digest.bool(ok)
}

func (r *router) Submit(
	id intake.ID, n uint64, kind intake.Operation, reading *intake.Reading, group int, timeout float64,
) {
	r.digest.int(1)
	r.digest.id(id)
	r.digest.uint(n)
	r.digest.bool(kind == intake.Check)
	r.digest.reading(reading)
	r.digest.int(group)
	r.digest.float(timeout)
	r.inFlight = append(r.inFlight, submission{
		number: n, id: id, operation: kind, value: reading.Value, deadline: r.now + timeout,
	})
}

func (r *router) Answer(to intake.Origin, a intake.Answer) {
	r.digest.int(2)
	r.digest.uint(to.Peer)
	r.digest.uint(uint64(to.Message))
	r.digest.uint(uint64(to.Index))
	r.digest.uint(uint64(a.Status))
	r.digest.float(a.RetryAfter)
}

func (r *router) Persist(reading *intake.Reading) {
	r.digest.int(3)
	r.digest.reading(reading)
	r.storing = append(r.storing, *reading)
}

func (r *router) Delete(id intake.ID) {
	r.digest.int(4)
	r.digest.id(id)
	r.erase(id)
}

func (r *router) Quarantine(reading *intake.Reading) {
	r.digest.int(5)
	r.digest.reading(reading)
	r.erase(reading.ID)
}

// erase removes a reading from the disk.
func (r *router) erase(id intake.ID) {
	r.disk = slices.DeleteFunc(r.disk, func(stored intake.Reading) bool { return stored.ID == id })
}

// digest is a running SHA-256 over numbers and bytes.
type digest struct{ hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

func (d digest) uint(v uint64) {
	d.Write(binary.LittleEndian.AppendUint64(nil, v))
}

func (d digest) int(v int) { d.uint(uint64(v)) }

func (d digest) float(v float64) { d.uint(math.Float64bits(v)) }

func (d digest) bool(v bool) {
	if v {
		d.Write([]byte{1})
	} else {
		d.Write([]byte{0})
	}
}

func (d digest) bytes(v []byte) {
	d.int(len(v))
	d.Write(v)
}

func (d digest) id(id intake.ID) {
	d.bytes([]byte(id.Device))
	d.uint(id.Epoch)
	d.uint(id.Seq)
}

func (d digest) reading(reading *intake.Reading) {
	d.id(reading.ID)
	d.int(reading.Route)
	d.bytes(reading.Value)
	d.bool(reading.Urgent)
}

func (d digest) sum() string { return hex.EncodeToString(d.Sum(nil)) }

// compareWithGolden compares the digests by scenario with the golden file, or
// rewrites the file if the update flag is set.
func compareWithGolden(t *testing.T, got map[string]string) {
	t.Helper()
	replayed := slices.Sorted(maps.Keys(got))
	if *update {
		var b strings.Builder
		for _, scenario := range replayed {
			fmt.Fprintf(&b, "%s %s\n", scenario, got[scenario])
		}
		if err := os.WriteFile(goldenFile, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := readGolden(t)
	for _, scenario := range replayed {
		expected, ok := want[scenario]
		switch {
		case !ok:
			t.Errorf("scenario %s is not in %s", scenario, goldenFile)
		case got[scenario] != expected:
			t.Errorf("scenario %s: digest %s, want %s", scenario, got[scenario], expected)
		}
		delete(want, scenario)
	}
	for _, scenario := range slices.Sorted(maps.Keys(want)) {
		t.Errorf("scenario %s of %s was not replayed", scenario, goldenFile)
	}
}

// readGolden returns the digests in the golden file by scenario.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	content, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	digests := map[string]string{}
	for line := range strings.Lines(string(content)) {
		scenario, sum, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if _, repeated := digests[scenario]; !ok || repeated {
			t.Fatalf("%s: malformed or repeated line %q", goldenFile, line)
		}
		digests[scenario] = sum
	}
	return digests
}
