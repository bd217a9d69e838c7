package lab

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sharedRun is the state of one fleet of the drill.
type sharedRun struct {
	SharedDrill
	fleet        *memberFleet
	clients      []*loadClient // one per router
	result       *SharedResult
	log          *slog.Logger
	client       http.Client
	rand         *rand.Rand
	hungEndpoint string // name of the endpoint that hung

	mu        sync.Mutex      // also guards the members' running and pausedUntil
	ejectable map[string]bool // endpoints that may rightly be ejected
}

// start starts a fleet and its load clients, and makes one replica lag. shared returns
// the shared-state settings of a router; nil disables shared state. The caller must call
// close, also after an error.
func (o SharedDrill) start(result *SharedResult, shared func(int) string) (r *sharedRun, err error) {
	r = &sharedRun{
		SharedDrill: o,
		result:      result,
		log:         newProgress(o.Progress, "shared"),
		client:      http.Client{Timeout: adminTimeout},
		rand:        rand.New(rand.NewPCG(o.Seed, 0x5a4ed)),
		ejectable:   map[string]bool{},
	}
	r.fleet, err = startMembers(memberOptions{
		Seed:     o.Seed,
		Procs:    o.Procs,
		Binary:   o.Binary,
		Log:      o.RouterLog,
		LogLevel: "info",
		Standin:  o.standinOptions(),
		Faults:   linkFaults(o.Loss),
		Settings: o.routerSettings(),
		Shared:   shared,
	})
	if err != nil {
		return r, err
	}
	for i, m := range r.fleet.members {
		r.clients = append(r.clients, newLoadClient(i, m.router.Listen, o.Seed))
	}
	// The lag of this replica exceeds the staleness bound, so it must receive no
	// bounded read.
	lagging := r.fleet.cluster.Hosts(hangGroup)[4]
	lagging.SetLag(3000)
	r.ejectable[lagging.Name] = true
	return r, nil
}

func (r *sharedRun) close() { r.fleet.close() }

// sleep sleeps for ms milliseconds or until ctx is done.
func sleep(ctx context.Context, ms int64) { sleepFor(ctx, float64(ms)) }

// allowEjection records that routers may eject an endpoint from now on.
func (r *sharedRun) allowEjection(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ejectable[endpoint] = true
}

// awaitRequests waits until every request of the load clients has ended.
func (r *sharedRun) awaitRequests() {
	for _, client := range r.clients {
		client.wait()
	}
}

// runPhases runs the phases of a fleet with shared state. Meanwhile it polls the admin
// pages.
func (r *sharedRun) runPhases(ctx context.Context) error {
	watch, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for watch.Err() == nil {
			r.poll()
			sleep(watch, 150)
		}
	})
	defer wg.Wait()
	defer stop()
	if err := r.awaitSettledViews(ctx, 15_000); err != nil {
		return err
	}
	sleep(ctx, leaseMs+leaseSkewMs) // until leases that an earlier incarnation may have granted have expired
	if err := r.runWarmUp(ctx); err != nil {
		return err
	}
	if err := r.awaitSettledViews(ctx, 20_000); err != nil {
		return err
	}
	lost, detectMs, err := r.measureHang(ctx)
	r.result.LostSharing = lost
	r.result.DetectSharingMs = detectMs
	if err != nil {
		return err
	}
	r.log.Info("hang measured with shared state", "lost", lost, "detect_ms", int64(detectMs))
	hangEnded := time.Now()
	if err := r.awaitExactCounts(ctx); err != nil {
		return err
	}
	sleep(ctx, ejectionExpiryMs-time.Since(hangEnded).Milliseconds())
	r.countRemainingEjections()
	return ctx.Err()
}

// measureHang makes one replica hang while every router reads from its group. lost is the
// number of requests from honest routers that the replica received while it hung.
// detectMs is the mean time, over the honest routers, from the start of the hang to the
// router's last request to the replica, with 0 for a router that sent none.
func (r *sharedRun) measureHang(ctx context.Context) (lost int, detectMs float64, err error) {
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	for _, client := range r.clients {
		// As little traffic as in the deployment: a router sends each endpoint about
		// one request per second.
		client.run(traffic, hangGroup, "browse", func() float64 { return 4 })
		client.run(traffic, hangGroup, "park-view", func() float64 { return 1 })
	}
	sleep(ctx, 4000)
	host := r.fleet.cluster.Hosts(hangGroup)[1+r.rand.IntN(3)] // a replica other than the lagging one
	r.allowEjection(host.Name)
	r.hungEndpoint = host.Name
	hangStartMs := float64(time.Now().UnixMicro()) / 1e3
	r.fleet.cluster.Hang(host, hangDurationMs)
	sleep(ctx, hangDurationMs-200)
	lastMs := make([]float64, len(r.clients)) // time of each router's last request, since hangStartMs
	for _, received := range host.Received() {
		id, err := strconv.ParseUint(received.ID, 16, 64)
		router := int(id >> routerIDShift)
		if err != nil || router >= len(lastMs) || r.isByzantine(router) {
			continue
		}
		if received.Hung && received.AtMs >= hangStartMs {
			lost++
			lastMs[router] = received.AtMs - hangStartMs
		}
	}
	stop()
	r.awaitRequests()
	honest := float64(len(lastMs) - r.Liars)
	for _, ms := range lastMs {
		detectMs += ms / honest
	}
	return lost, detectMs, ctx.Err()
}
