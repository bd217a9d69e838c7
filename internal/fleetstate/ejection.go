package fleetstate

import (
	"cmp"
	"math"
	"slices"
)

// rejectionReason is why an ejection was rejected, as the log shows it.
type rejectionReason string

const (
	tooFewReporters  rejectionReason = "too few reporters"
	notAttemptedHere rejectionReason = "not attempted here"
	tooManyInGroup   rejectionReason = "too many endpoints of the group"
)

// Ejection deprioritizes an endpoint for a while.
type Ejection struct {
	Endpoint     string
	Status       HealthStatus
	Until        int64   // ms
	Support      float64 // sum of the reporters' reputations, less those who report health
	ObservedHere bool    // the fault was observed here too: only the circuit breaker's next trial is deferred
}

// ejectionCandidate is an ejection that has enough support.
type ejectionCandidate struct {
	Ejection
	suspicion *suspicion
	endpoint  *EndpointHealth
}

// gossipOnly reports that nothing observed here speaks for the ejection.
func (c *ejectionCandidate) gossipOnly() bool { return !c.ObservedHere && !c.endpoint.Overdue }

// eject returns the ejections in force: the endpoints that the router should
// use last. These bounds hold whatever peers send: gossip ejects at most
// MaxEjectedFraction of a group's ready endpoints and never the last one that
// is sound by what was observed here; it does so for at most GossipEjectionMs
// before the router has tried the endpoint itself; an answer ends it; without
// renewal it ends after EjectionMs. Gossip only ever takes endpoints out:
// nothing that a peer sends brings one back or adds to what a warming one is
// sent.
func (d *outlierDetector) eject(now int64) (ejections []Ejection) {
	d.expire(now)
	candidates := map[int][]ejectionCandidate{}
	var groups []int // in the order of their first candidates
	for i := range d.endpoints {
		endpoint := &d.endpoints[i]
		suspicion := d.suspicions[endpoint.Name]
		if suspicion == nil {
			continue
		}
		candidate, ok := d.candidate(endpoint, suspicion, now)
		if !ok {
			continue
		}
		if candidates[endpoint.Group] == nil {
			groups = append(groups, endpoint.Group)
		}
		candidates[endpoint.Group] = append(candidates[endpoint.Group], candidate)
	}
	for _, group := range groups {
		ejections = append(ejections, d.ejectFromGroup(group, candidates[group], now)...)
	}
	return ejections
}

// candidate weighs the suspicion of one endpoint.
func (d *outlierDetector) candidate(
	endpoint *EndpointHealth, suspicion *suspicion, now int64,
) (ejectionCandidate, bool) {
	found := d.support(suspicion, endpoint)
	if !d.requirementFor(endpoint, suspicion, now).metBy(found) {
		if found.reporters > 0 {
			d.reject(suspicion, endpoint, tooFewReporters)
		}
		suspicion.ejected = suspicion.ejected && now < suspicion.ejectedUntil
		suspicion.gossipOnlySince = 0
		return ejectionCandidate{}, false
	}
	until, ok := d.ejectionEnd(endpoint, suspicion, found, now)
	return ejectionCandidate{
		Ejection: Ejection{
			Endpoint:     endpoint.Name,
			Status:       found.status,
			Until:        until,
			Support:      found.support,
			ObservedHere: endpoint.faultObserved(),
		},
		suspicion: suspicion,
		endpoint:  endpoint,
	}, ok
}

// requirement is what an ejection needs.
type requirement struct {
	support   float64
	reporters int
}

func (r requirement) metBy(found onset) bool {
	return found.reporters >= r.reporters && found.support >= r.support
}

// requirementFor is what the ejection of an endpoint needs: less where
// something observed here speaks for it, or where it is renewed.
func (d *outlierDetector) requirementFor(
	endpoint *EndpointHealth, suspicion *suspicion, now int64,
) requirement {
	switch {
	case d.faults.TrustSingleReporter():
		return requirement{support: 0.01, reporters: 1}
	case endpoint.faultObserved() || endpoint.Overdue: // one more reporter is enough
		return requirement{support: 0.5, reporters: 1}
	case suspicion.ejected && now < suspicion.ejectedUntil+d.cfg.EjectionMs:
		// One reporter of good reputation renews it.
		return requirement{support: 0.75, reporters: 1}
	}
	return requirement{support: d.cfg.RequiredSupport, reporters: 2}
}

// ejectionEnd is until when an endpoint with enough support is ejected, and
// whether it is to be ejected at all.
func (d *outlierDetector) ejectionEnd(
	endpoint *EndpointHealth, suspicion *suspicion, found onset, now int64,
) (until int64, ok bool) {
	until = now + d.cfg.EjectionMs
	switch {
	case !endpoint.Ready:
		return 0, false
	case endpoint.Primary: // nothing replaces it for writes and fresh reads
		return 0, false
	case endpoint.faultObserved():
		// Its circuit breaker is open: peers' newer evidence defers the next
		// trial, for a while.
		until = min(until, endpoint.FaultAt+2*suspicion.reportTTLMs)
		return until, found.newestEvidence > endpoint.FaultAt && until > now
	case endpoint.Overdue:
		return until, true
	}
	if suspicion.gossipOnlySince == 0 || endpoint.LastSentAt > suspicion.gossipOnlySince {
		suspicion.gossipOnlySince = now
	}
	expired := now-suspicion.gossipOnlySince >= d.cfg.GossipEjectionMs
	if expired && !d.faults.UnlimitedGossipEjection() {
		d.reject(suspicion, endpoint, notAttemptedHere)
		return 0, false
	}
	return until, true
}

// ejectFromGroup ejects candidates of one group within the group's limits,
// those first that something observed here speaks for.
func (d *outlierDetector) ejectFromGroup(
	group int, candidates []ejectionCandidate, now int64,
) (ejections []Ejection) {
	slices.SortStableFunc(candidates, compareCandidates)
	limits := d.groupLimits(group, candidates)
	for i := range candidates {
		candidate := &candidates[i]
		if !candidate.ObservedHere {
			if !limits.allow(candidate) && !d.faults.TrustSingleReporter() {
				d.reject(candidate.suspicion, candidate.endpoint, tooManyInGroup)
				continue
			}
			limits.take(candidate)
		}
		d.recordEjection(candidate, now)
		ejections = append(ejections, candidate.Ejection)
	}
	return ejections
}

// recordEjection notes an ejection; a new one is an event.
func (d *outlierDetector) recordEjection(candidate *ejectionCandidate, now int64) {
	suspicion := candidate.suspicion
	if !suspicion.ejected || suspicion.ejectedUntil < now {
		d.events = append(d.events, Event{
			Kind:   EndpointEjected,
			Key:    candidate.Endpoint,
			Status: candidate.Status,
			Amount: candidate.Support,
		})
	}
	suspicion.ejected = true
	suspicion.ejectedUntil = candidate.Until
	suspicion.rejectedFor = ""
}

// reject notes why an endpoint is not ejected; each change of the reason is an
// event.
func (d *outlierDetector) reject(suspicion *suspicion, endpoint *EndpointHealth, reason rejectionReason) {
	if suspicion.rejectedFor == reason {
		return
	}
	suspicion.rejectedFor = reason
	d.events = append(d.events, Event{Kind: EjectionRejected, Key: endpoint.Name, Reason: string(reason)})
}

// groupLimits bounds what gossip may eject of one group.
type groupLimits struct {
	ejectable  int // endpoints that it may still eject
	sound      int // endpoints that are sound here and not ejected
	gossipOnly int // candidates left that nothing observed here speaks for
}

func (d *outlierDetector) groupLimits(group int, candidates []ejectionCandidate) groupLimits {
	var limits groupLimits
	ready := 0
	for i := range d.endpoints {
		endpoint := &d.endpoints[i]
		if endpoint.Group != group || !endpoint.Ready {
			continue
		}
		ready++
		if endpoint.sound() {
			limits.sound++
		}
	}
	limits.ejectable = int(math.Floor(d.cfg.MaxEjectedFraction * float64(ready)))
	for i := range candidates {
		if candidates[i].gossipOnly() {
			limits.gossipOnly++
		}
	}
	return limits
}

// allow reports whether a candidate may be ejected. Where peers report more of
// a group than may be ejected they err or are byzantine, and which report is
// true cannot be known here: then only those count that something observed
// here speaks for.
func (l *groupLimits) allow(candidate *ejectionCandidate) bool {
	if l.ejectable < 1 || l.sound < 2 {
		return false
	}
	return candidate.endpoint.Overdue || l.gossipOnly <= l.ejectable
}

// take counts a candidate that is ejected.
func (l *groupLimits) take(candidate *ejectionCandidate) {
	l.ejectable--
	l.sound--
	if candidate.gossipOnly() {
		l.gossipOnly--
	}
}

// compareCandidates orders by what speaks for an ejection: a fault observed
// here, an overdue attempt, the support.
func compareCandidates(a, b ejectionCandidate) int {
	if order := trueFirst(a.ObservedHere, b.ObservedHere); order != 0 {
		return order
	}
	if order := trueFirst(a.endpoint.Overdue, b.endpoint.Overdue); order != 0 {
		return order
	}
	return cmp.Compare(b.Support, a.Support)
}

// trueFirst compares flags so that true comes before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
