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

// world is a small model of everything around the rules: a shard that drops
// duplicates of a key for a while, devices that resend, and routers that die.
// It runs in its own time and counts executions by itself.
type world struct {
	rand              *rand.Rand
	now               float64
	events            events
	seq               uint64
	cfg               Config
	route             Route
	idempotencyWindow float64 // the shard's own; the rules know the route's
	lossRate          float64
	routers           []*modelRouter
	rows              map[string][]byte
	executions        map[string]int
	running           map[string]*execution
	startedAt         map[string]float64 // when the key's first execution began
	devices           []*modelDevice
	offers            int
	answers           map[Origin]int
	faults            []string
	stats             Stats // of routers that died
}

type execution struct {
	callbacks []func(ok bool)
}

type event struct {
	at  float64
	seq uint64
	do  func()
}
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	o := *h
	e := o[len(o)-1]
	*h = o[:len(o)-1]
	return e
}

func (w *world) after(ms float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + ms, w.seq, do})
}
func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

// modelRouter is one router: the rules and the actions that the model executes.
type modelRouter struct {
	world       *world
	intake      *Intake
	incarnation int
	number      int
	armed       float64
	disk        map[ID]Reading
}

func (w *world) boot(s *modelRouter) {
	s.incarnation++
	if s.intake != nil {
		st := s.intake.Stats()
		w.stats.FoundRecorded += st.FoundRecorded
		w.stats.WriteRetries += st.WriteRetries
		w.stats.Writes += st.Writes
	}
	in, err := New(w.cfg, []Route{w.route}, uint64(s.number), s)
	if err != nil {
		panic(err)
	}
	s.intake, s.armed = in, 0
	for _, id := range sortedIDs(s.disk) {
		in.Recover(w.now, s.disk[id])
	}
	s.arm()
}

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

// arm schedules the next tick of the rules.
func (s *modelRouter) arm() {
	at, ok := s.intake.Next()
	if !ok || s.armed > 0 && s.armed <= at && s.armed > s.world.now {
		return
	}
	s.armed = max(at, s.world.now)
	incarnation, armed := s.incarnation, s.armed
	s.world.after(max(at-s.world.now, 0), func() {
		if s.incarnation == incarnation && s.armed == armed {
			s.armed = 0
			s.intake.Tick(s.world.now)
			s.arm()
		}
	})
}

// later delivers an event to the rules unless the router died meanwhile.
func (s *modelRouter) later(ms float64, do func()) { s.afterIn(s.incarnation, ms, do) }

func (s *modelRouter) afterIn(incarnation int, ms float64, do func()) {
	s.world.after(ms, func() {
		if s.incarnation == incarnation {
			do()
			s.arm()
		}
	})
}

func (s *modelRouter) Submit(id ID, submission uint64, work Operation, reading *Reading, _ int, wait float64) {
	w := s.world
	until, incarnation := w.now+wait, s.incarnation // what is in flight outlives the router
	fail := func() { s.afterIn(incarnation, max(until-w.now, 0), func() { s.intake.Failed(w.now, submission) }) }
	if w.chance(0.05) {
		s.later(w.rand.Float64()*5, func() { s.intake.Rejected(w.now, submission, 100*w.rand.Float64()) })
		return
	}
	delay := w.rand.Float64() * wait * 1.1
	if w.chance(0.7) {
		delay = w.rand.Float64() * 20
	}
	lost := w.chance(w.lossRate)
	w.after(delay, func() {
		if w.now > until { // the shard rejects it unseen
			fail()
			return
		}
		if work == Check {
			v := append([]byte(nil), w.rows[id.Row()]...)
			if lost || w.chance(0.1) {
				fail()
			} else {
				s.afterIn(incarnation, w.rand.Float64()*10, func() { s.intake.Served(w.now, submission, v) })
			}
			return
		}
		w.execute(id, append([]byte(nil), reading.Value...), func(ok bool) {
			switch v := w.rows[id.Row()]; {
			case !ok, lost, w.now > until:
				fail()
			default:
				s.afterIn(incarnation, 1, func() { s.intake.Served(w.now, submission, v) })
			}
		})
	})
}

// execute is the shard: a duplicate of a live key waits for the first and adds
// nothing.
func (w *world) execute(id ID, value []byte, then func(ok bool)) {
	key := id.Key()
	if r := w.running[key]; r != nil {
		r.callbacks = append(r.callbacks, then)
		return
	}
	if at, ok := w.startedAt[key]; ok && w.now < at+w.idempotencyWindow {
		then(true)
		return
	}
	r := &execution{callbacks: []func(bool){then}}
	w.running[key], w.startedAt[key] = r, w.now
	work := w.rand.Float64() * 100
	if w.chance(0.1) { // a host that hangs with it
		work = w.rand.Float64() * (w.cfg.MaxOverrun - 1)
	}
	w.after(work, func() {
		delete(w.running, key)
		if w.chance(0.1) { // its host died: it never happened
			delete(w.startedAt, key)
			for _, f := range r.callbacks {
				f(false)
			}
			return
		}
		w.executions[id.Row()]++
		if w.rows[id.Row()] == nil {
			w.rows[id.Row()] = value
		}
		for _, f := range r.callbacks {
			f(true)
		}
	})
}

func (s *modelRouter) Answer(to Origin, a Answer) {
	w := s.world
	if w.answers[to]++; w.answers[to] > 1 {
		w.fault("a second answer to %v", to)
	}
	d := w.devices[to.Peer]
	needsWait := a.Status == Rejected || a.Status == Unknown
	if a.RetryAfter < 0 || a.RetryAfter > w.cfg.MaxRetryAfter || needsWait && a.RetryAfter == 0 {
		w.fault("wait %v with status %d", a.RetryAfter, a.Status)
	}
	value := d.value(to.Index)
	switch a.Status {
	case Recorded:
		if row := w.rows[d.id(to.Index).Row()]; string(row) != string(value) {
			w.fault("%s acknowledged, the row holds %q", value, row)
		}
	case Stored:
		if _, ok := s.disk[d.id(to.Index)]; !ok && w.rows[d.id(to.Index).Row()] == nil {
			w.fault("%s acknowledged, not on the disk", value)
		}
	}
	if w.chance(w.lossRate) { // the acknowledgement is lost
		return
	}
	seq := to.Index
	w.after(w.rand.Float64()*100, func() {
		switch a.Status {
		case Recorded, Stored:
			d.acknowledged[seq] = true
		case Conflict:
			w.fault("%s: a conflict with itself", value)
		}
	})
}

func (s *modelRouter) Persist(reading *Reading) {
	rec := *reading
	s.later(s.world.rand.Float64()*10, func() {
		s.disk[rec.ID] = rec
		s.intake.Persisted(s.world.now, rec.ID, true)
	})
}
func (s *modelRouter) Delete(id ID)                { delete(s.disk, id) }
func (s *modelRouter) Quarantine(reading *Reading) { s.world.fault("%s quarantined", reading.Value) }

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%.0f: ", w.now)+fmt.Sprintf(format, args...))
}

// modelDevice is a device: it sends each reading until it is acknowledged, at any
// router, and declares truly what it knows.
type modelDevice struct {
	world        *world
	number       int
	attempts     []int
	acknowledged []bool
	router       int
}

func (d *modelDevice) id(seq uint16) ID {
	return ID{Device: fmt.Sprintf("meter-%d", d.number), Epoch: 7, Seq: uint64(seq)}
}
func (d *modelDevice) value(seq uint16) []byte { return fmt.Appendf(nil, "%d/%d", d.number, seq) }

func (d *modelDevice) send(seq uint16) {
	w := d.world
	if d.acknowledged[seq] {
		return
	}
	if w.chance(0.2) {
		d.router = w.rand.IntN(len(w.routers))
	}
	c := DeclaredHistory{FirstCopy: d.attempts[seq] == 0, NotBefore: w.now - w.rand.Float64()*1000}
	d.attempts[seq]++
	s := w.routers[d.router]
	for range 1 + w.rand.IntN(2) {
		if w.chance(w.lossRate) {
			continue
		}
		delay := w.rand.Float64() * 50
		if w.chance(0.1) {
			delay = w.rand.Float64() * 8000
		}
		w.after(delay, func() {
			w.offers++
			from := Origin{Peer: uint64(d.number), Message: uint32(w.offers), Index: seq}
			s.intake.Offer(w.now, Reading{ID: d.id(seq), Value: d.value(seq)}, c, from, netip.Prefix{})
			s.arm()
		})
	}
	w.after(300+w.rand.Float64()*6000, func() { d.send(seq) })
}

// simulate runs a world until every reading is acknowledged and all has ended.
func simulate(seed uint64, cfg Config, idempotencyWindow, lossRate float64, routers, devices, readings, kills int) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), now: 1e6, cfg: cfg, lossRate: lossRate, idempotencyWindow: idempotencyWindow,
		route: Route{IdempotencyWindow: 5000, Groups: []int{1, 2}}, rows: map[string][]byte{},
		executions: map[string]int{}, running: map[string]*execution{}, startedAt: map[string]float64{},
		answers: map[Origin]int{},
	}
	for n := range routers {
		s := &modelRouter{world: w, number: n, disk: map[ID]Reading{}}
		w.routers = append(w.routers, s)
		w.boot(s)
	}
	for n := range devices {
		d := &modelDevice{world: w, number: n, router: n % routers}
		d.attempts = make([]int, readings)
		d.acknowledged = make([]bool, readings)
		w.devices = append(w.devices, d)
		for seq := range readings {
			w.after(w.rand.Float64()*3000, func() { d.send(uint16(seq)) })
		}
	}
	for range kills {
		w.after(w.rand.Float64()*8000, func() { w.boot(w.routers[w.rand.IntN(routers)]) })
	}
	for len(w.events) > 0 && w.now < 1e6+600e3 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	for _, d := range w.devices {
		for seq, done := range d.acknowledged {
			row := d.id(uint16(seq)).Row()
			if !done {
				w.fault("%s was never acknowledged", d.value(uint16(seq)))
			} else if n := w.executions[row]; n != 1 {
				w.fault("%s was recorded %d times", d.value(uint16(seq)), n)
			}
		}
	}
	for _, s := range w.routers {
		st := s.intake.Stats()
		w.stats.FoundRecorded += st.FoundRecorded
		w.stats.WriteRetries += st.WriteRetries
		w.stats.Writes += st.Writes
		if st.InProgress != 0 || st.Bytes != 0 || len(s.disk) != 0 {
			w.fault("left: %d readings, %d bytes, %d on the disk", st.InProgress, st.Bytes, len(s.disk))
		}
	}
	return w
}

func smallConfig() Config {
	cfg := Defaults()
	cfg.MaxReadings, cfg.MaxPerDevice, cfg.MaxDevices, cfg.MaxRecent, cfg.MaxWindow = 12, 8, 6, 4, 3
	cfg.MaxRetryAfter, cfg.AnswerTimeout = 3000, 9000
	return cfg
}

// Whatever is lost, delayed, duplicated or killed, each reading is recorded
// exactly once, nothing is acknowledged unrecorded and each copy gets one answer.
func TestExactlyOnceInModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := smallConfig()
		cfg.Durable = rapid.Bool().Draw(t, "durable")
		cfg.TrustFirstCopies = rapid.Bool().Draw(t, "trust")
		kills := rapid.IntRange(0, 4).Draw(t, "kills")
		w := simulate(rapid.Uint64().Draw(t, "seed"), cfg, 5000, rapid.Float64Range(0, 0.4).Draw(t, "loss"),
			rapid.IntRange(1, 3).Draw(t, "routers"), rapid.IntRange(1, 8).Draw(t, "devices"),
			rapid.IntRange(1, 8).Draw(t, "readings"), kills)
		if len(w.faults) > 0 {
			t.Fatalf("%d faults, first %s", len(w.faults), w.faults[0])
		}
	})
}

// The check above can fail: a shard that expires its keys sooner than it says
// records readings twice.
func TestModelDetectsDuplicates(t *testing.T) {
	var twice int
	for seed := range uint64(20) {
		for _, n := range simulate(seed, smallConfig(), 0, 0.3, 2, 6, 6, 3).executions {
			if n > 1 {
				twice++
			}
		}
	}
	if twice == 0 {
		t.Error("no reading was recorded twice by a shard without keys")
	}
}

// The same events give the same actions.
func TestModelIsDeterministic(t *testing.T) {
	a, b := simulate(3, smallConfig(), 5000, 0.3, 2, 6, 6, 3), simulate(3, smallConfig(), 5000, 0.3, 2, 6, 6, 3)
	if a.stats != b.stats || a.offers != b.offers || a.now != b.now {
		t.Errorf("%+v and %+v", a.stats, b.stats)
	}
	if a.stats.FoundRecorded == 0 || a.stats.WriteRetries == 0 {
		t.Errorf("nothing was found recorded or written again: %+v", a.stats)
	}
}
