package standin

import (
	"math/rand/v2"
	"sync"
)

// Execution is a write that took effect.
type Execution struct {
	Row  string
	Key  string  // idempotency key
	Doc  string  // the document that was written
	AtMs float64 // Unix milliseconds
}

// group is a replica group: its hosts, which of them is primary, and the log that
// the primary appends to. The replicas have every entry of the log, so no entry
// is lost with a primary.
type group struct {
	mu         sync.Mutex
	opt        *Options
	number     int
	rand       *rand.Rand
	hosts      []*Host
	primary    *Host // nil during an election
	term       int   // incremented when a primary is lost
	log        []Execution
	rows       map[string]int // index in log of each row's first write
	keys       map[string]*keyState
	repeats    int // writes not executed because their key was known
	aborted    int // writes lost with their primary
	staleReads int // see Options.BoundedClass
}

// keyState is a group's record of an idempotency key.
type keyState struct {
	startedAtMs float64       // Unix milliseconds
	done        bool          // true once the write took effect
	finished    chan struct{} // closed when the write took effect or was aborted
	logIndex    int           // index in group.log; valid when done
}

// result is the outcome of a statement.
type result struct {
	code     string // SQLSTATE; "" for success
	doc      []byte
	position float64 // replication position, Unix milliseconds
}

// SQLSTATEs of the hosts' errors.
const (
	codeReadOnly = "25006" // a write on a host that is not the primary
	codeStale    = "72000" // a read that needs newer data than the replica has
	codeOverload = "53300" // too many connections
	codeAborted  = "XX000" // the primary was lost while it executed the statement
)

// draw returns a uniform random number from low to below high.
func (g *group) draw(low, high float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return low + (high-low)*g.rand.Float64()
}

// chance returns true with probability p.
func (g *group) chance(p float64) bool { return g.draw(0, 1) < p }

// isPrimary reports whether h is the group's primary.
func (g *group) isPrimary(h *Host) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary == h
}

// write holds the parameters of a write statement.
type write struct {
	row        string
	key        string // idempotency key
	doc        string
	deadlineMs float64 // Unix milliseconds
}

// write executes a write on h. A write whose idempotency key is known waits for the
// first one to end and is not executed again if that took effect.
func (g *group) write(h *Host, w write) result {
	pending, outcome, sameKey := g.beginWrite(h, w)
	for sameKey != nil { // wait for the running write with this key
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

// pendingWrite is a write between beginWrite and endWrite.
type pendingWrite struct {
	key  *keyState
	term int // of the group when the write began
}

// beginWrite checks whether a write may be executed. It returns one of: the
// pending write to execute; the outcome if it must not be executed; or a channel
// that is closed when the running write with the same key ends.
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

// endWrite appends a write to the log, unless h has stopped or lost the role of
// primary since the write began.
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

// rowDoc returns a row's document: that of its first write. It panics if the row
// does not exist. The caller must hold g.mu.
func (g *group) rowDoc(row string) []byte { return []byte(g.log[g.rows[row]].Doc) }

// read executes a read of a class on h. A replica answers from the writes that it
// has applied. It rejects every read of FreshClass, and a read that must see a
// position that it has not applied yet. minPosition is in Unix milliseconds.
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
	if class == g.opt.FreshClass && (!isPrimary || h.isDown()) { // h stopped or lost the role of primary
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

// failOver elects another primary if h is the primary and does not recover before
// its loss is detected. It returns after the election.
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

// elect makes the first other host that is neither down nor hung the primary, or
// the lost one if there is none. Any host qualifies because every replica has the
// whole log.
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
