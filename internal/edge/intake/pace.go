package intake

import "lotusbend/internal/edge/timers"

// group is what goes to one group of hosts, and how fast.
type group struct {
	number  int
	window  float64 // submissions that may be out together
	out     int
	cutAt   float64 // when the window was last halved
	failed  int     // submissions in a row that helped nobody
	rampAt  float64 // since when it recovers from an outage, 0 if it does not
	holdTo  float64 // nothing new goes out before
	hold    *timers.Timer
	again   []*entry // whose rest is over: they go before new ones
	urgent  []*line  // in turn
	routine []*line
	turns   int
}

const (
	firstWindow = 4
	// cutPause keeps failures of one moment from halving the window again
	// and again, in milliseconds.
	cutPause = 250
	// outage is how many submissions in a row must fail for what follows to
	// be a recovery: hosts that come back are cold.
	outage = 5
	// routineTurn gives every so many-th turn to a routine reading, so that
	// urgent ones never starve the rest.
	routineTurn = 8
)

func (in *Intake) group(n int) *group {
	g := in.groups[n]
	if g == nil {
		g = &group{number: n, window: firstWindow}
		in.groups[n] = g
		in.order = append(in.order, g)
	}
	return g
}

// limit is how many submissions may be out now. After an outage it opens
// slowly: the backlog of all devices waits just then, and the hosts are cold.
func (g *group) limit(now float64, cfg *Config) int {
	w := min(g.window, float64(cfg.MaxWindow))
	if g.rampAt > 0 {
		if now >= g.rampAt+cfg.Ramp {
			g.rampAt = 0
		} else {
			w = min(w, 1+float64(cfg.MaxWindow)*(now-g.rampAt)/cfg.Ramp)
		}
	}
	return max(int(w), 1)
}

// helped and failed learn from how a submission ended.
func (g *group) helped(now float64, cfg *Config) {
	if g.failed >= outage {
		g.rampAt = now
	}
	g.failed = 0
	g.window = min(g.window+1/g.window, float64(cfg.MaxWindow))
}

func (g *group) unhelped(now float64) {
	g.failed++
	if now >= g.cutAt+cutPause {
		g.window, g.cutAt = max(g.window/2, 1), now
	}
}

// line is one device's readings for one group, in their order.
type line struct {
	device              *device
	group               *group
	urgent              []*entry
	routine             []*entry
	inUrgent, inRoutine bool // in these of the group's turns
	serving             bool // in order: its next waits until this one is done
}

// take removes an entry that did not go out.
func (l *line) take(e *entry) {
	for _, q := range []*[]*entry{&l.urgent, &l.routine} {
		for i, x := range *q {
			if x == e {
				*q = append((*q)[:i:i], (*q)[i+1:]...)
				return
			}
		}
	}
}

// enqueue puts e into its device's line.
func (in *Intake) enqueue(e *entry) {
	e.phase = queued
	if e.line == nil {
		for _, l := range e.device.lines {
			if l.group == e.group {
				e.line = l
			}
		}
		if e.line == nil {
			e.line = &line{device: e.device, group: e.group}
			e.device.lines = append(e.device.lines, e.line)
		}
	}
	if e.Urgent && !in.cfg.Durable { // a store delivers in order
		e.line.urgent = append(e.line.urgent, e)
	} else {
		e.line.routine = append(e.line.routine, e)
	}
	if e.evictable() {
		in.holds(e.device, 1)
	}
	in.turn(e.line)
}

// turn gives a line its places among its group's.
func (in *Intake) turn(l *line) {
	if l.serving {
		return
	}
	first := len(l.routine) > 0 && l.routine[0].Urgent // in order, so only as the next
	if !l.inUrgent && (len(l.urgent) > 0 || first) {
		l.inUrgent = true
		l.group.urgent = append(l.group.urgent, l)
	}
	if !l.inRoutine && len(l.routine) > 0 && !first {
		l.inRoutine = true
		l.group.routine = append(l.group.routine, l)
	}
}

// following returns the next reading to go out, nil if there is none: one
// whose rest is over, then urgent ones, then routine ones, device by device.
func (in *Intake) following(g *group) *entry {
	for len(g.again) > 0 {
		e := g.again[0]
		g.again[0] = nil
		if g.again = g.again[1:]; !e.over {
			return e
		}
	}
	for len(g.urgent)+len(g.routine) > 0 {
		g.turns++
		var l *line
		if len(g.urgent) == 0 || len(g.routine) > 0 && g.turns%routineTurn == 0 {
			l, g.routine = g.routine[0], g.routine[1:]
			l.inRoutine = false
		} else {
			l, g.urgent = g.urgent[0], g.urgent[1:]
			l.inUrgent = false
		}
		q := &l.urgent
		if len(*q) == 0 {
			q = &l.routine
		}
		if len(*q) == 0 || l.serving { // its readings were evicted, or went out by its other place
			continue
		}
		e := (*q)[0]
		(*q)[0] = nil
		*q = (*q)[1:]
		if e.evictable() {
			in.holds(e.device, -1)
		}
		l.serving = in.cfg.Durable
		in.turn(l)
		return e
	}
	return nil
}

// pump sends what a group may be sent.
func (in *Intake) pump(now float64, g *group) {
	if now < g.holdTo {
		if g.hold == nil {
			g.hold = in.timers.At(g.holdTo, func(now float64) {
				g.hold = nil
				in.pump(now, g)
			})
		}
		return
	}
	for g.out < g.limit(now, &in.cfg) {
		e := in.following(g)
		if e == nil {
			return
		}
		in.start(now, e)
	}
}
