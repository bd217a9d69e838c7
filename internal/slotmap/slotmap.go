// Package slotmap provides tables of numbered slots, used for connections and
// requests. A handle holds the number of a slot and its generation, which changes
// with each value, so that a handle to a removed value does not refer to the value
// that reuses its slot. Tables are not safe for concurrent use.
package slotmap

// Handle refers to the value in a slot at one generation. Once that value is
// removed, the handle refers to nothing, so a late event does not reach the slot's
// next value. The zero Handle refers to nothing.
type Handle struct {
	Slot uint32
	Gen  uint32 // the slot's generation, from 1; 0 in the zero Handle
}

// ID packs a handle into one number. It is never 0 for a handle returned by Add.
func (h Handle) ID() uint64 { return uint64(h.Gen)<<32 | uint64(h.Slot) }

// FromID returns the handle that ID packed.
func FromID(id uint64) Handle { return Handle{Slot: uint32(id), Gen: uint32(id >> 32)} }

// maxGeneration keeps IDs below 2^52, as in the simulator of the decision module.
// The generations of a slot start again from 1 after it.
const maxGeneration = 1<<20 - 1

type slot[T any] struct {
	gen   uint32 // generation of the value, or of the last value if the slot is free
	value *T     // nil if the slot is free
}

// Table is a table of slots. The zero Table is empty and ready to use.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32 // indexes of the free slots; Add uses the last one
}

// Add puts value, which must not be nil, into a free slot and returns its handle.
func (t *Table[T]) Add(value *T) Handle {
	if len(t.free) == 0 {
		t.slots = append(t.slots, slot[T]{})
		t.free = append(t.free, uint32(len(t.slots)-1))
	}
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	added := &t.slots[index]
	added.gen = added.gen%maxGeneration + 1
	added.value = value
	return Handle{Slot: index, Gen: added.gen}
}

// Get returns the value that a handle refers to, or nil if it was removed.
func (t *Table[T]) Get(h Handle) *T {
	if int(h.Slot) >= len(t.slots) || t.slots[h.Slot].gen != h.Gen {
		return nil
	}
	return t.slots[h.Slot].value
}

// AtSlot returns the current value of a slot at any generation, or nil if the slot
// is free.
func (t *Table[T]) AtSlot(slot uint32) *T {
	if int(slot) >= len(t.slots) {
		return nil
	}
	return t.slots[slot].value
}

// Remove removes the value that a handle refers to and frees its slot. It does
// nothing if the value has already been removed.
func (t *Table[T]) Remove(h Handle) {
	if t.Get(h) != nil {
		t.slots[h.Slot].value = nil
		t.free = append(t.free, h.Slot)
	}
}

// Each calls do for each value in the table, in the order of the slots. do may
// remove values.
func (t *Table[T]) Each(do func(Handle, *T)) {
	for i := range t.slots {
		if value := t.slots[i].value; value != nil {
			do(Handle{Slot: uint32(i), Gen: t.slots[i].gen}, value)
		}
	}
}
