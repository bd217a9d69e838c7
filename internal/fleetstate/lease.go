package fleetstate

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxLeases is the maximum number of leases of one budget that a router lends,
	// and that it borrows. It allows one for each router of a large fleet and
	// bounds the memory that a peer's requests can use.
	maxLeases = 4096
	// minLentDivisor sets the smallest amount lent, stake/minLentDivisor.
	minLentDivisor = 100
)

// leaseTable holds this router's part of the budgets that the fleet splits. Of
// each budget, identified by a key, the router has a stake of its own, leases
// lent to peers and leases borrowed from peers. Every lease has an expiry.
//
// A router lends only from its own stake, for a stated duration, and does not use
// the lent quota until the lease has expired at the borrower, whatever happens to
// the borrower or to the messages. The quotas of all routers therefore never exceed
// the sum of their stakes, even with partitions, pauses, restarts, and lost or
// duplicated messages. The stake of a silent router is never reassigned, because
// the router may be partitioned and still using it.
type leaseTable struct {
	cfg           Config
	faults        FaultInjection
	startedAt     int64                       // ms
	lent          map[string][]lease          // by budget
	borrowed      map[string][]lease          // by budget
	pending       map[pendingKey]LeaseRequest // latest request, the only one whose grant is accepted
	lastRequestID uint64
}

// pendingKey identifies the request for a budget sent to a peer.
type pendingKey struct {
	peer   string
	budget string
}

// lease is a quota lent to a peer or borrowed from one.
type lease struct {
	peer        string
	requestID   uint64
	requestedAt int64 // borrower's clock, ms; a restarted borrower reuses request IDs but not times
	amount      float64
	expiresAt   int64 // this router's clock, ms; includes SkewMs if the lease is lent
}

// LeaseRequest is a borrower's request for a part of a budget.
type LeaseRequest struct {
	Key         string  // of the budget: an endpoint's name or RetryBudgetKey
	ID          uint64  // chosen by the borrower, different for each request of an incarnation
	Wanted      float64 // in the unit of the budget
	RequestedAt int64   // borrower's clock, ms; the grant repeats it
}

// LeaseGrant lends a part of a budget. The borrower may use it until
// RequestedAt + DurationMs on its own clock.
type LeaseGrant struct {
	Key         string  // of the budget
	ID          uint64  // of the request
	Amount      float64 // in the unit of the budget
	RequestedAt int64   // of the request, ms
	DurationMs  int64
}

// newLeaseTable returns a table that starts at now, in ms. Until LeaseMs and SkewMs
// have passed since then, leases granted by an earlier incarnation of this router
// may be in use, so the fraction of the stake that it could have lent is not used.
func newLeaseTable(cfg Config, now int64) *leaseTable {
	return &leaseTable{
		cfg:       cfg,
		faults:    cfg.faults(),
		startedAt: now,
		lent:      map[string][]lease{},
		borrowed:  map[string][]lease{},
		pending:   map[pendingKey]LeaseRequest{},
	}
}

// mayHaveLentBefore reports whether leases granted by an earlier incarnation of
// this router may still be in use.
func (t *leaseTable) mayHaveLentBefore(now int64) bool {
	return now < t.startedAt+t.cfg.LeaseMs+t.cfg.SkewMs
}

// quota returns this router's part of a budget in which it has the given stake:
// the stake minus the leases lent, and the leases borrowed.
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

// has reports whether any part of a budget is lent or borrowed.
func (t *leaseTable) has(key string) bool {
	return len(t.lent[key])+len(t.borrowed[key]) > 0
}

// activeAmount returns the sum of the leases that have not expired.
func activeAmount(leases []lease, now int64) (total float64) {
	for _, lease := range leases {
		if now < lease.expiresAt {
			total += lease.amount
		}
	}
	return total
}

// request returns a new request to a peer. It returns false if no more of the
// budget may be borrowed.
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

// grant answers a peer's request with a lease of at most the lendable part of the
// stake minus the leases lent. needed states that this router needs its stake
// itself and so grants no new lease. grant returns false if it grants nothing. A
// duplicate of a request gets the same grant and no second lease.
func (t *leaseTable) grant(
	peer string, request LeaseRequest, stake float64, needed bool, now int64,
) (LeaseGrant, bool) {
	for _, lent := range t.lent[request.Key] {
		if lent.answers(peer, request) && now < lent.expiresAt {
			return t.grantFor(request, lent.amount), true
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
	if amount < stake/minLentDivisor {
		return LeaseGrant{}, false
	}
	t.lent[request.Key] = append(t.lent[request.Key], lease{
		peer:        peer,
		requestID:   request.ID,
		requestedAt: request.RequestedAt,
		amount:      amount,
		expiresAt:   now + t.cfg.LeaseMs + t.cfg.SkewMs,
	})
	return t.grantFor(request, amount), true
}

// answers reports whether the lease was granted for the request.
func (l *lease) answers(peer string, request LeaseRequest) bool {
	return l.peer == peer && l.requestID == request.ID && l.requestedAt == request.RequestedAt
}

// grantFor returns the grant of an amount that answers a request.
func (t *leaseTable) grantFor(request LeaseRequest, amount float64) LeaseGrant {
	return LeaseGrant{
		Key:         request.Key,
		ID:          request.ID,
		Amount:      amount,
		RequestedAt: request.RequestedAt,
		DurationMs:  t.cfg.LeaseMs,
	}
}

// accept adds a granted lease to the borrowed ones. It accepts only one grant, for
// the latest request to that peer. It returns false for duplicated, late and
// unrequested grants, and for one that would exceed MaxBorrowedStakes.
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

// expire removes expired leases and requests. It returns an event for each
// borrowed lease removed, ordered by budget.
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

// expireBorrowed removes the expired borrowed leases of one budget and returns an
// event for each.
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
