package operatorconfig

import (
	"slices"

	"lotusbend/internal/fleetstate"
)

// Shared switches the state that routers share on (docs/shared-state.md).
type Shared struct {
	Rules fleetstate.Config // its Name, Start and Seed are the router's to fill in
	// ClockOffsetMs sets the clock of membership and shared state off, for
	// drills of clocks that disagree.
	ClockOffsetMs float64
}

// shared reads the section; what it leaves out has the rules' default.
func shared(t *tree) *Shared {
	s := &Shared{Rules: fleetstate.Defaults()}
	c := &s.Rules
	ms := func(to *int64, low, high int) func(*tree) {
		return func(v *tree) { *to = int64(v.integer(low, high)) }
	}
	fields := map[string]func(*tree){
		"tick_ms":         ms(&c.TickMs, 20, 10_000),
		"counts_ms":       ms(&c.CounterIntervalMs, 20, 60_000),
		"lease_ms":        ms(&c.LeaseMs, 100, 600_000),
		"skew_ms":         ms(&c.SkewMs, 0, 600_000),
		"fold_ms":         ms(&c.CounterRetentionMs, 10_000, 86_400_000),
		"claim_ms":        ms(&c.ReportTTLMs, 100, 60_000),
		"hint_ms":         ms(&c.EjectionMs, 20, 60_000),
		"hearsay_ms":      ms(&c.GossipEjectionMs, 20, 60_000),
		"share_most":      func(v *tree) { c.MaxEjectedFraction = v.number(0, 0.9, false) },
		"lendable":        func(v *tree) { c.MaxLentFraction = v.number(0, 0.9, false) },
		"clock_offset_ms": func(v *tree) { s.ClockOffsetMs = v.number(0, 3600e3, true) },
		"sabotage": func(v *tree) {
			c.Sabotage = v.choice("no-lease-wait", "trust-one", "counts-by-sum", "never-expire", "liar", "liar-well")
		},
	}
	known := make([]string, 0, len(fields))
	for name := range fields {
		known = append(known, name)
	}
	slices.Sort(known)
	t.object(known, func(name string, v *tree) { fields[name](v) })
	if t.file.err == nil {
		check := *c
		check.Name = "checked"
		if err := check.Check(); err != nil {
			t.fail("%v", err)
		}
	}
	return s
}
