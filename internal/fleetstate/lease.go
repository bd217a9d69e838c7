package fleetstate

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxLeases bounds the leases of one budget on each side, one for each
	// router of a large fleet: a peer that requests without end gets no more.
	maxLeases = 4096
	// leastLentDivisor: less than this part of a stake is not lent.
	leastLentDivisor = 100
)

// leaseTable is this router's part of the budgets that the fleet splits: for
// each budget (a key) a stake of its own, leases lent to peers and leases
// borrowed from peers, each with an expiry.
//
// A quota is only ever handed over by the router that has it, for a stated
// time, and that router does without it until that time has passed on the
// borrower's side, whatever becomes of the borrower or of the messages. So the
// quotas of all routers never add up to more than their stakes, through
// partitions, pauses, restarts, lost and duplicated messages. Nothing is taken
// from a router that went silent: it may be partitioned, not dead, and then
// still spends its stake.
type leaseTable struct {
	cfg           Config
	faults        FaultInjection
	startedAt     int64              // ms
	lent          map[string][]lease // by budget
	borrowed      map[string][]lease
	pending       map[pendingKey]LeaseRequest // the last request, which only its grant may answer
	lastRequestID uint64
}

// pendingKey identifies the request for a budget sent to a peer.
type pendingKey struct {
	peer   string
	budget string
}

// lease is a part of a budget lent to a peer, or borrowed from one.
type lease struct {
	peer        string
	requestID   uint64
	requestedAt int64 // borrower's clock, ms: with requestID, one request of one incarnation
	amount      float64
	expiresAt   int64 // this router's clock, ms, with the skew where it lent
}

// LeaseRequest is a borrower's request for a part of a budget.
type LeaseRequest struct {
	Key         string  // of the budget: an endpoint's name, or RetryBudgetKey
	ID          uint64  // chosen by the borrower, new with each request
	Wanted      float64 // in the budget's unit
	RequestedAt int64   // borrower's clock, ms; repeated by the grant
}

// LeaseGrant lends a part of a budget: the borrower may use it until
// RequestedAt + DurationMs on its own clock.
type LeaseGrant struct {
	Key         string
	ID          uint64
	Amount      float64
	RequestedAt int64 // ms
	DurationMs  int64
}

// newLeases begins at now. Until a lease and its skew have passed, an earlier
// incarnation may have lent the lendable part of the stake, so that part is
// not used.
func newLeases(cfg Config, now int64) *leaseTable {
	return &leaseTable{
		cfg:       cfg,
		faults:    cfg.faults(),
		startedAt: now,
		lent:      map[string][]lease{},
		borrowed:  map[string][]lease{},
		pending:   map[pendingKey]LeaseRequest{},
	}
}

// mayHaveLentBefore reports that leases of an earlier incarnation may not have
// expired.
func (t *leaseTable) mayHaveLentBefore(now int64) bool {
	return now < t.startedAt+t.cfg.LeaseMs+t.cfg.SkewMs
}

// quota is this router's part of a budget, given its own stake: the stake less
// what it lent, and what it borrowed.
func (t *leaseTable) quota(key string, stake float64, now int64) Quota {
	quota := Quota{Own: stake, Until: math.MaxInt64}
	if t.mayHaveLentBefore(now) {
		quota.Own *= 1 - t.cfg.MaxLentFraction
	}
	if !t.faults.SkipLeaseWait() {
		quota.Own = max(0, quota.Own-activeAmount(t.lent[key], now))
	}
	for _, borrowed := range t.borrowed[key] {
		switch {
		case t.faults.NeverExpire():
			quota.Borrowed += borrowed.amount
		case now < borrowed.expiresAt:
			quota.Borrowed += borrowed.amount
			quota.Until = min(quota.Until, borrowed.expiresAt)
		}
	}
	return quota
}

// has reports whether anything of a budget is lent or borrowed.
func (t *leaseTable) has(key string) bool {
	return len(t.lent[key])+len(t.borrowed[key]) > 0
}

// activeAmount is the sum of the leases that have not expired.
func activeAmount(leases []lease, now int64) (total float64) {
	for _, lease := range leases {
		if now < lease.expiresAt {
			total += lease.amount
		}
	}
	return total
}

// request returns a request to a peer, if more of the budget may be borrowed.
func (t *leaseTable) request(key, peer string, stake float64, now int64) (LeaseRequest, bool) {
	available := t.cfg.MaxBorrowedStakes*stake - activeAmount(t.borrowed[key], now)
	if available <= 0 || len(t.borrowed[key]) >= maxLeases {
		return LeaseRequest{}, false
	}
	t.lastRequestID++
	request := LeaseRequest{
		Key:         key,
		ID:          t.lastRequestID,
		Wanted:      min(available, stake),
		RequestedAt: now,
	}
	t.pending[pendingKey{peer: peer, budget: key}] = request
	return request, true
}

// grant answers a peer's request: with at most the lendable part of the stake
// less what is lent, with nothing where this router needs its stake itself. A
// duplicate of a request gets the same grant, and no second lease.
func (t *leaseTable) grant(
	peer string, request LeaseRequest, stake float64, needed bool, now int64,
) (LeaseGrant, bool) {
	for _, lent := range t.lent[request.Key] {
		if lent.answers(peer, request) && now < lent.expiresAt {
			return t.grantOf(request, lent.amount), true
		}
	}
	wantsSome := request.Wanted > 0 // false for NaN
	if needed || t.mayHaveLentBefore(now) || !wantsSome || len(t.lent[request.Key]) >= maxLeases {
		return LeaseGrant{}, false
	}
	lendable := t.cfg.MaxLentFraction * stake
	if !t.faults.SkipLeaseWait() {
		lendable -= activeAmount(t.lent[request.Key], now)
	}
	amount := min(request.Wanted, lendable)
	if amount < stake/leastLentDivisor {
		return LeaseGrant{}, false
	}
	t.lent[request.Key] = append(t.lent[request.Key], lease{
		peer:        peer,
		requestID:   request.ID,
		requestedAt: request.RequestedAt,
		amount:      amount,
		expiresAt:   now + t.cfg.LeaseMs + t.cfg.SkewMs,
	})
	return t.grantOf(request, amount), true
}

// answers reports whether the lease was granted for this very request.
func (l *lease) answers(peer string, request LeaseRequest) bool {
	return l.peer == peer && l.requestID == request.ID && l.requestedAt == request.RequestedAt
}

// grantOf is the grant that answers a request.
func (t *leaseTable) grantOf(request LeaseRequest, amount float64) LeaseGrant {
	return LeaseGrant{
		Key:         request.Key,
		ID:          request.ID,
		Amount:      amount,
		RequestedAt: request.RequestedAt,
		DurationMs:  t.cfg.LeaseMs,
	}
}

// accept takes a granted lease. Only the grant for the last request to that
// peer counts, once: a duplicated, late or unrequested one changes nothing.
func (t *leaseTable) accept(peer string, grant LeaseGrant, stake float64, now int64) (lease, bool) {
	key := pendingKey{peer: peer, budget: grant.Key}
	request, ok := t.pending[key]
	positive := grant.Amount > 0 // false for NaN
	if !ok || request.ID != grant.ID || request.RequestedAt != grant.RequestedAt || !positive {
		return lease{}, false
	}
	delete(t.pending, key)
	borrowed := lease{
		peer:        peer,
		requestID:   grant.ID,
		requestedAt: request.RequestedAt,
		amount:      min(grant.Amount, request.Wanted),
		expiresAt:   request.RequestedAt + min(grant.DurationMs, t.cfg.LeaseMs),
	}
	total := activeAmount(t.borrowed[grant.Key], now) + borrowed.amount
	if now >= borrowed.expiresAt || total > t.cfg.MaxBorrowedStakes*stake {
		return lease{}, false
	}
	t.borrowed[grant.Key] = append(t.borrowed[grant.Key], borrowed)
	return borrowed, true
}

// expire drops leases and requests that have expired and returns the borrowed
// leases among them, in order.
func (t *leaseTable) expire(now int64) (expired []Event) {
	for _, key := range slices.Sorted(maps.Keys(t.borrowed)) {
		expired = append(expired, t.expireBorrowed(key, now)...)
	}
	for key, leases := range t.lent {
		leases = slices.DeleteFunc(leases, func(lent lease) bool { return now >= lent.expiresAt })
		if len(leases) == 0 {
			delete(t.lent, key)
		} else {
			t.lent[key] = leases
		}
	}
	maps.DeleteFunc(t.pending, func(_ pendingKey, request LeaseRequest) bool {
		return now >= request.RequestedAt+t.cfg.LeaseMs
	})
	return expired
}

// expireBorrowed drops the expired leases borrowed of one budget.
func (t *leaseTable) expireBorrowed(key string, now int64) (expired []Event) {
	leases := slices.DeleteFunc(t.borrowed[key], func(borrowed lease) bool {
		if now < borrowed.expiresAt || t.faults.NeverExpire() {
			return false
		}
		expired = append(expired, Event{
			Kind:   LeaseExpired,
			Key:    key,
			Peer:   borrowed.peer,
			Amount: borrowed.amount,
		})
		return true
	})
	if len(leases) == 0 {
		delete(t.borrowed, key)
	} else {
		t.borrowed[key] = leases
	}
	return expired
}
