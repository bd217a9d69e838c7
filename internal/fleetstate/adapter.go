package fleetstate

import "time"

// suggestionMs is how long primary discovery prefers a suggested primary.
const suggestionMs = 1000

// FleetAdapter implements decide.Fleet from the latest Advice. Times are Unix
// milliseconds on the router's clock, which the decision module passes as a
// duration.
//
// Every part of the advice expires without another call: a borrowed quota with
// its lease, an ejection at its end. The zero value represents a router without
// peers. A FleetAdapter is not safe for concurrent use.
type FleetAdapter struct {
	routers            int
	stake              float64          // fraction of an endpoint's budget, 0 before any advice
	remainingStake     float64          // usable fraction of the stake in endpoints without a quota
	slowStart          map[uint32]Quota // by endpoint
	retries            Quota            // retries per second
	deprioritizedUntil map[uint32]int64 // by endpoint, ms
	suggestedUntil     map[uint32]int64 // by endpoint, ms
}

// SetRouters sets the size of the fleet. It is for routers that know the fleet's
// size but share no state.
func (a *FleetAdapter) SetRouters(routers int) { a.routers = routers }

// Set replaces the advice with one made at now, in ms. id returns the decision
// module's identifier of an endpoint name; endpoints without one are skipped.
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

// Routers implements decide.Fleet. It returns the size of the fleet.
func (a *FleetAdapter) Routers() int { return a.routers }

// SlowStartRate implements decide.Fleet. It reduces ownRate in proportion to the
// quota lent, and adds singleRequestRate for each stake borrowed. A lender's
// ownRate is at least its singleRequestRate, so it gives up at least as much as
// the borrower gains.
func (a *FleetAdapter) SlowStartRate(
	endpoint uint32, ownRate, singleRequestRate float64, now time.Duration,
) float64 {
	if a.stake <= 0 { // no advice yet, or only the size of the fleet is known
		return ownRate
	}
	quota, ok := a.slowStart[endpoint]
	if !ok {
		return ownRate * a.remainingStake
	}
	rate := ownRate * min(1, quota.Own/a.stake)
	if now.Milliseconds() < quota.Until {
		rate += singleRequestRate * quota.Borrowed / a.stake
	}
	return rate
}

// RetryRate implements decide.Fleet. A borrowed quota counts until its lease
// expires.
func (a *FleetAdapter) RetryRate(now time.Duration) float64 {
	return a.retries.At(now.Milliseconds())
}

// Deprioritized implements decide.Fleet. It reports whether the endpoint's
// ejection still holds.
func (a *FleetAdapter) Deprioritized(endpoint uint32, now time.Duration) bool {
	return now.Milliseconds() < a.deprioritizedUntil[endpoint]
}

// SuggestedPrimary implements decide.Fleet. A suggestion holds for suggestionMs.
func (a *FleetAdapter) SuggestedPrimary(endpoint uint32, now time.Duration) bool {
	return now.Milliseconds() < a.suggestedUntil[endpoint]
}
