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
	healthStatuses
)

func (k HealthStatus) String() string {
	return [...]string{"", "well", "hangs", "fails", "slow", "behind", "leads"}[min(k, Primary)]
}

// MarshalText names the kind, for the admin page.
func (k HealthStatus) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind by its name.
func (k *HealthStatus) UnmarshalText(b []byte) error {
	for c := HealthStatus(0); c < healthStatuses; c++ {
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
	Endpoint   string
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
type peerReport struct {
	peer string
	status HealthStatus
	evidenceAt   int64 // of the newest evidence, on this router's clock
	firstEvidenceAt int64 // of the oldest, where it was renewed ever since
	answeredBefore  int64 // Host.GoodAt when the claim came
	verified bool  // its truth has been settled against what was seen here
}

// doubt is what is held of one host beside what was seen here.
type suspicion struct {
	reports []peerReport
	ejected     bool
	ejectedUntil     int64  // of the judgement in force
	gossipOnlySince     int64  // since when hearsay alone passes it over, 0 for not
	reportTTLMs   int64  // how long a claim on it counts here: drawn
	rejectedFor   string // why the last judgement was not taken
}

// Judge weighs what peers say of hosts.
type outlierDetector struct {
	cfg      Config
	rng      *rand.Rand
	endpoints    []EndpointHealth // as last observed, by name
	suspicions   map[string]*suspicion
	reported     map[string]bool    // hosts that this router told its own doubts of
	reputation map[string]float64 // of peers whose claims proved wrong: 1 is whole
	decayedAt int64
	events   []Event
}

const (
	maxReporters = 4096        // claims kept on one host: one of each router of a large fleet
	refutedFactor   = 0.5         // of a peer's standing, for a claim that proved wrong
	confirmedGain   = 0.1         // back, for one that proved right
	recoveryPerMs        = 1.0 / 60000 // and back with each millisecond: a minute for all of it
)

func newOutlierDetector(cfg Config, now int64) *outlierDetector {
	return &outlierDetector{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x1d9e)), suspicions: map[string]*suspicion{}, reported: map[string]bool{}, reputation: map[string]float64{}, decayedAt: now}
}

func (j *outlierDetector) endpoint(name string) *EndpointHealth {
	if i, ok := slices.BinarySearchFunc(j.endpoints, name, func(h EndpointHealth, n string) int { return cmp.Compare(h.Name, n) }); ok {
		return &j.endpoints[i]
	}
	return nil
}

// urgent tells that this router has found a host bad that it did not tell of.
func (j *outlierDetector) hasUnreportedFault(now int64) bool {
	for _, h := range j.endpoints {
		if h.Fault != 0 && now-h.FaultAt < j.cfg.ReportTTLMs && !j.reported[h.Name] {
			return true
		}
	}
	return false
}

// observe takes what this router knows; hosts no longer named are forgotten,
// with all that was said of them.
func (j *outlierDetector) observe(hosts []EndpointHealth) {
	j.endpoints = slices.Clone(hosts)
	slices.SortFunc(j.endpoints, func(a, b EndpointHealth) int { return cmp.Compare(a.Name, b.Name) })
	for name := range j.suspicions {
		if j.endpoint(name) == nil {
			delete(j.suspicions, name)
		}
	}
}

// claims are what this router has to tell: each doubt of its own while its
// evidence is fresh, that a host is well where others doubt it, and who leads.
func (j *outlierDetector) ownReports(now int64) (out []HealthReport) {
	clear(j.reported)
	for _, h := range j.endpoints {
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
			j.reported[h.Name] = true
		} else if d := j.suspicions[h.Name]; d != nil && len(d.reports) > 0 && h.AnsweredSentAt > 0 && now-h.AnsweredSentAt < j.cfg.ReportTTLMs {
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
func (j *outlierDetector) receive(peer string, c HealthReport, now int64) {
	h := j.endpoint(c.Endpoint)
	if h == nil || c.Status == 0 || c.Status >= healthStatuses || c.AgeMs < 0 || c.AgeMs >= j.cfg.ReportTTLMs {
		return
	}
	d := j.suspicions[c.Endpoint]
	if d == nil {
		// Drawn, so that not all routers try a host again at one moment once
		// nobody has new evidence: the first to try tells the others.
		d = &suspicion{reportTTLMs: j.cfg.ReportTTLMs/2 + j.rng.Int64N(j.cfg.ReportTTLMs/2+1)}
		j.suspicions[c.Endpoint] = d
	}
	w := peerReport{peer: peer, status: c.Status, evidenceAt: now - c.AgeMs, firstEvidenceAt: now - c.AgeMs, answeredBefore: h.AnsweredSentAt}
	i := slices.IndexFunc(d.reports, func(o peerReport) bool { return o.peer == peer && (o.status == Primary) == (c.Status == Primary) })
	switch {
	case i >= 0 && w.evidenceAt <= d.reports[i].evidenceAt: // an old one, doubled or reordered
	case i >= 0:
		if o := d.reports[i]; o.status == w.status {
			w.firstEvidenceAt = o.firstEvidenceAt
			if !o.verified { // the same doubt goes on: what was seen before it began counts
				w.answeredBefore = max(o.answeredBefore, min(w.answeredBefore, o.evidenceAt))
			}
		}
		d.reports[i] = w
	case len(d.reports) < maxReporters:
		d.reports = append(d.reports, w)
	}
}

// trust is a peer's standing, 1 where nothing of it proved wrong.
func (j *outlierDetector) reputationOf(peer string) float64 {
	if s, ok := j.reputation[peer]; ok {
		return s
	}
	return 1
}

// settle holds a claim against what was seen here. An attempt sent after the
// evidence and answered makes a doubt void; where one sent shortly before it
// was answered as well, the host was well around it and the claim was wrong.
// A doubt that was found true here earns standing back.
func (j *outlierDetector) verify(w *peerReport, h *EndpointHealth, now int64) (void bool) {
	doubts, good := w.status != Healthy && w.status != Primary, h.AnsweredSentAt
	if w.status == Lagging {
		good = h.FreshAt
	}
	switch {
	case doubts && good >= w.evidenceAt:
		if (w.status == Unresponsive || w.status == Failing) && !w.verified && w.answeredBefore > 0 && w.evidenceAt-w.answeredBefore < j.cfg.ReportTTLMs && h.AnsweredSentAt-w.evidenceAt < j.cfg.ReportTTLMs {
			was := j.reputationOf(w.peer)
			j.reputation[w.peer] = was * refutedFactor
			if was >= 0.5 && was*refutedFactor < 0.5 { // a liar's every claim would be a line
				j.events = append(j.events, Event{Kind: ReportRefuted, Key: h.Name, Peer: w.peer, Status: w.status, Amount: was * refutedFactor})
			}
		}
		w.verified = true
		return true
	case doubts && !w.verified && h.Fault != 0 && h.FaultAt >= w.evidenceAt:
		j.reputation[w.peer] = min(1, j.reputationOf(w.peer)+confirmedGain)
		w.verified = true
	case w.status == Healthy && h.Fault != 0 && h.FaultAt > w.evidenceAt:
		return true
	}
	return false
}

// support is the standing of those who doubt h, less that of those whom it
// answered after the doubts began, for the moment of beginning that most is to
// be said for: a host that hung just now has doubters since then and nobody
// whom it answered later; one that is lied about has always been answering
// others meanwhile. It also counts those doubters.
func (j *outlierDetector) support(d *suspicion, h *EndpointHealth, now int64) (most float64, count int, kind HealthStatus, newest int64) {
	var valid []*peerReport
	for i := range d.reports {
		if w := &d.reports[i]; !j.verify(w, h, now) && w.status != Primary {
			valid = append(valid, w)
		}
	}
	for _, c := range j.onsets(valid) {
		if count == 0 || c.support > most {
			most, count, kind, newest = c.support, c.reporters, c.status, c.newestEvidence
		}
	}
	return most, count, kind, newest
}

// beginning is what is to be said for one moment at which a doubt began.
type onset struct {
	support float64
	reporters   int // of those who doubt the host since then
	status    HealthStatus
	newestEvidence  int64 // of their evidence
}

// since weighs the moments at which valid doubts began, in the order of the
// witnesses. It goes through the moments from the latest to the earliest, as
// each has the doubters of every later one: with thousands of routers there may
// be as many witnesses.
func (j *outlierDetector) onsets(valid []*peerReport) []onset {
	var doubters, well []int // indexes, the latest first
	for i, w := range valid {
		if w.status == Healthy {
			well = append(well, i)
		} else {
			doubters = append(doubters, i)
		}
	}
	slices.SortStableFunc(doubters, func(a, b int) int { return cmp.Compare(valid[b].firstEvidenceAt, valid[a].firstEvidenceAt) })
	slices.SortStableFunc(well, func(a, b int) int { return cmp.Compare(valid[b].evidenceAt, valid[a].evidenceAt) })
	at := make([]onset, len(valid))
	var so onset
	latest := -1 // index of the doubter with the newest evidence so far
	for n := 0; n < len(doubters); {
		from, first := valid[doubters[n]].firstEvidenceAt, n
		for ; n < len(doubters) && valid[doubters[n]].firstEvidenceAt == from; n++ {
			i := doubters[n]
			w := valid[i]
			so.support += j.reputationOf(w.peer)
			so.reporters++
			if w.evidenceAt > so.newestEvidence || w.evidenceAt == so.newestEvidence && i < latest {
				so.status, so.newestEvidence, latest = w.status, w.evidenceAt, i
			}
		}
		for len(well) > 0 && valid[well[0]].evidenceAt > from {
			so.support -= j.reputationOf(valid[well[0]].peer)
			well = well[1:]
		}
		for _, i := range doubters[first:n] {
			at[i] = so
		}
	}
	return slices.DeleteFunc(at, func(b onset) bool { return b.reporters == 0 })
}

// Judgement passes over a host for a while.
type Ejection struct {
	Endpoint         string
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
func (j *outlierDetector) eject(now int64) (in []Ejection) {
	j.expire(now)
	type candidate struct {
		Ejection
		d *suspicion
		h *EndpointHealth
	}
	groups := map[int][]candidate{}
	var order []int
	for i := range j.endpoints {
		h := &j.endpoints[i]
		d := j.suspicions[h.Name]
		if d == nil {
			continue
		}
		sum, count, kind, newest := j.support(d, h, now)
		need, least := j.cfg.RequiredSupport, 2
		own := h.Fault != 0 && h.FaultAt > h.AnsweredSentAt
		switch {
		case own || h.Overdue: // seen here as well: one more witness is enough
			need, least = 0.5, 1
		case d.ejected && now < d.ejectedUntil+j.cfg.EjectionMs: // judged by more: one in good standing renews it
			need, least = 0.75, 1
		}
		if j.cfg.Sabotage == "trust-one" {
			need, least = 0.01, 1
		}
		if count < least || sum < need {
			if count > 0 {
				j.reject(d, h, "too few witnesses")
			}
			d.ejected, d.gossipOnlySince = d.ejected && now < d.ejectedUntil, 0
			continue
		}
		c := candidate{Ejection{Endpoint: h.Name, Status: kind, Support: sum, ObservedHere: own}, d, h}
		switch {
		case !h.Ready:
			continue
		case h.Primary: // nobody takes its place for writes and fresh reads: its trials are not put off
			continue
		case own: // its breaker is open: others' fresher evidence puts its trial off, for a while
			c.Until = min(now+j.cfg.EjectionMs, h.FaultAt+2*d.reportTTLMs)
			if newest <= h.FaultAt || c.Until <= now {
				continue
			}
		case !h.Overdue:
			if d.gossipOnlySince == 0 || h.LastSentAt > d.gossipOnlySince {
				d.gossipOnlySince = now
			}
			if now-d.gossipOnlySince >= j.cfg.GossipEjectionMs && j.cfg.Sabotage == "" {
				j.reject(d, h, "not tried here")
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
		for _, h := range j.endpoints {
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
					j.reject(c.d, c.h, "too much of the group")
					continue
				}
				most--
				sound--
				if !c.h.Overdue {
					alone--
				}
			}
			if !c.d.ejected || c.d.ejectedUntil < now {
				j.events = append(j.events, Event{Kind: EndpointEjected, Key: c.Endpoint, Status: c.Status, Amount: c.Support})
			}
			c.d.ejected, c.d.ejectedUntil, c.d.rejectedFor = true, c.Until, ""
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
func (j *outlierDetector) reject(d *suspicion, h *EndpointHealth, why string) {
	if d.rejectedFor != why {
		d.rejectedFor = why
		j.events = append(j.events, Event{Kind: EjectionRejected, Key: h.Name, Reason: why})
	}
}

// leader returns whom peers say a group's primary is, where this router seeks
// it: the newest word, if it is newer than what was seen here. A wrong one
// costs one try that is turned away.
func (j *outlierDetector) suggestedPrimaries() (out map[int]string) {
	best := map[int]int64{}
	for i := range j.endpoints {
		h := &j.endpoints[i]
		d := j.suspicions[h.Name]
		if d == nil || !h.PrimaryUnknown || !h.Ready {
			continue
		}
		for _, w := range d.reports {
			if w.status == Primary && w.evidenceAt > best[h.Group] && w.evidenceAt > h.LastSentAt {
				if out == nil {
					out = map[int]string{}
				}
				best[h.Group], out[h.Group] = w.evidenceAt, h.Name
			}
		}
	}
	return out
}

// steady forgets claims whose evidence is too old and lets standing recover.
func (j *outlierDetector) expire(now int64) {
	if j.cfg.Sabotage != "never-expire" {
		for name, d := range j.suspicions {
			d.reports = slices.DeleteFunc(d.reports, func(w peerReport) bool { return now-w.evidenceAt >= d.reportTTLMs })
			if len(d.reports) == 0 && now >= d.ejectedUntil && (d.gossipOnlySince == 0 || now-d.gossipOnlySince >= 4*j.cfg.GossipEjectionMs) {
				delete(j.suspicions, name)
			}
		}
	}
	by := float64(now-j.decayedAt) * recoveryPerMs
	j.decayedAt = now
	for p, s := range j.reputation {
		if s += by; s >= 1 {
			delete(j.reputation, p)
		} else {
			j.reputation[p] = s
		}
	}
}
