package netio

import "sync"

// closings counts the connections that are being closed in other goroutines.
var closings = newPendingCount()

// pendingCount counts operations that have begun and not ended. Its methods are
// safe for concurrent use.
type pendingCount struct {
	mu      sync.Mutex
	ended   sync.Cond
	pending int
}

// newPendingCount returns a count of 0.
func newPendingCount() *pendingCount {
	p := &pendingCount{}
	p.ended.L = &p.mu
	return p
}

// begin counts an operation until end is called.
func (p *pendingCount) begin() {
	p.mu.Lock()
	p.pending++
	p.mu.Unlock()
}

// end ends one operation.
func (p *pendingCount) end() {
	p.mu.Lock()
	p.pending--
	if p.pending == 0 {
		p.ended.Broadcast()
	}
	p.mu.Unlock()
}

// wait blocks while operations are pending.
func (p *pendingCount) wait() {
	p.mu.Lock()
	for p.pending > 0 {
		p.ended.Wait()
	}
	p.mu.Unlock()
}
