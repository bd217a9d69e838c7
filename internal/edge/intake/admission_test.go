package intake

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
)

func TestEvictionFromDeviceWithMostReadings(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxReadings, c.MaxWindow, c.MaxPerDevice = 6, 1, 5 })
	for seq := uint64(1); seq <= 5; seq++ {
		s.offer("greedy", seq, false)
	}
	s.want("check1")
	s.offer("greedy", 6, false)
	s.want("rejected6") // its own limit
	s.offer("b", 11, false)
	s.want("")
	s.offer("c", 12, false)
	s.want("rejected5") // the newest of the device with the most
	s.offer("b", 13, false)
	s.want("rejected4")
	s.offer("b", 14, false) // now b would have as many
	s.want("rejected14")
	if n := s.in.Stats().Evicted; n != 2 {
		t.Errorf("%d evicted", n)
	}
	urgent := Reading{ID: ID{"b", 1, 15}, Value: []byte("v"), Urgent: true}
	s.in.Offer(s.now, urgent, DeclaredHistory{}, Origin{Index: 15}, netip.Prefix{})
	if s.want("rejected13"); s.in.Stats().InProgress != 6 {
		t.Errorf("%+v", s.in.Stats())
	}
	s.serve("v") // the urgent one goes first, though it came last
	s.want("recorded1 check15")
}

func TestLimitsPerNetworkAndOfBytes(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxPerNetwork = 2 })
	for i, want := range []string{"check0", "check1", "rejected2"} {
		s.offer(fmt.Sprint("d", i), uint64(i), false)
		s.want(want)
	}
	s = newScript(t, func(c *Config) { c.MaxBytes = 3 * (entryCost + 100) })
	for i, want := range []string{"check0", "check1", "check2", "rejected3"} {
		s.offerValue(fmt.Sprint("d", i), 1, uint64(i), strings.Repeat("x", 90), false)
		s.want(want)
	}
}
