package intake

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
)

func TestFullIntakeEvictsFromDeviceWithMostReadings(t *testing.T) {
	script := newScript(t, func(c *Config) { c.MaxReadings, c.MaxWindow, c.MaxPerDevice = 6, 1, 5 })
	for seq := uint64(1); seq <= 5; seq++ {
		script.offer("greedy", seq, false)
	}
	script.want("check1")
	script.offer("greedy", 6, false)
	script.want("rejected6") // the limit of one device
	script.offer("b", 11, false)
	script.want("")
	script.offer("c", 12, false)
	script.want("rejected5") // the newest reading of the device with the most
	script.offer("b", 13, false)
	script.want("rejected4")
	script.offer("b", 14, false) // with it, b would have as many queued as greedy
	script.want("rejected14")
	if evicted := script.in.Stats().Evicted; evicted != 2 {
		t.Errorf("Stats().Evicted = %d, want 2", evicted)
	}
	urgent := Reading{ID: ID{"b", 1, 15}, Value: []byte("v"), Urgent: true}
	script.in.Offer(script.now, urgent, DeclaredHistory{}, Origin{Index: 15}, netip.Prefix{})
	if script.want("rejected13"); script.in.Stats().InProgress != 6 {
		t.Errorf("Stats() = %+v, want 6 readings in progress", script.in.Stats())
	}
	script.serve("v") // the urgent reading is submitted next, although it arrived last
	script.want("recorded1 check15")
}

func TestReadingsBeyondNetworkOrByteLimitAreRejected(t *testing.T) {
	script := newScript(t, func(c *Config) { c.MaxPerNetwork = 2 })
	for i, want := range []string{"check0", "check1", "rejected2"} {
		script.offer(fmt.Sprint("d", i), uint64(i), false)
		script.want(want)
	}
	script = newScript(t, func(c *Config) { c.MaxBytes = 3 * (readingOverheadBytes + 100) })
	for i, want := range []string{"check0", "check1", "check2", "rejected3"} {
		script.offerValue(fmt.Sprint("d", i), 1, uint64(i), strings.Repeat("x", 90), false)
		script.want(want)
	}
}
