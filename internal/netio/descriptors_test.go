package netio

import "testing"

// Clients must leave sockets for endpoints, and endpoints may use the sockets that
// clients do not.
func TestDescriptorBudgetDividesSockets(t *testing.T) {
	b := NewDescriptorBudget(reservedDescriptors + 9)
	for range 6 {
		if !b.AcquireClient() {
			t.Fatal("AcquireClient() = false before 6 of 9 sockets are in use")
		}
	}
	if b.AcquireClient() || !b.AcquireEndpoint() || !b.AcquireEndpoint() || !b.AcquireEndpoint() || b.AcquireEndpoint() {
		t.Error("9 sockets are not divided into 6 for clients and 3 for endpoints")
	}
	b.ReleaseClient()
	if !b.AcquireEndpoint() || b.AcquireClient() {
		t.Error("a released client's socket did not go to an endpoint")
	}
}
