package netio

// Memory is a budget of bytes that peers may make the process hold. It is part
// of the owner's state.
type Memory struct {
	limit, used int
}

// Resize sets the budget. What is booked beyond it stays so.
func (m *Memory) Resize(limit int) { m.limit = limit }

// Fits tells whether n more bytes are left.
func (m *Memory) Fits(n int) bool { return m.used+n <= m.limit }

// Exceeded tells whether more is booked than the budget holds.
func (m *Memory) Exceeded() bool { return m.used > m.limit }

// Book books n bytes, left or not; a negative n returns them.
func (m *Memory) Book(n int) { m.used += n }

// Used returns how many bytes are booked.
func (m *Memory) Used() int { return m.used }
