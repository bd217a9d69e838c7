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

// TestThreeMembersJoinDuringAFlood starts three members on loopback, floods
// one with garbage and oversized datagrams, and waits (bounded) for every
// view to have all three alive; the flood is counted, nothing panics.
func TestThreeMembersJoinDuringAFlood(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	var transports []*Transport
	for i := range 3 {
		cfg := membership.Defaults()
		cfg.Name = fmt.Sprintf("m%d", i)
		cfg.Addr = "127.0.0.1:0"
		cfg.Start = int64(i)
		cfg.Seed = uint64(i)
		cfg.ProbeIntervalMs = 50
		cfg.ProbeTimeoutMs = 20
		var seeds []string
		if i > 0 {
			seeds = []string{transports[0].Addr()}
		}
		transport, err := Start(ctx, Options{Config: cfg, Seeds: seeds, Clock: clock.System(), Log: quiet})
		if err != nil {
			t.Fatal(err)
		}
		transports = append(transports, transport)
	}
	flood, err := net.Dial("udp4", transports[1].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	for i := range 300 {
		b := make([]byte, 1+i*7%1600)
		b[0] = byte(i)
		_, _ = flood.Write(b)
	}
	waitForViews(t, transports)
	select { // the latest size is kept until it is received
	case size := <-transports[2].Sizes():
		if size != 3 {
			t.Errorf("the size offered is %d once the view has 3", size)
		}
	default:
		t.Error("no size is offered")
	}
	dropped := transports[1].Dropped()
	if dropped["malformed"]+dropped["oversized"]+dropped["rate_limited"]+dropped["queue_full"] == 0 {
		t.Fatalf("the flood was not counted: %v", dropped)
	}
}

// waitForViews waits, for a bounded time, until every view has all members alive.
func waitForViews(t *testing.T, transports []*Transport) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		complete := true
		for _, transport := range transports {
			complete = complete && transport.View().Fleet.Low == len(transports)
		}
		if complete {
			return
		}
		select {
		case <-deadline:
			t.Fatalf("the views are incomplete: %+v", transports[0].View().Fleet)
		case <-ticker.C:
		}
	}
}
