package operatorconfig

import (
	"net/netip"

	"lotusbend/internal/membership"
	"lotusbend/internal/membership/faultinjection"
)

// maxSeeds is the largest number of seeds.
const maxSeeds = 64

// Membership configures membership: the routers' view of each other, kept with
// SWIM over UDP (docs/membership.md).
type Membership struct {
	Bind                 string                    // UDP address and port of this member
	Advertise            string                    // UDP address and port that others send to, "" for Bind
	Admin                string                    // TCP address and port of the admin page, "" for none
	Seeds                []string                  // UDP addresses of members to join through
	Name                 string                    // of the member, "" for the router's name
	Zone                 string                    // of the member, "" for none
	ProbeIntervalMs      int64                     // see membership.Config
	SuspicionMult        float64                   // see membership.Config
	GossipBytesPerSecond int                       // see membership.Config
	FaultInjection       membership.FaultInjection // for drills only, nil in service
}

// parseMembership reads the section. Missing keys keep the defaults of package
// membership.
func parseMembership(section *value) *Membership {
	defaults := membership.Defaults()
	options := &Membership{
		ProbeIntervalMs:      defaults.ProbeIntervalMs,
		SuspicionMult:        defaults.SuspicionMult,
		GossipBytesPerSecond: defaults.GossipBytesPerSecond,
	}
	section.section(map[string]func(*value){
		"bind":      ipv4Address(&options.Bind),
		"advertise": ipv4Address(&options.Advertise),
		"admin":     ipv4Address(&options.Admin),
		"seeds": func(v *value) {
			v.array(maxSeeds, func(v *value) {
				var seed string
				ipv4Address(&seed)(v)
				options.Seeds = append(options.Seeds, seed)
			})
		},
		"name":           func(v *value) { options.Name = v.text() },
		"zone":           func(v *value) { options.Zone = v.text() },
		"period_ms":      func(v *value) { options.ProbeIntervalMs = int64(v.integer(20, 60_000)) },
		"suspicion_mult": func(v *value) { options.SuspicionMult = v.number(1, 100, false) },
		"budget_bytes_s": func(v *value) { options.GossipBytesPerSecond = v.integer(1400, 10<<20) },
		"sabotage": func(v *value) {
			options.FaultInjection = faultinjection.Fault(v.choice(faultinjection.Names()...))
		},
	})
	if section.ok() && options.Bind == "" {
		section.fail("bind is required")
	}
	return options
}

// ipv4Address returns a function that reads an IPv4 address and port into to.
func ipv4Address(to *string) func(*value) {
	return func(v *value) {
		*to = v.text()
		address, err := netip.ParseAddrPort(*to)
		if err != nil || !address.Addr().Is4() {
			v.fail("%q: not an IPv4 address and port", *to)
		}
	}
}
