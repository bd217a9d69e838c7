package decide

import (
	"errors"
	"math"
	"testing"
	"time"
)

func TestCircuitBreakerDoublesItsBackoffUpToABound(t *testing.T) {
	var breaker circuitBreaker
	now := time.Hour
	for _, want := range []time.Duration{600 * ms, 1200 * ms, 2400 * ms, maxTrialBackoff, maxTrialBackoff} {
		breaker.trip(100*ms, now)
		if breaker.backoff != want || breaker.nextTrialAt != now+want {
			t.Errorf("backoff %v, next trial after %v, want %v", breaker.backoff, breaker.nextTrialAt-now, want)
		}
		if breaker.allowsTrial(now+want-1) || !breaker.allowsTrial(now+want) {
			t.Errorf("backoff %v: allowsTrial does not change to true at the end of the backoff", want)
		}
		if breaker.overdue(now+2*want-1) || !breaker.overdue(now+2*want) {
			t.Errorf("backoff %v: overdue does not change to true after twice the backoff", want)
		}
	}
	if !breaker.close() || breaker.close() {
		t.Error("close must return true for an open circuit breaker and false for a closed one")
	}
	if breaker.trip(100*ms, now); breaker.backoff != 600*ms {
		t.Errorf("backoff %v after close and trip, want the initial one", breaker.backoff)
	}
}

func TestConcurrencyLimitIncreasesAdditivelyAndDecreasesMultiplicatively(t *testing.T) {
	for name, c := range map[string]struct {
		used     float64
		inFlight int
		sentAt   time.Duration
		want     float64
	}{
		"fast answer under load":             {0.1, 2, 0, 4.25},
		"fast answer without load":           {0.1, 1, 0, 4},
		"answer between the thresholds":      {0.3, 4, 0, 4},
		"slow answer":                        {0.5, 4, time.Second, 2.8},
		"slow answer sent before a decrease": {0.5, 4, time.Second - 1, 4},
		"at the threshold of the increase":   {concurrencyIncreaseBelow, 4, 0, 4.25},
		"at the threshold of the decrease":   {concurrencyDecreaseAbove, 4, time.Second, 4},
	} {
		limit := concurrencyLimit{value: 4, reducedAt: time.Second}
		limit.observe(c.used, c.inFlight, c.sentAt, 2*time.Second)
		if math.Abs(limit.value-c.want) > 1e-9 {
			t.Errorf("%s: limit %g, want %g", name, limit.value, c.want)
		}
	}
	low := concurrencyLimit{value: 1}
	if low.observe(1, 1, 0, 0); low.value != 1 {
		t.Errorf("limit %g, want at least 1", low.value)
	}
}

func TestRetryBudgetIsBoundedBothWays(t *testing.T) {
	var budget retryBudget
	for range 100 {
		budget.earn()
	}
	if budget.tokens != maxRetryTokens {
		t.Errorf("full budget has %g tokens, want %g", budget.tokens, maxRetryTokens)
	}
	budget.spend(fullRetryCost)
	if budget.covers(reducedRetryCost) {
		t.Error("an empty budget covers a retry")
	}
	for range 100 {
		budget.refill(-1, time.Second)
	}
	if budget.tokens != -maxRetryTokens {
		t.Errorf("overdrawn budget has %g tokens, want -%g", budget.tokens, maxRetryTokens)
	}
}

func TestClientRetriesAreBoundedByRequestsAnsweredEarly(t *testing.T) {
	estimate := newClientRetryEstimate(1)
	for range 10 {
		if estimate.isRetry(0, time.Second) {
			t.Fatal("a request with the typical time left is taken for a retry")
		}
	}
	if estimate.isRetry(0, 500*ms) {
		t.Error("a request is taken for a retry though no request was answered early")
	}
	estimate.expect(1)
	if !estimate.isRetry(0, 500*ms) || estimate.isRetry(0, 500*ms) {
		t.Error("not exactly one request is taken for a retry where one retry is expected")
	}
	for range 2 * maxPendingClientRetries {
		estimate.expect(expectedClientRetries)
	}
	if estimate.pending != maxPendingClientRetries {
		t.Errorf("%d retries are expected, want %d", estimate.pending, maxPendingClientRetries)
	}
}

func TestSessionCommitsKeepWritesInFlight(t *testing.T) {
	sessions := sessionCommits{commits: map[uint64]sessionCommit{}}
	sessions.record(1, 1, 0)
	sessions.record(1, 0, 5*time.Second)
	sessions.record(1, 0, 3*time.Second)
	if position, writing := sessions.required(1); position != 5*time.Second || !writing {
		t.Errorf("required(1) = %v, %v, want the position of the latest commit, 5s, and true", position, writing)
	}
	for session := range uint64(maxSessions) {
		sessions.record(session+2, 0, 7*time.Second)
	}
	if len(sessions.commits) != 1 {
		t.Errorf("%d sessions are stored, want only the one with a write in flight", len(sessions.commits))
	}
	if position, _ := sessions.required(99); position != 7*time.Second {
		t.Errorf("required(99) = %v for a dropped session, want the latest known commit, 7s", position)
	}
}

func TestSlowStartTokensAreRefilledUpToABound(t *testing.T) {
	var warmUp slowStart
	warmUp.begin(time.Minute, 0.5, time.Minute)
	warmUp.refill(10, time.Minute+100*ms)
	if math.Abs(warmUp.tokens-1.5) > 1e-9 {
		t.Errorf("%g tokens after 100 ms at 10 a second, want 1.5", warmUp.tokens)
	}
	warmUp.refill(10, 2*time.Minute)
	if warmUp.tokens != maxSlowStartTokens {
		t.Errorf("%g tokens, want %g at most", warmUp.tokens, maxSlowStartTokens)
	}
	if warmUp.spend(); warmUp.tokens != maxSlowStartTokens-1 {
		t.Errorf("%g tokens after one attempt, want %g", warmUp.tokens, maxSlowStartTokens-1)
	}
	warmUp.active = false
	if warmUp.spend(); warmUp.tokens != maxSlowStartTokens-1 {
		t.Error("a warm endpoint spends tokens")
	}
}

func TestRequestListYieldsInOrderWhileTheCurrentOneIsRemoved(t *testing.T) {
	var list requestList
	list.init()
	for id := range uint64(5) {
		list.pushBack(&trackedRequest{Request: Request{ID: id}})
	}
	var seen []uint64
	for request := range list.all() {
		seen = append(seen, request.ID)
		if request.ID%2 == 0 {
			list.remove(request)
		}
	}
	var left []uint64
	for request := range list.all() {
		left = append(left, request.ID)
	}
	if len(seen) != 5 || len(left) != 2 || left[0] != 1 || left[1] != 3 {
		t.Errorf("iterated over %v, want all 5; list holds %v, want [1 3]", seen, left)
	}
}

func TestConfigurationErrorsAreTyped(t *testing.T) {
	if _, err := New(Config{}, 1, newRecorder()); !errors.Is(err, ErrIncomplete) {
		t.Errorf("New without classes: error %v, want ErrIncomplete", err)
	}
	if _, err := New(testConfig(), 1, nil); !errors.Is(err, ErrIncomplete) {
		t.Errorf("New without actions: error %v, want ErrIncomplete", err)
	}
	config := testConfig()
	config.Classes[2].LatencyObjective = 0
	var invalid *ClassError
	if _, err := New(config, 1, newRecorder()); !errors.As(err, &invalid) || invalid.Index != 2 {
		t.Errorf("New with a class without a latency objective: error %v, want a ClassError of class 2", err)
	}
}
