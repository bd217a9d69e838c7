package fleetstate

import "time"

// suggestionMs is for how long primary discovery tries a suggested primary first.
const suggestionMs = 1000

// FleetAdapter gives the decision module the last Advice: it implements
// decide.Fleet. Its times are those of the advice, Unix milliseconds on the
// router's clock, which the module passes as a duration.
//
// Whatever it was given ends by itself: a borrowed quota with its lease, an
// ejection at its end, without another call. The zero value is a router without
// peers. It is not safe for concurrent use.
type FleetAdapter struct {
	routers            int
	stake              float64          // in an endpoint's budget, 0 before any advice
	remainingStake     float64          // of the stake in endpoints without a quota
	slowStart          map[uint32]Quota // by endpoint
	retries            Quota            // retries a second
	deprioritizedUntil map[uint32]int64 // by endpoint, ms
	suggestedUntil     map[uint32]int64 // by endpoint, ms
}

// SetRouters sets the size of the fleet alone, without shared state.
func (a *FleetAdapter) SetRouters(routers int) { a.routers = routers }

// Set takes advice given at now, in ms. id translates an endpoint's name into
// the module's number; endpoints for which it has none are left out.
func (a *FleetAdapter) Set(advice Advice, id func(name string) (uint32, bool), now int64) {
	*a = FleetAdapter{
		routers:            advice.Routers,
		stake:              1 / float64(max(advice.Routers, 1)),
		remainingStake:     advice.RemainingStake,
		slowStart:          make(map[uint32]Quota, len(advice.SlowStart)),
		retries:            advice.RetryQuota,
		deprioritizedUntil: make(map[uint32]int64, len(advice.Ejections)),
		suggestedUntil:     make(map[uint32]int64, len(advice.SuggestedPrimaries)),
	}
	for name, quota := range advice.SlowStart {
		if number, ok := id(name); ok {
			a.slowStart[number] = quota
		}
	}
	for _, ejection := range advice.Ejections {
		if number, ok := id(ejection.Endpoint); ok {
			a.deprioritizedUntil[number] = ejection.Until
		}
	}
	for _, name := range advice.SuggestedPrimaries {
		if number, ok := id(name); ok {
			a.suggestedUntil[number] = now + suggestionMs
		}
	}
}

// Routers implements decide.Fleet.
func (a *FleetAdapter) Routers() int { return a.routers }

// SlowStartRate implements decide.Fleet: what was lent is taken off this
// router's own rate in proportion, and what was borrowed is added as parts of
// an endpoint that serves one request at a time. A lender's own rate is at
// least its stake in such an endpoint, so what it gives up is at least what the
// borrower gains.
func (a *FleetAdapter) SlowStartRate(endpoint uint32, own, one float64, now time.Duration) float64 {
	if a.stake <= 0 { // no advice yet, or the size of the fleet alone
		return own
	}
	quota, ok := a.slowStart[endpoint]
	if !ok {
		return own * a.remainingStake
	}
	rate := own * min(1, quota.Own/a.stake)
	if now.Milliseconds() < quota.Until {
		rate += one * quota.Borrowed / a.stake
	}
	return rate
}

// RetryRate implements decide.Fleet.
func (a *FleetAdapter) RetryRate(now time.Duration) float64 {
	return a.retries.At(now.Milliseconds())
}

// Deprioritized implements decide.Fleet.
func (a *FleetAdapter) Deprioritized(endpoint uint32, now time.Duration) bool {
	return now.Milliseconds() < a.deprioritizedUntil[endpoint]
}

// SuggestedPrimary implements decide.Fleet.
func (a *FleetAdapter) SuggestedPrimary(endpoint uint32, now time.Duration) bool {
	return now.Milliseconds() < a.suggestedUntil[endpoint]
}
