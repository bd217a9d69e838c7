// Package slotmap keeps connections and requests in tables of numbered slots, whose
// handles detect that a slot was reused. Tables are not safe for concurrent use.
package slotmap

// Handle refers to a slot at one generation. After the removal of what it refers to
// it finds nothing, so a late event does not reach the slot's next value.
type Handle struct {
	Slot uint32
	Gen  uint32 // the generation, 0 for no handle
}

// ID packs a handle into one number, never 0 for one that a Table made.
func (h Handle) ID() uint64 { return uint64(h.Gen)<<32 | uint64(h.Slot) }

// FromID returns the handle of an ID.
func FromID(id uint64) Handle { return Handle{Slot: uint32(id), Gen: uint32(id >> 32)} }

// maxGen keeps an ID below 2^52, as the decisions' simulator does.
const maxGen = 1<<20 - 1

type slot[T any] struct {
	gen   uint32 // of the value, or of the last one
	value *T     // nil for a free slot
}

// Table is a table of slots. The zero Table is empty and ready.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32 // free slots, the next one last
}

// Add puts a value, not nil, into a free slot.
func (t *Table[T]) Add(value *T) Handle {
	if len(t.free) == 0 {
		t.slots = append(t.slots, slot[T]{})
		t.free = append(t.free, uint32(len(t.slots)-1))
	}
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	added := &t.slots[index]
	added.gen = added.gen%maxGen + 1
	added.value = value
	return Handle{Slot: index, Gen: added.gen}
}

// Get returns the value that a handle refers to, nil if it was removed.
func (t *Table[T]) Get(h Handle) *T {
	if int(h.Slot) >= len(t.slots) || t.slots[h.Slot].gen != h.Gen {
		return nil
	}
	return t.slots[h.Slot].value
}

// AtSlot returns the present value of a slot, whatever its generation, nil if it is
// free.
func (t *Table[T]) AtSlot(slot uint32) *T {
	if int(slot) >= len(t.slots) {
		return nil
	}
	return t.slots[slot].value
}

// Remove frees the slot that a handle refers to. It does nothing if the value was
// removed already.
func (t *Table[T]) Remove(h Handle) {
	if t.Get(h) != nil {
		t.slots[h.Slot].value = nil
		t.free = append(t.free, h.Slot)
	}
}

// Each calls do for each value in the table, in the order of the slots.
func (t *Table[T]) Each(do func(Handle, *T)) {
	for i := range t.slots {
		if value := t.slots[i].value; value != nil {
			do(Handle{Slot: uint32(i), Gen: t.slots[i].gen}, value)
		}
	}
}
