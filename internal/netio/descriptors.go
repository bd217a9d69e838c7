package netio

// DescriptorBudget divides the process's file descriptors between clients and
// database hosts. It is not safe for concurrent use: it is part of its owner's
// state.
type DescriptorBudget struct {
	MaxSockets       int // sockets that may be open
	MaxClients       int // of these, the most for clients
	MaxActiveClients int // of these, the most for clients with requests in flight
	clients          int // sockets reserved for clients
	hosts            int // sockets reserved for database hosts
}

// systemDescriptors are reserved for the listener, pollers, discovery and the
// runtime.
const systemDescriptors = 24

// NewDescriptorBudget divides a limit on descriptors.
func NewDescriptorBudget(descriptors int) *DescriptorBudget {
	b := &DescriptorBudget{}
	b.Resize(descriptors)
	return b
}

// Resize divides another limit. Reservations beyond it remain.
func (b *DescriptorBudget) Resize(descriptors int) {
	b.MaxSockets = max(descriptors-systemDescriptors, 2)
	b.MaxClients = max(b.MaxSockets*2/3, 1)
	b.MaxActiveClients = max(descriptors/3, 1)
}

// Open returns how many sockets are reserved.
func (b *DescriptorBudget) Open() (clients, hosts int) { return b.clients, b.hosts }

// AcquireClient reserves a client's socket; it reports whether one was available.
func (b *DescriptorBudget) AcquireClient() bool {
	if b.clients >= b.MaxClients || b.clients+b.hosts >= b.MaxSockets {
		return false
	}
	b.clients++
	return true
}

// ReleaseClient releases a client's socket.
func (b *DescriptorBudget) ReleaseClient() { b.clients-- }

// Available returns how many more sockets may be open.
func (b *DescriptorBudget) Available() int { return max(b.MaxSockets-b.clients-b.hosts, 0) }

// ClientPressure reports whether clients have more than half of their sockets: the
// rest is for new ones.
func (b *DescriptorBudget) ClientPressure() bool { return b.clients > b.MaxClients/2 }

// AcquireEndpoint reserves a socket to a database host; it reports whether one was
// available.
func (b *DescriptorBudget) AcquireEndpoint() bool {
	if b.clients+b.hosts >= b.MaxSockets {
		return false
	}
	b.hosts++
	return true
}

// ReleaseEndpoint releases a socket to a database host.
func (b *DescriptorBudget) ReleaseEndpoint() { b.hosts-- }
