package netio

import "testing"

// Clients must not use the sockets that hosts need, nor the reverse.
func TestDescriptorBudgetDividesSockets(t *testing.T) {
	b := NewDescriptorBudget(systemDescriptors + 9)
	for range 6 {
		if !b.TakeClient() {
			t.Fatal("a client is rejected too early")
		}
	}
	if b.TakeClient() || !b.TakeHost() || !b.TakeHost() || !b.TakeHost() || b.TakeHost() {
		t.Error("the sockets are not divided")
	}
	b.GiveClient()
	if !b.TakeHost() || b.TakeClient() {
		t.Error("a free socket is not used")
	}
}
