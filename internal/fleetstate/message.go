package fleetstate

// maxNameBytes bounds names of members, endpoints and budgets in a message.
const maxNameBytes = 128

// Message is what one router sends another.
type Message struct {
	Counters      []CounterEntry
	HealthReports []HealthReport
	LeaseRequests []LeaseRequest
	LeaseGrants   []LeaseGrant
}

// Envelope is a message to a member.
type Envelope struct {
	To      string
	Message Message
}

// Upper bounds, in bytes, of the encoded parts of a message besides their
// names; the tests of package wire hold every encoding under them.
const (
	messageOverhead = 24
	entryOverhead   = 40
	reportOverhead  = 20
	leaseOverhead   = 60
)

// Size is an upper bound of the encoded message in bytes.
func (m Message) Size() int {
	size := messageOverhead
	for _, entry := range m.Counters {
		size += entry.size()
	}
	for _, report := range m.HealthReports {
		size += report.size()
	}
	for _, request := range m.LeaseRequests {
		size += leaseSize(request.Key)
	}
	for _, grant := range m.LeaseGrants {
		size += leaseSize(grant.Key)
	}
	return size
}

func (e CounterEntry) size() int {
	size := entryOverhead + len(e.Name)
	for _, value := range e.Counters {
		size += integerSize(value)
	}
	return size
}

func (r HealthReport) size() int { return reportOverhead + len(r.Endpoint) }

// leaseSize is that of a request or a grant for a budget.
func leaseSize(key string) int { return leaseOverhead + len(key) }

// integerSize is the length of an integer in CBOR (RFC 8949, section 3.1).
func integerSize(value uint64) int {
	switch {
	case value < 24:
		return 1
	case value < 1<<8:
		return 2
	case value < 1<<16:
		return 3
	case value < 1<<32:
		return 5
	}
	return 9
}
