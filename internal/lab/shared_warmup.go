package lab

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"lotusbend/internal/fleetstate"
)

// warmUpPhase is the state of the phase in which an endpoint warms up.
type warmUpPhase struct {
	*sharedRun
	phaseStartedAt time.Time
	demandStarted  atomic.Bool   // clients send requests for the warming endpoint
	silent         []atomic.Bool // by router: its clients send no requests
}

// runWarmUp cuts the fleet and restarts an endpoint during the cut. About half of the
// routers always have demand for the endpoint, together more than its whole budget. The
// others have demand intermittently and lend their share while they have none. Meanwhile
// routers are paused past their leases and killed.
func (r *sharedRun) runWarmUp(ctx context.Context) error {
	p := &warmUpPhase{sharedRun: r, phaseStartedAt: time.Now(), silent: make([]atomic.Bool, len(r.clients))}
	cluster := r.fleet.cluster
	host := cluster.Hosts(warmGroup)[0]
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	p.startTraffic(traffic)
	sleep(ctx, 1500)
	cluster.Crash(host, 1000)
	cut := r.fleet.cut(r.Cut)
	if cut != nil {
		r.fleet.relay.Cut(cut)
		r.log.Info("links cut", "cut", r.Cut)
	}
	sleep(ctx, 1000+discoveryDelayMs)
	p.demandStarted.Store(true)
	startedAtMs := host.StartedAtMs()
	paused, killed := p.drawRouters()
	sleep(ctx, 2500)
	p.pause(ctx, paused)
	p.setSilent(killed, true)
	sleep(ctx, leaseMs+leaseSkewMs)
	p.resume(paused)
	if err := p.restart(ctx, killed); err != nil {
		return err
	}
	opt := r.standinOptions()
	sleep(ctx, int64(startedAtMs+opt.WarmUpMs-float64(time.Now().UnixMilli())))
	r.auditBudget(host, startedAtMs, opt)
	r.log.Info("endpoint warm-up ended", "received", r.result.WarmingReceived,
		"budget_overrun", r.result.BudgetOverrun)
	if cut != nil {
		sleep(ctx, r.CutMs-time.Since(p.phaseStartedAt).Milliseconds())
		r.fleet.relay.Cut(nil)
	}
	stop()
	r.awaitRequests()
	return ctx.Err()
}

// startTraffic makes the routers' clients send requests until ctx is done.
func (p *warmUpPhase) startTraffic(ctx context.Context) {
	for i, client := range p.clients {
		background := func() float64 {
			if p.silent[i].Load() {
				return 0
			}
			return 4
		}
		client.run(ctx, hangGroup, "browse", background)
		client.run(ctx, hangGroup, "park-view", background)
		client.run(ctx, warmGroup, "invoice-check", func() float64 {
			if p.silent[i].Load() || !p.demandStarted.Load() || p.isIdle(i) {
				return 0
			}
			return warmUpRequestsPerSecond / float64(len(p.clients))
		})
	}
}

// isIdle reports whether a router has no demand at present. Routers with index 2, 3, 6, 7
// and so on have none in every other period of two seconds; the rest always have demand.
func (p *warmUpPhase) isIdle(router int) bool {
	return (router/2)%2 == 1 && int(time.Since(p.phaseStartedAt).Seconds()/2)%2 == 0
}

// drawRouters draws the routers to pause and to kill. It spares the first router, the
// seed node of the others.
func (p *warmUpPhase) drawRouters() (paused, killed []int) {
	order := p.rand.Perm(len(p.clients) - 1)
	for i := range order {
		order[i]++
	}
	pause := min(p.Pause, len(order))
	paused = order[:pause]
	order = order[pause:]
	killed = order[:min(p.Kill, len(order))]
	return paused, killed
}

func (p *warmUpPhase) setSilent(routers []int, silent bool) {
	for _, i := range routers {
		p.silent[i].Store(silent)
	}
}

// pause stops the processes of routers. It first stops their traffic for 500 ms so that no
// request is on its way to an endpoint: after a pause a router cannot know whether such
// a request was sent. Requests that clients send during the pause wait until the router
// resumes and reads them.
func (p *warmUpPhase) pause(ctx context.Context, routers []int) {
	p.setSilent(routers, true)
	sleep(ctx, 500)
	for _, i := range routers {
		m := p.fleet.members[i]
		m.router.signal(syscall.SIGSTOP)
		p.setPausedUntil(m, time.Now().Add(time.Hour))
		p.silent[i].Store(false)
	}
	p.log.Info("routers paused", "routers", len(routers))
}

func (p *warmUpPhase) resume(routers []int) {
	for _, i := range routers {
		m := p.fleet.members[i]
		p.setPausedUntil(m, time.Time{})
		m.router.signal(syscall.SIGCONT)
	}
}

func (p *warmUpPhase) setPausedUntil(m *member, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.pausedUntil = until
}

func (p *warmUpPhase) setRunning(m *member, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.running = running
}

// restart waits until other routers have the counters of the given ones, kills these, and
// restarts them without their state.
func (p *warmUpPhase) restart(ctx context.Context, routers []int) error {
	for _, i := range routers {
		if !p.countersReplicated(ctx, i) {
			p.result.Violations = append(p.result.Violations,
				fmt.Sprintf("m%d did not replicate its counters to another router within 10 s", i+1))
		}
		m := p.fleet.members[i]
		p.setRunning(m, false)
		m.router.Kill()
	}
	sleep(ctx, 1000)
	for _, i := range routers {
		m := p.fleet.members[i]
		if err := m.router.Start(); err != nil {
			return err
		}
		if err := m.router.waitReady(); err != nil {
			return err
		}
		p.setRunning(m, true)
		p.silent[i].Store(false)
	}
	p.log.Info("routers killed and restarted", "routers", len(routers))
	return nil
}

// countersReplicated waits up to 10 s until another router has all counters of router i.
// Counters that no other router has are lost with its process.
func (r *sharedRun) countersReplicated(ctx context.Context, i int) bool {
	end := time.Now().Add(10 * time.Second)
	for ; ctx.Err() == nil && time.Now().Before(end); sleep(ctx, 100) {
		own, err := r.page(i)
		if err != nil {
			continue
		}
		if r.otherRouterHas(i, own.Shared.Counters[0]) { // the first entry is its own
			return true
		}
	}
	return false
}

// otherRouterHas reports whether a router other than router i has these counters.
func (r *sharedRun) otherRouterHas(i int, want fleetstate.CounterEntry) bool {
	for other := range r.fleet.members {
		page, err := r.page(other)
		if err != nil || other == i {
			continue
		}
		for _, has := range page.Shared.Counters {
			if has.Name == want.Name && has.Epoch == want.Epoch && slices.Equal(has.Counters, want.Counters) {
				return true
			}
		}
	}
	return false
}
