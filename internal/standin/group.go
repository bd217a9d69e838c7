// Package standin holds stand-ins for the systems around the router, written
// from their public descriptions: groups of database hosts that speak the
// PostgreSQL protocol, discovery, and links that lose, delay and stall. Every
// fault is drawn from one seed. What they count is counted here alone, so that
// an audit needs to believe nothing of the program under test.
package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Sabotage makes the stand-ins misbehave, so that an audit is seen to notice.
type Sabotage string

// The ways to misbehave.
const (
	RunsTwice   Sabotage = "runs-twice"   // a write runs twice now and then
	ForgetsKeys Sabotage = "forgets-keys" // a repeat of a key runs again
	AcksEarly   Sabotage = "acks-early"   // a write is answered and never recorded now and then
)

// Options describe the database groups. Times are in milliseconds.
type Options struct {
	Seed                   uint64
	Groups, Replicas       int
	Singles                int // groups after those that have a primary alone
	KeyTTL                 float64
	WorkMin, WorkMax       float64
	ShipMin, ShipMax       float64
	DetectMin, DetectMax   float64 // until a primary that is gone is given up
	ElectMin, ElectMax     float64 // until a replica has taken over then
	ColdFor, StartCapacity float64
	Cores, Queue           int
	ResetAfter             float64 // chance that a connection breaks after its write ran
	FullChance             float64 // chance that a request is turned away unseen
	Fresh                  string  // the class that must see all that was written
	Sabotage               Sabotage
	// Steady hosts answer each statement after its work, however many there
	// are and however cold they are: they only count what they are sent. One
	// that hangs still takes connections.
	Steady  bool
	Bounded string  // the class that BoundMs is for
	BoundMs float64 // data older than this in a replica's answer is counted as stale; 0 for none
}

// Defaults are the figures of the deployment, with less work to each request.
func Defaults() Options {
	return Options{
		Groups: 2, Replicas: 2, KeyTTL: 5000, WorkMin: 2, WorkMax: 12, ShipMin: 2, ShipMax: 14,
		DetectMin: 1200, DetectMax: 2900, ElectMin: 1600, ElectMax: 3900, ColdFor: 18000, StartCapacity: 0.21,
		Cores: 3, Queue: 64, ResetAfter: 0.03, FullChance: 0.01, Fresh: "invoice-check",
	}
}

// Execution is one write that took effect.
type Execution struct {
	Row, Key string
	Doc      string
	At       float64
}

// group is one shard: a log that its primary appends to, and who is primary.
// What is in the log is held by a replica, too, and outlives its primary.
type group struct {
	mu      sync.Mutex
	opt     *Options
	number  int
	rand    *rand.Rand
	hosts   []*Host
	primary *Host
	term    int // counts changes of primary
	log     []Execution
	rows    map[string]int // first entry of each row
	keys    map[string]*keyState
	repeats int
	aborted int
	stale   int
}

type keyState struct {
	began float64
	done  bool
	ended chan struct{}
	entry int
}

func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

func sleepMs(ms float64) { time.Sleep(time.Duration(ms * float64(time.Millisecond))) }

func (g *group) draw(low, high float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return low + (high-low)*g.rand.Float64()
}

func (g *group) chance(p float64) bool { return g.draw(0, 1) < p }

// result is what became of a statement.
type result struct {
	code string // SQLSTATE, "" for a row
	doc  []byte
	lsn  float64
}

// write runs a write at h, once for each live key.
func (g *group) write(h *Host, row, key, doc string, until float64) result {
	for {
		g.mu.Lock()
		if g.primary != h {
			g.mu.Unlock()
			return result{code: "25006"}
		}
		k := g.keys[key]
		if k != nil && g.opt.Sabotage != ForgetsKeys && nowMs() < k.began+g.opt.KeyTTL {
			if k.done {
				g.repeats++
				e := g.log[k.entry]
				g.mu.Unlock()
				return result{doc: []byte(g.log[g.rows[row]].Doc), lsn: e.At}
			}
			g.mu.Unlock()
			<-k.ended
			continue
		}
		if nowMs() > until { // the request is already over
			g.mu.Unlock()
			return result{code: "53300"}
		}
		k = &keyState{began: nowMs(), ended: make(chan struct{})}
		g.keys[key] = k
		term := g.term
		early := g.opt.Sabotage == AcksEarly && g.rand.Float64() < 0.05
		g.mu.Unlock()
		if early {
			return result{doc: []byte(doc), lsn: nowMs()}
		}
		h.work()
		sleepMs(g.draw(g.opt.ShipMin, g.opt.ShipMax)) // until a replica holds it
		h.awake()
		g.mu.Lock()
		defer g.mu.Unlock()
		defer close(k.ended)
		if g.term != term || g.primary != h || h.isDown() { // it dies with its primary
			g.aborted++
			if g.keys[key] == k {
				delete(g.keys, key)
			}
			return result{code: "XX000"}
		}
		times := 1
		if g.opt.Sabotage == RunsTwice && g.rand.Float64() < 0.05 {
			times = 2
		}
		for range times {
			e := Execution{row, key, doc, nowMs()}
			g.log = append(g.log, e)
			if _, ok := g.rows[row]; !ok {
				g.rows[row] = len(g.log) - 1
			}
		}
		k.done, k.entry = true, len(g.log)-1
		return result{doc: []byte(g.log[g.rows[row]].Doc), lsn: nowMs()}
	}
}

// read runs a read at h. A replica sees what it has applied.
func (g *group) read(h *Host, row, class string, after float64) result {
	came := nowMs()
	g.mu.Lock()
	if g.primary != h && (class == g.opt.Fresh || after > came-h.lag) {
		g.mu.Unlock()
		return result{code: "72000"}
	}
	g.mu.Unlock()
	h.work()
	h.awake()
	g.mu.Lock()
	defer g.mu.Unlock()
	if class == g.opt.Bounded && g.opt.BoundMs > 0 && g.primary != h && h.lag > g.opt.BoundMs {
		g.stale++
	}
	if class == g.opt.Fresh && (g.primary != h || h.isDown()) { // it lost its role meanwhile
		return result{code: "XX000"}
	}
	pos := nowMs()
	if g.primary != h {
		pos -= h.lag
	}
	var doc []byte
	if i, ok := g.rows[row]; ok && g.log[i].At <= pos {
		doc = []byte(g.log[i].Doc)
	}
	return result{doc: doc, lsn: pos}
}

// fail gives up a primary that is gone, after a while, and elects another.
func (g *group) fail(h *Host) {
	g.mu.Lock()
	if g.primary != h {
		g.mu.Unlock()
		return
	}
	term := g.term
	g.mu.Unlock()
	sleepMs(g.draw(g.opt.DetectMin, g.opt.DetectMax))
	g.mu.Lock()
	if g.term != term || g.primary != h || !h.isDown() && !h.isHung() { // it came back in time
		g.mu.Unlock()
		return
	}
	g.primary = nil
	g.term++
	g.mu.Unlock()
	sleepMs(g.draw(g.opt.ElectMin, g.opt.ElectMax))
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.hosts { // the log is held by all; whoever lives may lead
		if c != h && !c.isDown() && !c.isHung() {
			g.primary = c
			return
		}
	}
	g.primary = h
}
