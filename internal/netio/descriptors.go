package netio

// DescriptorBudget divides the process's file descriptors between clients and
// database hosts. It is not safe for concurrent use: it is part of its owner's
// state.
type DescriptorBudget struct {
	Total   int // sockets that may be open
	Clients int // of these, the most for clients
	Asking  int // of these, the most for clients with requests in flight
	clients int // sockets reserved for clients
	hosts   int // sockets reserved for database hosts
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
	b.Total = max(descriptors-systemDescriptors, 2)
	b.Clients = max(b.Total*2/3, 1)
	b.Asking = max(descriptors/3, 1)
}

// Open returns how many sockets are reserved.
func (b *DescriptorBudget) Open() (clients, hosts int) { return b.clients, b.hosts }

// TakeClient reserves a client's socket; it reports whether one was available.
func (b *DescriptorBudget) TakeClient() bool {
	if b.clients >= b.Clients || b.clients+b.hosts >= b.Total {
		return false
	}
	b.clients++
	return true
}

// GiveClient releases a client's socket.
func (b *DescriptorBudget) GiveClient() { b.clients-- }

// Spare returns how many more sockets may be open.
func (b *DescriptorBudget) Spare() int { return max(b.Total-b.clients-b.hosts, 0) }

// ClientsShort reports whether clients have more than half of their sockets: the
// rest is for new ones.
func (b *DescriptorBudget) ClientsShort() bool { return b.clients > b.Clients/2 }

// TakeHost reserves a socket to a database host; it reports whether one was
// available.
func (b *DescriptorBudget) TakeHost() bool {
	if b.clients+b.hosts >= b.Total {
		return false
	}
	b.hosts++
	return true
}

// GiveHost releases a socket to a database host.
func (b *DescriptorBudget) GiveHost() { b.hosts-- }
