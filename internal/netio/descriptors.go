package netio

// DescriptorBudget divides the process's file descriptors between connections from
// clients and connections to endpoints. It is not safe for concurrent use.
type DescriptorBudget struct {
	MaxSockets       int // limit on all sockets
	MaxClients       int // limit on clients' sockets
	MaxActiveClients int // limit on clients that have sent a request; near it the owner evicts idle ones
	clients          int // reserved sockets of clients
	endpoints        int // reserved sockets to endpoints
}

// reservedDescriptors is the number of descriptors left to the listener, the
// pollers, discovery and the runtime.
const reservedDescriptors = 24

// NewDescriptorBudget returns a budget that divides the given number of
// descriptors.
func NewDescriptorBudget(descriptors int) *DescriptorBudget {
	b := &DescriptorBudget{}
	b.Resize(descriptors)
	return b
}

// Resize changes the number of descriptors to divide. Existing reservations remain,
// even if they exceed the new limits.
func (b *DescriptorBudget) Resize(descriptors int) {
	b.MaxSockets = max(descriptors-reservedDescriptors, 2)
	b.MaxClients = max(b.MaxSockets*2/3, 1)
	b.MaxActiveClients = max(descriptors/3, 1)
}

// InUse returns the numbers of reserved sockets of clients and to endpoints.
func (b *DescriptorBudget) InUse() (clients, endpoints int) { return b.clients, b.endpoints }

// AcquireClient reserves a client's socket and reports whether one was available.
func (b *DescriptorBudget) AcquireClient() bool {
	if b.clients >= b.MaxClients || b.clients+b.endpoints >= b.MaxSockets {
		return false
	}
	b.clients++
	return true
}

// ReleaseClient releases a client's socket.
func (b *DescriptorBudget) ReleaseClient() { b.clients-- }

// Available returns how many more sockets may be reserved.
func (b *DescriptorBudget) Available() int { return max(b.MaxSockets-b.clients-b.endpoints, 0) }

// ClientPressure reports whether clients use more than half of MaxClients. The
// owner then ends idle connections earlier, to leave sockets for new clients.
func (b *DescriptorBudget) ClientPressure() bool { return b.clients > b.MaxClients/2 }

// AcquireEndpoint reserves a socket to an endpoint and reports whether one was
// available.
func (b *DescriptorBudget) AcquireEndpoint() bool {
	if b.clients+b.endpoints >= b.MaxSockets {
		return false
	}
	b.endpoints++
	return true
}

// ReleaseEndpoint releases a socket to an endpoint.
func (b *DescriptorBudget) ReleaseEndpoint() { b.endpoints-- }
