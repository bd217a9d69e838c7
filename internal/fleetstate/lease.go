package fleetstate

import (
	"maps"
	"math"
	"slices"
)

// Leases are this router's part of the budgets that the fleet splits: for
// each budget (a key) a stake of its own, shares lent to peers and shares
// borrowed from peers, each with an end.
//
// A share is only ever handed over by the router that holds it, for a stated
// time, and that router does without it until that time has passed on the
// borrower's side, whatever becomes of the borrower or of the messages. So at
// every moment what all routers hold adds up to at most what all their stakes
// are, through partitions, pauses, losses, doubles and restarts. Nothing is
// taken from a router that went silent: it may be cut off, not dead, and then
// still spends its stake.
type leaseTable struct {
	cfg   Config
	startedAt int64
	lent  map[string][]lease
	borrowed  map[string][]lease
	pending map[string]LeaseRequest // by peer and key: the last ask, which only its grant may answer
	lastRequestID   uint64
}

// loan is a share of a budget in another's hands, or another's in ours.
type lease struct {
	peer   string
	requestID     uint64
	requestedAt     int64 // the borrower's time when it asked: with id, one ask of one of its lives
	amount float64
	expiresAt   int64 // by this router's clock, the skew included where it lent
}

// Ask is a borrower's request for a share of a budget.
type LeaseRequest struct {
	Key         string
	ID          uint64 // of the borrower, new with each ask
	Wanted      float64
	RequestedAt int64 // the borrower's time, told back by the grant
}

// Grant hands over a share: the borrower may use it until Ask.At + DurationMs on
// its own clock.
type LeaseGrant struct {
	Key         string
	ID          uint64
	Amount      float64
	RequestedAt int64
	DurationMs  int64
}

// maxLoans bounds the loans of one budget on each side, one for each router of
// a large fleet: a peer that asks without end gets nothing more.
const maxLeases = 4096

// newLeases begins at now. Until a lease and its skew have passed, an earlier
// instance under this name may have lent the lendable part of the stake: it
// is left alone.
func newLeases(cfg Config, now int64) *leaseTable {
	return &leaseTable{cfg: cfg, startedAt: now, lent: map[string][]lease{}, borrowed: map[string][]lease{}, pending: map[string]LeaseRequest{}}
}

// Share is what a router may use of a budget: Own for as long as it is told
// nothing else, and Held until Until. Who acts on it later than Until has Own
// alone, so a router that was paused past a lease does not send on it.
type Quota struct {
	Own, Borrowed float64
	Until         int64
}

// At is the share at now.
func (s Quota) At(now int64) float64 {
	if now < s.Until {
		return s.Own + s.Borrowed
	}
	return s.Own
}

// Share is this router's part of the budget key, given its own stake: the
// stake less what it lent, and what it borrowed.
func (l *leaseTable) quota(key string, stake float64, now int64) Quota {
	s := Quota{Own: stake, Until: math.MaxInt64}
	if now < l.startedAt+l.cfg.LeaseMs+l.cfg.SkewMs {
		s.Own *= 1 - l.cfg.MaxLentFraction
	}
	if l.cfg.Sabotage != "no-lease-wait" {
		s.Own = max(0, s.Own-activeAmount(l.lent[key], now))
	}
	for _, h := range l.borrowed[key] {
		if now < h.expiresAt || l.cfg.Sabotage == "never-expire" {
			s.Borrowed += h.amount
			if l.cfg.Sabotage != "never-expire" {
				s.Until = min(s.Until, h.expiresAt)
			}
		}
	}
	return s
}

// sum adds up the loans that have not ended.
func activeAmount(loans []lease, now int64) (total float64) {
	for _, l := range loans {
		if now < l.expiresAt {
			total += l.amount
		}
	}
	return total
}

// want returns an ask to peer for the budget key, if more may be borrowed.
func (l *leaseTable) request(key, peer string, stake float64, now int64) (LeaseRequest, bool) {
	room := l.cfg.MaxBorrowedStakes*stake - activeAmount(l.borrowed[key], now)
	if room <= 0 || len(l.borrowed[key]) >= maxLeases {
		return LeaseRequest{}, false
	}
	l.lastRequestID++
	a := LeaseRequest{Key: key, ID: l.lastRequestID, Wanted: min(room, stake), RequestedAt: now}
	l.pending[peer+"\x00"+key] = a
	return a, true
}

// grant answers a peer's ask: at most the lendable part of the stake less
// what is lent, nothing where this router needs its stake itself. The same
// ask again gets the same grant, and no second share.
func (l *leaseTable) grant(peer string, a LeaseRequest, stake float64, needed bool, now int64) (LeaseGrant, bool) {
	for _, o := range l.lent[a.Key] {
		if o.peer == peer && o.requestID == a.ID && o.requestedAt == a.RequestedAt && now < o.expiresAt {
			return LeaseGrant{a.Key, a.ID, o.amount, a.RequestedAt, l.cfg.LeaseMs}, true
		}
	}
	if needed || now < l.startedAt+l.cfg.LeaseMs+l.cfg.SkewMs || !(a.Wanted > 0) || len(l.lent[a.Key]) >= maxLeases {
		return LeaseGrant{}, false
	}
	left := l.cfg.MaxLentFraction * stake
	if l.cfg.Sabotage != "no-lease-wait" {
		left -= activeAmount(l.lent[a.Key], now)
	}
	amount := min(a.Wanted, left)
	if amount < stake/100 {
		return LeaseGrant{}, false
	}
	l.lent[a.Key] = append(l.lent[a.Key], lease{peer, a.ID, a.RequestedAt, amount, now + l.cfg.LeaseMs + l.cfg.SkewMs})
	return LeaseGrant{a.Key, a.ID, amount, a.RequestedAt, l.cfg.LeaseMs}, true
}

// take holds a granted share. Only the grant of the last ask to that peer
// counts, once: one that comes doubled, late or unasked changes nothing.
func (l *leaseTable) accept(peer string, g LeaseGrant, stake float64, now int64) (lease, bool) {
	k := peer + "\x00" + g.Key
	a, ok := l.pending[k]
	if !ok || a.ID != g.ID || a.RequestedAt != g.RequestedAt || !(g.Amount > 0) {
		return lease{}, false
	}
	delete(l.pending, k)
	h := lease{peer, g.ID, a.RequestedAt, min(g.Amount, a.Wanted), a.RequestedAt + min(g.DurationMs, l.cfg.LeaseMs)}
	if now >= h.expiresAt || activeAmount(l.borrowed[g.Key], now)+h.amount > l.cfg.MaxBorrowedStakes*stake {
		return lease{}, false
	}
	l.borrowed[g.Key] = append(l.borrowed[g.Key], h)
	return h, true
}

// expire forgets what has ended and returns the shares given back, in order.
func (l *leaseTable) expire(now int64) (ended []Event) {
	for _, key := range slices.Sorted(maps.Keys(l.borrowed)) {
		l.borrowed[key] = slices.DeleteFunc(l.borrowed[key], func(h lease) bool {
			if now < h.expiresAt || l.cfg.Sabotage == "never-expire" {
				return false
			}
			ended = append(ended, Event{Kind: LeaseExpired, Key: key, Peer: h.peer, Amount: h.amount})
			return true
		})
		if len(l.borrowed[key]) == 0 {
			delete(l.borrowed, key)
		}
	}
	for key := range l.lent {
		if l.lent[key] = slices.DeleteFunc(l.lent[key], func(o lease) bool { return now >= o.expiresAt }); len(l.lent[key]) == 0 {
			delete(l.lent, key)
		}
	}
	maps.DeleteFunc(l.pending, func(_ string, a LeaseRequest) bool { return now >= a.RequestedAt+l.cfg.LeaseMs })
	return ended
}
