package intake

import (
	"fmt"
	"slices"
	"testing"
)

// Devices that are rejected at once must not retry at once: their waits are
// within MinRetryAfter and MaxRetryAfter, and spread.
func TestRetryAfterIsSpread(t *testing.T) {
	script := newScript(t, func(c *Config) { c.MaxPerNetwork = 1 })
	script.offer("a", 0, false)
	for i := range 500 {
		script.offer(fmt.Sprint("b", i), uint64(i), false)
	}
	var waits []float64
	for _, a := range script.answers {
		waits = append(waits, a.RetryAfter)
	}
	slices.Sort(waits)
	for i, wait := range waits {
		if wait < 500 || wait > 30000 {
			t.Fatalf("RetryAfter = %v ms, want 500 to 30000", wait)
		}
		if j := i + 50; j < len(waits) && waits[j]-wait < 50 {
			t.Errorf("50 devices retry within %v ms, want at least 50", waits[j]-wait)
		}
	}
}
