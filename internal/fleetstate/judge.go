package fleetstate

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// HealthStatus is what a router says of a database host.
type HealthStatus uint8

// The kinds of claim. All but Well and Leads are doubts.
const (
	Healthy      HealthStatus = iota + 1 // it answered me: told where others doubt it
	Unresponsive                         // it takes work and answers none
	Failing                              // its answers are errors, or it cannot be reached
	Slow                                 // its answers take several times the others'
	Lagging                              // its position is further back than any class allows
	Primary                              // it told me that it is its group's primary
	claimKinds
)

func (k HealthStatus) String() string {
	return [...]string{"", "well", "hangs", "fails", "slow", "behind", "leads"}[min(k, Primary)]
}

// MarshalText names the kind, for the admin page.
func (k HealthStatus) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind by its name.
func (k *HealthStatus) UnmarshalText(b []byte) error {
	for c := HealthStatus(0); c < claimKinds; c++ {
		if c.String() == string(b) {
			*k = c
			return nil
		}
	}
	return fmt.Errorf("shared state: no claim %q", b)
}

// Claim is first-hand evidence on one host. A router only tells of what it
// saw itself, so the number of claimants is the number of witnesses.
type HealthReport struct {
	Host   string
	Status HealthStatus
	AgeMs  int64 // of the evidence, when sent
}

// Host is what this router knows of a database host by itself.
type EndpointHealth struct {
	Name              string
	Group             int
	Ready             bool  // listed so
	Primary           bool  // it is the primary as believed here
	PrimaryReportedAt int64 // when it last said so
	Fault             HealthStatus
	FaultAt           int64 // the newest evidence for Bad
	AnsweredSentAt    int64 // when the last attempt that it answered was sent
	FreshAt           int64 // when its position was last seen near enough for some class
	LastSentAt        int64 // when the last attempt was sent
	Overdue           bool  // an attempt is out for longer than its answers take
	WarmingUp         bool
	RequestsQueued    bool // requests that may go to it are waiting
	PrimaryUnknown    bool // its group has no primary that answers
}

// witness is one peer's latest claim on a host.
type witness struct {
	peer string
	kind HealthStatus
	at   int64 // of the newest evidence, on this router's clock
	from int64 // of the oldest, where it was renewed ever since
	was  int64 // Host.GoodAt when the claim came
	read bool  // its truth has been settled against what was seen here
}

// doubt is what is held of one host beside what was seen here.
type doubt struct {
	witnesses []witness
	taken     bool
	until     int64  // of the judgement in force
	alone     int64  // since when hearsay alone passes it over, 0 for not
	claimMs   int64  // how long a claim on it counts here: drawn
	refused   string // why the last judgement was not taken
}

// Judge weighs what peers say of hosts.
type OutlierDetector struct {
	cfg      Config
	rng      *rand.Rand
	hosts    []EndpointHealth // as last observed, by name
	doubts   map[string]*doubt
	told     map[string]bool    // hosts that this router told its own doubts of
	standing map[string]float64 // of peers whose claims proved wrong: 1 is whole
	steadied int64
	events   []Event
}

const (
	maxWitnesses = 4096        // claims kept on one host: one of each router of a large fleet
	wrongCosts   = 0.5         // of a peer's standing, for a claim that proved wrong
	rightEarns   = 0.1         // back, for one that proved right
	heals        = 1.0 / 60000 // and back with each millisecond: a minute for all of it
)

func newJudge(cfg Config, now int64) *OutlierDetector {
	return &OutlierDetector{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x1d9e)), doubts: map[string]*doubt{}, told: map[string]bool{}, standing: map[string]float64{}, steadied: now}
}

func (j *OutlierDetector) host(name string) *EndpointHealth {
	if i, ok := slices.BinarySearchFunc(j.hosts, name, func(h EndpointHealth, n string) int { return cmp.Compare(h.Name, n) }); ok {
		return &j.hosts[i]
	}
	return nil
}

// urgent tells that this router has found a host bad that it did not tell of.
func (j *OutlierDetector) urgent(now int64) bool {
	for _, h := range j.hosts {
		if h.Fault != 0 && now-h.FaultAt < j.cfg.ReportTTLMs && !j.told[h.Name] {
			return true
		}
	}
	return false
}

// observe takes what this router knows; hosts no longer named are forgotten,
// with all that was said of them.
func (j *OutlierDetector) observe(hosts []EndpointHealth) {
	j.hosts = slices.Clone(hosts)
	slices.SortFunc(j.hosts, func(a, b EndpointHealth) int { return cmp.Compare(a.Name, b.Name) })
	for name := range j.doubts {
		if j.host(name) == nil {
			delete(j.doubts, name)
		}
	}
}

// claims are what this router has to tell: each doubt of its own while its
// evidence is fresh, that a host is well where others doubt it, and who leads.
func (j *OutlierDetector) claims(now int64) (out []HealthReport) {
	clear(j.told)
	for _, h := range j.hosts {
		switch j.cfg.Sabotage { // in concert: every host hangs, or every host is well
		case "liar":
			out = append(out, HealthReport{h.Name, Unresponsive, 0})
			continue
		case "liar-well":
			out = append(out, HealthReport{h.Name, Healthy, 0})
			continue
		}
		if h.Fault != 0 && now-h.FaultAt < j.cfg.ReportTTLMs {
			out = append(out, HealthReport{h.Name, h.Fault, max(0, now-h.FaultAt)})
			j.told[h.Name] = true
		} else if d := j.doubts[h.Name]; d != nil && len(d.witnesses) > 0 && h.AnsweredSentAt > 0 && now-h.AnsweredSentAt < j.cfg.ReportTTLMs {
			out = append(out, HealthReport{h.Name, Healthy, max(0, now-h.AnsweredSentAt)})
		}
		if h.PrimaryReportedAt > 0 && now-h.PrimaryReportedAt < j.cfg.ReportTTLMs {
			out = append(out, HealthReport{h.Name, Primary, max(0, now-h.PrimaryReportedAt)})
		}
	}
	return out
}

// hear takes a peer's claim. Of a host unknown here nothing is kept: a peer
// that invents hosts holds no memory.
func (j *OutlierDetector) hear(peer string, c HealthReport, now int64) {
	h := j.host(c.Host)
	if h == nil || c.Status == 0 || c.Status >= claimKinds || c.AgeMs < 0 || c.AgeMs >= j.cfg.ReportTTLMs {
		return
	}
	d := j.doubts[c.Host]
	if d == nil {
		// Drawn, so that not all routers try a host again at one moment once
		// nobody has new evidence: the first to try tells the others.
		d = &doubt{claimMs: j.cfg.ReportTTLMs/2 + j.rng.Int64N(j.cfg.ReportTTLMs/2+1)}
		j.doubts[c.Host] = d
	}
	w := witness{peer: peer, kind: c.Status, at: now - c.AgeMs, from: now - c.AgeMs, was: h.AnsweredSentAt}
	i := slices.IndexFunc(d.witnesses, func(o witness) bool { return o.peer == peer && (o.kind == Primary) == (c.Status == Primary) })
	switch {
	case i >= 0 && w.at <= d.witnesses[i].at: // an old one, doubled or reordered
	case i >= 0:
		if o := d.witnesses[i]; o.kind == w.kind {
			w.from = o.from
			if !o.read { // the same doubt goes on: what was seen before it began counts
				w.was = max(o.was, min(w.was, o.at))
			}
		}
		d.witnesses[i] = w
	case len(d.witnesses) < maxWitnesses:
		d.witnesses = append(d.witnesses, w)
	}
}

// trust is a peer's standing, 1 where nothing of it proved wrong.
func (j *OutlierDetector) trust(peer string) float64 {
	if s, ok := j.standing[peer]; ok {
		return s
	}
	return 1
}

// settle holds a claim against what was seen here. An attempt sent after the
// evidence and answered makes a doubt void; where one sent shortly before it
// was answered as well, the host was well around it and the claim was wrong.
// A doubt that was found true here earns standing back.
func (j *OutlierDetector) settle(w *witness, h *EndpointHealth, now int64) (void bool) {
	doubts, good := w.kind != Healthy && w.kind != Primary, h.AnsweredSentAt
	if w.kind == Lagging {
		good = h.FreshAt
	}
	switch {
	case doubts && good >= w.at:
		if (w.kind == Unresponsive || w.kind == Failing) && !w.read && w.was > 0 && w.at-w.was < j.cfg.ReportTTLMs && h.AnsweredSentAt-w.at < j.cfg.ReportTTLMs {
			was := j.trust(w.peer)
			j.standing[w.peer] = was * wrongCosts
			if was >= 0.5 && was*wrongCosts < 0.5 { // a liar's every claim would be a line
				j.events = append(j.events, Event{Kind: ReportRefuted, Key: h.Name, Peer: w.peer, Status: w.kind, Amount: was * wrongCosts})
			}
		}
		w.read = true
		return true
	case doubts && !w.read && h.Fault != 0 && h.FaultAt >= w.at:
		j.standing[w.peer] = min(1, j.trust(w.peer)+rightEarns)
		w.read = true
	case w.kind == Healthy && h.Fault != 0 && h.FaultAt > w.at:
		return true
	}
	return false
}

// support is the standing of those who doubt h, less that of those whom it
// answered after the doubts began, for the moment of beginning that most is to
// be said for: a host that hung just now has doubters since then and nobody
// whom it answered later; one that is lied about has always been answering
// others meanwhile. It also counts those doubters.
func (j *OutlierDetector) support(d *doubt, h *EndpointHealth, now int64) (most float64, count int, kind HealthStatus, newest int64) {
	var valid []*witness
	for i := range d.witnesses {
		if w := &d.witnesses[i]; !j.settle(w, h, now) && w.kind != Primary {
			valid = append(valid, w)
		}
	}
	for _, c := range j.since(valid) {
		if count == 0 || c.support > most {
			most, count, kind, newest = c.support, c.count, c.kind, c.newest
		}
	}
	return most, count, kind, newest
}

// beginning is what is to be said for one moment at which a doubt began.
type beginning struct {
	support float64
	count   int // of those who doubt the host since then
	kind    HealthStatus
	newest  int64 // of their evidence
}

// since weighs the moments at which valid doubts began, in the order of the
// witnesses. It goes through the moments from the latest to the earliest, as
// each has the doubters of every later one: with thousands of routers there may
// be as many witnesses.
func (j *OutlierDetector) since(valid []*witness) []beginning {
	var doubters, well []int // indexes, the latest first
	for i, w := range valid {
		if w.kind == Healthy {
			well = append(well, i)
		} else {
			doubters = append(doubters, i)
		}
	}
	slices.SortStableFunc(doubters, func(a, b int) int { return cmp.Compare(valid[b].from, valid[a].from) })
	slices.SortStableFunc(well, func(a, b int) int { return cmp.Compare(valid[b].at, valid[a].at) })
	at := make([]beginning, len(valid))
	var so beginning
	latest := -1 // index of the doubter with the newest evidence so far
	for n := 0; n < len(doubters); {
		from, first := valid[doubters[n]].from, n
		for ; n < len(doubters) && valid[doubters[n]].from == from; n++ {
			i := doubters[n]
			w := valid[i]
			so.support += j.trust(w.peer)
			so.count++
			if w.at > so.newest || w.at == so.newest && i < latest {
				so.kind, so.newest, latest = w.kind, w.at, i
			}
		}
		for len(well) > 0 && valid[well[0]].at > from {
			so.support -= j.trust(valid[well[0]].peer)
			well = well[1:]
		}
		for _, i := range doubters[first:n] {
			at[i] = so
		}
	}
	return slices.DeleteFunc(at, func(b beginning) bool { return b.count == 0 })
}

// Judgement passes over a host for a while.
type Ejection struct {
	Host         string
	Status       HealthStatus
	Until        int64
	Support      float64
	ObservedHere bool // seen here as well: then only its next trial is put off
}

// judge returns the judgements in force: which hosts the router should use
// last. Bounds that hold whatever peers say: hearsay alone passes over at
// most MaxEjectedFraction of a group's ready members, and never the last that is sound
// by what was seen here; it does so for GossipEjectionMs at most before the router
// has tried the host itself; an answer ends it; without renewal it ends after
// EjectionMs. It only ever takes a host out: nothing said by a peer lets one in,
// or adds to what a cold one is sent.
func (j *OutlierDetector) judge(now int64) (in []Ejection) {
	j.steady(now)
	type candidate struct {
		Ejection
		d *doubt
		h *EndpointHealth
	}
	groups := map[int][]candidate{}
	var order []int
	for i := range j.hosts {
		h := &j.hosts[i]
		d := j.doubts[h.Name]
		if d == nil {
			continue
		}
		sum, count, kind, newest := j.support(d, h, now)
		need, least := j.cfg.RequiredSupport, 2
		own := h.Fault != 0 && h.FaultAt > h.AnsweredSentAt
		switch {
		case own || h.Overdue: // seen here as well: one more witness is enough
			need, least = 0.5, 1
		case d.taken && now < d.until+j.cfg.EjectionMs: // judged by more: one in good standing renews it
			need, least = 0.75, 1
		}
		if j.cfg.Sabotage == "trust-one" {
			need, least = 0.01, 1
		}
		if count < least || sum < need {
			if count > 0 {
				j.refuse(d, h, "too few witnesses")
			}
			d.taken, d.alone = d.taken && now < d.until, 0
			continue
		}
		c := candidate{Ejection{Host: h.Name, Status: kind, Support: sum, ObservedHere: own}, d, h}
		switch {
		case !h.Ready:
			continue
		case h.Primary: // nobody takes its place for writes and fresh reads: its trials are not put off
			continue
		case own: // its breaker is open: others' fresher evidence puts its trial off, for a while
			c.Until = min(now+j.cfg.EjectionMs, h.FaultAt+2*d.claimMs)
			if newest <= h.FaultAt || c.Until <= now {
				continue
			}
		case !h.Overdue:
			if d.alone == 0 || h.LastSentAt > d.alone {
				d.alone = now
			}
			if now-d.alone >= j.cfg.GossipEjectionMs && j.cfg.Sabotage == "" {
				j.refuse(d, h, "not tried here")
				continue
			}
			fallthrough
		default:
			c.Until = now + j.cfg.EjectionMs
		}
		if groups[h.Group] == nil {
			order = append(order, h.Group)
		}
		groups[h.Group] = append(groups[h.Group], c)
	}
	for _, g := range order {
		cs := groups[g]
		slices.SortStableFunc(cs, func(a, b candidate) int {
			if a.ObservedHere != b.ObservedHere {
				return cmp.Compare(b2i(b.ObservedHere), b2i(a.ObservedHere))
			}
			return cmp.Or(cmp.Compare(b2i(b.h.Overdue), b2i(a.h.Overdue)), cmp.Compare(b.Support, a.Support))
		})
		ready, sound := 0, 0
		for _, h := range j.hosts {
			if h.Group == g && h.Ready {
				ready++
				if h.Fault == 0 || h.AnsweredSentAt > h.FaultAt {
					sound++
				}
			}
		}
		// Where more of a group is doubted than may be passed over, peers err
		// or lie, and which of the doubts is true cannot be told from here:
		// then only those that something seen here speaks for are taken.
		most, alone := int(math.Floor(j.cfg.MaxEjectedFraction*float64(ready))), 0
		for _, c := range cs {
			if !c.ObservedHere && !c.h.Overdue {
				alone++
			}
		}
		for _, c := range cs {
			if !c.ObservedHere {
				if j.cfg.Sabotage != "trust-one" && (most < 1 || sound < 2 || !c.h.Overdue && alone > most) {
					j.refuse(c.d, c.h, "too much of the group")
					continue
				}
				most--
				sound--
				if !c.h.Overdue {
					alone--
				}
			}
			if !c.d.taken || c.d.until < now {
				j.events = append(j.events, Event{Kind: EndpointEjected, Key: c.Host, Status: c.Status, Amount: c.Support})
			}
			c.d.taken, c.d.until, c.d.refused = true, c.Until, ""
			in = append(in, c.Ejection)
		}
	}
	return in
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// refuse notes why a judgement was not taken, once for each reason.
func (j *OutlierDetector) refuse(d *doubt, h *EndpointHealth, why string) {
	if d.refused != why {
		d.refused = why
		j.events = append(j.events, Event{Kind: EjectionRejected, Key: h.Name, Reason: why})
	}
}

// leader returns whom peers say a group's primary is, where this router seeks
// it: the newest word, if it is newer than what was seen here. A wrong one
// costs one try that is turned away.
func (j *OutlierDetector) leaders() (out map[int]string) {
	best := map[int]int64{}
	for i := range j.hosts {
		h := &j.hosts[i]
		d := j.doubts[h.Name]
		if d == nil || !h.PrimaryUnknown || !h.Ready {
			continue
		}
		for _, w := range d.witnesses {
			if w.kind == Primary && w.at > best[h.Group] && w.at > h.LastSentAt {
				if out == nil {
					out = map[int]string{}
				}
				best[h.Group], out[h.Group] = w.at, h.Name
			}
		}
	}
	return out
}

// steady forgets claims whose evidence is too old and lets standing recover.
func (j *OutlierDetector) steady(now int64) {
	if j.cfg.Sabotage != "never-expire" {
		for name, d := range j.doubts {
			d.witnesses = slices.DeleteFunc(d.witnesses, func(w witness) bool { return now-w.at >= d.claimMs })
			if len(d.witnesses) == 0 && now >= d.until && (d.alone == 0 || now-d.alone >= 4*j.cfg.GossipEjectionMs) {
				delete(j.doubts, name)
			}
		}
	}
	by := float64(now-j.steadied) * heals
	j.steadied = now
	for p, s := range j.standing {
		if s += by; s >= 1 {
			delete(j.standing, p)
		} else {
			j.standing[p] = s
		}
	}
}
