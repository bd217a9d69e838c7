// Package polling decides when a router calls discovery. Where the list must be
// asked for, one service answers the whole fleet, calls wait there in turn,
// and one that has waited too long fails but still takes its turn: routers
// that all ask again at once keep it busy with calls that nobody waits for
// any more. So each leaves room for every other's call, draws its moment, and
// waits ever longer while calls fail. It holds rules only: times in
// milliseconds, seeded randomness, no clock.
package polling

import "math/rand/v2"

const (
	// aCall is what one router's call is taken to keep the service busy for,
	// in milliseconds, until failures tell that it is more. It is also the
	// first wait where nothing must be asked for.
	aCall = 50
	// pushMost bounds the waits where the list comes by itself: what the agent
	// has counts as told, heard or not, and asking it costs nothing.
	pushMost = 200
	// restMost bounds the wait before the first call and after every failure. A
	// change counts as told 6 s after discovery had it and could be reached,
	// whatever became of earlier calls; a dial that hangs and the call's turn at
	// the service come on top. Only a service that says it is too busy, and that
	// can't answer the whole fleet in that time, is given more.
	restMost = 3000
	// busyCalls is for how many calls of every router a busy service gets the
	// time, each of aCall. Calls that came sooner would keep it busy for good.
	busyCalls = 4
	// growShare of the time to ask within bounds what waits grow to: the settings
	// allow four times that time after a failed call, and the draw adds up to a
	// half.
	growShare = 2
	// firstShare of it bounds the wait before the first call: a router that has
	// not asked by then counts as told, and its call takes its turn.
	firstShare = 0.5
)

// Config is what the settings tell.
type Config struct {
	Routers      int     // in the fleet; fewer than one counts as one
	PollOnly     bool    // the list comes only when asked for
	PollInterval float64 // milliseconds within which a router must ask, 0 if not told
}

// Pace is the pace of one router's calls.
type Backoff struct {
	rng               *rand.Rand
	ask               bool
	first, most, next float64 // waits: at first, at most, after the next failure
	busyMost          float64 // bound on a wait after a busy service
}

// New returns the pace of a router that has not called yet.
func NewBackoff(c Config, seed uint64) *Backoff {
	p := &Backoff{rng: rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03)), ask: c.PollOnly, first: aCall, most: pushMost}
	if p.ask {
		p.first *= float64(max(c.Routers, 1))
		if c.PollInterval > 0 {
			p.first = min(p.first, firstShare*c.PollInterval)
		}
		p.most = max(pushMost, growShare*c.PollInterval, p.first)
	}
	p.busyMost = max(restMost, busyCalls*aCall*float64(c.Routers))
	p.next = p.first
	return p
}

// First returns how long to wait before the first call. A router that holds
// no list needs not wait its turn.
func (p *Backoff) InitialDelay(hasList bool) float64 {
	if !p.ask || !hasList {
		return 0
	}
	return min(p.first, restMost) * p.rng.Float64()
}

// Failed returns how long to wait after a call that failed; busy says that the
// service was reached and has too many calls to answer this one.
func (p *Backoff) Failed(busy bool) float64 {
	wait := p.next * (0.5 + p.rng.Float64())
	p.next = min(2*p.next, p.most)
	most := float64(restMost)
	if busy {
		most = p.busyMost
	}
	return min(wait, most*(0.5+p.rng.Float64()/2))
}

// Heard tells that a call was answered.
func (p *Backoff) Succeeded() { p.next = p.first }
