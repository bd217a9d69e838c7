package fleetstate_test

import (
	"strings"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/fleetstate/faultinjection"
)

// scenario is one seeded run of a cluster. Its name labels the digest in the golden
// file.
type scenario struct {
	name   string
	seed   uint64
	config func(*fleetstate.Config)
	script func(*cluster)
}

var scenarios = []scenario{
	{name: "calm", seed: 1, script: healthyFleet},
	{name: "every-condition", seed: 2, script: everyCondition},
	{name: "every-condition-bad-links", seed: 3, script: onBadLinks(everyCondition)},
	{name: "every-condition-few-tries", seed: 4, script: withFewAttempts(everyCondition)},
	{name: "liars", seed: 5, script: byzantine},
	{name: "liars-few-tries", seed: 6, script: withFewAttempts(byzantine)},
	{
		name:   "liars-long-names",
		seed:   29,
		config: func(c *fleetstate.Config) { c.MaxMessageBytes = 400 },
		script: withLongNames(byzantine),
	},
	{
		name:   "liars-most",
		seed:   7,
		config: func(c *fleetstate.Config) { c.MaxEjectedFraction, c.RequiredSupport = 0.9, 0.8 },
		script: withFewAttempts(byzantine),
	},
	{name: "cold-hosts", seed: 8, script: warmingEndpoints},
	{name: "cold-hosts-bad-links", seed: 9, script: onBadLinks(warmingEndpoints)},
	{name: "cold-hosts-long-skew", seed: 10, config: longSkew, script: onBadLinks(warmingEndpoints)},
	{name: "restarts-and-folds", seed: 11, script: restartsAndCompaction},
	{
		name:   "restarts-small-tables",
		seed:   12,
		config: func(c *fleetstate.Config) { c.MaxCounterEntries, c.MaxMessageBytes = 5, 400 },
		script: onBadLinks(restartsAndCompaction),
	},
	{name: "splits", seed: 13, script: partitions},
	{name: "retry-budget", seed: 14, script: retryBudget},
	{name: "odd-messages", seed: 15, script: invalidMessages},
	{name: "forged-grants", seed: 30, script: forgedGrants},
	{name: "many-witnesses", seed: 31, script: manyReporters},
	{name: "many-loans", seed: 32, config: inject(faultinjection.NoLeaseWait), script: manyLeases},
	{
		name:   "many-lenders",
		seed:   33,
		config: func(c *fleetstate.Config) { c.LeaseMs, c.CounterRetentionMs, c.LendersPerTick = 60_000, 700_000, 500 },
		script: manyLenders,
	},
	{name: "guide", seed: 16, script: adapterOverTime},
	{name: "shifted-clocks", seed: 17, script: shiftedClocks},
	{name: "sabotage-1", seed: 18, config: inject(faultinjection.NoLeaseWait), script: warmingEndpoints},
	{name: "sabotage-2", seed: 19, config: inject(faultinjection.TrustOne), script: everyCondition},
	{name: "sabotage-3", seed: 20, config: inject(faultinjection.CountsBySum), script: restartsAndCompaction},
	{name: "sabotage-4", seed: 21, config: inject(faultinjection.NeverExpire), script: warmingEndpoints},
	{name: "sabotage-5", seed: 22, config: inject(faultinjection.AllUnresponsive), script: healthyFleet},
	{name: "sabotage-6", seed: 23, config: inject(faultinjection.AllHealthy), script: everyCondition},
	{name: "churn-1", seed: 24, script: churn},
	{name: "churn-2", seed: 25, config: longSkew, script: onBadLinks(churn)},
	{name: "churn-3", seed: 26, script: withFewAttempts(churn)},
	{name: "settings", seed: 27, script: checkConfigs},
	{name: "cells-and-texts", seed: 28, script: countersAndTexts},
}

// longSkew configures a SkewMs longer than a lease, and that routers lend most of
// their stakes.
func longSkew(c *fleetstate.Config) {
	c.LeaseMs = 600
	c.SkewMs = 1200
	c.CounterRetentionMs = 18_000
	c.MaxLentFraction = 0.8
	c.MaxBorrowedStakes = 1
	c.LendersPerTick = 2
	c.FanOut = 2
}

// inject configures an injected fault.
func inject(fault faultinjection.Fault) func(*fleetstate.Config) {
	return func(c *fleetstate.Config) { c.FaultInjection = fault }
}

// onBadLinks runs a script on a network that loses, duplicates and delays messages.
func onBadLinks(script func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		c.loss, c.duplication, c.longestDelay = 0.2, 0.1, 600
		script(c)
	}
}

// withFewAttempts runs a script in which routers rarely send attempts, so that most
// of what they know of an endpoint is reported by peers.
func withFewAttempts(script func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		c.attemptChance = 0.01
		script(c)
	}
}

// withLongNames runs a script with endpoint names so long that a message cannot
// hold all reports.
func withLongNames(script func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		for i := range c.databases {
			c.databases[i].name += strings.Repeat("x", 90)
		}
		script(c)
	}
}

// healthyFleet runs routers and endpoints without any fault.
func healthyFleet(c *cluster) {
	c.bootAll()
	c.run(8000)
}

// everyCondition puts endpoints, including primaries, into each faulty condition in
// turn, then all endpoints of a group at once.
func everyCondition(c *cluster) {
	c.bootAll()
	c.run(3000)
	for k, condition := range []fleetstate.HealthStatus{
		fleetstate.Unresponsive,
		fleetstate.Failing,
		fleetstate.Slow,
		fleetstate.Lagging,
	} {
		for _, i := range []int{k, 4 + k, 1} {
			c.databases[i].condition = condition
		}
		c.run(2000)
		for i := range c.databases {
			c.databases[i].condition = fleetstate.Healthy
		}
		c.run(1000)
	}
	c.failWholeGroup()
}

// failWholeGroup fails over the primary of one group, makes all of another
// unresponsive, and removes an endpoint from the list.
func (c *cluster) failWholeGroup() {
	c.databases[0].condition = fleetstate.Failing
	for i := 3; i < 6; i++ {
		c.databases[i].condition = fleetstate.Unresponsive
	}
	c.run(2000)
	c.databases[0].primary, c.databases[1].primary = false, true
	c.databases[8].unlisted = true
	c.databases[8].condition = fleetstate.Unresponsive
	c.run(3000)
	c.removeLastDatabase()
	c.run(1500)
}

// removeLastDatabase removes the last database from every router's list, whereupon
// the reports on it are deleted.
func (c *cluster) removeLastDatabase() {
	c.databases = c.databases[:databases-1]
	for _, r := range c.routers {
		r.endpoints = r.endpoints[:databases-1]
	}
}

// byzantine lets one router, then three, report every endpoint as faulty, and then
// lets the reputations recover.
func byzantine(c *cluster) {
	c.bootAll()
	c.run(2500)
	for _, kind := range []fleetstate.HealthStatus{
		fleetstate.Unresponsive,
		fleetstate.Failing,
		fleetstate.Slow,
		fleetstate.Lagging,
	} {
		c.routers[1].falseStatus = kind
		c.run(1500)
		c.routers[2].falseStatus, c.routers[3].falseStatus = kind, kind
		c.databases[2].condition = fleetstate.Unresponsive
		c.run(2000)
		c.databases[2].condition = fleetstate.Healthy
		for i := range c.routers {
			c.routers[i].falseStatus = 0
		}
		c.run(1000)
	}
	c.run(6000)
}

// warmingEndpoints lends and borrows quotas of endpoints in slow start, with
// routers that restart and that pause for longer than a lease.
func warmingEndpoints(c *cluster) {
	c.bootAll()
	c.databases[1].warmingUp = true
	c.run(3000)
	c.databases[5].warmingUp = true
	c.run(3000)
	c.pause(0, 2500)
	c.pause(2, 700)
	c.run(3500)
	c.boot(3)
	c.kill(4)
	c.run(3000)
	c.databases[1].warmingUp = false
	c.run(2500)
	c.databases[8].warmingUp = true
	c.run(3000)
}

// restartsAndCompaction compacts counters of stopped routers and of earlier
// incarnations, and partitions one router for longer than half of
// CounterRetentionMs.
func restartsAndCompaction(c *cluster) {
	c.bootAll()
	c.run(2000)
	c.kill(1)
	c.boot(2)
	c.run(4000)
	c.boot(2)
	c.boot(1)
	c.kill(5)
	c.run(c.config.CounterRetentionMs + 1000)
	c.cut = func(from, to int) bool { return from == 0 || to == 0 }
	c.run(c.config.CounterRetentionMs/2 + 2000)
	c.cut = nil
	c.run(3000)
	c.pause(3, c.config.CounterRetentionMs+500)
	c.run(c.config.CounterRetentionMs + 4000)
}

// partitions splits the fleet in two until the size of the fleet has shrunk on both
// sides, and heals it.
func partitions(c *cluster) {
	c.databases[4].warmingUp = true
	c.bootAll()
	c.run(3000)
	c.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
	c.databases[1].condition = fleetstate.Unresponsive
	c.run(c.config.CounterRetentionMs + 2000)
	c.cut = nil
	c.run(4000)
	c.cut = func(from, _ int) bool { return from == 6 }
	c.run(3000)
}

// retryBudget gives some routers surplus retries and depletes the budgets of
// others.
func retryBudget(c *cluster) {
	c.bootAll()
	for round := range 8 {
		for i, r := range c.routers {
			r.retryBudget = fleetstate.RetryBudget{
				EarnedPerSecond: 0.5 * float64(i),
				Surplus:         (i+round)%3 == 0,
				Depleted:        (i+round)%3 == 1,
			}
		}
		c.run(1500)
	}
	c.pause(2, 4000)
	c.run(6000)
}
