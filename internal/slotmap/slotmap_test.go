package slotmap

import "testing"

// An event that arrives after its value was removed must not reach the value that
// has reused the slot.
func TestHandleIsInvalidAfterSlotIsReused(t *testing.T) {
	var table Table[int]
	one, two := 1, 2
	first := table.Add(&one)
	if FromID(first.ID()) != first || first.ID() == 0 {
		t.Errorf("FromID(%d) = %+v, want %+v", first.ID(), FromID(first.ID()), first)
	}
	table.Remove(first)
	table.Remove(first) // must not free the slot a second time
	second := table.Add(&two)
	if second.Slot != first.Slot || table.Get(first) != nil || table.Get(second) != &two {
		t.Errorf("handle %+v after removal of %+v, want the same slot at a new generation", second, first)
	}
	if third := table.Add(&one); third.Slot == second.Slot {
		t.Errorf("slot %d is used for two values", third.Slot)
	}
}
