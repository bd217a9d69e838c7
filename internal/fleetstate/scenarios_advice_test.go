package fleetstate_test

import (
	"math"
	"strings"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
)

// adapterOverTime calls an adapter at many times before and after its advice
// expires.
func adapterOverTime(c *cluster) {
	adapter := &fleetstate.FleetAdapter{}
	c.digest.adapter(adapter, c.now)
	adapter.SetRouters(12)
	c.digest.adapter(adapter, c.now)
	for range 200 {
		adapter.Set(c.randomAdvice(), numberOf, c.now)
		for range 12 {
			c.digest.adapter(adapter, c.now+c.random.Int64N(3000)-500)
		}
		c.now += c.random.Int64N(2000)
	}
	adapter.Set(fleetstate.Advice{}, numberOf, c.now)
	c.digest.adapter(adapter, c.now)
	adapter.SetRouters(3)
	c.digest.adapter(adapter, c.now)
}

// randomAdvice returns advice whose parts expire within three seconds, or never.
func (c *cluster) randomAdvice() fleetstate.Advice {
	quota := func() fleetstate.Quota {
		s := fleetstate.Quota{Own: c.random.Float64(), Borrowed: c.random.Float64(), Until: c.now + c.random.Int64N(3000)}
		if c.random.IntN(4) == 0 {
			s.Until = math.MaxInt64
		}
		return s
	}
	advice := fleetstate.Advice{Routers: c.random.IntN(9), RemainingStake: c.random.Float64(), RetryQuota: quota(),
		SlowStart: map[string]fleetstate.Quota{}, SuggestedPrimaries: map[int]string{}}
	for _, d := range c.databases {
		switch c.random.IntN(4) {
		case 0:
			advice.SlowStart[d.name] = quota()
		case 1:
			advice.Ejections = append(advice.Ejections, fleetstate.Ejection{
				Endpoint: d.name,
				Status:   fleetstate.Unresponsive,
				Until:    quota().Until,
			})
		case 2:
			advice.SuggestedPrimaries[d.group] = d.name
		}
	}
	return advice
}

// shiftedClocks converts observations and advice to other clocks.
func shiftedClocks(c *cluster) {
	c.databases[1].warmingUp = true
	c.databases[2].condition = fleetstate.Unresponsive
	c.bootAll()
	c.run(4000)
	for _, ms := range []int64{0, 1, -500_000, 1 << 40} {
		for _, r := range c.routers {
			advice := r.node.Advice(c.now)
			c.digest.advice(advice.ShiftedBy(ms))
			c.digest.advice(advice)
			seen := fleetstate.Observation{Endpoints: r.endpoints, RetryBudget: r.retryBudget, Counters: r.counted}
			c.digest.endpoints(seen.ShiftedBy(ms).Endpoints)
			c.digest.endpoints(seen.Endpoints)
			c.digest.counters(seen.ShiftedBy(ms).Counters)
		}
	}
}

// churn injects random faults into routers, links and endpoints.
func churn(c *cluster) {
	c.bootAll()
	c.run(2000)
	for range 50 {
		c.injectRandomFault(c.random.IntN(len(c.routers)), &c.databases[c.random.IntN(len(c.databases))])
		c.run(100 + 50*c.random.Int64N(15))
	}
	c.cut = nil
	c.run(3000)
}

// injectRandomFault starts or ends a random fault of router i, the network or d.
func (c *cluster) injectRandomFault(i int, d *database) {
	r := c.routers[i]
	switch c.random.IntN(10) {
	case 0:
		c.kill(i)
	case 1:
		c.boot(i)
	case 2:
		c.pause(i, 200+c.random.Int64N(3000))
	case 3:
		c.cut = func(from, to int) bool { return (from < i) != (to < i) }
	case 4:
		c.cut = nil
	case 5:
		d.condition = fleetstate.Healthy + fleetstate.HealthStatus(c.random.IntN(5))
	case 6:
		d.condition, d.unlisted = fleetstate.Healthy, c.random.IntN(5) == 0
	case 7:
		d.warmingUp = !d.warmingUp
	case 8:
		r.falseStatus = fleetstate.HealthStatus(max(0, c.random.IntN(10)-4))
	case 9:
		r.retryBudget = fleetstate.RetryBudget{
			EarnedPerSecond: c.random.Float64(),
			Surplus:         c.random.IntN(2) == 0,
			Depleted:        c.random.IntN(2) == 0,
		}
	}
}

// checkConfigs hashes which configurations Config.Check accepts.
func checkConfigs(c *cluster) {
	for _, change := range []func(*fleetstate.Config){
		func(*fleetstate.Config) {},
		func(c *fleetstate.Config) { c.Name = "" },
		func(c *fleetstate.Config) { c.Name = strings.Repeat("a", 128) },
		func(c *fleetstate.Config) { c.Name = strings.Repeat("a", 129) },
		func(c *fleetstate.Config) { c.TickMs = 0 },
		func(c *fleetstate.Config) { c.CounterIntervalMs = c.TickMs - 1 },
		func(c *fleetstate.Config) { c.LeaseMs = 2*c.TickMs - 1 },
		func(c *fleetstate.Config) { c.SkewMs = -1 },
		func(c *fleetstate.Config) { c.MaxLentFraction = -0.1 },
		func(c *fleetstate.Config) { c.MaxLentFraction = 1 },
		func(c *fleetstate.Config) { c.MaxBorrowedStakes = -1 },
		func(c *fleetstate.Config) { c.LendersPerTick = -1 },
		func(c *fleetstate.Config) { c.CounterRetentionMs = 10*(c.LeaseMs+c.SkewMs) - 1 },
		func(c *fleetstate.Config) { c.MaxCounterEntries = 0 },
		func(c *fleetstate.Config) { c.ReportTTLMs = 0 },
		func(c *fleetstate.Config) { c.EjectionMs = c.TickMs - 1 },
		func(c *fleetstate.Config) { c.GossipEjectionMs = c.EjectionMs - 1 },
		func(c *fleetstate.Config) { c.FanOut = 0 },
		func(c *fleetstate.Config) { c.MaxEjectedFraction = -0.1 },
		func(c *fleetstate.Config) { c.MaxEjectedFraction = 1 },
		func(c *fleetstate.Config) { c.RequiredSupport = 0 },
		func(c *fleetstate.Config) { c.MaxMessageBytes = 399 },
	} {
		config := fleetstate.Defaults()
		config.Name = "a"
		change(&config)
		c.digest.flag(config.Check() == nil)
	}
	_, err := faultinjection.Parse("unknown")
	c.digest.flag(err == nil)
}

// countersAndTexts adds and reads counters at the limits of their classes, and
// parses the text of each health status. Only numbers are hashed.
func countersAndTexts(c *cluster) {
	var counters fleetstate.Counters
	for _, class := range []int{-1, 0, 2, 63, 64} {
		counters.Add(class, fleetstate.CounterKind(1), 7)
		c.digest.counters(counters)
	}
	for _, class := range []int{0, 1, 63, 64, 1000} {
		c.digest.numbers(int64(counters.Get(class, fleetstate.CounterKind(1))))
	}
	for kind := fleetstate.Healthy; kind <= fleetstate.Primary; kind++ {
		text, err := kind.MarshalText()
		var back fleetstate.HealthStatus
		if err == nil {
			err = back.UnmarshalText(text)
		}
		c.digest.flag(err == nil)
		c.digest.numbers(int64(back))
	}
	unknown := fleetstate.Healthy
	c.digest.flag(unknown.UnmarshalText([]byte("no claim has this text")) == nil)
	for event := fleetstate.LeaseGranted; event <= fleetstate.ReportRefuted; event++ {
		c.digest.flag(event.String() != "")
	}
}
