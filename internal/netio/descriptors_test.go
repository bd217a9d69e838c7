package netio

import "testing"

// Clients must not use the sockets that hosts need, nor the reverse.
func TestDescriptorBudgetDividesSockets(t *testing.T) {
	b := NewDescriptorBudget(systemDescriptors + 9)
	for range 6 {
		if !b.AcquireClient() {
			t.Fatal("a client is rejected too early")
		}
	}
	if b.AcquireClient() || !b.AcquireEndpoint() || !b.AcquireEndpoint() || !b.AcquireEndpoint() || b.AcquireEndpoint() {
		t.Error("the sockets are not divided")
	}
	b.ReleaseClient()
	if !b.AcquireEndpoint() || b.AcquireClient() {
		t.Error("a free socket is not used")
	}
}
