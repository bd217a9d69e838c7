package intake

import (
	"fmt"
	"testing"
)

// A device that lost its sequence counter declares first copies of sequence
// numbers that are already recorded. Writing these without a check would record
// another value after the idempotency window.
func TestFirstCopyOfDeviceThatLostItsCounterIsNotTrusted(t *testing.T) {
	script := newScript(t, func(c *Config) { c.MaxRecent = 4 })
	script.confirmEpoch("a")
	for seq := uint64(1); seq <= 6; seq++ {
		script.offer("a", seq, true)
		script.want(fmt.Sprintf("write%d", seq))
		script.serve("v")
		script.actions = nil
	}
	script.offerValue("a", 1, 0, "other", true) // no longer among the recent readings
	script.want("check0")
	script.serve("v")
	script.want("conflict0")
	script.offerValue("a", 1, 6, "other", true) // among the recent readings
	script.want("conflict6")
	script.offer("a", 6, true)
	script.want("recorded6")
	script.offer("a", 9, true) // after a conflict the epoch is not trusted
	script.want("check9")
	script.offerValue("a", 2, 0, "fresh", true) // the first reading of a new epoch
	script.want("check0")
	script.serve("fresh")
	script.want("recorded0")
	script.offerValue("a", 2, 1, "fresh", true)
	script.want("write1")
	script.offerValue("a", 1, 12, "old", true) // of an earlier epoch
	script.want("check12")
}

func TestDevicesOfOneNameGetConflicts(t *testing.T) {
	script := newScript(t, nil)
	script.confirmEpoch("a")
	script.offerValue("a", 1, 1, "one", true)
	script.want("write1")
	script.offerValue("a", 1, 1, "two", true) // while the first is in progress
	script.want("conflict1")
	script.offerValue("a", 1, 1, "one", false)
	script.want("")
	script.serve("one")
	script.want("recorded1 recorded1")
	// Another device of the name sent the same ID to another router. Within the
	// idempotency window the shard drops this router's write as a duplicate and
	// returns the value of the other device.
	script.offerValue("a", 1, 2, "two", true)
	script.want("write2")
	script.serve("one")
	script.want("conflict2")
}

func TestWithoutTrustFirstCopiesEveryReadingIsChecked(t *testing.T) {
	script := newScript(t, func(c *Config) { c.TrustFirstCopies = false })
	for seq := uint64(0); seq < 3; seq++ {
		script.offer("a", seq, true)
		script.want(fmt.Sprintf("check%d", seq))
		script.serve("")
		script.serve("v")
		script.actions = nil
	}
}

func TestIdleDevicesAreReplacedAtMaxDevices(t *testing.T) {
	script := newScript(t, func(c *Config) { c.MaxDevices, c.MaxRecent = 3, 2 })
	for i := range 50 {
		script.offer(fmt.Sprint("d", i), 0, false)
		script.serve("v")
	}
	script.actions = nil
	if n := script.in.Stats().Devices; n > 3 {
		t.Errorf("Stats().Devices = %d, want at most 3", n)
	}
	for i := range 3 {
		script.offer(fmt.Sprint("busy", i), 0, false)
	}
	script.offer("one too many", 1, false)
	script.want("check0 check0 check0 rejected1")
}
