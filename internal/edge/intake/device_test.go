package intake

import (
	"fmt"
	"testing"
)

func TestDeclarationOfDeviceThatLostItsCounterIsNotTrusted(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxRecent = 4 })
	s.confirmEpoch("a")
	for seq := uint64(1); seq <= 6; seq++ {
		s.offer("a", seq, true)
		s.want(fmt.Sprintf("write%d", seq))
		s.serve("v")
		s.actions = nil
	}
	s.offerValue("a", 1, 0, "other", true) // no longer remembered
	s.want("check0")
	s.serve("v")
	s.want("conflict0")
	s.offerValue("a", 1, 6, "other", true) // remembered
	s.want("conflict6")
	s.offer("a", 6, true)
	s.want("recorded6")
	s.offer("a", 9, true) // this epoch is not trusted any more
	s.want("check9")
	s.offerValue("a", 2, 0, "fresh", true) // a new epoch, seen for the first time
	s.want("check0")
	s.serve("fresh")
	s.want("recorded0")
	s.offerValue("a", 2, 1, "fresh", true)
	s.want("write1")
	s.offerValue("a", 1, 12, "old", true) // of an epoch that has passed
	s.want("check12")
}

func TestConflictBetweenDevicesOfOneName(t *testing.T) {
	s := newScript(t, nil)
	s.confirmEpoch("a")
	s.offerValue("a", 1, 1, "one", true)
	s.want("write1")
	s.offerValue("a", 1, 1, "two", true) // while the first is in progress
	s.want("conflict1")
	s.offerValue("a", 1, 1, "one", false)
	s.want("")
	s.serve("one")
	s.want("recorded1 recorded1")
	// At another router the key drops the second within the window: what is
	// recorded is the other's.
	s.offerValue("a", 1, 2, "two", true)
	s.want("write2")
	s.serve("one")
	s.want("conflict2")
}

func TestWithoutTrustFirstCopiesEveryReadingIsChecked(t *testing.T) {
	s := newScript(t, func(c *Config) { c.TrustFirstCopies = false })
	for seq := uint64(0); seq < 3; seq++ {
		s.offer("a", seq, true)
		s.want(fmt.Sprintf("check%d", seq))
		s.serve("")
		s.serve("v")
		s.actions = nil
	}
}

func TestLimitOfRememberedDevices(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxDevices, c.MaxRecent = 3, 2 })
	for i := range 50 {
		s.offer(fmt.Sprint("d", i), 0, false)
		s.serve("v")
	}
	s.actions = nil
	if n := s.in.Stats().Devices; n > 3 {
		t.Errorf("%d devices", n)
	}
	for i := range 3 {
		s.offer(fmt.Sprint("busy", i), 0, false)
	}
	s.offer("one too many", 1, false)
	s.want("check0 check0 check0 rejected1")
}
