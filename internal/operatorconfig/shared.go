package operatorconfig

import (
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
)

// maxClockOffsetMs is the largest clock offset of a drill, an hour.
const maxClockOffsetMs = 3600e3

// Shared configures the state that routers share (docs/shared-state.md).
type Shared struct {
	Rules fleetstate.Config // without Name, Start and Seed, which the caller fills in
	// ClockOffsetMs moves the clock of membership and shared state ahead, for
	// drills in which the routers' clocks disagree.
	ClockOffsetMs float64
}

// parseShared reads the section. Missing keys keep the defaults of package
// fleetstate.
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
		named := *rules // with a name, which Check requires and the caller fills in later
		named.Name = "checked"
		if err := named.Check(); err != nil {
			section.fail("%v", err)
		}
	}
	return options
}

// wholeMilliseconds returns a function that reads a whole number of milliseconds into
// to.
func wholeMilliseconds(to *int64, low, high int) func(*value) {
	return func(v *value) { *to = int64(v.integer(low, high)) }
}
