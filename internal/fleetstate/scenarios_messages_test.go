package fleetstate_test

import (
	"fmt"
	"math"
	"slices"

	"lotusbend/internal/fleetstate"
)

// invalidMessages sends messages that no correct router sends.
func invalidMessages(c *cluster) {
	c.databases[1].warmingUp = true
	c.bootAll()
	c.run(2500)
	peer, endpoint := c.routers[1].name, c.databases[1].name
	messages := slices.Concat(
		invalidCounters(c.routers[0].name, c.now),
		invalidReports(endpoint),
		invalidLeases(endpoint, c.now),
	)
	for _, m := range messages {
		c.inject(peer, 0, m)
		c.inject("stranger", 0, m)
		c.run(300)
	}
	c.flood(peer)
	c.run(5000)
}

// invalidCounters returns entries without a name, too large, too old, with a stamp
// in the future, and of the receiver itself.
func invalidCounters(receiver string, now int64) []fleetstate.Message {
	return []fleetstate.Message{
		{
			Counters: []fleetstate.CounterEntry{
				{},
				{Name: "x", Counters: make(fleetstate.Counters, 1000)},
				{Name: "x", Epoch: 1, Stamp: 1, Counters: fleetstate.Counters{1}},
			},
		},
		{
			Counters: []fleetstate.CounterEntry{
				{Name: "y", Epoch: 1, Stamp: now + 1_000_000, Counters: fleetstate.Counters{300, 70_000, 1 << 33, 5}},
			},
		},
		{
			Counters: []fleetstate.CounterEntry{
				{Name: "y", Epoch: 1, Stamp: now + 2_000_000, Counters: fleetstate.Counters{1, 80_000}},
			},
		},
		{
			Counters: []fleetstate.CounterEntry{
				{Name: receiver, Epoch: 1_000_000, Stamp: now, Counters: fleetstate.Counters{1 << 40}},
			},
		},
	}
}

// invalidReports returns reports on an unknown endpoint, with invalid statuses and
// ages, and reordered.
func invalidReports(endpoint string) []fleetstate.Message {
	return []fleetstate.Message{
		{
			HealthReports: []fleetstate.HealthReport{
				{Endpoint: "unknown", Status: fleetstate.Unresponsive},
				{Endpoint: endpoint},
				{Endpoint: endpoint, Status: 200},
				{Endpoint: endpoint, Status: fleetstate.Unresponsive, AgeMs: -1},
				{Endpoint: endpoint, Status: fleetstate.Unresponsive, AgeMs: 1 << 40},
			},
		},
		{
			HealthReports: []fleetstate.HealthReport{
				{Endpoint: endpoint, Status: fleetstate.Unresponsive, AgeMs: 10},
				{Endpoint: endpoint, Status: fleetstate.Unresponsive, AgeMs: 500},
				{Endpoint: endpoint, Status: fleetstate.Primary},
				{Endpoint: endpoint, Status: fleetstate.Healthy},
			},
		},
	}
}

// invalidLeases returns requests and grants of invalid amounts, for an unknown
// endpoint, duplicated, and unrequested.
func invalidLeases(endpoint string, now int64) []fleetstate.Message {
	return []fleetstate.Message{
		{
			LeaseRequests: []fleetstate.LeaseRequest{
				{Key: "unknown", ID: 1, Wanted: 1, RequestedAt: now},
				{Key: endpoint, ID: 2, Wanted: 0, RequestedAt: now},
				{Key: endpoint, ID: 3, Wanted: -1, RequestedAt: now},
				{Key: endpoint, ID: 4, Wanted: math.NaN(), RequestedAt: now},
			},
		},
		{
			LeaseRequests: []fleetstate.LeaseRequest{
				{Key: endpoint, ID: 5, Wanted: 0.01, RequestedAt: now},
				{Key: endpoint, ID: 5, Wanted: 0.01, RequestedAt: now},
				{Key: endpoint, ID: 6, Wanted: 100, RequestedAt: now},
				{Key: endpoint, ID: 7, Wanted: 100, RequestedAt: now},
			},
		},
		{
			LeaseGrants: []fleetstate.LeaseGrant{
				{Key: endpoint, ID: 1, Amount: 0.5, RequestedAt: now, DurationMs: 1000},
				{Key: "unknown", ID: 1, Amount: -1, DurationMs: 1 << 40},
			},
		},
	}
}

// flood sends counters of many invented routers and many lease requests.
func (c *cluster) flood(peer string) {
	for i := range 300 {
		m := fleetstate.Message{
			Counters: []fleetstate.CounterEntry{
				{
					Name:     fmt.Sprint("invented-", i),
					Epoch:    int64(i),
					Stamp:    c.now - int64(i),
					Counters: fleetstate.Counters{1, uint64(i)},
				},
			},
		}
		for k := range 20 { // more grants than fit into one message
			m.LeaseRequests = append(m.LeaseRequests, fleetstate.LeaseRequest{
				Key:         c.databases[k%databases].name,
				ID:          uint64(1000*i + k),
				Wanted:      0.002,
				RequestedAt: c.now,
			})
		}
		c.inject(peer, 3, m)
	}
}

// forgedGrants answers requests with grants that do not match them: with another
// request ID, time or peer, and duplicated.
func forgedGrants(c *cluster) {
	c.databases[2].warmingUp = true // router 0 has requests queued for it
	c.bootAll()
	for range 60 {
		c.run(stepMs)
		for _, f := range slices.Clone(c.inFlight) {
			if f.from == 0 && len(f.message.LeaseRequests) > 0 {
				c.forge(f.message.LeaseRequests[0], f.to)
			}
		}
	}
}

// forge sends router 0 forged grants for a request to lender, then the valid one
// twice.
func (c *cluster) forge(request fleetstate.LeaseRequest, lender int) {
	for k := range 7 {
		grant := fleetstate.LeaseGrant{
			Key:         request.Key,
			ID:          request.ID,
			Amount:      request.Wanted / 16,
			RequestedAt: request.RequestedAt,
			DurationMs:  400,
		}
		from := c.routers[lender].name
		switch k {
		case 0:
			grant.ID++
		case 1:
			grant.RequestedAt--
		case 2:
			from = c.routers[1+lender%(routers-1)].name
		case 3:
			grant.Amount = 0
		case 4:
			grant.DurationMs = -1000
		}
		c.inject(from, 0, fleetstate.Message{LeaseGrants: []fleetstate.LeaseGrant{grant}})
		c.digest.page(c.routers[0].node.StatusPage(c.now))
	}
}

// manyPeers gives router 0 more peers than maxReporters and maxLeases.
func (c *cluster) manyPeers() (names []string) {
	c.boot(0)
	c.run(2000)
	for i := range 4200 {
		names = append(names, fmt.Sprint("peer-", i))
	}
	c.routers[0].node.SetView(names, len(names)+1, c.now)
	return names
}

// manyReporters lets more than maxReporters peers report a fault of an endpoint.
func manyReporters(c *cluster) {
	for i, peer := range c.manyPeers() {
		c.inject(peer, 0, fleetstate.Message{
			HealthReports: []fleetstate.HealthReport{
				{Endpoint: c.databases[4].name, Status: fleetstate.Slow, AgeMs: int64(i % 50)},
			},
		})
	}
	c.advise(0)
	c.run(1000)
}

// manyLeases requests more than maxLeases leases of one budget.
func manyLeases(c *cluster) {
	peer := c.manyPeers()[0]
	for i := range 4200 {
		c.inject(peer, 0, fleetstate.Message{
			LeaseRequests: []fleetstate.LeaseRequest{{Key: c.databases[4].name, ID: uint64(i), Wanted: 1, RequestedAt: c.now}},
		})
	}
	c.advise(0)
	c.run(1500)
}

// manyLenders grants more than maxLeases leases of one budget, each of a tiny
// amount.
func manyLenders(c *cluster) {
	c.databases[2].warmingUp = true // router 0 has requests queued for it
	c.manyPeers()
	node := c.routers[0].node
	for range 11 {
		c.now += c.config.TickMs
		ready := node.Tick(c.now)
		c.record(0, ready)
		for _, out := range ready.Messages {
			for _, request := range out.Message.LeaseRequests {
				c.inject(out.To, 0, fleetstate.Message{
					LeaseGrants: []fleetstate.LeaseGrant{
						{Key: request.Key, ID: request.ID, Amount: 1e-8, RequestedAt: request.RequestedAt, DurationMs: 60_000},
					},
				})
			}
		}
	}
	c.advise(0)
	c.run(500)
}
