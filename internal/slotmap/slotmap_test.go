package slotmap

import "testing"

// A late event must not reach the next value of its slot.
func TestHandleDoesNotReachNextValueOfSlot(t *testing.T) {
	var table Table[int]
	one, two := 1, 2
	first := table.Add(&one)
	if FromID(first.ID()) != first || first.ID() == 0 {
		t.Errorf("%+v is not restored from its ID", first)
	}
	table.Remove(first)
	table.Remove(first) // late: frees nothing twice
	second := table.Add(&two)
	if second.Slot != first.Slot || table.Get(first) != nil || table.Get(second) != &two {
		t.Errorf("%+v after %+v", second, first)
	}
	if third := table.Add(&one); third.Slot == second.Slot {
		t.Error("one slot was used twice")
	}
}
