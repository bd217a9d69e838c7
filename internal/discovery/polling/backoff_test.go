package polling

import (
	"slices"
	"testing"
)

// service models the discovery service of a fleet. It serves one request at a
// time, in order; a request that has queued for longer than patience fails, and
// is served all the same. Times are milliseconds.
type service struct {
	cost     float64 // of one request
	patience float64
	freeAt   float64
}

// poll returns when the request ends, and whether it was answered.
func (s *service) poll(now float64) (end float64, ok bool) {
	begin := max(s.freeAt, now)
	s.freeAt = begin + s.cost
	if begin-now > s.patience {
		return now + s.patience, false
	}
	return s.freeAt, true
}

// simulateStart plays the requests of a fleet that starts together. It returns
// when the last router was answered, in milliseconds, and how many requests
// that took.
func simulateStart(routers int, cost, pollInterval float64) (lastAnswer float64, requests int) {
	discovery := service{cost: cost, patience: 2000}
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

// A fleet that starts together is answered in a few times what its requests
// cost, also where the service is slower than expected.
func TestFleetThatStartsTogetherIsAnswered(t *testing.T) {
	for _, routers := range []int{1, 3, 20, 80, 100} {
		for _, cost := range []float64{1, 25, 60, 120} {
			lastAnswer, requests := simulateStart(routers, cost, 10000)
			limit := 2000 + 5*float64(routers)*max(cost, pollCost)
			if lastAnswer > limit || requests > 4*routers {
				t.Errorf("%d routers, %.0f ms a request: all answered after %.0f ms of %.0f, in %d requests",
					routers, cost, lastAnswer, limit, requests)
			}
		}
	}
}

// Delays stay within what the settings allow, and so short that a change is
// received before it counts as known, whatever the settings are.
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
			t.Errorf("%+v: first request after %.0f ms", config, delay)
		}
		if backoff.InitialDelay(false) != 0 {
			t.Errorf("%+v: a router without a list waits", config)
		}
		limit, overloadedLimit := 1.5*maxPushDelay, 1.5*maxPushDelay
		if config.PollOnly {
			// 200 ms of the service for each router, or what is allowed after a
			// failure if that is less.
			limit = 3000
			overloadedLimit = max(3000, min(200*float64(config.Routers), 4*config.PollInterval))
		}
		for range 40 {
			if delay := backoff.Failed(true); delay <= 0 || delay > overloadedLimit {
				t.Errorf("%+v: %.0f ms after an overloaded service", config, delay)
			}
			if delay := backoff.Failed(false); delay <= 0 || delay > limit {
				t.Errorf("%+v: %.0f ms after a failure", config, delay)
			}
		}
		backoff.Succeeded()
		if delay := backoff.Failed(true); delay > 1.5*backoff.initialDelay {
			t.Errorf("%+v: %.0f ms after the first failure since an answer", config, delay)
		}
	}
}

// Routers whose requests fail together do not retry together.
func TestRetriesAreSpread(t *testing.T) {
	var delays []float64
	for seed := range uint64(50) {
		delays = append(delays, NewBackoff(Config{Routers: 50}, seed).Failed(false))
	}
	slices.Sort(delays)
	if spread := delays[45] - delays[5]; spread < pollCost/2 {
		t.Errorf("eight in ten of 50 routers retry within %.1f ms", spread)
	}
}
