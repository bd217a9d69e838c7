package intake

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// simulation models everything around the Intakes of some routers: a shard that
// drops duplicates of a key within its idempotency window, devices that resend
// their readings, and crashes of routers. It has a clock of its own and counts
// the executions independently of the Intakes.
type simulation struct {
	rand              *rand.Rand
	now               float64 // Unix milliseconds
	events            events
	lastEvent         uint64 // number of the last event
	cfg               Config
	route             Route
	idempotencyWindow float64 // of the shard, in milliseconds; the Intakes are told that of the route
	lossRate          float64 // fraction of the messages that are lost
	routers           []*modelRouter
	rows              map[string][]byte
	executions        map[string]int        // number of executions by row
	running           map[string]*execution // by key
	startedAt         map[string]float64    // start of the key's first execution
	devices           []*modelDevice
	offers            int
	answers           map[Origin]int // number of answers to each copy
	faults            []string       // violations of the guarantees that the tests check
	stats             Stats          // writes, their retries and readings found recorded, of all routers
}

// execution is a write that the shard is running.
type execution struct {
	callbacks []func(ok bool) // of the write and of its duplicates
}

// event is a function that is due at a time.
type event struct {
	at     float64 // Unix milliseconds
	number uint64  // orders events of the same time
	run    func()
}

// events orders events by time. It implements heap.Interface.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules a function to run after a number of milliseconds.
func (sim *simulation) after(ms float64, run func()) {
	sim.lastEvent++
	heap.Push(&sim.events, event{sim.now + ms, sim.lastEvent, run})
}

// chance returns true with the given probability.
func (sim *simulation) chance(probability float64) bool { return sim.rand.Float64() < probability }

// modelRouter is one router: an Intake and its Actions, which the simulation
// carries out.
type modelRouter struct {
	simulation  *simulation
	intake      *Intake
	incarnation int // number of starts
	number      int
	tickAt      float64 // time of the scheduled tick, 0 if there is none
	disk        map[ID]Reading
}

// restart replaces the router's Intake, as after a crash, by a new one that
// recovers the readings on its disk.
func (sim *simulation) restart(router *modelRouter) {
	router.incarnation++
	if router.intake != nil {
		routerStats := router.intake.Stats()
		sim.stats.FoundRecorded += routerStats.FoundRecorded
		sim.stats.WriteRetries += routerStats.WriteRetries
		sim.stats.Writes += routerStats.Writes
	}
	in, err := New(sim.cfg, []Route{sim.route}, uint64(router.number), router)
	if err != nil {
		panic(err)
	}
	router.intake, router.tickAt = in, 0
	for _, id := range sortedIDs(router.disk) {
		in.Recover(sim.now, router.disk[id])
	}
	router.scheduleTick()
}

// sortedIDs returns the IDs on a disk by device and sequence number, so that the
// simulation does not depend on the order of the map.
func sortedIDs(disk map[ID]Reading) []ID {
	var ids []ID
	for id := range disk {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ID) int {
		if a.Device != b.Device {
			return strings.Compare(a.Device, b.Device)
		}
		return cmp.Compare(a.Seq, b.Seq)
	})
	return ids
}

// scheduleTick schedules the Intake's next tick, unless it is scheduled already.
func (router *modelRouter) scheduleTick() {
	at, ok := router.intake.Next()
	if !ok || router.tickAt > 0 && router.tickAt <= at && router.tickAt > router.simulation.now {
		return
	}
	router.tickAt = max(at, router.simulation.now)
	incarnation, tickAt := router.incarnation, router.tickAt
	router.simulation.after(max(at-router.simulation.now, 0), func() {
		if router.incarnation == incarnation && router.tickAt == tickAt {
			router.tickAt = 0
			router.intake.Tick(router.simulation.now)
			router.scheduleTick()
		}
	})
}

// deliverAfter delivers an event to the Intake after a number of milliseconds,
// unless the router restarts before that.
func (router *modelRouter) deliverAfter(ms float64, deliver func()) {
	router.deliverTo(router.incarnation, ms, deliver)
}

// deliverTo delivers an event to the Intake after a number of milliseconds, unless
// the router's incarnation is another one by then.
func (router *modelRouter) deliverTo(incarnation int, ms float64, deliver func()) {
	router.simulation.after(ms, func() {
		if router.incarnation == incarnation {
			deliver()
			router.scheduleTick()
		}
	})
}

func (router *modelRouter) Submit(
	id ID, submission uint64, operation Operation, reading *Reading, _ int, timeout float64,
) {
	sim := router.simulation
	deadline, incarnation := sim.now+timeout, router.incarnation // the shard runs it even if the router restarts
	fail := func() {
		router.deliverTo(incarnation, max(deadline-sim.now, 0), func() { router.intake.Failed(sim.now, submission) })
	}
	if sim.chance(0.05) {
		router.deliverAfter(sim.rand.Float64()*5, func() { router.intake.Rejected(sim.now, submission, 100*sim.rand.Float64()) })
		return
	}
	delay := sim.rand.Float64() * timeout * 1.1
	if sim.chance(0.7) {
		delay = sim.rand.Float64() * 20
	}
	lost := sim.chance(sim.lossRate)
	sim.after(delay, func() {
		if sim.now > deadline { // the shard does not run it
			fail()
			return
		}
		if operation == Check {
			value := append([]byte(nil), sim.rows[id.Row()]...)
			if lost || sim.chance(0.1) {
				fail()
			} else {
				router.deliverTo(incarnation, sim.rand.Float64()*10, func() { router.intake.Served(sim.now, submission, value) })
			}
			return
		}
		sim.execute(id, append([]byte(nil), reading.Value...), func(ok bool) {
			switch value := sim.rows[id.Row()]; {
			case !ok, lost, sim.now > deadline:
				fail()
			default:
				router.deliverTo(incarnation, 1, func() { router.intake.Served(sim.now, submission, value) })
			}
		})
	})
}

// execute runs a write on the shard and calls done at its end; ok is false if it
// had no effect. A duplicate within the idempotency window waits for the first
// execution and has no effect of its own.
func (sim *simulation) execute(id ID, value []byte, done func(ok bool)) {
	key := id.Key()
	if current := sim.running[key]; current != nil {
		current.callbacks = append(current.callbacks, done)
		return
	}
	if at, ok := sim.startedAt[key]; ok && sim.now < at+sim.idempotencyWindow {
		done(true)
		return
	}
	current := &execution{callbacks: []func(bool){done}}
	sim.running[key], sim.startedAt[key] = current, sim.now
	duration := sim.rand.Float64() * 100
	if sim.chance(0.1) { // the host hangs
		duration = sim.rand.Float64() * (sim.cfg.MaxOverrun - 1)
	}
	sim.after(duration, func() {
		delete(sim.running, key)
		if sim.chance(0.1) { // the host crashes and the write is rolled back
			delete(sim.startedAt, key)
			for _, callback := range current.callbacks {
				callback(false)
			}
			return
		}
		sim.executions[id.Row()]++
		if sim.rows[id.Row()] == nil {
			sim.rows[id.Row()] = value
		}
		for _, callback := range current.callbacks {
			callback(true)
		}
	})
}

func (router *modelRouter) Answer(to Origin, a Answer) {
	sim := router.simulation
	if sim.answers[to]++; sim.answers[to] > 1 {
		sim.fault("copy %v was answered more than once", to)
	}
	d := sim.devices[to.Peer]
	needsWait := a.Status == Rejected || a.Status == Unknown
	if a.RetryAfter < 0 || a.RetryAfter > sim.cfg.MaxRetryAfter || needsWait && a.RetryAfter == 0 {
		sim.fault("answer %v has RetryAfter %v, want at most %v, and more than 0 for rejected and unknown",
			a.Status, a.RetryAfter, sim.cfg.MaxRetryAfter)
	}
	value := d.value(to.Index)
	switch a.Status {
	case Recorded:
		if row := sim.rows[d.id(to.Index).Row()]; string(row) != string(value) {
			sim.fault("%s was answered recorded, but its row holds %q", value, row)
		}
	case Stored:
		if _, ok := router.disk[d.id(to.Index)]; !ok && sim.rows[d.id(to.Index).Row()] == nil {
			sim.fault("%s was answered stored, but is neither on disk nor recorded", value)
		}
	}
	if sim.chance(sim.lossRate) { // the answer is lost
		return
	}
	seq := to.Index
	sim.after(sim.rand.Float64()*100, func() {
		switch a.Status {
		case Recorded, Stored:
			d.acknowledged[seq] = true
		case Conflict:
			sim.fault("%s was answered conflict, but has only one value", value)
		}
	})
}

func (router *modelRouter) Persist(reading *Reading) {
	persisted := *reading
	router.deliverAfter(router.simulation.rand.Float64()*10, func() {
		router.disk[persisted.ID] = persisted
		router.intake.Persisted(router.simulation.now, persisted.ID, true)
	})
}

func (router *modelRouter) Delete(id ID) { delete(router.disk, id) }

func (router *modelRouter) Quarantine(reading *Reading) {
	router.simulation.fault("%s was quarantined, but has only one value", reading.Value)
}

// fault records the violation of a guarantee, with the current time.
func (sim *simulation) fault(format string, args ...any) {
	sim.faults = append(sim.faults, fmt.Sprintf("%.0f: ", sim.now)+fmt.Sprintf(format, args...))
}

// modelDevice is a device. It sends each reading to one router or another until
// it is acknowledged, and its declarations are true.
type modelDevice struct {
	simulation   *simulation
	number       int
	attempts     []int  // number of attempts to send each reading
	acknowledged []bool // by reading
	routerIndex  int    // index of the router in use
}

func (d *modelDevice) id(seq uint16) ID {
	return ID{Device: fmt.Sprintf("meter-%d", d.number), Epoch: 7, Seq: uint64(seq)}
}

func (d *modelDevice) value(seq uint16) []byte { return fmt.Appendf(nil, "%d/%d", d.number, seq) }

// send sends one or two copies of a reading, and again later until it is
// acknowledged.
func (d *modelDevice) send(seq uint16) {
	sim := d.simulation
	if d.acknowledged[seq] {
		return
	}
	if sim.chance(0.2) {
		d.routerIndex = sim.rand.IntN(len(sim.routers))
	}
	declared := DeclaredHistory{FirstCopy: d.attempts[seq] == 0, NotBefore: sim.now - sim.rand.Float64()*1000}
	d.attempts[seq]++
	router := sim.routers[d.routerIndex]
	for range 1 + sim.rand.IntN(2) {
		if sim.chance(sim.lossRate) {
			continue
		}
		delay := sim.rand.Float64() * 50
		if sim.chance(0.1) {
			delay = sim.rand.Float64() * 8000
		}
		sim.after(delay, func() {
			sim.offers++
			from := Origin{Peer: uint64(d.number), Message: uint32(sim.offers), Index: seq}
			router.intake.Offer(sim.now, Reading{ID: d.id(seq), Value: d.value(seq)}, declared, from, netip.Prefix{})
			router.scheduleTick()
		})
	}
	sim.after(300+sim.rand.Float64()*6000, func() { d.send(seq) })
}

// simulate runs a simulation until nothing is left to happen, or for 10 minutes
// of its time. Then every reading must be acknowledged and recorded exactly once,
// and no router may have one in progress or on disk. kills is the number of
// crashes of routers in the first 8 seconds.
func simulate(
	seed uint64, cfg Config, idempotencyWindow, lossRate float64, routers, devices, readings, kills int,
) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), now: 1e6, cfg: cfg, lossRate: lossRate, idempotencyWindow: idempotencyWindow,
		route: Route{IdempotencyWindow: 5000, Groups: []int{1, 2}}, rows: map[string][]byte{},
		executions: map[string]int{}, running: map[string]*execution{}, startedAt: map[string]float64{},
		answers: map[Origin]int{},
	}
	for n := range routers {
		router := &modelRouter{simulation: sim, number: n, disk: map[ID]Reading{}}
		sim.routers = append(sim.routers, router)
		sim.restart(router)
	}
	for n := range devices {
		d := &modelDevice{simulation: sim, number: n, routerIndex: n % routers}
		d.attempts = make([]int, readings)
		d.acknowledged = make([]bool, readings)
		sim.devices = append(sim.devices, d)
		for seq := range readings {
			sim.after(sim.rand.Float64()*3000, func() { d.send(uint16(seq)) })
		}
	}
	for range kills {
		sim.after(sim.rand.Float64()*8000, func() { sim.restart(sim.routers[sim.rand.IntN(routers)]) })
	}
	for len(sim.events) > 0 && sim.now < 1e6+600e3 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	for _, d := range sim.devices {
		for seq, done := range d.acknowledged {
			row := d.id(uint16(seq)).Row()
			if !done {
				sim.fault("%s was never acknowledged", d.value(uint16(seq)))
			} else if n := sim.executions[row]; n != 1 {
				sim.fault("%s was recorded %d times, want once", d.value(uint16(seq)), n)
			}
		}
	}
	for _, router := range sim.routers {
		routerStats := router.intake.Stats()
		sim.stats.FoundRecorded += routerStats.FoundRecorded
		sim.stats.WriteRetries += routerStats.WriteRetries
		sim.stats.Writes += routerStats.Writes
		if routerStats.InProgress != 0 || routerStats.Bytes != 0 || len(router.disk) != 0 {
			sim.fault("router %d has %d readings of %d bytes in progress and %d on disk at the end, want none",
				router.number, routerStats.InProgress, routerStats.Bytes, len(router.disk))
		}
	}
	return sim
}

// smallConfig has such low limits that readings are often rejected or evicted.
func smallConfig() Config {
	cfg := Defaults()
	cfg.MaxReadings, cfg.MaxPerDevice, cfg.MaxDevices, cfg.MaxRecent, cfg.MaxWindow = 12, 8, 6, 4, 3
	cfg.MaxRetryAfter, cfg.AnswerTimeout = 3000, 9000
	return cfg
}

// Whatever is lost, delayed or duplicated, and whichever routers crash, each
// reading is recorded exactly once, none is acknowledged before it is recorded or
// stored, and each copy gets at most one answer.
func TestReadingsAreRecordedExactlyOnceInSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := smallConfig()
		cfg.Durable = rapid.Bool().Draw(t, "durable")
		cfg.TrustFirstCopies = rapid.Bool().Draw(t, "trust")
		kills := rapid.IntRange(0, 4).Draw(t, "kills")
		sim := simulate(rapid.Uint64().Draw(t, "seed"), cfg, 5000, rapid.Float64Range(0, 0.4).Draw(t, "loss"),
			rapid.IntRange(1, 3).Draw(t, "routers"), rapid.IntRange(1, 8).Draw(t, "devices"),
			rapid.IntRange(1, 8).Draw(t, "readings"), kills)
		if len(sim.faults) > 0 {
			t.Fatalf("%d faults, want none; the first at %s", len(sim.faults), sim.faults[0])
		}
	})
}

// The simulation can detect duplicates: with a shard that drops none, although
// the routes state an idempotency window, readings are recorded twice.
func TestSimulationDetectsDuplicates(t *testing.T) {
	var duplicated int
	for seed := range uint64(20) {
		for _, n := range simulate(seed, smallConfig(), 0, 0.3, 2, 6, 6, 3).executions {
			if n > 1 {
				duplicated++
			}
		}
	}
	if duplicated == 0 {
		t.Error("no reading was recorded twice by a shard without an idempotency window")
	}
}

// The same seed gives the same simulation, because the same events give the same
// actions.
func TestSimulationIsDeterministic(t *testing.T) {
	a, b := simulate(3, smallConfig(), 5000, 0.3, 2, 6, 6, 3), simulate(3, smallConfig(), 5000, 0.3, 2, 6, 6, 3)
	if a.stats != b.stats || a.offers != b.offers || a.now != b.now {
		t.Errorf("two runs with one seed differ: %+v, %d copies until %v, and %+v, %d copies until %v",
			a.stats, a.offers, a.now, b.stats, b.offers, b.now)
	}
	if a.stats.FoundRecorded == 0 || a.stats.WriteRetries == 0 {
		t.Errorf("Stats = %+v, want checks that found the reading recorded and retries of writes", a.stats)
	}
}
