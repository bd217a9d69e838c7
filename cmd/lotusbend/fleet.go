package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/link"
	"lotusbend/internal/membership"
	"lotusbend/internal/membership/faultinjection"
	"lotusbend/internal/membership/udp"
	"lotusbend/internal/operatorconfig"
)

// startMembership joins the fleet's view where the settings file has a
// membership section (nil: off, and nothing of it runs). The admin page, if
// named, serves the view and the counters. Errors end the start: settings
// that do not check, an address that cannot be bound.
// The state that routers share rides on it where the file has that section.
func startMembership(ctx context.Context, c *deployconfig.Config, opt *operatorconfig.Options, clk *clock.Clock, log *slog.Logger) (*fleet, error) {
	m := opt.Membership
	if m == nil {
		return nil, nil
	}
	f := &fleet{}
	if opt.Shared != nil {
		f.clockAheadMs = int64(opt.Shared.ClockOffsetMs)
		clk = clk.Shifted(opt.Shared.ClockOffsetMs)
	}
	cfg := membership.Defaults()
	cfg.Name, cfg.Addr, cfg.Zone = cmp.Or(m.Name, c.Name), cmp.Or(m.Advertise, m.Bind), m.Zone
	cfg.Start = int64(clk.Now())
	cfg.Seed = c.Seed ^ xxhash.Sum64String(cfg.Name) ^ uint64(cfg.Start)
	cfg.ProbeIntervalMs, cfg.ProbeTimeoutMs = m.PeriodMs, max(1, m.PeriodMs*2/5)
	cfg.SuspicionMult = m.SuspicionMult
	cfg.GossipBytesPerSecond = m.BudgetBytesS
	if m.Sabotage != "" { // in drills only
		fault, err := faultinjection.Parse(m.Sabotage)
		if err != nil {
			return nil, err
		}
		cfg.FaultInjection = fault
	}
	var shared udp.SharedState // a nil *link.Link in it would not be nil
	if opt.Shared != nil {
		rules := opt.Shared.Rules
		rules.Name, rules.Start, rules.Seed = cfg.Name, cfg.Start, cfg.Seed
		l, err := link.New(rules, c.Settings.Config.Routers, cfg.Start, log)
		if err != nil {
			return nil, err
		}
		f.link, shared = l, l
	}
	var err error
	f.view, err = udp.Start(ctx, udp.Options{
		Config: cfg,
		Bind:   m.Bind,
		Seeds:  m.Seeds,
		Shared: shared,
		Clock:  clk,
		Log:    log,
	})
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	log.Info("joining", "component", "membership", "name", cfg.Name, "bind", f.view.Addr(), "seeds", m.Seeds, "shared", f.link != nil)
	if m.Admin == "" {
		return f, nil
	}
	ln, err := net.Listen("tcp4", m.Admin)
	if err != nil {
		return nil, fmt.Errorf("membership: admin page: %w", err)
	}
	srv := &http.Server{Handler: f.handler(c), ReadHeaderTimeout: 2 * time.Second, WriteTimeout: 2 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	return f, nil
}

// fleet is a router's part in the fleet: the view, and the shared state, nil
// where it is off.
type fleet struct {
	view *udp.Transport
	link *link.Link
	// clockAheadMs is how far, in milliseconds, the fleet's clock is set ahead of the
	// router's, in drills; 0 in service, where both are one.
	clockAheadMs int64
}

// fleetPage is what GET /fleet tells.
type fleetPage struct {
	View    membership.View
	Shared  *fleetstate.StatusPage `json:",omitempty"`
	Classes []string
}

func (f *fleet) handler(c *deployconfig.Config) http.Handler {
	var classes []string
	for _, cl := range c.Settings.Config.Classes {
		classes = append(classes, cl.Name)
	}
	mux := http.NewServeMux()
	if f.link == nil {
		mux.Handle("/", f.view.Handler())
	} else {
		mux.Handle("/", f.view.Handler(func() map[string]uint64 { return f.link.Metrics(classes) }))
	}
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) {
		p := fleetPage{View: f.view.View(), Classes: classes}
		if f.link != nil {
			shared := f.link.StatusPage()
			p.Shared = &shared
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p)
	})
	return mux
}
