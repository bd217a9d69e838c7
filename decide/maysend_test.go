package decide

import (
	"testing"
	"time"
)

// An attempt may wait for its connection, and what allowed it may end
// meanwhile: it is asked again at the moment of its writing.
func TestAttemptMustStillBeAllowedWhenItIsWritten(t *testing.T) {
	unchecked := func(c *Config) { c.StaleReadPolicy = ServeStale }
	for name, c := range map[string]struct {
		class  int
		config func(*Config)
		before func(f *fixture) // what came before the attempt was sent
		then   func(f *fixture, id uint64)
		may    bool
	}{
		"nothing has changed":        {class: writeClass, may: true},
		"its member drains":          {class: writeClass, then: func(f *fixture, _ uint64) { f.updateState(1, Draining) }},
		"its member has gone":        {class: writeClass, then: func(f *fixture, _ uint64) { f.updateState(1, Removed) }},
		"its client has gone":        {class: writeClass, then: func(f *fixture, id uint64) { f.router.ClientCancelled(f.now, id) }},
		"its client waits no longer": {class: writeClass, then: func(f *fixture, _ uint64) { f.now += 2 * time.Second }},
		"time alone":                 {class: writeClass, then: func(f *fixture, _ uint64) { f.now += 250 * ms }, may: true},
		"a replica's data grew old": {class: boundedReadClass, config: unchecked, before: func(f *fixture) { f.reportPosition(2, f.now-100*ms) },
			then: func(f *fixture, _ uint64) { f.now += 250 * ms }},
		"a replica's data are young": {class: boundedReadClass, config: unchecked, before: func(f *fixture) { f.reportPosition(2, f.now-100*ms) },
			then: func(f *fixture, _ uint64) { f.now += 150 * ms }, may: true},
		"a replica that checks": {class: boundedReadClass, config: func(c *Config) { c.StaleReadPolicy = RejectStale }, before: func(f *fixture) { f.reportPosition(2, f.now) },
			then: func(f *fixture, _ uint64) { f.now += 900 * ms }, may: true},
		"the primary is none": {class: freshReadClass, config: unchecked, then: func(f *fixture, _ uint64) { f.router.recordRole(f.router.endpoints[1], RoleReplica, f.now) }},
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
			t.Fatalf("%s: %d attempts", name, len(f.sends))
		}
		if c.then != nil {
			c.then(f, id)
		}
		if f.router.MaySend(f.now, id, 0) != c.may {
			t.Errorf("%s: the attempt may leave: %v", name, !c.may)
		}
	}
}

// at has a endpoint be heard with a position.
func (f *fixture) reportPosition(id uint32, pos time.Duration) {
	f.router.recordAnswer(f.router.endpoints[id], f.now)
	f.router.recordRole(f.router.endpoints[id], RoleReplica, f.now)
	f.router.recordPosition(f.router.endpoints[id], pos, f.now)
}

// A repeat of a write that may have run must leave within the key's window,
// which counts from the first attempt, with the way to the host on top; one
// that surely never ran has no window.
func TestRetryMustBeWrittenWithinTheIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		first  Outcome
		at, on time.Duration // when the repeat is sent, and how long it waits
		sent   bool
		may    bool
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
		f.now += c.at
		f.router.AttemptEnded(f.now, AttemptResult{Request: id, Endpoint: 1, Outcome: c.first, Latency: c.at})
		if request, endpoint := f.router.requests[id], f.router.endpoints[1]; request != nil { // the endpoint need not rest, nor was it just tried
			endpoint.backoffUntil, endpoint.unreachable, endpoint.breaker.open, endpoint.consecutiveFailures = 0, false, false, 0
			request.attempts[0].endedAt = 1
			f.router.drainQueue(endpoint.group, f.now)
		}
		if len(f.sends) > 1 != c.sent {
			t.Errorf("%+v: %d attempts", c, len(f.sends))
			continue
		}
		if f.now += c.on; c.sent && f.router.MaySend(f.now, id, 1) != c.may {
			t.Errorf("%+v: the repeat may leave: %v", c, !c.may)
		}
	}
}
