package operatorconfig

import (
	"net/netip"
	"slices"
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
func membership(t *tree, periodMs int64, suspicion float64, budget int) *Membership {
	m := &Membership{PeriodMs: periodMs, SuspicionMult: suspicion, BudgetBytesS: budget}
	address := func(to *string) func(*tree) {
		return func(v *tree) {
			*to = v.text()
			if a, err := netip.ParseAddrPort(*to); err != nil || !a.Addr().Is4() {
				v.fail("%q is no IPv4 address and port", *to)
			}
		}
	}
	fields := map[string]func(*tree){
		"bind": address(&m.Bind), "advertise": address(&m.Advertise), "admin": address(&m.Admin),
		"seeds": func(v *tree) {
			v.array(64, func(v *tree) {
				var s string
				address(&s)(v)
				m.Seeds = append(m.Seeds, s)
			})
		},
		"name":           func(v *tree) { m.Name = v.text() },
		"zone":           func(v *tree) { m.Zone = v.text() },
		"period_ms":      func(v *tree) { m.PeriodMs = int64(v.integer(20, 60_000)) },
		"suspicion_mult": func(v *tree) { m.SuspicionMult = v.number(1, 100, false) },
		"budget_bytes_s": func(v *tree) { m.BudgetBytesS = v.integer(1400, 10<<20) },
		"sabotage":       func(v *tree) { m.Sabotage = v.choice("no-refute", "no-pushpull", "no-suspicion") },
	}
	known := make([]string, 0, len(fields))
	for name := range fields {
		known = append(known, name)
	}
	slices.Sort(known)
	t.object(known, func(name string, v *tree) { fields[name](v) })
	if t.file.err == nil && m.Bind == "" {
		t.fail("bind is needed")
	}
	return m
}
