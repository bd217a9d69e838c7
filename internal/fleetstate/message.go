package fleetstate

// maxNameBytes is the maximum length of the name of a member, endpoint or budget.
const maxNameBytes = 128

// Message is a message from one router to another. Any part may be empty.
type Message struct {
	Counters      []CounterEntry
	HealthReports []HealthReport
	LeaseRequests []LeaseRequest
	LeaseGrants   []LeaseGrant
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string // member name
	Message Message
}

// Upper bounds, in bytes, of the encoded parts of a message without their names.
// The tests of package wire check that no encoding exceeds them.
const (
	messageOverhead = 24
	entryOverhead   = 40
	reportOverhead  = 20
	leaseOverhead   = 60
)

// Size returns an upper bound of the length of the encoded message, in bytes.
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

// leaseSize returns an upper bound of the length of an encoded lease request or
// grant, in bytes.
func leaseSize(key string) int { return leaseOverhead + len(key) }

// integerSize returns the length of an unsigned integer in CBOR, in bytes
// (RFC 8949, section 3.1).
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
