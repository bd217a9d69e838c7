package fleetstate

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// ClaimKind is what a router says of a database host.
type ClaimKind uint8

// The kinds of claim. All but Well and Leads are doubts.
const (
	Well   ClaimKind = iota + 1 // it answered me: told where others doubt it
	Hangs                       // it takes work and answers none
	Fails                       // its answers are errors, or it cannot be reached
	Slow                        // its answers take several times the others'
	Behind                      // its position is further back than any class allows
	Leads                       // it told me that it is its group's primary
	claimKinds
)

func (k ClaimKind) String() string {
	return [...]string{"", "well", "hangs", "fails", "slow", "behind", "leads"}[min(k, Leads)]
}

// MarshalText names the kind, for the admin page.
func (k ClaimKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind by its name.
func (k *ClaimKind) UnmarshalText(b []byte) error {
	for c := ClaimKind(0); c < claimKinds; c++ {
		if c.String() == string(b) {
			*k = c
			return nil
		}
	}
	return fmt.Errorf("shared state: no claim %q", b)
}

// Claim is first-hand evidence on one host. A router only tells of what it
// saw itself, so the number of claimants is the number of witnesses.
type Claim struct {
	Host  string
	Kind  ClaimKind
	AgeMs int64 // of the evidence, when sent
}

// Host is what this router knows of a database host by itself.
type Host struct {
	Name    string
	Group   int
	Ready   bool  // listed so
	Leads   bool  // it is the primary as believed here
	LeadsAt int64 // when it last said so
	Bad     ClaimKind
	BadAt   int64 // the newest evidence for Bad
	GoodAt  int64 // when the last attempt that it answered was sent
	FreshAt int64 // when its position was last seen near enough for some class
	TriedAt int64 // when the last attempt was sent
	Waiting bool  // an attempt is out for longer than its answers take
	Cold    bool
	Needed  bool // requests that may go to it are waiting
	Seeking bool // its group has no primary that answers
}

// witness is one peer's latest claim on a host.
type witness struct {
	peer string
	kind ClaimKind
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
type Judge struct {
	cfg      Config
	rng      *rand.Rand
	hosts    []Host // as last observed, by name
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

func newJudge(cfg Config, now int64) *Judge {
	return &Judge{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x1d9e)), doubts: map[string]*doubt{}, told: map[string]bool{}, standing: map[string]float64{}, steadied: now}
}

func (j *Judge) host(name string) *Host {
	if i, ok := slices.BinarySearchFunc(j.hosts, name, func(h Host, n string) int { return cmp.Compare(h.Name, n) }); ok {
		return &j.hosts[i]
	}
	return nil
}

// urgent tells that this router has found a host bad that it did not tell of.
func (j *Judge) urgent(now int64) bool {
	for _, h := range j.hosts {
		if h.Bad != 0 && now-h.BadAt < j.cfg.ClaimMs && !j.told[h.Name] {
			return true
		}
	}
	return false
}

// observe takes what this router knows; hosts no longer named are forgotten,
// with all that was said of them.
func (j *Judge) observe(hosts []Host) {
	j.hosts = slices.Clone(hosts)
	slices.SortFunc(j.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	for name := range j.doubts {
		if j.host(name) == nil {
			delete(j.doubts, name)
		}
	}
}

// claims are what this router has to tell: each doubt of its own while its
// evidence is fresh, that a host is well where others doubt it, and who leads.
func (j *Judge) claims(now int64) (out []Claim) {
	clear(j.told)
	for _, h := range j.hosts {
		switch j.cfg.Sabotage { // in concert: every host hangs, or every host is well
		case "liar":
			out = append(out, Claim{h.Name, Hangs, 0})
			continue
		case "liar-well":
			out = append(out, Claim{h.Name, Well, 0})
			continue
		}
		if h.Bad != 0 && now-h.BadAt < j.cfg.ClaimMs {
			out = append(out, Claim{h.Name, h.Bad, max(0, now-h.BadAt)})
			j.told[h.Name] = true
		} else if d := j.doubts[h.Name]; d != nil && len(d.witnesses) > 0 && h.GoodAt > 0 && now-h.GoodAt < j.cfg.ClaimMs {
			out = append(out, Claim{h.Name, Well, max(0, now-h.GoodAt)})
		}
		if h.LeadsAt > 0 && now-h.LeadsAt < j.cfg.ClaimMs {
			out = append(out, Claim{h.Name, Leads, max(0, now-h.LeadsAt)})
		}
	}
	return out
}

// hear takes a peer's claim. Of a host unknown here nothing is kept: a peer
// that invents hosts holds no memory.
func (j *Judge) hear(peer string, c Claim, now int64) {
	h := j.host(c.Host)
	if h == nil || c.Kind == 0 || c.Kind >= claimKinds || c.AgeMs < 0 || c.AgeMs >= j.cfg.ClaimMs {
		return
	}
	d := j.doubts[c.Host]
	if d == nil {
		// Drawn, so that not all routers try a host again at one moment once
		// nobody has new evidence: the first to try tells the others.
		d = &doubt{claimMs: j.cfg.ClaimMs/2 + j.rng.Int64N(j.cfg.ClaimMs/2+1)}
		j.doubts[c.Host] = d
	}
	w := witness{peer: peer, kind: c.Kind, at: now - c.AgeMs, from: now - c.AgeMs, was: h.GoodAt}
	i := slices.IndexFunc(d.witnesses, func(o witness) bool { return o.peer == peer && (o.kind == Leads) == (c.Kind == Leads) })
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
func (j *Judge) trust(peer string) float64 {
	if s, ok := j.standing[peer]; ok {
		return s
	}
	return 1
}

// settle holds a claim against what was seen here. An attempt sent after the
// evidence and answered makes a doubt void; where one sent shortly before it
// was answered as well, the host was well around it and the claim was wrong.
// A doubt that was found true here earns standing back.
func (j *Judge) settle(w *witness, h *Host, now int64) (void bool) {
	doubts, good := w.kind != Well && w.kind != Leads, h.GoodAt
	if w.kind == Behind {
		good = h.FreshAt
	}
	switch {
	case doubts && good >= w.at:
		if (w.kind == Hangs || w.kind == Fails) && !w.read && w.was > 0 && w.at-w.was < j.cfg.ClaimMs && h.GoodAt-w.at < j.cfg.ClaimMs {
			was := j.trust(w.peer)
			j.standing[w.peer] = was * wrongCosts
			if was >= 0.5 && was*wrongCosts < 0.5 { // a liar's every claim would be a line
				j.events = append(j.events, Event{Kind: ClaimWrong, Key: h.Name, Peer: w.peer, Claim: w.kind, Amount: was * wrongCosts})
			}
		}
		w.read = true
		return true
	case doubts && !w.read && h.Bad != 0 && h.BadAt >= w.at:
		j.standing[w.peer] = min(1, j.trust(w.peer)+rightEarns)
		w.read = true
	case w.kind == Well && h.Bad != 0 && h.BadAt > w.at:
		return true
	}
	return false
}

// support is the standing of those who doubt h, less that of those whom it
// answered after the doubts began, for the moment of beginning that most is to
// be said for: a host that hung just now has doubters since then and nobody
// whom it answered later; one that is lied about has always been answering
// others meanwhile. It also counts those doubters.
func (j *Judge) support(d *doubt, h *Host, now int64) (most float64, count int, kind ClaimKind, newest int64) {
	var valid []*witness
	for i := range d.witnesses {
		if w := &d.witnesses[i]; !j.settle(w, h, now) && w.kind != Leads {
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
	kind    ClaimKind
	newest  int64 // of their evidence
}

// since weighs the moments at which valid doubts began, in the order of the
// witnesses. It goes through the moments from the latest to the earliest, as
// each has the doubters of every later one: with thousands of routers there may
// be as many witnesses.
func (j *Judge) since(valid []*witness) []beginning {
	var doubters, well []int // indexes, the latest first
	for i, w := range valid {
		if w.kind == Well {
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
type Judgement struct {
	Host    string
	Kind    ClaimKind
	Until   int64
	Support float64
	Own     bool // seen here as well: then only its next trial is put off
}

// judge returns the judgements in force: which hosts the router should use
// last. Bounds that hold whatever peers say: hearsay alone passes over at
// most ShareMost of a group's ready members, and never the last that is sound
// by what was seen here; it does so for HearsayMs at most before the router
// has tried the host itself; an answer ends it; without renewal it ends after
// HintMs. It only ever takes a host out: nothing said by a peer lets one in,
// or adds to what a cold one is sent.
func (j *Judge) judge(now int64) (in []Judgement) {
	j.steady(now)
	type candidate struct {
		Judgement
		d *doubt
		h *Host
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
		need, least := j.cfg.Support, 2
		own := h.Bad != 0 && h.BadAt > h.GoodAt
		switch {
		case own || h.Waiting: // seen here as well: one more witness is enough
			need, least = 0.5, 1
		case d.taken && now < d.until+j.cfg.HintMs: // judged by more: one in good standing renews it
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
		c := candidate{Judgement{Host: h.Name, Kind: kind, Support: sum, Own: own}, d, h}
		switch {
		case !h.Ready:
			continue
		case h.Leads: // nobody takes its place for writes and fresh reads: its trials are not put off
			continue
		case own: // its breaker is open: others' fresher evidence puts its trial off, for a while
			c.Until = min(now+j.cfg.HintMs, h.BadAt+2*d.claimMs)
			if newest <= h.BadAt || c.Until <= now {
				continue
			}
		case !h.Waiting:
			if d.alone == 0 || h.TriedAt > d.alone {
				d.alone = now
			}
			if now-d.alone >= j.cfg.HearsayMs && j.cfg.Sabotage == "" {
				j.refuse(d, h, "not tried here")
				continue
			}
			fallthrough
		default:
			c.Until = now + j.cfg.HintMs
		}
		if groups[h.Group] == nil {
			order = append(order, h.Group)
		}
		groups[h.Group] = append(groups[h.Group], c)
	}
	for _, g := range order {
		cs := groups[g]
		slices.SortStableFunc(cs, func(a, b candidate) int {
			if a.Own != b.Own {
				return cmp.Compare(b2i(b.Own), b2i(a.Own))
			}
			return cmp.Or(cmp.Compare(b2i(b.h.Waiting), b2i(a.h.Waiting)), cmp.Compare(b.Support, a.Support))
		})
		ready, sound := 0, 0
		for _, h := range j.hosts {
			if h.Group == g && h.Ready {
				ready++
				if h.Bad == 0 || h.GoodAt > h.BadAt {
					sound++
				}
			}
		}
		// Where more of a group is doubted than may be passed over, peers err
		// or lie, and which of the doubts is true cannot be told from here:
		// then only those that something seen here speaks for are taken.
		most, alone := int(math.Floor(j.cfg.ShareMost*float64(ready))), 0
		for _, c := range cs {
			if !c.Own && !c.h.Waiting {
				alone++
			}
		}
		for _, c := range cs {
			if !c.Own {
				if j.cfg.Sabotage != "trust-one" && (most < 1 || sound < 2 || !c.h.Waiting && alone > most) {
					j.refuse(c.d, c.h, "too much of the group")
					continue
				}
				most--
				sound--
				if !c.h.Waiting {
					alone--
				}
			}
			if !c.d.taken || c.d.until < now {
				j.events = append(j.events, Event{Kind: JudgementTaken, Key: c.Host, Claim: c.Kind, Amount: c.Support})
			}
			c.d.taken, c.d.until, c.d.refused = true, c.Until, ""
			in = append(in, c.Judgement)
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
func (j *Judge) refuse(d *doubt, h *Host, why string) {
	if d.refused != why {
		d.refused = why
		j.events = append(j.events, Event{Kind: JudgementRefused, Key: h.Name, Why: why})
	}
}

// leader returns whom peers say a group's primary is, where this router seeks
// it: the newest word, if it is newer than what was seen here. A wrong one
// costs one try that is turned away.
func (j *Judge) leaders() (out map[int]string) {
	best := map[int]int64{}
	for i := range j.hosts {
		h := &j.hosts[i]
		d := j.doubts[h.Name]
		if d == nil || !h.Seeking || !h.Ready {
			continue
		}
		for _, w := range d.witnesses {
			if w.kind == Leads && w.at > best[h.Group] && w.at > h.TriedAt {
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
func (j *Judge) steady(now int64) {
	if j.cfg.Sabotage != "never-expire" {
		for name, d := range j.doubts {
			d.witnesses = slices.DeleteFunc(d.witnesses, func(w witness) bool { return now-w.at >= d.claimMs })
			if len(d.witnesses) == 0 && now >= d.until && (d.alone == 0 || now-d.alone >= 4*j.cfg.HearsayMs) {
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
