package pooling

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"

	"lotusbend/internal/edge/timers"
)

// Place is what connections are alike in: one is never given to another's.
type Place struct {
	Host           uint32
	User, Database string
}

// Want is a client's wish for a connection.
type Want struct {
	Client uint64
	Place  Place
	Write  bool    // reads leave it a reserve
	Wait   float64 // milliseconds that it may wait
}

// Limits bound connections. Those that are 0 bound nothing. Times are in
// milliseconds.
type Limits struct {
	Total, PerHost, PerUser, PerDatabase int
	Reserve                              int // of a host's, kept from reads
	Queue                                int // wants that wait, together
	WaitMost                             float64
	Opening                              int // to one host at the same time: a storm opens at a pace
	IdleFor                              float64
	LiveFor                              float64 // and up to a tenth more by chance, so that not all end together
}

// LeaseActions is what Leases can ask for. Its methods must not call back.
type LeaseActions interface {
	Open(conn uint64, at Place)
	Grant(client, conn uint64)
	// Refuse ends a want: 53300, with advice when to come again.
	Refuse(client uint64, retryAfter float64)
	Close(conn uint64)
}

type connState uint8

const (
	connOpening connState = iota
	connIdle
	connLeased
)

type serverConn struct {
	id     uint64
	place  Place
	state  connState
	client uint64 // that has it, or had it last
	idleAt *list.Element
	born   float64
	ends   float64 // when it is too old
	timer  *timers.Timer
}

type waiter struct {
	Want
	seq     uint64
	timer   *timers.Timer
	element *list.Element
}

// line is where a want waits: writes do not wait behind reads, which may not
// take all that they may.
type line struct {
	user, database string
	write          bool
}

func (w *Want) line() line { return line{w.Place.User, w.Place.Database, w.Write} }

// hostState is one host's connections and who waits for one.
type hostState struct {
	id      uint32
	conns   int
	opening int
	leased  int
	waiting map[line]*list.List // by age
	lines   []line              // in which somebody waits, in order of their first coming
	served  map[string]int      // connections that each user holds or opens
	closed  bool                // draining: nothing new
}

// Leases decides who gets which connection, and when one is opened or closed.
type Leases struct {
	lim    Limits
	act    LeaseActions
	rand   *rand.Rand
	conns  map[uint64]*serverConn
	idle   map[Place]*list.List // the warmest last
	hosts  map[uint32]*hostState
	coming map[Place]int // that open
	users  map[string]int
	dbs    map[string]int
	wants  map[uint64]*waiter
	timers timers.Heap
	next   uint64
}

// NewLeases returns rules without connections.
func NewLeases(lim Limits, seed uint64, act LeaseActions) *Leases {
	return &Leases{
		lim: lim, act: act, rand: rand.New(rand.NewPCG(seed, 0x1ea5e)), conns: map[uint64]*serverConn{}, idle: map[Place]*list.List{},
		hosts: map[uint32]*hostState{}, coming: map[Place]int{}, users: map[string]int{}, dbs: map[string]int{}, wants: map[uint64]*waiter{},
	}
}

// Next returns when Tick is due, if it is.
func (l *Leases) Next() (float64, bool) { return l.timers.Next() }

// Tick does what is due.
func (l *Leases) Tick(now float64) { l.timers.Tick(now) }

func (l *Leases) host(id uint32) *hostState {
	h := l.hosts[id]
	if h == nil {
		h = &hostState{id: id, waiting: map[line]*list.List{}, served: map[string]int{}}
		l.hosts[id] = h
	}
	return h
}

// Ask takes a want. It ends in one Grant or Refuse, unless it is given up.
func (l *Leases) Ask(now float64, w Want) {
	if l.wants[w.Client] != nil {
		return
	}
	h := l.host(w.Place.Host)
	// Whoever waits already goes first: nobody overtakes its own user, and a
	// free connection is there only if nobody could use it.
	if h.waiting[w.line()] == nil && !h.closed && l.serve(now, h, &w) {
		return
	}
	if h.closed || l.lim.Queue > 0 && len(l.wants) >= l.lim.Queue {
		l.act.Refuse(w.Client, l.advice())
		return
	}
	l.next++
	x := &waiter{Want: w, seq: l.next}
	l.wants[w.Client] = x
	q := h.waiting[w.line()]
	if q == nil {
		q = list.New()
		h.waiting[w.line()] = q
		h.lines = append(h.lines, w.line())
	}
	x.element = q.PushBack(x)
	wait := w.Wait
	if l.lim.WaitMost > 0 {
		wait = min(wait, l.lim.WaitMost)
	}
	x.timer = l.timers.At(now+wait, func(float64) {
		l.forget(x)
		l.act.Refuse(x.Client, l.advice())
	})
	l.pump(now, h)
}

// advice spreads who is refused over as long as a want may wait.
func (l *Leases) advice() float64 { return max(l.lim.WaitMost, 100) * (0.5 + 0.5*l.rand.Float64()) }

// GiveUp takes a want back.
func (l *Leases) GiveUp(client uint64) {
	if x := l.wants[client]; x != nil {
		l.forget(x)
	}
}

// forget takes a waiter off the books.
func (l *Leases) forget(x *waiter) {
	l.timers.Cancel(x.timer)
	delete(l.wants, x.Client)
	h := l.hosts[x.Place.Host]
	q := h.waiting[x.line()]
	q.Remove(x.element)
	if q.Len() == 0 {
		delete(h.waiting, x.line())
		h.lines = slices.DeleteFunc(h.lines, func(n line) bool { return n == x.line() })
	}
}

// serve gives w a connection that is idle, if it may have one.
func (l *Leases) serve(_ float64, h *hostState, w *Want) bool {
	q := l.idle[w.Place]
	if q == nil || !w.Write && l.reserved(h) {
		return false
	}
	// The one that this client had last is in its state already; else the
	// warmest.
	best := q.Back()
	for e := q.Back(); e != nil; e = e.Prev() {
		if e.Value.(*serverConn).client == w.Client {
			best = e
			break
		}
	}
	c := best.Value.(*serverConn)
	l.unidle(c)
	c.state, c.client = connLeased, w.Client
	h.leased++
	l.act.Grant(w.Client, c.id)
	return true
}

// reserved tells whether a host's last places are kept from reads.
func (l *Leases) reserved(h *hostState) bool {
	if l.lim.Reserve == 0 || l.lim.PerHost == 0 {
		return false
	}
	return h.leased+h.opening >= l.lim.PerHost-l.lim.Reserve
}

// pump serves whom it can of those who wait at a host: of the users the one
// that holds least there, of its clients the one that has waited longest. A
// user whose own connection is idle counts as one and a half fewer: else two
// that hold alike would close each other's connections in turn.
func (l *Leases) pump(now float64, h *hostState) {
	for tried := map[line]bool{}; ; {
		var x *waiter
		for _, n := range h.lines {
			first := h.waiting[n].Front().Value.(*waiter)
			if !tried[n] && (x == nil || cmp.Or(cmp.Compare(l.holds(h, first), l.holds(h, x)), cmp.Compare(first.seq, x.seq)) < 0) {
				x = first
			}
		}
		if x == nil {
			return
		}
		if l.serve(now, h, &x.Want) {
			l.forget(x)
			continue
		}
		l.open(now, h, x)
		tried[x.line()] = true
	}
}

// holds is how much a waiter's user holds at a host, in halves.
func (l *Leases) holds(h *hostState, x *waiter) int {
	n := 2 * h.served[x.Place.User]
	if l.idle[x.Place] != nil {
		n -= 3
	}
	return n
}

// open begins a connection for x, if the limits leave room or an idle one of
// another place can make it.
func (l *Leases) open(now float64, h *hostState, x *waiter) {
	if l.coming[x.Place] >= l.waiting(h, x.Place) || l.lim.Opening > 0 && h.opening >= l.lim.Opening || !x.Write && l.reserved(h) {
		return
	}
	for !l.room(h, x.Place) {
		if !l.makeRoom(h, x.Place) {
			return
		}
	}
	l.next++
	c := &serverConn{id: l.next, place: x.Place, born: now}
	l.conns[c.id] = c
	h.conns++
	h.opening++
	l.coming[x.Place]++
	h.served[x.Place.User]++
	l.users[x.Place.User]++
	l.dbs[x.Place.Database]++
	l.act.Open(c.id, x.Place)
}

// waiting counts who waits for a place.
func (l *Leases) waiting(h *hostState, p Place) (n int) {
	for _, write := range []bool{false, true} {
		if q := h.waiting[line{p.User, p.Database, write}]; q != nil {
			n += q.Len()
		}
	}
	return n
}

// room tells whether one more connection is within every limit.
func (l *Leases) room(h *hostState, p Place) bool {
	within := func(n, most int) bool { return most == 0 || n < most }
	return within(len(l.conns), l.lim.Total) && within(h.conns, l.lim.PerHost) && within(l.users[p.User], l.lim.PerUser) &&
		within(l.dbs[p.Database], l.lim.PerDatabase)
}

// makeRoom closes the idle connection that has been idle longest of those whose
// end brings the place nearer to its limits.
func (l *Leases) makeRoom(h *hostState, p Place) bool {
	var oldest *serverConn
	for _, q := range l.idle {
		c := q.Front().Value.(*serverConn)
		helps := l.lim.Total > 0 && len(l.conns) >= l.lim.Total ||
			l.lim.PerHost > 0 && h.conns >= l.lim.PerHost && c.place.Host == h.id ||
			l.lim.PerUser > 0 && l.users[p.User] >= l.lim.PerUser && c.place.User == p.User ||
			l.lim.PerDatabase > 0 && l.dbs[p.Database] >= l.lim.PerDatabase && c.place.Database == p.Database
		if helps && (oldest == nil || c.id < oldest.id) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	l.close(oldest)
	return true
}

// close ends a connection and takes it off the books.
func (l *Leases) close(c *serverConn) {
	l.remove(c)
	l.act.Close(c.id)
}

func (l *Leases) remove(c *serverConn) {
	h := l.hosts[c.place.Host]
	switch c.state {
	case connIdle:
		l.unidle(c)
	case connOpening:
		l.opened(c)
	case connLeased:
		h.leased--
	}
	l.timers.Cancel(c.timer)
	delete(l.conns, c.id)
	h.conns--
	drop := func(m map[string]int, k string) {
		if m[k]--; m[k] <= 0 {
			delete(m, k)
		}
	}
	drop(h.served, c.place.User)
	drop(l.users, c.place.User)
	drop(l.dbs, c.place.Database)
}

// opened takes a connection off those that open.
func (l *Leases) opened(c *serverConn) {
	l.hosts[c.place.Host].opening--
	if l.coming[c.place]--; l.coming[c.place] == 0 {
		delete(l.coming, c.place)
	}
}

func (l *Leases) unidle(c *serverConn) {
	l.timers.Cancel(c.timer)
	q := l.idle[c.place]
	q.Remove(c.idleAt)
	if c.idleAt = nil; q.Len() == 0 {
		delete(l.idle, c.place)
	}
}

// Opened learns that a connection is up.
func (l *Leases) Opened(now float64, conn uint64) {
	c := l.conns[conn]
	if c == nil || c.state != connOpening {
		return
	}
	l.opened(c)
	if l.lim.LiveFor > 0 {
		c.ends = now + l.lim.LiveFor*(1+0.1*l.rand.Float64())
	}
	l.free(now, c)
}

// Closed learns that a connection has ended, or never came up. Whoever has it
// learns of that by itself.
func (l *Leases) Closed(now float64, conn uint64) {
	if c := l.conns[conn]; c != nil {
		h := l.hosts[c.place.Host]
		l.remove(c)
		l.pumpAll(now, h)
	}
}

// Released learns that a lease has ended. A connection that is not clean is
// closed: nobody else may find what was left there.
func (l *Leases) Released(now float64, conn uint64, clean bool) {
	c := l.conns[conn]
	if c == nil || c.state != connLeased {
		return
	}
	h := l.hosts[c.place.Host]
	if !clean || h.closed || c.ends > 0 && now >= c.ends {
		l.close(c)
		l.pumpAll(now, h)
		return
	}
	h.leased--
	l.free(now, c)
}

// free makes a connection idle and looks who may have it.
func (l *Leases) free(now float64, c *serverConn) {
	h := l.hosts[c.place.Host]
	c.state = connIdle
	q := l.idle[c.place]
	if q == nil {
		q = list.New()
		l.idle[c.place] = q
	}
	c.idleAt = q.PushBack(c)
	if h.closed {
		l.close(c)
		return
	}
	l.pump(now, h)
	if c.state != connIdle || l.conns[c.id] != c {
		return
	}
	end := 0.0
	if l.lim.IdleFor > 0 {
		end = now + l.lim.IdleFor
	}
	if c.ends > 0 && (end == 0 || c.ends < end) {
		end = c.ends
	}
	if end > 0 {
		c.timer = l.timers.At(end, func(now float64) {
			l.close(c)
			l.pumpAll(now, h)
		})
	}
	l.pumpOthers(now, h)
}

// pumpAll looks at every host after a connection has gone: the limits that
// they share have room now. The host at hand comes first.
func (l *Leases) pumpAll(now float64, h *hostState) {
	l.pump(now, h)
	l.pumpOthers(now, h)
}

func (l *Leases) pumpOthers(now float64, h *hostState) {
	if len(l.wants) == 0 {
		return
	}
	ids := make([]uint32, 0, len(l.hosts))
	for id, o := range l.hosts {
		if o != h && len(o.lines) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		l.pump(now, l.hosts[id])
	}
}

// Drain takes a host out of use, or back in: its idle connections end, those
// leased at the end of their leases, and whoever waits there is refused.
func (l *Leases) Drain(now float64, host uint32, draining bool) {
	h := l.host(host)
	h.closed = draining
	if !draining {
		return
	}
	var gone []*serverConn
	for p, q := range l.idle {
		for e := q.Front(); e != nil && p.Host == host; e = e.Next() {
			gone = append(gone, e.Value.(*serverConn))
		}
	}
	slices.SortFunc(gone, func(a, b *serverConn) int { return cmp.Compare(a.id, b.id) })
	for _, c := range gone {
		l.close(c)
	}
	for len(h.lines) > 0 {
		x := h.waiting[h.lines[0]].Front().Value.(*waiter)
		l.forget(x)
		l.act.Refuse(x.Client, l.advice())
	}
	l.pumpOthers(now, h)
}
