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
type Leases struct {
	cfg   Config
	began int64
	lent  map[string][]loan
	held  map[string][]loan
	asked map[string]LeaseRequest // by peer and key: the last ask, which only its grant may answer
	seq   uint64
}

// loan is a share of a budget in another's hands, or another's in ours.
type loan struct {
	peer   string
	id     uint64
	at     int64 // the borrower's time when it asked: with id, one ask of one of its lives
	amount float64
	ends   int64 // by this router's clock, the skew included where it lent
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
const maxLoans = 4096

// newLeases begins at now. Until a lease and its skew have passed, an earlier
// instance under this name may have lent the lendable part of the stake: it
// is left alone.
func newLeases(cfg Config, now int64) *Leases {
	return &Leases{cfg: cfg, began: now, lent: map[string][]loan{}, held: map[string][]loan{}, asked: map[string]LeaseRequest{}}
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
func (l *Leases) Quota(key string, stake float64, now int64) Quota {
	s := Quota{Own: stake, Until: math.MaxInt64}
	if now < l.began+l.cfg.LeaseMs+l.cfg.SkewMs {
		s.Own *= 1 - l.cfg.MaxLentFraction
	}
	if l.cfg.Sabotage != "no-lease-wait" {
		s.Own = max(0, s.Own-sum(l.lent[key], now))
	}
	for _, h := range l.held[key] {
		if now < h.ends || l.cfg.Sabotage == "never-expire" {
			s.Borrowed += h.amount
			if l.cfg.Sabotage != "never-expire" {
				s.Until = min(s.Until, h.ends)
			}
		}
	}
	return s
}

// sum adds up the loans that have not ended.
func sum(loans []loan, now int64) (total float64) {
	for _, l := range loans {
		if now < l.ends {
			total += l.amount
		}
	}
	return total
}

// want returns an ask to peer for the budget key, if more may be borrowed.
func (l *Leases) want(key, peer string, stake float64, now int64) (LeaseRequest, bool) {
	room := l.cfg.MaxBorrowedStakes*stake - sum(l.held[key], now)
	if room <= 0 || len(l.held[key]) >= maxLoans {
		return LeaseRequest{}, false
	}
	l.seq++
	a := LeaseRequest{Key: key, ID: l.seq, Wanted: min(room, stake), RequestedAt: now}
	l.asked[peer+"\x00"+key] = a
	return a, true
}

// grant answers a peer's ask: at most the lendable part of the stake less
// what is lent, nothing where this router needs its stake itself. The same
// ask again gets the same grant, and no second share.
func (l *Leases) grant(peer string, a LeaseRequest, stake float64, needed bool, now int64) (LeaseGrant, bool) {
	for _, o := range l.lent[a.Key] {
		if o.peer == peer && o.id == a.ID && o.at == a.RequestedAt && now < o.ends {
			return LeaseGrant{a.Key, a.ID, o.amount, a.RequestedAt, l.cfg.LeaseMs}, true
		}
	}
	if needed || now < l.began+l.cfg.LeaseMs+l.cfg.SkewMs || !(a.Wanted > 0) || len(l.lent[a.Key]) >= maxLoans {
		return LeaseGrant{}, false
	}
	left := l.cfg.MaxLentFraction * stake
	if l.cfg.Sabotage != "no-lease-wait" {
		left -= sum(l.lent[a.Key], now)
	}
	amount := min(a.Wanted, left)
	if amount < stake/100 {
		return LeaseGrant{}, false
	}
	l.lent[a.Key] = append(l.lent[a.Key], loan{peer, a.ID, a.RequestedAt, amount, now + l.cfg.LeaseMs + l.cfg.SkewMs})
	return LeaseGrant{a.Key, a.ID, amount, a.RequestedAt, l.cfg.LeaseMs}, true
}

// take holds a granted share. Only the grant of the last ask to that peer
// counts, once: one that comes doubled, late or unasked changes nothing.
func (l *Leases) take(peer string, g LeaseGrant, stake float64, now int64) (loan, bool) {
	k := peer + "\x00" + g.Key
	a, ok := l.asked[k]
	if !ok || a.ID != g.ID || a.RequestedAt != g.RequestedAt || !(g.Amount > 0) {
		return loan{}, false
	}
	delete(l.asked, k)
	h := loan{peer, g.ID, a.RequestedAt, min(g.Amount, a.Wanted), a.RequestedAt + min(g.DurationMs, l.cfg.LeaseMs)}
	if now >= h.ends || sum(l.held[g.Key], now)+h.amount > l.cfg.MaxBorrowedStakes*stake {
		return loan{}, false
	}
	l.held[g.Key] = append(l.held[g.Key], h)
	return h, true
}

// expire forgets what has ended and returns the shares given back, in order.
func (l *Leases) expire(now int64) (ended []Event) {
	for _, key := range slices.Sorted(maps.Keys(l.held)) {
		l.held[key] = slices.DeleteFunc(l.held[key], func(h loan) bool {
			if now < h.ends || l.cfg.Sabotage == "never-expire" {
				return false
			}
			ended = append(ended, Event{Kind: LeaseExpired, Key: key, Peer: h.peer, Amount: h.amount})
			return true
		})
		if len(l.held[key]) == 0 {
			delete(l.held, key)
		}
	}
	for key := range l.lent {
		if l.lent[key] = slices.DeleteFunc(l.lent[key], func(o loan) bool { return now >= o.ends }); len(l.lent[key]) == 0 {
			delete(l.lent, key)
		}
	}
	maps.DeleteFunc(l.asked, func(_ string, a LeaseRequest) bool { return now >= a.RequestedAt+l.cfg.LeaseMs })
	return ended
}
