// Package slotmap keeps connections and requests in tables of numbered slots.
package slotmap

// Ref names a slot at one generation. A reference kept past the end of what
// it named finds nothing, so a late event harms no successor.
type Handle struct{ Slot, Gen uint32 }

// ID packs a reference into one number, never 0 for one that a Table made.
func (r Handle) ID() uint64 { return uint64(r.Gen)<<32 | uint64(r.Slot) }

// FromID unpacks what ID packed.
func FromID(id uint64) Handle { return Handle{uint32(id), uint32(id >> 32)} }

// maxGen keeps an ID below 2^52, as the decisions' simulator does.
const maxGen = 1<<20 - 1

type slot[T any] struct {
	gen   uint32
	value *T
}

// Table is a table of slots. The zero Table is empty and ready.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32
}

// Add puts v into a free slot.
func (t *Table[T]) Add(v *T) Handle {
	if len(t.free) == 0 {
		t.slots = append(t.slots, slot[T]{})
		t.free = append(t.free, uint32(len(t.slots)-1))
	}
	n := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	s := &t.slots[n]
	s.gen = s.gen%maxGen + 1
	s.value = v
	return Handle{n, s.gen}
}

// Get returns what r names, nil if that has gone.
func (t *Table[T]) Get(r Handle) *T {
	if int(r.Slot) >= len(t.slots) || t.slots[r.Slot].gen != r.Gen {
		return nil
	}
	return t.slots[r.Slot].value
}

// At returns what is in a slot now, whatever its generation, nil if nothing is.
func (t *Table[T]) AtSlot(slot uint32) *T {
	if int(slot) >= len(t.slots) {
		return nil
	}
	return t.slots[slot].value
}

// Remove frees the slot that r names.
func (t *Table[T]) Remove(r Handle) {
	if t.Get(r) != nil {
		t.slots[r.Slot].value = nil
		t.free = append(t.free, r.Slot)
	}
}

// Each calls do for everything in the table.
func (t *Table[T]) Each(do func(Handle, *T)) {
	for i := range t.slots {
		if v := t.slots[i].value; v != nil {
			do(Handle{uint32(i), t.slots[i].gen}, v)
		}
	}
}
