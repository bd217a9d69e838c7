package lab

import (
	"context"
	"time"
)

// injectFaults kills routers and fails primaries. Before each fault it waits for 10 s
// divided by the number of faults, and for up to 1 s more.
func (r *edgeRun) injectFaults(ctx context.Context) {
	total := r.KillRouter + r.CrashPrimary
	for n := range total {
		if !sleepFor(ctx, 10000/float64(total)+1000*r.rand.Float64()) {
			return
		}
		// Spread the kills of routers evenly among the faults.
		killRouter := n*r.KillRouter/total < (n+1)*r.KillRouter/total
		if !killRouter {
			r.failPrimary()
		} else if !r.restartRouter(ctx) {
			return
		}
	}
}

// restartRouter kills a random router and starts it again after 0.2 to 2.2 s. It
// returns false if ctx is done before the start.
func (r *edgeRun) restartRouter(ctx context.Context) bool {
	router := r.fleet.Routers[r.rand.IntN(len(r.fleet.Routers))]
	r.log.Info("router killed", "router", router.Name)
	router.Kill()
	r.result.RouterKills++
	downMs := 200 + 2000*r.rand.Float64()
	if !sleepFor(ctx, downMs) {
		return false
	}
	if err := router.Start(); err != nil {
		r.log.Error("router restart failed", "router", router.Name, "error", err)
	}
	return true
}

// failPrimary crashes the primary of a random group, or makes it hang. It does nothing
// if the group has no primary.
func (r *edgeRun) failPrimary() {
	cluster := r.fleet.Cluster
	primary := cluster.Primary(1 + r.rand.IntN(2))
	if primary == nil {
		return
	}
	r.result.PrimaryCrashes++
	if r.rand.IntN(3) == 0 {
		r.log.Info("primary hung", "host", primary.Name)
		cluster.Hang(primary, 500+6000*r.rand.Float64())
		return
	}
	r.log.Info("primary crashed", "host", primary.Name)
	cluster.Crash(primary, 4000+4000*r.rand.Float64())
}

// sleepFor sleeps for ms milliseconds. It returns false if ctx is done first.
func sleepFor(ctx context.Context, ms float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(ms * float64(time.Millisecond))):
		return true
	}
}
