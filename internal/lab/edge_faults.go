package lab

import (
	"context"
	"time"
)

// injectFaults kills routers and loses primaries while devices send.
func (r *edgeRun) injectFaults(ctx context.Context) {
	total := r.KillRouter + r.CrashPrimary
	for n := range total {
		if !sleepFor(ctx, 10000/float64(total)+1000*r.rand.Float64()) {
			return
		}
		// Kills of routers are spread evenly among the faults.
		killRouter := n*r.KillRouter/total < (n+1)*r.KillRouter/total
		if !killRouter {
			r.failPrimary()
		} else if !r.restartRouter(ctx) {
			return
		}
	}
}

// restartRouter kills a router and starts it again. It reports false if ctx
// ended before the start.
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
		r.log.Error("router not restarted", "router", router.Name, "error", err)
	}
	return true
}

// failPrimary crashes or hangs the primary of a group, unless it has none.
func (r *edgeRun) failPrimary() {
	cluster := r.fleet.Cluster
	primary := cluster.Primary(1 + r.rand.IntN(2))
	if primary == nil {
		return
	}
	r.result.PrimaryCrashes++
	if r.rand.IntN(3) == 0 {
		r.log.Info("primary hangs", "host", primary.Name)
		cluster.Hang(primary, 500+6000*r.rand.Float64())
		return
	}
	r.log.Info("primary crashes", "host", primary.Name)
	cluster.Crash(primary, 4000+4000*r.rand.Float64())
}

// sleepFor sleeps for some milliseconds. It reports false if ctx ended first.
func sleepFor(ctx context.Context, ms float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(ms * float64(time.Millisecond))):
		return true
	}
}
