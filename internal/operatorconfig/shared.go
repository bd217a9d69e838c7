package operatorconfig

import (
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
)

// Shared switches the state that routers share on (docs/shared-state.md).
type Shared struct {
	Rules fleetstate.Config // its Name, Start and Seed are the router's to fill in
	// ClockOffsetMs sets the clock of membership and shared state off, for
	// drills of clocks that disagree.
	ClockOffsetMs float64
}

// shared reads the section; what it leaves out has the rules' default.
func shared(t *value) *Shared {
	s := &Shared{Rules: fleetstate.Defaults()}
	c := &s.Rules
	ms := func(to *int64, low, high int) func(*value) {
		return func(v *value) { *to = int64(v.integer(low, high)) }
	}
	fields := map[string]func(*value){
		"tick_ms":         ms(&c.TickMs, 20, 10_000),
		"counts_ms":       ms(&c.CounterIntervalMs, 20, 60_000),
		"lease_ms":        ms(&c.LeaseMs, 100, 600_000),
		"skew_ms":         ms(&c.SkewMs, 0, 600_000),
		"fold_ms":         ms(&c.CounterRetentionMs, 10_000, 86_400_000),
		"claim_ms":        ms(&c.ReportTTLMs, 100, 60_000),
		"hint_ms":         ms(&c.EjectionMs, 20, 60_000),
		"hearsay_ms":      ms(&c.GossipEjectionMs, 20, 60_000),
		"share_most":      func(v *value) { c.MaxEjectedFraction = v.number(0, 0.9, false) },
		"lendable":        func(v *value) { c.MaxLentFraction = v.number(0, 0.9, false) },
		"clock_offset_ms": func(v *value) { s.ClockOffsetMs = v.number(0, 3600e3, true) },
		"sabotage": func(v *value) {
			c.FaultInjection = faultinjection.Fault(v.choice(faultinjection.Names()...))
		},
	}
	t.section(fields)
	if t.ok() {
		check := *c
		check.Name = "checked"
		if err := check.Check(); err != nil {
			t.fail("%v", err)
		}
	}
	return s
}
