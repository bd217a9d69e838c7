package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/membership"
	"lotusbend/internal/standin"
)

// auditBudget compares the statements that the warming endpoint received in each second
// with its budget for that second: OverloadFactor times its capacity in the middle of
// the second. A second begins at each statement. The audit starts once all routers know
// the endpoint's start from discovery. The operators' own test adds a slack of three
// square roots; this audit adds none.
// startedAtMs is in Unix milliseconds.
func (r *sharedRun) auditBudget(host *standin.Host, startedAtMs float64, opt standin.Options) {
	const overloadFactor = 2
	const windowMs = 1000
	var atMs []float64 // arrival times, relative to the start
	for _, received := range host.Received() {
		if received.AtMs >= startedAtMs+discoveryDelayMs && received.AtMs < startedAtMs+opt.WarmUpMs {
			atMs = append(atMs, received.AtMs-startedAtMs)
		}
	}
	r.result.WarmingReceived = len(atMs)
	for first, from := range atMs {
		if from+windowMs > opt.WarmUpMs {
			break
		}
		end, _ := slices.BinarySearch(atMs, from+windowMs)
		capacity := opt.StartCapacity + (1-opt.StartCapacity)*(from+windowMs/2)/opt.WarmUpMs
		budget := overloadFactor * capacity * windowMs / hostWorkMs
		r.result.BudgetOverrun = max(r.result.BudgetOverrun, float64(end-first)/budget)
	}
}

// sharedPage is the content of a router's admin page /fleet.
type sharedPage struct {
	View    membership.View
	Shared  fleetstate.StatusPage
	Classes []string
}

// errNotRunning is returned for a router that is paused or was killed.
var errNotRunning = errors.New("lab: the router is not running")

// page reads the admin page /fleet of router i.
func (r *sharedRun) page(i int) (page sharedPage, err error) {
	m := r.fleet.members[i]
	r.mu.Lock()
	runs := m.running && !m.paused()
	r.mu.Unlock()
	if !runs {
		return page, errNotRunning
	}
	response, err := r.client.Get("http://" + m.admin + "/fleet")
	if err != nil {
		return page, err
	}
	defer response.Body.Close()
	return page, json.NewDecoder(response.Body).Decode(&page)
}

// poll reads the page of every honest router and updates MaxBorrowed and WronglyEjected.
func (r *sharedRun) poll() {
	borrowed := map[string]float64{}
	for i := range r.fleet.members {
		if r.isByzantine(i) {
			continue
		}
		page, err := r.page(i)
		if err != nil {
			continue
		}
		for key, fraction := range page.Shared.Borrowed {
			borrowed[key] += fraction
		}
		r.checkEjections(page)
	}
	for key, fraction := range borrowed {
		if key != fleetstate.RetryBudgetKey {
			r.result.MaxBorrowed = max(r.result.MaxBorrowed, fraction)
		}
	}
}

// checkEjections updates WronglyEjected with the largest fraction of a group that the
// router of a page ejects without cause on the reports of others.
func (r *sharedRun) checkEjections(page sharedPage) {
	wrong := map[string]bool{}
	r.mu.Lock()
	for _, ejection := range page.Shared.Ejections {
		if !ejection.ObservedHere && !r.ejectable[ejection.Endpoint] {
			wrong[ejection.Endpoint] = true
		}
	}
	r.mu.Unlock()
	for group := hangGroup; group <= warmGroup; group++ {
		hosts := r.fleet.cluster.Hosts(group)
		ejected := 0
		for _, host := range hosts {
			if wrong[host.Name] {
				ejected++
			}
		}
		r.result.WronglyEjected = max(r.result.WronglyEjected, float64(ejected)/float64(len(hosts)))
	}
}

// countRemainingEjections counts the honest routers that still eject, on the reports of
// others, the endpoint that hung.
func (r *sharedRun) countRemainingEjections() {
	for i := range r.fleet.members {
		page, err := r.page(i)
		if err != nil || r.isByzantine(i) {
			continue
		}
		for _, ejection := range page.Shared.Ejections {
			if !ejection.ObservedHere && ejection.Endpoint == r.hungEndpoint {
				r.result.RemainingEjections++
				break
			}
		}
	}
}

// awaitSettledViews waits until every router sees every other. If that takes more than
// boundMs it adds a violation to the result and returns nil. It returns an error only if
// ctx is done.
func (r *sharedRun) awaitSettledViews(ctx context.Context, boundMs int64) error {
	end := time.Now().Add(time.Duration(boundMs) * time.Millisecond)
	for ; ctx.Err() == nil; sleep(ctx, 200) {
		unsettled := r.unsettledViews()
		if unsettled == "" {
			return nil
		}
		if time.Now().After(end) {
			r.result.Violations = append(r.result.Violations, "the views did not settle in time:"+unsettled)
			return nil
		}
	}
	return ctx.Err()
}

// unsettledViews describes the routers that do not see every other router; "" if there is none.
func (r *sharedRun) unsettledViews() string {
	unsettled := ""
	for i := range r.fleet.members {
		page, err := r.page(i)
		if err != nil {
			unsettled += fmt.Sprintf(" m%d: %v;", i+1, err)
		} else if seen := page.View.Fleet.High; seen != len(r.fleet.members) {
			unsettled += fmt.Sprintf(" m%d sees %d;", i+1, seen)
		}
	}
	return unsettled
}

// awaitExactCounts waits until every router's total equals what the endpoints counted,
// for about 25 s at most. No request may be sent meanwhile. It then adds the stale reads
// and the clients' counts to the result and closes the clients.
func (r *sharedRun) awaitExactCounts(ctx context.Context) error {
	const boundMs = 25_000
	from := time.Now()
	for ; ctx.Err() == nil; sleep(ctx, 200) {
		counted := r.countReceived()
		least, largest := r.totals()
		r.result.HostsCounted = counted
		r.result.MinTotal = least
		r.result.MaxTotal = largest
		r.result.CountsSettleMs = time.Since(from).Milliseconds()
		r.result.CountsExact = least == counted && largest == counted
		if r.result.CountsExact || r.result.CountsSettleMs > boundMs {
			break
		}
	}
	r.result.StaleReads = r.fleet.cluster.StaleReads()
	for _, client := range r.clients {
		r.result.Served += client.served.Load()
		client.close()
	}
	return ctx.Err()
}

// countReceived returns how many statements all endpoints have received.
func (r *sharedRun) countReceived() (count uint64) {
	for group := hangGroup; group <= warmGroup; group++ {
		for _, host := range r.fleet.cluster.Hosts(group) {
			count += uint64(len(host.Received()))
		}
	}
	return count
}

// totals returns the smallest and the largest total of attempts, over all classes, on the
// routers' pages. It leaves out routers whose page cannot be read.
func (r *sharedRun) totals() (least, largest uint64) {
	least = math.MaxUint64
	for i := range r.fleet.members {
		page, err := r.page(i)
		if err != nil {
			continue
		}
		total := uint64(0)
		for class := range page.Classes {
			total += page.Shared.Totals.Get(class, fleetstate.Attempts)
		}
		least = min(least, total)
		largest = max(largest, total)
	}
	return least, largest
}
