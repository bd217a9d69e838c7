package netio

// MemoryBudget is a budget of the bytes that peers may make the process keep in memory.
// It is not safe for concurrent use: it is part of its owner's state.
type MemoryBudget struct {
	limit int // bytes
	used  int // bytes reserved
}

// Resize sets the limit in bytes. Reservations beyond it remain.
func (m *MemoryBudget) Resize(limit int) { m.limit = limit }

// Fits reports whether n more bytes are available.
func (m *MemoryBudget) Fits(n int) bool { return m.used+n <= m.limit }

// Exceeded reports whether more than the limit is reserved.
func (m *MemoryBudget) Exceeded() bool { return m.used > m.limit }

// Reserve reserves n bytes, available or not; a negative n releases them.
func (m *MemoryBudget) Reserve(n int) { m.used += n }

// Used returns how many bytes are reserved.
func (m *MemoryBudget) Used() int { return m.used }
