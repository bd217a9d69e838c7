package operatorconfig

import (
	"net/netip"

	"lotusbend/internal/membership/faultinjection"
)

// Membership switches the fleet's view between routers on: SWIM over UDP
// (docs/membership.md). Times are in milliseconds.
type Membership struct {
	Bind          string   // UDP address of this member
	Advertise     string   // what the others are told, "" for Bind: a relay's address in front of it
	Admin         string   // TCP address of the page with the view and counters, "" for none
	Seeds         []string // UDP addresses of members to join through
	Name          string   // "" for the router's name
	Zone          string
	PeriodMs      int64
	SuspicionMult float64
	BudgetBytesS  int
	Sabotage      string // for drills only: a guard taken out
}

// membership reads the section; what it leaves out has the rules' default.
func membership(t *value, periodMs int64, suspicion float64, budget int) *Membership {
	m := &Membership{PeriodMs: periodMs, SuspicionMult: suspicion, BudgetBytesS: budget}
	address := func(to *string) func(*value) {
		return func(v *value) {
			*to = v.text()
			if a, err := netip.ParseAddrPort(*to); err != nil || !a.Addr().Is4() {
				v.fail("%q is no IPv4 address and port", *to)
			}
		}
	}
	fields := map[string]func(*value){
		"bind": address(&m.Bind), "advertise": address(&m.Advertise), "admin": address(&m.Admin),
		"seeds": func(v *value) {
			v.array(64, func(v *value) {
				var s string
				address(&s)(v)
				m.Seeds = append(m.Seeds, s)
			})
		},
		"name":           func(v *value) { m.Name = v.text() },
		"zone":           func(v *value) { m.Zone = v.text() },
		"period_ms":      func(v *value) { m.PeriodMs = int64(v.integer(20, 60_000)) },
		"suspicion_mult": func(v *value) { m.SuspicionMult = v.number(1, 100, false) },
		"budget_bytes_s": func(v *value) { m.BudgetBytesS = v.integer(1400, 10<<20) },
		"sabotage":       func(v *value) { m.Sabotage = v.choice(faultinjection.Names()...) },
	}
	t.section(fields)
	if t.ok() && m.Bind == "" {
		t.fail("bind is needed")
	}
	return m
}
