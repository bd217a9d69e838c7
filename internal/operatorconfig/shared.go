package operatorconfig

import (
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
)

// maxClockOffsetMs bounds the clock offset of drills.
const maxClockOffsetMs = 3600e3

// Shared switches the state that routers share on (docs/shared-state.md).
type Shared struct {
	Rules fleetstate.Config // its Name, Start and Seed are the router's to fill in
	// ClockOffsetMs sets the clock of membership and shared state off, for
	// drills of clocks that disagree.
	ClockOffsetMs float64
}

// parseShared reads the section; what it leaves out has the rules' default.
func parseShared(section *value) *Shared {
	options := &Shared{Rules: fleetstate.Defaults()}
	rules := &options.Rules
	section.section(map[string]func(*value){
		"tick_ms":    wholeMilliseconds(&rules.TickMs, 20, 10_000),
		"counts_ms":  wholeMilliseconds(&rules.CounterIntervalMs, 20, 60_000),
		"lease_ms":   wholeMilliseconds(&rules.LeaseMs, 100, 600_000),
		"skew_ms":    wholeMilliseconds(&rules.SkewMs, 0, 600_000),
		"fold_ms":    wholeMilliseconds(&rules.CounterRetentionMs, 10_000, 86_400_000),
		"claim_ms":   wholeMilliseconds(&rules.ReportTTLMs, 100, 60_000),
		"hint_ms":    wholeMilliseconds(&rules.EjectionMs, 20, 60_000),
		"hearsay_ms": wholeMilliseconds(&rules.GossipEjectionMs, 20, 60_000),
		"share_most": func(v *value) { rules.MaxEjectedFraction = v.number(0, 0.9, false) },
		"lendable":   func(v *value) { rules.MaxLentFraction = v.number(0, 0.9, false) },
		"clock_offset_ms": func(v *value) {
			options.ClockOffsetMs = v.number(0, maxClockOffsetMs, true)
		},
		"sabotage": func(v *value) {
			rules.FaultInjection = faultinjection.Fault(v.choice(faultinjection.Names()...))
		},
	})
	if section.ok() {
		named := *rules
		named.Name = "checked"
		if err := named.Check(); err != nil {
			section.fail("%v", err)
		}
	}
	return options
}

// wholeMilliseconds parses a whole number of milliseconds into to.
func wholeMilliseconds(to *int64, low, high int) func(*value) {
	return func(v *value) { *to = int64(v.integer(low, high)) }
}
