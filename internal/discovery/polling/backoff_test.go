package polling

import (
	"slices"
	"testing"
)

// service models the discovery service of a fleet. It serves one request at a
// time, in order. A request that has queued for longer than the timeout fails but
// is still served. Times are in milliseconds.
type service struct {
	cost    float64 // time to serve one request
	timeout float64 // of a queued request
	freeAt  float64 // time at which all requests so far are served
}

// poll queues a request at now. It returns when the request ends, and whether it
// was answered.
func (s *service) poll(now float64) (end float64, ok bool) {
	begin := max(s.freeAt, now)
	s.freeAt = begin + s.cost
	if begin-now > s.timeout {
		return now + s.timeout, false
	}
	return s.freeAt, true
}

// simulateStart simulates the requests of a fleet whose routers start at the same
// time. It returns when the last router was answered, in milliseconds, and how
// many requests that took.
func simulateStart(routers int, cost, pollInterval float64) (lastAnswer float64, requests int) {
	discovery := service{cost: cost, timeout: 2000}
	type request struct {
		at      float64
		backoff *Backoff
	}
	var queue []request
	for i := range routers {
		backoff := NewBackoff(Config{Routers: routers, PollOnly: true, PollInterval: pollInterval}, uint64(i))
		queue = append(queue, request{backoff.InitialDelay(true), backoff})
	}
	for len(queue) > 0 && requests < 100*routers {
		slices.SortFunc(queue, func(a, b request) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		next := queue[0]
		queue = queue[1:]
		requests++
		if end, ok := discovery.poll(next.at); ok {
			next.backoff.Succeeded()
			lastAnswer = max(lastAnswer, end)
		} else {
			queue = append(queue, request{end + next.backoff.Failed(true), next.backoff})
		}
	}
	return lastAnswer, requests
}

// The routers of a fleet that start at the same time are all answered within a few
// times the cost of their requests, even if the service is slower than expected.
func TestSimultaneousStartIsAnsweredInBoundedTime(t *testing.T) {
	for _, routers := range []int{1, 3, 20, 80, 100} {
		for _, cost := range []float64{1, 25, 60, 120} {
			lastAnswer, requests := simulateStart(routers, cost, 10000)
			limit := 2000 + 5*float64(routers)*max(cost, pollCostMs)
			if lastAnswer > limit || requests > 4*routers {
				t.Errorf("%d routers, %.0f ms per request: all answered after %.0f ms, want %.0f, in %d requests, want 4 per router at most",
					routers, cost, lastAnswer, limit, requests)
			}
		}
	}
}

// Delays stay within the bounds of the settings. With any settings they are short
// enough to receive a change before the router must know it.
func TestDelaysStayWithinBounds(t *testing.T) {
	for _, config := range []Config{
		{Routers: 80, PollOnly: true, PollInterval: 10000},
		{Routers: 5000, PollOnly: true, PollInterval: 10000},
		{Routers: -3, PollOnly: true},
		{Routers: 80, PollInterval: 10000},
		{},
		{Routers: 6, PollOnly: true, PollInterval: 10000},
		{Routers: 15, PollOnly: true, PollInterval: 10000},
	} {
		backoff := NewBackoff(config, 7)
		delay := backoff.InitialDelay(true)
		late := config.PollInterval > 0 && delay > config.PollInterval/2
		if delay < 0 || delay > 3000 || late || (!config.PollOnly && delay != 0) {
			t.Errorf("%+v: InitialDelay(true) = %.0f ms", config, delay)
		}
		if backoff.InitialDelay(false) != 0 {
			t.Errorf("%+v: InitialDelay(false) is not 0", config)
		}
		limit, overloadedLimit := 1.5*maxPushDelayMs, 1.5*maxPushDelayMs
		if config.PollOnly {
			// After an overload: 200 ms of the service's time for each router, or
			// the four intervals that the settings allow if that is less.
			limit = 3000
			overloadedLimit = max(3000, min(200*float64(config.Routers), 4*config.PollInterval))
		}
		for range 40 {
			if delay := backoff.Failed(true); delay <= 0 || delay > overloadedLimit {
				t.Errorf("%+v: Failed(overloaded) = %.0f ms, want at most %.0f", config, delay, overloadedLimit)
			}
			if delay := backoff.Failed(false); delay <= 0 || delay > limit {
				t.Errorf("%+v: Failed = %.0f ms, want at most %.0f", config, delay, limit)
			}
		}
		backoff.Succeeded()
		if delay := backoff.Failed(true); delay > 1.5*backoff.initialDelayMs {
			t.Errorf("%+v: Failed = %.0f ms after Succeeded, want at most %.0f", config, delay, 1.5*backoff.initialDelayMs)
		}
	}
}

// Routers whose requests fail at the same time retry at different times.
func TestRetriesAreSpread(t *testing.T) {
	var delays []float64
	for seed := range uint64(50) {
		delays = append(delays, NewBackoff(Config{Routers: 50}, seed).Failed(false))
	}
	slices.Sort(delays)
	if spread := delays[45] - delays[5]; spread < pollCostMs/2 {
		t.Errorf("80%% of 50 routers retry within %.1f ms, want at least half of the poll cost", spread)
	}
}
