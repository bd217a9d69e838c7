package fleetstate

import (
	"cmp"
	"math"
	"slices"
)

// rejectionReason states why an ejection was rejected. It appears in the log.
type rejectionReason string

const (
	tooFewReporters  rejectionReason = "too few reporters"
	notAttemptedHere rejectionReason = "not attempted here"
	tooManyInGroup   rejectionReason = "too many endpoints of the group"
)

// Ejection deprioritizes an endpoint until a point in time. If this router
// observed a fault too, the ejection only defers the circuit breaker's next trial.
type Ejection struct {
	Endpoint     string
	Status       HealthStatus // the reported fault
	Until        int64        // ms
	Support      float64      // reputations of peers that report a fault, minus those of peers answered since
	ObservedHere bool         // this router observed a fault too
}

// ejectionCandidate is an ejection with enough support, before the limits of its
// replica group are applied.
type ejectionCandidate struct {
	Ejection
	suspicion *suspicion
	endpoint  *EndpointHealth
}

// gossipOnly reports whether no observation of this router supports the ejection.
func (c *ejectionCandidate) gossipOnly() bool { return !c.ObservedHere && !c.endpoint.Overdue }

// eject returns the ejections in force, which are the endpoints that the router
// should select last. Whatever peers send, these limits hold:
//
//   - Gossip ejects at most MaxEjectedFraction of a group's ready endpoints, and
//     never the last one that is healthy as observed here.
//   - Gossip alone ejects for at most GossipEjectionMs before this router must
//     try the endpoint itself. The time restarts if the support was too low in
//     between.
//   - An answer of the endpoint ends its ejection. Without renewal the ejection
//     ends after EjectionMs.
//   - Gossip only ejects: no message of a peer readmits an endpoint, or raises the
//     fleet's total rate of requests to a warming one.
func (d *outlierDetector) eject(now int64) (ejections []Ejection) {
	d.expire(now)
	candidates := map[int][]ejectionCandidate{}
	var groups []int // ordered by first candidate
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

// candidate evaluates the reports on one endpoint and returns whether it should
// be ejected, subject to the limits of its group.
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

// requirement is the least support and number of reporters for an ejection.
type requirement struct {
	support   float64
	reporters int
}

// metBy reports whether an onset satisfies the requirement.
func (r requirement) metBy(found onset) bool {
	return found.reporters >= r.reporters && found.support >= r.support
}

// requirementFor returns the requirement for ejecting an endpoint. It is lower if
// an observation of this router supports the ejection or if it renews one.
func (d *outlierDetector) requirementFor(
	endpoint *EndpointHealth, suspicion *suspicion, now int64,
) requirement {
	switch {
	case d.faults.TrustSingleReporter():
		return requirement{support: 0.01, reporters: 1}
	case endpoint.faultObserved() || endpoint.Overdue:
		// This router's own observation counts as one of two reporters.
		return requirement{support: 0.5, reporters: 1}
	case suspicion.ejected && now < suspicion.ejectedUntil+d.cfg.EjectionMs:
		// One reporter with a reputation of at least 0.75 renews an ejection.
		return requirement{support: 0.75, reporters: 1}
	}
	return requirement{support: d.cfg.RequiredSupport, reporters: 2}
}

// ejectionEnd returns the end of the ejection of an endpoint with enough support,
// in ms, and whether to eject it at all.
func (d *outlierDetector) ejectionEnd(
	endpoint *EndpointHealth, suspicion *suspicion, found onset, now int64,
) (until int64, ok bool) {
	until = now + d.cfg.EjectionMs
	switch {
	case !endpoint.Ready:
		return 0, false
	case endpoint.Primary: // no other endpoint can take its writes and fresh reads
		return 0, false
	case endpoint.faultObserved():
		// The circuit breaker is open. Newer evidence of peers defers its next
		// trial, by a limited time.
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

// ejectFromGroup ejects candidates of one group, starting with those that an
// observation of this router supports. The group's limits do not apply to a
// candidate with a fault observed here, whose circuit breaker is open anyway.
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
			limits.deduct(candidate)
		}
		d.recordEjection(candidate, now)
		ejections = append(ejections, candidate.Ejection)
	}
	return ejections
}

// recordEjection records an ejection and, unless it renews one, adds an event.
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

// reject records why an endpoint is not ejected. It adds an event only when the
// reason changes.
func (d *outlierDetector) reject(suspicion *suspicion, endpoint *EndpointHealth, reason rejectionReason) {
	if suspicion.rejectedFor == reason {
		return
	}
	suspicion.rejectedFor = reason
	d.events = append(d.events, Event{Kind: EjectionRejected, Key: endpoint.Name, Reason: string(reason)})
}

// groupLimits limits which endpoints of one group gossip may eject.
type groupLimits struct {
	ejectable  int // number of endpoints that gossip may still eject
	healthy    int // number of endpoints without a fault observed here and not ejected
	gossipOnly int // number of remaining candidates that rest on gossip alone
}

// groupLimits returns the limits of a group before any candidate is ejected.
func (d *outlierDetector) groupLimits(group int, candidates []ejectionCandidate) groupLimits {
	var limits groupLimits
	ready := 0
	for i := range d.endpoints {
		endpoint := &d.endpoints[i]
		if endpoint.Group != group || !endpoint.Ready {
			continue
		}
		ready++
		if endpoint.healthy() {
			limits.healthy++
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

// allow reports whether a candidate may be ejected. If peers report faults of
// more endpoints than may be ejected, some reports are wrong or byzantine and
// this router cannot tell which. Then it ejects only endpoints that one of its
// own observations supports.
func (l *groupLimits) allow(candidate *ejectionCandidate) bool {
	if l.ejectable < 1 || l.healthy < 2 {
		return false
	}
	return candidate.endpoint.Overdue || l.gossipOnly <= l.ejectable
}

// deduct subtracts an ejected candidate from the limits.
func (l *groupLimits) deduct(candidate *ejectionCandidate) {
	l.ejectable--
	l.healthy--
	if candidate.gossipOnly() {
		l.gossipOnly--
	}
}

// compareCandidates orders candidates with a fault observed here first, then
// those with an overdue attempt, then by descending support.
func compareCandidates(a, b ejectionCandidate) int {
	if order := compareTrueFirst(a.ObservedHere, b.ObservedHere); order != 0 {
		return order
	}
	if order := compareTrueFirst(a.endpoint.Overdue, b.endpoint.Overdue); order != 0 {
		return order
	}
	return cmp.Compare(b.Support, a.Support)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
