package fleetstate

import (
	"math"
	"math/rand/v2"
	"slices"
)

// nameMost bounds names of members, hosts and budgets in a message.
const maxNameBytes = 128

// Message is what one router tells another.
type Message struct {
	Counters      []CounterEntry
	HealthReports []HealthReport
	LeaseRequests []LeaseRequest
	LeaseGrants   []LeaseGrant
}

// Sizes of a message's parts, at most, for the page's reckoning; wire's tests
// hold every encoding under them.
const (
	messageOverhead = 24
	entryOverhead   = 40
	reportOverhead   = 20
	leaseOverhead   = 60
)

func (e CounterEntry) size() int {
	n := entryOverhead + len(e.Name)
	for _, v := range e.Counters { // as CBOR (RFC 8949, 3.1) writes whole numbers
		switch {
		case v < 24:
			n++
		case v < 1<<8:
			n += 2
		case v < 1<<16:
			n += 3
		case v < 1<<32:
			n += 5
		default:
			n += 9
		}
	}
	return n
}

// Size is the most bytes that m takes once encoded.
func (m Message) Size() int {
	n := messageOverhead
	for _, e := range m.Counters {
		n += e.size()
	}
	for _, c := range m.HealthReports {
		n += reportOverhead + len(c.Endpoint)
	}
	for _, a := range m.LeaseRequests {
		n += leaseOverhead + len(a.Key)
	}
	for _, g := range m.LeaseGrants {
		n += leaseOverhead + len(g.Key)
	}
	return n
}

// Out is a message to a member.
type Envelope struct {
	To      string
	Message Message
}

// EventKind is what happened to a lease or a judgement, for the log.
type EventKind uint8

// The kinds of event.
const (
	LeaseGranted EventKind = iota + 1
	LeaseBorrowed
	LeaseExpired
	EndpointEjected
	EjectionRejected
	ReportRefuted
)

func (k EventKind) String() string {
	return [...]string{"", "lease lent", "lease held", "lease ended", "judgement taken", "judgement refused", "claim proved wrong"}[min(k, ReportRefuted)]
}

// Event is one line for the log. Key is the budget or the host, Amount the
// share, the support or the peer's standing left.
type Event struct {
	Kind   EventKind
	Key    string
	Peer   string
	Status HealthStatus
	Amount float64
	Reason string
}

// Seen is what the router saw since the last time: what it carried, and every
// host as it knows it now.
type Observation struct {
	Counters    Counters
	Endpoints   []EndpointHealth
	RetryBudget RetryBudget
}

// RetryBudget is the state of the router's retry budget: what it earns a second,
// and whether it has more than it uses or less.
type RetryBudget struct {
	EarnedPerSecond   float64
	Surplus, Depleted bool
}

// RetryBudgetKey names the fleet's retry budget among the leases; every other key
// is a cold host's name. Its shares are repeats a second, a cold host's are
// parts of the whole allowance.
const RetryBudgetKey = "\x00repeats"

// Advice is what the router may act on until the next.
type Advice struct {
	Routers            int              // the larger of the setting and what was seen: 1/Routers is a stake
	SlowStart          map[string]Quota // of hosts' allowances while cold, as parts of the whole
	RemainingStake     float64          // what is left of the stake in every other host, 1 for all
	RetryQuota         Quota            // repeats a second; Own is below 0 by what is lent
	Ejections          []Ejection
	SuggestedPrimaries map[int]string // by group, where this router seeks one
}

// Shifted is the advice on a clock that is ms ahead of the one it was drawn up
// on.
func (a Advice) OnClockAhead(ms int64) Advice {
	shift := func(s Quota) Quota {
		if s.Until < math.MaxInt64-ms {
			s.Until += ms
		}
		return s
	}
	shares := make(map[string]Quota, len(a.SlowStart))
	for k, s := range a.SlowStart {
		shares[k] = shift(s)
	}
	a.SlowStart, a.RetryQuota, a.Ejections = shares, shift(a.RetryQuota), slices.Clone(a.Ejections)
	for i := range a.Ejections {
		a.Ejections[i].Until += ms
	}
	return a
}

// Shifted is what was seen on a clock that is ms ahead of the router's.
func (s Observation) OnClockAhead(ms int64) Observation {
	s.Endpoints = slices.Clone(s.Endpoints)
	for i := range s.Endpoints {
		h := &s.Endpoints[i]
		for _, t := range []*int64{&h.PrimaryReportedAt, &h.FaultAt, &h.AnsweredSentAt, &h.FreshAt, &h.LastSentAt} {
			if *t > 0 { // 0 is never
				*t += ms
			}
		}
	}
	return s
}

// Ready is what an event asks of the caller.
type Ready struct {
	Messages []Envelope
	Events   []Event
}

// Node is one router's part of the shared state. One loop owns it.
type Node struct {
	cfg    Config
	rng    *rand.Rand
	leases *leaseTable
	counters *counterStore
	outliers  *outlierDetector

	configuredRouters          int // the setting
	routers           int // the larger of it and the largest view seen lately
	routersAt         int64
	peers          []string
	retryBudget        RetryBudget
	nextTick           int64
	nextCounters     int64
	rounds           int // ticks, for the rounds of peers
	advice         Advice
	UnknownSenders uint64 // messages of strangers
}

// New makes a node from checked settings; fleet is the configured number of
// routers.
func New(cfg Config, fleet int, now int64) *Node {
	n := &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5eed)), configuredRouters: max(fleet, 1), routers: max(fleet, 1), routersAt: now,
		leases: newLeases(cfg, now), counters: newCounterStore(cfg, now), outliers: newOutlierDetector(cfg, now), nextTick: now}
	n.advice.Routers = n.routers
	return n
}

// Fleet takes the view: the live peers' names, and how many routers there may
// be, this one included (alive, suspect or dead, but not left). The size that
// shares are cut by rises at once and falls only after CounterRetentionMs without the
// larger number: who cannot be heard may be cut off and sending.
func (n *Node) SetView(peers []string, size int, now int64) {
	n.peers = peers
	if size = max(size, n.configuredRouters); size >= n.routers {
		n.routers, n.routersAt = size, now
	} else if now-n.routersAt >= n.cfg.CounterRetentionMs {
		n.routers, n.routersAt = size, now
	}
}

// Observe takes what the router saw.
func (n *Node) Observe(s Observation) {
	n.counters.record(s.Counters)
	n.outliers.observe(s.Endpoints)
	n.retryBudget = s.RetryBudget
}

// stake is this router's own part of a budget, and whether it needs it itself.
func (n *Node) stake(key string) (stake float64, needed bool) {
	if key == RetryBudgetKey {
		return n.retryBudget.EarnedPerSecond, !n.retryBudget.Surplus
	}
	if h := n.outliers.endpoint(key); h != nil {
		return 1 / float64(n.routers), h.RequestsQueued
	}
	return 1 / float64(n.routers), false
}

// Tick moves to now and says what to send. Call it at least every TickMs.
func (n *Node) Tick(now int64) Ready {
	var r Ready
	r.Events = n.leases.expire(now)
	if urgent := n.outliers.hasUnreportedFault(now); now >= n.nextTick || urgent { // what was just found is told at once
		n.nextTick = now + n.cfg.TickMs
		n.counters.tick(now)
		r.Messages = n.gossip(now, urgent)
	}
	r.Events = append(r.Events, n.outliers.events...)
	n.outliers.events = nil
	return r
}

// newsFan is how many times FanOut peers are told of what was just found: the
// first moments count, and what follows comes at FanOut's pace.
const urgentFanOutFactor = 3

// speak makes this tick's messages: counters to one peer, claims to FanOut,
// asks to Lenders for each budget that this router wants more of.
func (n *Node) gossip(now int64, urgent bool) (out []Envelope) {
	if len(n.peers) == 0 {
		return nil
	}
	n.rounds++
	msgs := map[string]*Message{}
	var order []string
	to := func(peer string) *Message {
		if msgs[peer] == nil {
			msgs[peer] = &Message{}
			order = append(order, peer)
		}
		return msgs[peer]
	}
	draw := func(k int) []string {
		var got []string
		for range 4 * k {
			if p := n.peers[n.rng.IntN(len(n.peers))]; len(got) < min(k, len(n.peers)) && !slices.Contains(got, p) {
				got = append(got, p)
			}
		}
		return got
	}
	if claims := n.outliers.ownReports(now); len(claims) > 0 {
		fan := n.cfg.FanOut
		if urgent {
			fan *= urgentFanOutFactor
		}
		for _, p := range draw(fan) {
			m := to(p)
			for i := range claims { // each peer from another place on, so that a long list gets round
				c := claims[(i+n.rounds)%len(claims)]
				if m.Size()+reportOverhead+len(c.Endpoint) > n.cfg.MaxMessageBytes {
					break
				}
				m.HealthReports = append(m.HealthReports, c)
			}
		}
	}
	for _, key := range n.neededLeases() {
		stake, _ := n.stake(key)
		for _, p := range draw(n.cfg.LendersPerTick) {
			if m := to(p); m.Size()+leaseOverhead+len(key) <= n.cfg.MaxMessageBytes {
				if a, ok := n.leases.request(key, p, stake, now); ok {
					m.LeaseRequests = append(m.LeaseRequests, a)
				}
			}
		}
	}
	if now >= n.nextCounters {
		n.nextCounters = now + n.cfg.CounterIntervalMs
		for _, p := range draw(1) {
			m := to(p)
			m.Counters = n.counters.page(n.cfg.MaxMessageBytes - m.Size())
		}
	}
	for _, p := range order {
		if m := msgs[p]; len(m.Counters)+len(m.HealthReports)+len(m.LeaseRequests) > 0 {
			out = append(out, Envelope{p, *m})
		}
	}
	return out
}

// wanted are the budgets that this router would use more of.
func (n *Node) neededLeases() (keys []string) {
	for _, h := range n.outliers.endpoints {
		if h.WarmingUp && h.RequestsQueued {
			keys = append(keys, h.Name)
		}
	}
	if n.retryBudget.Depleted {
		keys = append(keys, RetryBudgetKey)
	}
	return keys
}

// Receive takes a message of a peer of the view; the caller has checked that
// it came from that member's address.
func (n *Node) Receive(peer string, m Message, now int64) Ready {
	var r Ready
	if !slices.Contains(n.peers, peer) {
		n.UnknownSenders++
		return r
	}
	n.counters.lastReceivedAt = now
	for _, e := range m.Counters {
		n.counters.merge(e, now)
	}
	for _, c := range m.HealthReports {
		n.outliers.receive(peer, c, now)
	}
	var answer Message
	for _, a := range m.LeaseRequests {
		stake, needed := n.stake(a.Key)
		if a.Key != RetryBudgetKey && n.outliers.endpoint(a.Key) == nil {
			continue // of a host that this router does not know it gives nothing
		}
		if g, ok := n.leases.grant(peer, a, stake, needed, now); ok && answer.Size()+leaseOverhead+len(g.Key) <= n.cfg.MaxMessageBytes {
			answer.LeaseGrants = append(answer.LeaseGrants, g)
			r.Events = append(r.Events, Event{Kind: LeaseGranted, Key: g.Key, Peer: peer, Amount: g.Amount})
		}
	}
	for _, g := range m.LeaseGrants {
		stake, _ := n.stake(g.Key)
		if h, ok := n.leases.accept(peer, g, stake, now); ok {
			r.Events = append(r.Events, Event{Kind: LeaseBorrowed, Key: g.Key, Peer: peer, Amount: h.amount})
		}
	}
	if len(answer.LeaseGrants) > 0 {
		r.Messages = append(r.Messages, Envelope{peer, answer})
	}
	return r
}

// Advice is what holds at now, drawn up anew: judgements cost a look at every
// host, so the caller asks for it at its own pace, and after each event that
// changed a lease. A lease that has ended is not in it: a router that was
// paused must ask again before it sends.
func (n *Node) Advice(now int64) Advice {
	a := Advice{Routers: n.routers, Ejections: n.outliers.eject(now), SuggestedPrimaries: n.outliers.suggestedPrimaries(), SlowStart: map[string]Quota{}}
	stake := 1 / float64(n.routers)
	// A host may be told to be cold here later than to who borrowed the share.
	for _, h := range n.outliers.endpoints {
		if h.WarmingUp || len(n.leases.lent[h.Name])+len(n.leases.borrowed[h.Name]) > 0 {
			a.SlowStart[h.Name] = n.leases.quota(h.Name, stake, now)
		}
	}
	a.RemainingStake = n.leases.quota("", 1, now).Own
	a.RetryQuota = n.leases.quota(RetryBudgetKey, n.retryBudget.EarnedPerSecond, now)
	a.RetryQuota.Own -= n.retryBudget.EarnedPerSecond
	n.advice = a
	return a
}

// Totals adds up what the fleet carried, as far as this router has heard.
func (n *Node) Totals() Counters { return n.counters.Total() }

// Page is this node's state for people.
type StatusPage struct {
	Routers          int              // that stakes are cut by
	SlowStart        map[string]Quota // of cold hosts' allowances, as parts of the whole
	Stake            float64
	Lent             map[string]float64
	Borrowed         map[string]float64
	RetryQuota       Quota
	Totals           Counters       // class*5 + kind
	Counters         []CounterEntry // of each router and life kept apart, this one first
	Ejections        []Ejection
	Reputation       map[string]float64 // of peers whose claims proved wrong
	RejectedCounters uint64             // counters not taken
	UnknownSenders   uint64             // messages of strangers
}

// Page copies the node's state at now, with the last advice.
func (n *Node) StatusPage(now int64) StatusPage {
	a := n.advice
	p := StatusPage{Routers: n.routers, SlowStart: a.SlowStart, Stake: 1 / float64(n.routers), Lent: map[string]float64{}, Borrowed: map[string]float64{}, RetryQuota: a.RetryQuota,
		Totals: n.Totals(), Counters: n.counters.snapshot(), Ejections: a.Ejections, Reputation: map[string]float64{}, RejectedCounters: n.counters.Rejected, UnknownSenders: n.UnknownSenders}
	for k, l := range n.leases.lent {
		p.Lent[k] = activeAmount(l, now)
	}
	for k, l := range n.leases.borrowed {
		p.Borrowed[k] = activeAmount(l, now)
	}
	for k, s := range n.outliers.reputation {
		p.Reputation[k] = s
	}
	return p
}
