package decide

import (
	"testing"
	"time"
)

// A request that is given up is rejected where its client can safely retry it, and
// failed where an attempt may have been executed.
func TestGivenUpRequestIsRejectedWhereRetryIsSafe(t *testing.T) {
	for name, c := range map[string]struct {
		idempotency Idempotency
		scope       IdempotencyScope
		rejected    bool
	}{
		"idempotent":                       {idempotency: Idempotent, rejected: true},
		"key that all endpoints recognize": {idempotency: IdempotencyKey, scope: ScopeAll, rejected: true},
		"not idempotent":                   {idempotency: NonIdempotent},
	} {
		config := testConfig()
		config.Classes[writeClass].Idempotency = c.idempotency
		config.Classes[writeClass].IdempotencyScope = c.scope
		f := newFixture(t, config, oneGroup())
		id := f.submit(writeClass)
		f.router.GiveUp(f.now, id)
		f.router.GiveUp(f.now, id) // has no further effect
		if len(f.rejected)+len(f.failed) != 1 || len(f.rejected) == 1 != c.rejected {
			t.Errorf("%s: rejected %v, failed %v, want rejected = %v", name, f.rejected, f.failed, c.rejected)
		}
		f.advance(5 * time.Second)
		if len(f.sends) != 1 {
			t.Errorf("%s: %d attempts were sent, want no retry", name, len(f.sends))
		}
	}
}
