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

// TestThreeMembersJoinDuringAFlood starts three members on loopback and floods one
// with malformed and oversized datagrams. All views must contain the three members
// as alive within 10 s, and the dropped datagrams must be counted.
func TestThreeMembersJoinDuringAFlood(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
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
		transport, err := Start(ctx, Options{Config: cfg, Seeds: seeds, Clock: clock.System(), Log: discard})
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
		datagram := make([]byte, 1+i*7%1600)
		datagram[0] = byte(i)
		_, _ = flood.Write(datagram)
	}
	waitForViews(t, transports)
	select { // the channel keeps the latest size until it is received
	case size := <-transports[2].Sizes():
		if size != 3 {
			t.Errorf("Sizes() delivered %d, want 3", size)
		}
	default:
		t.Error("Sizes() delivered nothing, want 3")
	}
	dropped := transports[1].Dropped()
	if dropped["malformed"]+dropped["oversized"]+dropped["rate_limited"]+dropped["queue_full"] == 0 {
		t.Fatalf("Dropped() = %v after the flood, want some dropped datagrams", dropped)
	}
}

// waitForViews waits up to 10 s until every view contains all members as alive.
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
			t.Fatalf("incomplete views after 10 s: the first has %+v, want %d members alive",
				transports[0].View().Fleet, len(transports))
		case <-ticker.C:
		}
	}
}
