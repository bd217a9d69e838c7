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

// update rewrites the golden file. Its values may change only together with a
// deliberate change of behaviour, never with a renaming or a refactoring.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; its values may change only with a deliberate change of behaviour")

const goldenFile = "testdata/characterization.txt"

// scenario is one router under a stream of random events.
type scenario struct {
	name     string
	seed     uint64
	events   int
	devices  int // that send readings
	urgent   float64
	maxValue int     // bytes of a value
	offers   float64 // fraction of the events that bring a reading, the other kinds make up the rest
	config   func(*intake.Config)
	restart  func(*intake.Config) // changes the settings for every incarnation but the first
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

// smallConfig has capacity for a few readings only, so that the bounds are met often.
func smallConfig(c *intake.Config) {
	c.MaxReadings, c.MaxPerDevice, c.MaxDevices, c.MaxRecent, c.MaxWindow = 12, 8, 6, 4, 3
	c.MaxRetryAfter, c.AnswerTimeout = 3000, 9000
}

// TestCharacterization replays seeded event streams and compares a digest of
// the actions that followed. The digest covers numbers and bytes only, so that
// it survives any renaming. It was taken on amd64: on other architectures Go
// may fuse floating-point operations, whose last bits differ then.
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

// settingsDigest covers the default settings and the constants.
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

// startDigest covers which routes are rejected at the start.
func startDigest() string {
	d := newDigest()
	for _, ttl := range []float64{0, 3400, 3449, 3450, math.Nextafter(3450, 4000), 5000} {
		for _, groups := range [][]int{nil, {1}} {
			routes := []intake.Route{oneRoute[0], {IdempotencyWindow: ttl, Groups: groups}}
			_, err := intake.New(intake.Defaults(), routes, 1, nil)
			d.bool(err != nil)
		}
	}
	return d.sum()
}

// identitiesDigest covers what is derived from names: every router and every
// release must agree on it.
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

// mode is how the hosts behave for a while.
type mode uint8

const (
	healthy mode = iota
	outage       // every submission fails
	rejecting
	modes
)

// submission is one that has not ended yet.
type submission struct {
	number uint64
	id     intake.ID
	work   intake.Operation
	value  []byte
	until  float64
}

// router is one router under replay, and what surrounds it: a database, a
// disk and devices. It implements intake.Actions. Nothing of it depends on the
// order of a map.
type router struct {
	scenario
	t            *testing.T
	random       *rand.Rand
	digest       digest
	intake       *intake.Intake
	settings     intake.Config
	incarnations uint64
	now          float64
	mode         mode

	out      []submission
	storing  []intake.Reading // on their way to the disk
	disk     []intake.Reading
	rows     map[intake.ID][]byte
	ended    uint64 // number of the last submission that ended
	sent     []intake.Reading
	epochs   []uint64 // of each device
	next     []uint64 // each device's next sequence
	messages uint32
}

// replay returns the digest of the scenario's stream.
func (s scenario) replay(t *testing.T) string {
	t.Helper()
	r := &router{
		scenario: s, t: t, random: rand.New(rand.NewPCG(s.seed, 1)), digest: newDigest(), settings: intake.Defaults(),
		now: 1e6, rows: map[intake.ID][]byte{}, epochs: make([]uint64, s.devices), next: make([]uint64, s.devices),
	}
	if s.config != nil {
		s.config(&r.settings)
	}
	r.start()
	for n := range s.events {
		if n%250 == 0 {
			r.mode = mode(r.random.IntN(int(modes)))
		}
		r.step()
		r.observe()
	}
	r.pass(120e3) // all that is left is let go
	r.observe()
	return r.digest.sum()
}

// start begins a new incarnation, which recovers what the disk holds.
func (r *router) start() {
	if r.incarnations++; r.incarnations > 1 && r.restart != nil {
		r.restart(&r.settings)
	}
	in, err := intake.New(r.settings, r.routes, r.incarnations, r)
	if err != nil {
		r.t.Fatal(err)
	}
	r.intake, r.out, r.storing = in, nil, nil
	for _, reading := range slices.Clone(r.disk) {
		in.Recover(r.now, reading)
	}
}

// step draws one event.
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
		r.passToNext()
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

// offer sends a new reading, a copy of an earlier one, or one at fault.
func (r *router) offer() {
	var reading intake.Reading
	declared := intake.DeclaredHistory{FirstCopy: true, NotBefore: r.now - 1000*r.random.Float64()}
	switch n := r.random.IntN(100); {
	case n < 60 || len(r.sent) == 0:
		reading = r.newReading()
	case n < 90: // a recent one, or rarely any
		back := min(20, len(r.sent))
		if r.random.IntN(5) == 0 {
			back = len(r.sent)
		}
		reading = r.sent[len(r.sent)-1-r.random.IntN(back)]
		declared.FirstCopy = false
	case n < 96: // another value under the same identity, as by a second device of that name
		reading = r.sent[len(r.sent)-1-r.random.IntN(min(50, len(r.sent)))]
		reading.Value = append([]byte("other "), reading.Value...)
	default:
		reading = r.atFault(r.newReading())
	}
	if r.random.IntN(10) == 0 {
		declared.NotBefore = []float64{0, r.now - 4400, r.now + 500}[r.random.IntN(3)]
	}
	from := intake.Origin{Peer: uint64(reading.Seq), Message: r.messages, Index: uint16(r.messages % 7)}
	r.messages++
	r.intake.Offer(r.now, reading, declared, from, r.network())
}

func (r *router) newReading() intake.Reading {
	device := r.random.IntN(r.devices)
	switch r.random.IntN(200) {
	case 0: // the device lost its counter
		r.epochs[device]++
		r.next[device] = 0
	case 1: // the device skips some
		r.next[device] += uint64(r.random.IntN(5))
	}
	value := make([]byte, 1+r.random.IntN(r.maxValue))
	for i := range value {
		value[i] = byte(r.random.Uint32())
	}
	reading := intake.Reading{
		ID:     intake.ID{Device: fmt.Sprint("meter-", device), Epoch: r.epochs[device], Seq: r.next[device]},
		Route:  r.random.IntN(len(r.routes)),
		Value:  value,
		Urgent: r.random.Float64() < r.urgent,
	}
	r.next[device]++
	r.sent = append(r.sent, reading)
	return reading
}

// atFault makes a reading one that can't be recorded, or one of a past epoch.
func (r *router) atFault(reading intake.Reading) intake.Reading {
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

func (r *router) network() netip.Prefix {
	n := r.random.IntN(5)
	if n == 0 {
		return netip.Prefix{}
	}
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(n), 0}), 24)
}

// end ends a submission, one of the oldest more often than not.
func (r *router) end() {
	if len(r.out) == 0 {
		return
	}
	i := r.random.IntN(min(3, len(r.out)))
	s := r.out[i]
	r.out = slices.Delete(r.out, i, i+1)
	r.ended = s.number
	failed, rejected := 0.1, 0.05
	switch r.mode {
	case outage:
		failed = 1
	case rejecting:
		rejected = 0.5
	}
	switch n := r.random.Float64(); {
	case n < failed:
		if s.work == intake.Write && r.random.IntN(2) == 0 {
			r.execute(s)
		}
		if r.random.IntN(2) == 0 { // it fails by its deadline, or else before
			r.pass(max(s.until-r.now, 0))
		}
		r.intake.Failed(r.now, s.number)
	case n < failed+rejected:
		advice := []float64{0, 0, 50, 400, 1e6}[r.random.IntN(5)]
		r.intake.Rejected(r.now, s.number, advice)
	default:
		if s.work == intake.Write {
			r.execute(s)
		}
		r.intake.Served(r.now, s.number, slices.Clone(r.rows[s.id]))
	}
}

// execute writes a row unless there is one. Rarely, another router was first.
func (r *router) execute(s submission) {
	if r.rows[s.id] != nil {
		return
	}
	r.rows[s.id] = s.value
	if r.random.IntN(40) == 0 {
		r.rows[s.id] = append([]byte("other "), s.value...)
	}
}

// endUnknown ends a submission that is not out, in every way.
func (r *router) endUnknown() {
	r.intake.Served(r.now, r.ended, nil)
	r.intake.Rejected(r.now, r.ended, 100)
	r.intake.Failed(r.now, 1<<40)
}

// persisted ends a reading's way to the disk. Rarely it ends twice, or that of
// a reading that is not on its way.
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

// pass lets time pass, deadline by deadline.
func (r *router) pass(milliseconds float64) {
	end := r.now + milliseconds
	for at, ok := r.intake.Next(); ok && at <= end; at, ok = r.intake.Next() {
		r.now = max(at, r.now)
		r.intake.Tick(r.now)
	}
	r.now = end
}

// passToNext lets time pass to the next deadline, and at times beyond it.
func (r *router) passToNext() {
	if at, ok := r.intake.Next(); ok {
		r.now = max(at, r.now)
		if r.random.IntN(3) == 0 {
			r.now += 100
		}
		r.intake.Tick(r.now)
	}
}

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

// observe adds to the digest what can be asked for at any time.
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

func (r *router) Submit(id intake.ID, n uint64, w intake.Operation, reading *intake.Reading, group int, wait float64) {
	r.digest.int(1)
	r.digest.id(id)
	r.digest.uint(n)
	r.digest.bool(w == intake.Check)
	r.digest.reading(reading)
	r.digest.int(group)
	r.digest.float(wait)
	r.out = append(r.out, submission{number: n, id: id, work: w, value: reading.Value, until: r.now + wait})
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

// compareWithGolden compares digests, by scenario, with the golden file, or
// rewrites the file if the update flag is set.
func compareWithGolden(t *testing.T, got map[string]string) {
	t.Helper()
	played := slices.Sorted(maps.Keys(got))
	if *update {
		var b strings.Builder
		for _, scenario := range played {
			fmt.Fprintf(&b, "%s %s\n", scenario, got[scenario])
		}
		if err := os.WriteFile(goldenFile, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := readGolden(t)
	for _, scenario := range played {
		expected, ok := want[scenario]
		switch {
		case !ok:
			t.Errorf("%s: not in %s", scenario, goldenFile)
		case got[scenario] != expected:
			t.Errorf("%s: digest %s, want %s", scenario, got[scenario], expected)
		}
		delete(want, scenario)
	}
	for _, scenario := range slices.Sorted(maps.Keys(want)) {
		t.Errorf("%s: in %s, but not played", scenario, goldenFile)
	}
}

// readGolden returns the digests of the golden file by their scenario.
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
