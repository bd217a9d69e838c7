package fleetstate

// CounterKind is what a counter counts, for each class of request.
type CounterKind uint8

// The counters of a class.
const (
	Requests          CounterKind = iota // received from clients
	Rejections                           // requests answered as rejected
	Retries                              // attempts after a request's first
	CrossZoneAttempts                    // attempts that left the router's zone
	Attempts                             // attempts that may have reached an endpoint
	counterKinds
)

// CounterKindNames are the kinds' names in metrics, in their order.
func CounterKindNames() []string {
	return []string{"requests", "rejections", "retries", "cross_zone_attempts", "attempts"}
}

// maxClasses bounds the classes that the counters of a peer may have.
const maxClasses = 64

// Counters are a router's counters: index class*kinds + kind.
type Counters []uint64

// Get returns one counter, 0 if it was never raised.
func (c Counters) Get(class int, kind CounterKind) uint64 {
	if i := class*int(counterKinds) + int(kind); i < len(c) {
		return c[i]
	}
	return 0
}

// Add raises one counter by n. Classes out of range are ignored.
func (c *Counters) Add(class int, kind CounterKind, n uint64) {
	if class < 0 || class >= maxClasses {
		return
	}
	i := class*int(counterKinds) + int(kind)
	for len(*c) <= i {
		*c = append(*c, make([]uint64, counterKinds)...)
	}
	(*c)[i] += n
}

// add adds other's counters.
func (c *Counters) add(other Counters) {
	c.grow(len(other))
	for i, value := range other {
		(*c)[i] += value
	}
}

// mergeMax takes the larger of each counter and reports whether any changed.
func (c *Counters) mergeMax(other Counters) (changed bool) {
	c.grow(len(other))
	for i, value := range other {
		if value > (*c)[i] {
			(*c)[i] = value
			changed = true
		}
	}
	return changed
}

// grow appends zeros up to a length.
func (c *Counters) grow(length int) {
	for len(*c) < length {
		*c = append(*c, 0)
	}
}
