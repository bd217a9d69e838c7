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

// budget holds what the cold host received, in every second since all were
// told of its start, against what the rules allow it then: OverloadFactor
// times its capacity at that moment, without the slack of three roots that the
// operators' standing test adds.
func (r *sharedRun) budget(h *standin.Host, since float64, so standin.Options) {
	var at []float64
	for _, x := range h.Received() {
		if x.At >= since+toldMs && x.At < since+so.WarmUp {
			at = append(at, x.At-since)
		}
	}
	r.res.ColdReceived = len(at)
	for i, t := range at {
		k, _ := slices.BinarySearch(at, t+1000)
		if t+1000 > so.WarmUp {
			break
		}
		warm := so.StartCapacity + (1-so.StartCapacity)*(t+500)/so.WarmUp
		n := 2 * warm * 1000 / coldWork
		r.res.BudgetOverrun = max(r.res.BudgetOverrun, float64(k-i)/n)
	}
}

// sharedPage is what the admin page tells.
type sharedPage struct {
	View    membership.View
	Shared  fleetstate.StatusPage
	Classes []string
}

func (r *sharedRun) page(i int) (p sharedPage, err error) {
	r.mu.Lock()
	m := r.f.ms[i]
	away := !m.running || m.paused()
	r.mu.Unlock()
	if away {
		return p, errAway
	}
	resp, err := r.client.Get("http://" + m.admin + "/fleet")
	if err != nil {
		return p, err
	}
	defer resp.Body.Close()
	return p, json.NewDecoder(resp.Body).Decode(&p)
}

var errAway = errors.New("lab: the router does not run")

// poll reads every honest router's page: how much is borrowed, and which hosts
// are wrongly passed over.
func (r *sharedRun) poll() {
	borrowed := map[string]float64{}
	groups := map[string]int{}
	ready := map[int]int{}
	for g := coldGroup; g >= hangGroup; g-- {
		for _, h := range r.f.cluster.Hosts(g) {
			groups[h.Name] = g
			ready[g]++
		}
	}
	for i := range r.f.ms {
		if r.o.liar(i) {
			continue
		}
		p, err := r.page(i)
		if err != nil {
			continue
		}
		for k, v := range p.Shared.Borrowed {
			borrowed[k] += v
		}
		wrong := map[int]int{}
		r.mu.Lock()
		for _, j := range p.Shared.Ejections {
			if !j.ObservedHere && !r.excuse[j.Endpoint] {
				wrong[groups[j.Endpoint]]++
			}
		}
		r.mu.Unlock()
		for g, k := range wrong {
			r.res.WronglyExcluded = max(r.res.WronglyExcluded, float64(k)/float64(ready[g]))
		}
	}
	for k, v := range borrowed {
		if k != fleetstate.RetryBudgetKey {
			r.res.BorrowedMost = max(r.res.BorrowedMost, v)
		}
	}
}

// settled waits until every router sees every other.
func (r *sharedRun) settled(ctx context.Context, most int64) error {
	for end := time.Now().Add(time.Duration(most) * time.Millisecond); ctx.Err() == nil; sleep(ctx, 200) {
		why := ""
		for i := range r.f.ms {
			if p, err := r.page(i); err != nil {
				why += fmt.Sprintf(" m%d: %v;", i+1, err)
			} else if n := p.View.Fleet.High; n != len(r.f.ms) {
				why += fmt.Sprintf(" m%d sees %d;", i+1, n)
			}
		}
		if why == "" {
			return nil
		}
		if time.Now().After(end) {
			r.res.Faults = append(r.res.Faults, "the views did not settle:"+why)
			return nil
		}
	}
	return ctx.Err()
}

// counts waits, once nothing more is asked, until every router's total is what
// the hosts counted, or long enough to say that it never will be.
func (r *sharedRun) counts(ctx context.Context) error {
	from := time.Now()
	for ctx.Err() == nil {
		r.res.HostsCounted = 0
		for g := hangGroup; g <= coldGroup; g++ {
			for _, h := range r.f.cluster.Hosts(g) {
				r.res.HostsCounted += uint64(len(h.Received()))
			}
		}
		r.res.TotalsLeast, r.res.TotalsMost = math.MaxUint64, 0
		for i := range r.f.ms {
			p, err := r.page(i)
			if err != nil {
				continue
			}
			t := uint64(0)
			for c := range p.Classes {
				t += p.Shared.Totals.Get(c, fleetstate.Attempts)
			}
			r.res.TotalsLeast, r.res.TotalsMost = min(r.res.TotalsLeast, t), max(r.res.TotalsMost, t)
		}
		r.res.CountsSettleMs = time.Since(from).Milliseconds()
		if r.res.TotalsLeast == r.res.HostsCounted && r.res.TotalsMost == r.res.HostsCounted {
			r.res.CountsExact = true
			break
		}
		if r.res.CountsSettleMs > 25_000 {
			break
		}
		sleep(ctx, 200)
	}
	r.res.StaleReads = r.f.cluster.StaleReads()
	for _, a := range r.askers {
		r.res.Served += a.Served.Load()
		a.close()
	}
	return ctx.Err()
}
