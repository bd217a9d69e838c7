package intake

import (
	"fmt"
	"slices"
	"testing"
)

// Rejected devices return spread out, within the longest wait.
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
	for i, w := range waits {
		if w < 500 || w > 30000 {
			t.Fatalf("a wait of %v", w)
		}
		if j := i + 50; j < len(waits) && waits[j]-w < 50 {
			t.Errorf("50 devices return within %v ms", waits[j]-w)
		}
	}
}
