package udp

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/membership"
)

// TestThreeMembersMeetThroughAFlood starts three members on loopback, floods
// one with garbage and oversized datagrams, and waits (bounded) for every
// view to hold all three alive; the flood is counted, nothing panics.
func TestThreeMembersMeetThroughAFlood(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	var ts []*Transport
	for i := range 3 {
		cfg := membership.Defaults()
		cfg.Name, cfg.Addr, cfg.Start, cfg.Seed, cfg.ProbeIntervalMs, cfg.ProbeTimeoutMs = fmt.Sprintf("m%d", i), "127.0.0.1:0", int64(i), uint64(i), 50, 20
		var seeds []string
		if i > 0 {
			seeds = []string{ts[0].Addr()}
		}
		tr, err := Start(ctx, cfg, "", seeds, nil, clock.System(), quiet)
		if err != nil {
			t.Fatal(err)
		}
		ts = append(ts, tr)
	}
	flood, err := net.Dial("udp4", ts[1].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	for i := range 300 {
		b := make([]byte, 1+i*7%1600)
		b[0] = byte(i)
		_, _ = flood.Write(b)
	}
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		all := true
		for _, tr := range ts {
			all = all && tr.View().Fleet.Low == 3
		}
		if all {
			break
		}
		select {
		case <-deadline:
			t.Fatalf("views did not meet: %+v", ts[0].View().Fleet)
		case <-tick.C:
		}
	}
	select { // the met views' count waits for the router, the latest only
	case n := <-ts[2].Sizes():
		if n != 3 {
			t.Errorf("the size offered is %d once the view holds 3", n)
		}
	default:
		t.Error("no size is offered")
	}
	d := ts[1].Dropped()
	if d["malformed"]+d["oversized"]+d["rate_limited"]+d["queue_full"] == 0 {
		t.Fatalf("the flood was not counted: %v", d)
	}
}
