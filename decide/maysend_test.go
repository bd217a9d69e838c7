package decide

import (
	"testing"
	"time"
)

// An attempt may wait for a connection. Meanwhile the conditions under which it was
// allowed may end, so they are checked again before it is written.
func TestAttemptMustStillBeAllowedWhenItIsWritten(t *testing.T) {
	serveStale := func(c *Config) { c.StaleReadPolicy = ServeStale }
	for name, c := range map[string]struct {
		class  int
		config func(*Config)
		before func(f *fixture)            // runs before the attempt is sent
		then   func(f *fixture, id uint64) // runs while the attempt waits
		want   bool
	}{
		"no change":               {class: writeClass, want: true},
		"endpoint is draining":    {class: writeClass, then: func(f *fixture, _ uint64) { f.updateState(1, Draining) }},
		"endpoint is removed":     {class: writeClass, then: func(f *fixture, _ uint64) { f.updateState(1, Removed) }},
		"client has disconnected": {class: writeClass, then: func(f *fixture, id uint64) { f.router.ClientCancelled(f.now, id) }},
		"deadline has passed":     {class: writeClass, then: func(f *fixture, _ uint64) { f.now += 2 * time.Second }},
		"time has passed":         {class: writeClass, then: func(f *fixture, _ uint64) { f.now += 250 * ms }, want: true},
		"replica beyond staleness bound": {class: boundedReadClass, config: serveStale, before: func(f *fixture) { f.reportPosition(2, f.now-100*ms) },
			then: func(f *fixture, _ uint64) { f.now += 250 * ms }},
		"replica within staleness bound": {class: boundedReadClass, config: serveStale, before: func(f *fixture) { f.reportPosition(2, f.now-100*ms) },
			then: func(f *fixture, _ uint64) { f.now += 150 * ms }, want: true},
		"replica that rejects stale reads": {class: boundedReadClass, config: func(c *Config) { c.StaleReadPolicy = RejectStale }, before: func(f *fixture) { f.reportPosition(2, f.now) },
			then: func(f *fixture, _ uint64) { f.now += 900 * ms }, want: true},
		"primary has become a replica": {class: freshReadClass, config: serveStale, then: func(f *fixture, _ uint64) { f.router.recordRole(f.router.endpoints[1], RoleReplica, f.now) }},
	} {
		config := testConfig()
		if c.config != nil {
			c.config(&config)
		}
		f := newFixture(t, config, oneGroup())
		if c.before != nil {
			c.before(f)
		}
		id := f.submit(c.class)
		if len(f.sends) != 1 {
			t.Fatalf("%s: %d attempts were sent, want 1", name, len(f.sends))
		}
		if c.then != nil {
			c.then(f, id)
		}
		if f.router.MaySend(f.now, id, 0) != c.want {
			t.Errorf("%s: MaySend = %v, want %v", name, !c.want, c.want)
		}
	}
}

// reportPosition records an answer of a replica that carries a position.
func (f *fixture) reportPosition(id uint32, position time.Duration) {
	f.router.recordAnswer(f.router.endpoints[id], f.now)
	f.router.recordRole(f.router.endpoints[id], RoleReplica, f.now)
	f.router.recordPosition(f.router.endpoints[id], position, f.now)
}

// A retry of a write that may have been executed must be written within the
// idempotency window, which starts with the first attempt, with a margin for the
// transmission to the endpoint. A write that was certainly not executed has no such
// window.
func TestRetryMustBeWrittenWithinTheIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		first           Outcome       // of the first attempt
		sentAfter, wait time.Duration // when the retry is sent, and how long it waits for its connection
		sent            bool          // a retry is sent at all
		want            bool          // MaySend of the retry
	}{
		{Reset, 100 * ms, 100 * ms, true, true},
		{Reset, 800 * ms, 150 * ms, true, true},
		{Reset, 800 * ms, 195 * ms, true, false},
		{Reset, 995 * ms, 0, false, false},
		{ConnectFailed, 800 * ms, 250 * ms, true, true},
	} {
		config := testConfig()
		config.Classes[idempotentWriteClass].IdempotencyWindow = time.Second
		config.Classes[idempotentWriteClass].LatencyObjective, config.Classes[idempotentWriteClass].LateWeight = 2*time.Second, 0.5
		f := newFixture(t, config, oneGroup())
		id := f.submit(idempotentWriteClass)
		f.now += c.sentAfter
		f.router.AttemptEnded(f.now, AttemptResult{Request: id, Endpoint: 1, Outcome: c.first, Latency: c.sentAfter})
		if request, endpoint := f.router.requests[id], f.router.endpoints[1]; request != nil { // clears the backoffs, so that the retry can be sent at once
			endpoint.backoffUntil, endpoint.unreachable, endpoint.breaker.open, endpoint.consecutiveFailures = 0, false, false, 0
			request.attempts[0].endedAt = 1
			f.router.drainQueue(endpoint.group, f.now)
		}
		if len(f.sends) > 1 != c.sent {
			t.Errorf("%+v: %d attempts were sent, want a retry: %v", c, len(f.sends), c.sent)
			continue
		}
		if f.now += c.wait; c.sent && f.router.MaySend(f.now, id, 1) != c.want {
			t.Errorf("%+v: MaySend = %v, want %v", c, !c.want, c.want)
		}
	}
}
