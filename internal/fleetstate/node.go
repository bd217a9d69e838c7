package fleetstate

import (
	"math"
	"math/rand/v2"
	"slices"
)

// nameMost bounds names of members, hosts and budgets in a message.
const nameMost = 128

// Message is what one router tells another.
type Message struct {
	Counts []Entry
	Claims []Claim
	Asks   []Ask
	Grants []Grant
}

// Sizes of a message's parts, at most, for the page's reckoning; wire's tests
// hold every encoding under them.
const (
	messageOverhead = 24
	entryOverhead   = 40
	claimOverhead   = 20
	leaseOverhead   = 60
)

func (e Entry) size() int {
	n := entryOverhead + len(e.Name)
	for _, v := range e.Cells { // as CBOR (RFC 8949, 3.1) writes whole numbers
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
	for _, e := range m.Counts {
		n += e.size()
	}
	for _, c := range m.Claims {
		n += claimOverhead + len(c.Host)
	}
	for _, a := range m.Asks {
		n += leaseOverhead + len(a.Key)
	}
	for _, g := range m.Grants {
		n += leaseOverhead + len(g.Key)
	}
	return n
}

// Out is a message to a member.
type Out struct {
	To  string
	Msg Message
}

// EventKind is what happened to a lease or a judgement, for the log.
type EventKind uint8

// The kinds of event.
const (
	LeaseLent EventKind = iota + 1
	LeaseHeld
	LeaseEnded
	JudgementTaken
	JudgementRefused
	ClaimWrong
)

func (k EventKind) String() string {
	return [...]string{"", "lease lent", "lease held", "lease ended", "judgement taken", "judgement refused", "claim proved wrong"}[min(k, ClaimWrong)]
}

// Event is one line for the log. Key is the budget or the host, Amount the
// share, the support or the peer's standing left.
type Event struct {
	Kind   EventKind
	Key    string
	Peer   string
	Claim  ClaimKind
	Amount float64
	Why    string
}

// Seen is what the router saw since the last time: what it carried, and every
// host as it knows it now.
type Seen struct {
	Carried Cells
	Hosts   []Host
	Repeats RepeatBudget
}

// RepeatBudget is the state of the router's retry budget: what it earns a second,
// and whether it has more than it uses or less.
type RepeatBudget struct {
	Earns          float64
	Spare, Wanting bool
}

// RepeatsKey names the fleet's retry budget among the leases; every other key
// is a cold host's name. Its shares are repeats a second, a cold host's are
// parts of the whole allowance.
const RepeatsKey = "\x00repeats"

// Advice is what the router may act on until the next.
type Advice struct {
	Routers int              // the larger of the setting and what was seen: 1/Routers is a stake
	Shares  map[string]Share // of hosts' allowances while cold, as parts of the whole
	Rest    float64          // what is left of the stake in every other host, 1 for all
	Repeats Share            // repeats a second; Own is below 0 by what is lent
	Judged  []Judgement
	Leaders map[int]string // by group, where this router seeks one
}

// Shifted is the advice on a clock that is ms ahead of the one it was drawn up
// on.
func (a Advice) Shifted(ms int64) Advice {
	shift := func(s Share) Share {
		if s.Until < math.MaxInt64-ms {
			s.Until += ms
		}
		return s
	}
	shares := make(map[string]Share, len(a.Shares))
	for k, s := range a.Shares {
		shares[k] = shift(s)
	}
	a.Shares, a.Repeats, a.Judged = shares, shift(a.Repeats), slices.Clone(a.Judged)
	for i := range a.Judged {
		a.Judged[i].Until += ms
	}
	return a
}

// Shifted is what was seen on a clock that is ms ahead of the router's.
func (s Seen) Shifted(ms int64) Seen {
	s.Hosts = slices.Clone(s.Hosts)
	for i := range s.Hosts {
		h := &s.Hosts[i]
		for _, t := range []*int64{&h.LeadsAt, &h.BadAt, &h.GoodAt, &h.FreshAt, &h.TriedAt} {
			if *t > 0 { // 0 is never
				*t += ms
			}
		}
	}
	return s
}

// Ready is what an event asks of the caller.
type Ready struct {
	Messages []Out
	Events   []Event
}

// Node is one router's part of the shared state. One loop owns it.
type Node struct {
	cfg    Config
	rng    *rand.Rand
	leases *Leases
	counts *Counts
	judge  *Judge

	fleet      int // the setting
	size       int // the larger of it and the largest view seen lately
	sizeAt     int64
	peers      []string
	repeats    RepeatBudget
	next       int64
	nextCounts int64
	told       int // ticks, for the rounds of peers
	advice     Advice
	Dropped    uint64 // messages of strangers
}

// New makes a node from checked settings; fleet is the configured number of
// routers.
func New(cfg Config, fleet int, now int64) *Node {
	n := &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5eed)), fleet: max(fleet, 1), size: max(fleet, 1), sizeAt: now,
		leases: newLeases(cfg, now), counts: newCounts(cfg, now), judge: newJudge(cfg, now), next: now}
	n.advice.Routers = n.size
	return n
}

// Fleet takes the view: the live peers' names, and how many routers there may
// be, this one included (alive, suspect or dead, but not left). The size that
// shares are cut by rises at once and falls only after FoldMs without the
// larger number: who cannot be heard may be cut off and sending.
func (n *Node) Fleet(peers []string, size int, now int64) {
	n.peers = peers
	if size = max(size, n.fleet); size >= n.size {
		n.size, n.sizeAt = size, now
	} else if now-n.sizeAt >= n.cfg.FoldMs {
		n.size, n.sizeAt = size, now
	}
}

// Observe takes what the router saw.
func (n *Node) Observe(s Seen) {
	n.counts.carried(s.Carried)
	n.judge.observe(s.Hosts)
	n.repeats = s.Repeats
}

// stake is this router's own part of a budget, and whether it needs it itself.
func (n *Node) stake(key string) (stake float64, needed bool) {
	if key == RepeatsKey {
		return n.repeats.Earns, !n.repeats.Spare
	}
	if h := n.judge.host(key); h != nil {
		return 1 / float64(n.size), h.Needed
	}
	return 1 / float64(n.size), false
}

// Tick moves to now and says what to send. Call it at least every TickMs.
func (n *Node) Tick(now int64) Ready {
	var r Ready
	r.Events = n.leases.expire(now)
	if urgent := n.judge.urgent(now); now >= n.next || urgent { // what was just found is told at once
		n.next = now + n.cfg.TickMs
		n.counts.tick(now)
		r.Messages = n.speak(now, urgent)
	}
	r.Events = append(r.Events, n.judge.events...)
	n.judge.events = nil
	return r
}

// newsFan is how many times FanOut peers are told of what was just found: the
// first moments count, and what follows comes at FanOut's pace.
const newsFan = 3

// speak makes this tick's messages: counters to one peer, claims to FanOut,
// asks to Lenders for each budget that this router wants more of.
func (n *Node) speak(now int64, urgent bool) (out []Out) {
	if len(n.peers) == 0 {
		return nil
	}
	n.told++
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
	if claims := n.judge.claims(now); len(claims) > 0 {
		fan := n.cfg.FanOut
		if urgent {
			fan *= newsFan
		}
		for _, p := range draw(fan) {
			m := to(p)
			for i := range claims { // each peer from another place on, so that a long list gets round
				c := claims[(i+n.told)%len(claims)]
				if m.Size()+claimOverhead+len(c.Host) > n.cfg.MaxBytes {
					break
				}
				m.Claims = append(m.Claims, c)
			}
		}
	}
	for _, key := range n.wanted() {
		stake, _ := n.stake(key)
		for _, p := range draw(n.cfg.Lenders) {
			if m := to(p); m.Size()+leaseOverhead+len(key) <= n.cfg.MaxBytes {
				if a, ok := n.leases.want(key, p, stake, now); ok {
					m.Asks = append(m.Asks, a)
				}
			}
		}
	}
	if now >= n.nextCounts {
		n.nextCounts = now + n.cfg.CountsMs
		for _, p := range draw(1) {
			m := to(p)
			m.Counts = n.counts.page(n.cfg.MaxBytes - m.Size())
		}
	}
	for _, p := range order {
		if m := msgs[p]; len(m.Counts)+len(m.Claims)+len(m.Asks) > 0 {
			out = append(out, Out{p, *m})
		}
	}
	return out
}

// wanted are the budgets that this router would use more of.
func (n *Node) wanted() (keys []string) {
	for _, h := range n.judge.hosts {
		if h.Cold && h.Needed {
			keys = append(keys, h.Name)
		}
	}
	if n.repeats.Wanting {
		keys = append(keys, RepeatsKey)
	}
	return keys
}

// Receive takes a message of a peer of the view; the caller has checked that
// it came from that member's address.
func (n *Node) Receive(peer string, m Message, now int64) Ready {
	var r Ready
	if !slices.Contains(n.peers, peer) {
		n.Dropped++
		return r
	}
	n.counts.heardAt = now
	for _, e := range m.Counts {
		n.counts.merge(e, now)
	}
	for _, c := range m.Claims {
		n.judge.hear(peer, c, now)
	}
	var answer Message
	for _, a := range m.Asks {
		stake, needed := n.stake(a.Key)
		if a.Key != RepeatsKey && n.judge.host(a.Key) == nil {
			continue // of a host that this router does not know it gives nothing
		}
		if g, ok := n.leases.grant(peer, a, stake, needed, now); ok && answer.Size()+leaseOverhead+len(g.Key) <= n.cfg.MaxBytes {
			answer.Grants = append(answer.Grants, g)
			r.Events = append(r.Events, Event{Kind: LeaseLent, Key: g.Key, Peer: peer, Amount: g.Amount})
		}
	}
	for _, g := range m.Grants {
		stake, _ := n.stake(g.Key)
		if h, ok := n.leases.take(peer, g, stake, now); ok {
			r.Events = append(r.Events, Event{Kind: LeaseHeld, Key: g.Key, Peer: peer, Amount: h.amount})
		}
	}
	if len(answer.Grants) > 0 {
		r.Messages = append(r.Messages, Out{peer, answer})
	}
	return r
}

// Advice is what holds at now, drawn up anew: judgements cost a look at every
// host, so the caller asks for it at its own pace, and after each event that
// changed a lease. A lease that has ended is not in it: a router that was
// paused must ask again before it sends.
func (n *Node) Advice(now int64) Advice {
	a := Advice{Routers: n.size, Judged: n.judge.judge(now), Leaders: n.judge.leaders(), Shares: map[string]Share{}}
	stake := 1 / float64(n.size)
	// A host may be told to be cold here later than to who borrowed the share.
	for _, h := range n.judge.hosts {
		if h.Cold || len(n.leases.lent[h.Name])+len(n.leases.held[h.Name]) > 0 {
			a.Shares[h.Name] = n.leases.Share(h.Name, stake, now)
		}
	}
	a.Rest = n.leases.Share("", 1, now).Own
	a.Repeats = n.leases.Share(RepeatsKey, n.repeats.Earns, now)
	a.Repeats.Own -= n.repeats.Earns
	n.advice = a
	return a
}

// Totals adds up what the fleet carried, as far as this router has heard.
func (n *Node) Totals() Cells { return n.counts.Total() }

// Page is this node's state for people.
type Page struct {
	Routers  int              // that stakes are cut by
	Shares   map[string]Share // of cold hosts' allowances, as parts of the whole
	Stake    float64
	Lent     map[string]float64
	Held     map[string]float64
	Repeats  Share
	Totals   Cells   // class*5 + kind
	Counters []Entry // of each router and life kept apart, this one first
	Judged   []Judgement
	Standing map[string]float64 // of peers whose claims proved wrong
	Refused  uint64             // counters not taken
	Dropped  uint64             // messages of strangers
}

// Page copies the node's state at now, with the last advice.
func (n *Node) Page(now int64) Page {
	a := n.advice
	p := Page{Routers: n.size, Shares: a.Shares, Stake: 1 / float64(n.size), Lent: map[string]float64{}, Held: map[string]float64{}, Repeats: a.Repeats,
		Totals: n.Totals(), Counters: n.counts.all(), Judged: a.Judged, Standing: map[string]float64{}, Refused: n.counts.Refused, Dropped: n.Dropped}
	for k, l := range n.leases.lent {
		p.Lent[k] = sum(l, now)
	}
	for k, l := range n.leases.held {
		p.Held[k] = sum(l, now)
	}
	for k, s := range n.judge.standing {
		p.Standing[k] = s
	}
	return p
}
