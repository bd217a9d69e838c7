package netio

// Memory is a budget of the bytes that peers may make the process keep in memory.
// It is not safe for concurrent use: it is part of its owner's state.
type Memory struct {
	limit int // bytes
	used  int // bytes reserved
}

// Resize sets the limit in bytes. Reservations beyond it remain.
func (m *Memory) Resize(limit int) { m.limit = limit }

// Fits reports whether n more bytes are available.
func (m *Memory) Fits(n int) bool { return m.used+n <= m.limit }

// Exceeded reports whether more than the limit is reserved.
func (m *Memory) Exceeded() bool { return m.used > m.limit }

// Book reserves n bytes, available or not; a negative n releases them.
func (m *Memory) Book(n int) { m.used += n }

// Used returns how many bytes are reserved.
func (m *Memory) Used() int { return m.used }
