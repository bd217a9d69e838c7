package fleetstate

// CounterKind identifies one of the counters that each request class has.
type CounterKind uint8

// The counters of a request class.
const (
	Requests          CounterKind = iota // requests received from clients
	Rejections                           // requests rejected by this router
	Retries                              // attempts after the first of a request
	CrossZoneAttempts                    // attempts sent to another zone
	Attempts                             // attempts that may have reached an endpoint
	numCounterKinds
)

// CounterKindNames returns the part of a metric's name that stands for the kind,
// indexed by kind.
func CounterKindNames() []string {
	return []string{"requests", "rejections", "retries", "cross_zone_attempts", "attempts"}
}

// maxClasses is the maximum number of request classes in one router's counters.
const maxClasses = 64

// Counters holds the counters of every request class, at index
// class*numCounterKinds + kind.
type Counters []uint64

// Get returns one counter, 0 if it was never incremented.
func (c Counters) Get(class int, kind CounterKind) uint64 {
	if i := class*int(numCounterKinds) + int(kind); i < len(c) {
		return c[i]
	}
	return 0
}

// Add increments one counter by n. It ignores classes outside 0 to maxClasses-1.
func (c *Counters) Add(class int, kind CounterKind, n uint64) {
	if class < 0 || class >= maxClasses {
		return
	}
	i := class*int(numCounterKinds) + int(kind)
	for len(*c) <= i {
		*c = append(*c, make([]uint64, numCounterKinds)...)
	}
	(*c)[i] += n
}

// add adds each counter of other.
func (c *Counters) add(other Counters) {
	c.grow(len(other))
	for i, value := range other {
		(*c)[i] += value
	}
}

// mergeMax sets each counter to the larger of both values and reports whether any
// changed.
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

// grow appends zeros up to a length. Longer counters are left as they are.
func (c *Counters) grow(length int) {
	for len(*c) < length {
		*c = append(*c, 0)
	}
}
