package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lotusbend/internal/clock"
	"lotusbend/internal/membership"
	"lotusbend/internal/membership/udp"
	"lotusbend/internal/options"
)

// startMembership joins the fleet's view where the settings file has a
// membership section (nil: off, and nothing of it runs). The admin page, if
// named, serves the view and the counters. Errors end the start: settings
// that do not check, an address that cannot be bound.
func startMembership(ctx context.Context, router string, seed uint64, m *options.Membership, log *slog.Logger) (*udp.Transport, error) {
	if m == nil {
		return nil, nil
	}
	clk := clock.System()
	cfg := membership.Defaults()
	cfg.Name, cfg.Addr, cfg.Zone = cmp.Or(m.Name, router), cmp.Or(m.Advertise, m.Bind), m.Zone
	cfg.Start = int64(clk.Now())
	cfg.Seed = seed ^ xxhash.Sum64String(cfg.Name) ^ uint64(cfg.Start)
	cfg.PeriodMs, cfg.ProbeTimeoutMs = m.PeriodMs, max(1, m.PeriodMs*2/5)
	cfg.SuspicionMult, cfg.BudgetBytesS, cfg.Sabotage = m.SuspicionMult, m.BudgetBytesS, m.Sabotage
	t, err := udp.Start(ctx, cfg, m.Bind, m.Seeds, clk, log)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	log.Info("membership: joining", "name", cfg.Name, "bind", t.Addr(), "seeds", m.Seeds)
	if m.Admin == "" {
		return t, nil
	}
	ln, err := net.Listen("tcp4", m.Admin)
	if err != nil {
		return nil, fmt.Errorf("membership: admin page: %w", err)
	}
	srv := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: 2 * time.Second, WriteTimeout: 2 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	return t, nil
}
