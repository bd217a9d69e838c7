package standin

import (
	"math/rand/v2"
	"sync"
)

// Execution is one write that took effect.
type Execution struct {
	Row  string
	Key  string // idempotency key
	Doc  string
	AtMs float64 // Unix milliseconds
}

// group is one shard: a log that its primary appends to, and which host is
// primary. A replica has every entry of the log, which therefore survives its
// primary.
type group struct {
	mu         sync.Mutex
	opt        *Options
	number     int
	rand       *rand.Rand
	hosts      []*Host
	primary    *Host // nil during an election
	term       int   // counts the losses of a primary
	log        []Execution
	rows       map[string]int // index in log of each row's first write
	keys       map[string]*keyState
	repeats    int // writes dropped since their key was known
	aborted    int // writes lost with their primary
	staleReads int
}

// keyState is what a group knows of an idempotency key.
type keyState struct {
	startedAtMs float64       // Unix milliseconds
	done        bool          // the write took effect
	finished    chan struct{} // closed when the write took effect or was aborted
	logIndex    int           // index in log, once done
}

// result is the outcome of a statement.
type result struct {
	code     string // SQLSTATE, "" for a row
	doc      []byte
	position float64 // replication position, Unix milliseconds
}

// SQLSTATEs of the hosts' errors.
const (
	codeReadOnly = "25006" // a write at a host that is not the primary
	codeStale    = "72000" // a read that this replica must not answer
	codeOverload = "53300"
	codeAborted  = "XX000" // lost with the primary
)

// draw returns a uniform random number.
func (g *group) draw(low, high float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return low + (high-low)*g.rand.Float64()
}

// chance reports true with a probability.
func (g *group) chance(p float64) bool { return g.draw(0, 1) < p }

// isPrimary reports whether h is the group's primary.
func (g *group) isPrimary(h *Host) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary == h
}

// write is a client's write of a row.
type write struct {
	row        string
	key        string // idempotency key
	doc        string
	deadlineMs float64 // Unix milliseconds
}

// write runs a write at h, once for each remembered key.
func (g *group) write(h *Host, w write) result {
	pending, outcome, sameKey := g.beginWrite(h, w)
	for sameKey != nil { // a write with this key is running
		<-sameKey
		pending, outcome, sameKey = g.beginWrite(h, w)
	}
	if pending == nil {
		return outcome
	}
	h.work()
	sleepMs(g.draw(g.opt.ReplicateMinMs, g.opt.ReplicateMaxMs))
	h.waitWhileHung()
	return g.endWrite(h, w, pending)
}

// pendingWrite is a write that has begun.
type pendingWrite struct {
	key  *keyState
	term int // when it began
}

// beginWrite checks whether a write may run. It returns the write to run, or
// the outcome of one that must not run, or what ends when the write that runs
// with the same key ends.
func (g *group) beginWrite(h *Host, w write) (
	pending *pendingWrite, outcome result, sameKey <-chan struct{},
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != h {
		return nil, result{code: codeReadOnly}, nil
	}
	known := g.keys[w.key]
	if known != nil && g.opt.Sabotage != ForgetsKeys && nowMs() < known.startedAtMs+g.opt.KeyTTLMs {
		if !known.done {
			return nil, result{}, known.finished
		}
		g.repeats++
		return nil, result{doc: g.rowDoc(w.row), position: g.log[known.logIndex].AtMs}, nil
	}
	if nowMs() > w.deadlineMs {
		return nil, result{code: codeOverload}, nil
	}
	key := &keyState{startedAtMs: nowMs(), finished: make(chan struct{})}
	g.keys[w.key] = key
	if g.opt.Sabotage == AcksEarly && g.rand.Float64() < sabotageChance {
		return nil, result{doc: []byte(w.doc), position: nowMs()}, nil
	}
	return &pendingWrite{key: key, term: g.term}, result{}, nil
}

// endWrite records a write, unless it is lost with its primary.
func (g *group) endWrite(h *Host, w write, pending *pendingWrite) result {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := pending.key
	defer close(key.finished)
	if g.term != pending.term || g.primary != h || h.isDown() {
		g.aborted++
		if g.keys[w.key] == key {
			delete(g.keys, w.key)
		}
		return result{code: codeAborted}
	}
	times := 1
	if g.opt.Sabotage == RunsTwice && g.rand.Float64() < sabotageChance {
		times = 2
	}
	for range times {
		g.log = append(g.log, Execution{Row: w.row, Key: w.key, Doc: w.doc, AtMs: nowMs()})
		if _, ok := g.rows[w.row]; !ok {
			g.rows[w.row] = len(g.log) - 1
		}
	}
	key.done = true
	key.logIndex = len(g.log) - 1
	return result{doc: g.rowDoc(w.row), position: nowMs()}
}

// rowDoc returns a row's document, which is that of its first write.
func (g *group) rowDoc(row string) []byte { return []byte(g.log[g.rows[row]].Doc) }

// read runs a read of a class at h. A replica answers with what it has applied,
// and rejects a read that must see a later position.
func (g *group) read(h *Host, row, class string, minPosition float64) result {
	arrived := nowMs()
	g.mu.Lock()
	tooStale := g.primary != h && (class == g.opt.FreshClass || minPosition > arrived-h.lagMs)
	g.mu.Unlock()
	if tooStale {
		return result{code: codeStale}
	}
	h.work()
	h.waitWhileHung()
	g.mu.Lock()
	defer g.mu.Unlock()
	isPrimary := g.primary == h
	countsStale := class == g.opt.BoundedClass && g.opt.MaxStalenessMs > 0
	if countsStale && !isPrimary && h.lagMs > g.opt.MaxStalenessMs {
		g.staleReads++
	}
	if class == g.opt.FreshClass && (!isPrimary || h.isDown()) { // it lost its role meanwhile
		return result{code: codeAborted}
	}
	position := nowMs()
	if !isPrimary {
		position -= h.lagMs
	}
	var doc []byte
	if i, ok := g.rows[row]; ok && g.log[i].AtMs <= position {
		doc = []byte(g.log[i].Doc)
	}
	return result{doc: doc, position: position}
}

// failOver replaces h if it is a primary that stays lost. It returns once another
// host is primary.
func (g *group) failOver(h *Host) {
	g.mu.Lock()
	term := g.term
	isPrimary := g.primary == h
	g.mu.Unlock()
	if !isPrimary {
		return
	}
	sleepMs(g.draw(g.opt.DetectMinMs, g.opt.DetectMaxMs))
	g.mu.Lock()
	cameBack := !h.isDown() && !h.isHung()
	if g.term != term || g.primary != h || cameBack {
		g.mu.Unlock()
		return
	}
	g.primary = nil
	g.term++
	g.mu.Unlock()
	sleepMs(g.draw(g.opt.ElectMinMs, g.opt.ElectMaxMs))
	g.elect(h)
}

// elect makes the first running host primary, other than the lost one if
// possible. Every replica has the whole log.
func (g *group) elect(lost *Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.hosts {
		if h != lost && !h.isDown() && !h.isHung() {
			g.primary = h
			return
		}
	}
	g.primary = lost
}
