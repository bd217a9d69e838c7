package netio

// MemoryBudget limits the memory that the process uses for data from its peers. It
// is not safe for concurrent use. The zero MemoryBudget has a limit of 0.
type MemoryBudget struct {
	limit int // bytes
	used  int // reserved bytes
}

// Resize sets the limit in bytes. Existing reservations remain, even if they exceed
// it.
func (m *MemoryBudget) Resize(limit int) { m.limit = limit }

// Fits reports whether n more bytes can be reserved within the limit.
func (m *MemoryBudget) Fits(n int) bool { return m.used+n <= m.limit }

// Exceeded reports whether more bytes than the limit are reserved.
func (m *MemoryBudget) Exceeded() bool { return m.used > m.limit }

// Reserve reserves n bytes, even beyond the limit. A negative n releases bytes.
func (m *MemoryBudget) Reserve(n int) { m.used += n }

// Used returns the number of reserved bytes.
func (m *MemoryBudget) Used() int { return m.used }
