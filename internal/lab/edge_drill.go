package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"lotusbend/internal/standin"
)

// EdgeDrill tests the edge: devices send readings over lossy links while routers
// are killed and primaries fail, and an audit then checks that each reading was
// recorded exactly once. Loss, Dup, Reorder and Stall are probabilities from 0 to
// below 1.
type EdgeDrill struct {
	Seed         uint64
	Devices      int
	Readings     int     // per device
	Loss         float64 // of datagrams, in each direction; TCP chunks are late instead
	Dup          float64 // of datagrams
	Reorder      float64 // of datagrams
	Stall        float64 // of chunks and datagrams
	Delay        float64 // least one-way delay, milliseconds; up to as much again is added at random
	KillRouter   int     // number of times a router is killed and restarted
	CrashPrimary int     // number of times a primary crashes or hangs
	Protocol     string  // "coap", "mqtt", "frames" or "all"; Baseline implies "frames"
	Sabotage     standin.Sabotage
	Baseline     bool      // devices send frames to a baseline edge in front of each router
	Store        bool      // enables store and forward, unless Baseline is set
	Binary       string    // path of the router program
	Progress     io.Writer // receives the progress log and the routers' standard error; nil to discard both
}

// EdgeResult is the result of the drill. The audit derives OK and the counts of readings
// only from the answers that the devices received and from what the stand-ins recorded.
type EdgeResult struct {
	Drill            string  `json:"drill"`
	Seed             uint64  `json:"seed"`
	OK               bool    `json:"ok"`
	Sent             int     `json:"sent"`                // all readings of the devices
	Recorded         int     `json:"recorded"`            // readings recorded at least once
	RecordedTwice    int     `json:"recorded_twice"`      // readings recorded more than once
	RecordedUnasked  int     `json:"recorded_unasked"`    // executed writes of values that no device has
	Acked            int     `json:"acked"`               // acknowledged readings
	AckedNotRecorded int     `json:"acked_not_recorded"`  // acknowledged readings that were not recorded
	Unanswered       int     `json:"unanswered"`          // readings that were not acknowledged
	Lost             int     `json:"lost"`                // readings that were not recorded
	PeakBytes        int64   `json:"peak_bytes"`          // largest resident memory of a router
	Transmissions    uint64  `json:"transmissions"`       // times that a reading may have reached a router
	KeyRepeats       int     `json:"key_repeats_dropped"` // writes not executed because their key was known
	Aborted          int     `json:"writes_that_died"`    // writes lost with their primary
	RouterKills      int     `json:"router_kills"`
	PrimaryCrashes   int     `json:"primary_crashes"` // crashes and hangs of a primary
	Seconds          float64 `json:"seconds"`         // duration of the drill
}

const (
	// edgeRouters is the number of routers. With two, devices of a killed router
	// can use the other one.
	edgeRouters = 2
	// edgeDrillTimeout limits the time from the start of the drill during which it
	// waits for stored readings. The devices run for at most edgeSettleTime less.
	edgeDrillTimeout = 52 * time.Second
	// edgeSettleTime is the wait before the audit for requests in flight. The audit
	// must see a duplicate that is executed late.
	edgeSettleTime = 3 * time.Second
	// edgeReadingPeriod is the period over which the devices make their readings.
	// The remaining time of the drill is for readings that arrive late.
	edgeReadingPeriod = 15 * time.Second
	// edgeDrillSettings are edge keys that set short timeouts.
	edgeDrillSettings = `"answer_ms": 8000, "retry_max_ms": 2000, ` +
		`"stall_window_ms": 3000, "stall_bytes": 16, `
)

// edgeProtocols are the device protocols, in the order in which their links start:
// the seed of a link depends on its position.
var edgeProtocols = []string{"coap", "mqtt", "frames"}

// edgeRun is the state of one run of the drill.
type edgeRun struct {
	EdgeDrill
	result    *EdgeResult
	startedAt time.Time
	rand      *rand.Rand
	log       *slog.Logger
	fleet     *Fleet
	baselines []*baselineEdge
	links     []*standin.Link
	addresses map[string][]string // of the links, one per router, by protocol
	devices   []*device
}

// Run runs the drill. It stops every process that it started before it returns.
func (o EdgeDrill) Run(ctx context.Context) (result EdgeResult, err error) {
	result = EdgeResult{Drill: "edge", Seed: o.Seed}
	run := &edgeRun{
		EdgeDrill: o,
		result:    &result,
		startedAt: time.Now(),
		rand:      rand.New(rand.NewPCG(o.Seed, 0xd711)),
		log:       newProgress(o.Progress, "edge"),
		addresses: map[string][]string{},
	}
	defer run.close()
	if err := run.start(ctx); err != nil {
		return result, err
	}
	run.runDevices(ctx)
	run.finish()
	return result, nil
}

// start starts the routers, the baseline edges if wanted, and the links to them.
func (r *edgeRun) start(ctx context.Context) (err error) {
	cluster := standin.Defaults()
	cluster.Seed = r.Seed
	cluster.Sabotage = r.Sabotage
	if r.Sabotage == standin.ForgetsKeys { // make retries with the same key common
		cluster.ResetChance = 0.2
	}
	r.fleet, err = StartFleet(FleetOptions{
		Binary:   r.Binary,
		Standin:  cluster,
		Routers:  edgeRouters,
		Store:    r.Store && !r.Baseline,
		Log:      r.Progress,
		EdgeKeys: edgeDrillSettings,
	})
	if err != nil {
		return err
	}
	for i, router := range r.fleet.Routers {
		targets := router.edgeAddresses()
		if r.Baseline {
			baseline, err := startBaselineEdge(ctx, router.Listen, r.Seed+uint64(i))
			if err != nil {
				return err
			}
			r.baselines = append(r.baselines, baseline)
			targets = map[string]string{"frames": baseline.address}
		}
		if err := r.link(targets); err != nil {
			return err
		}
	}
	return nil
}

// link starts a link to each of a router's addresses, given by protocol. A chunk on a TCP
// link breaks the connection with a twentieth of the probability of loss.
func (r *edgeRun) link(targets map[string]string) error {
	faults := standin.Faults{
		Loss:      r.Loss,
		Duplicate: r.Dup,
		Reorder:   r.Reorder,
		Stall:     r.Stall,
		StallMs:   4000,
		Break:     r.Loss / 20,
		DelayMs:   r.Delay,
		Rebind:    0.02,
	}
	for _, protocol := range edgeProtocols {
		target, ok := targets[protocol]
		if !ok {
			continue
		}
		start := standin.StartStreamLink
		if protocol == "coap" {
			start = standin.StartDatagramLink
		}
		link, err := start(target, faults, r.Seed*31+uint64(len(r.links)))
		if err != nil {
			return err
		}
		r.links = append(r.links, link)
		r.addresses[protocol] = append(r.addresses[protocol], link.Address)
	}
	return nil
}

func (r *edgeRun) close() {
	for _, link := range r.links {
		link.Close()
	}
	for _, baseline := range r.baselines {
		baseline.close()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
}

// protocols returns the protocols that the devices use.
func (r *edgeRun) protocols() []string {
	switch {
	case r.Baseline:
		return []string{"frames"}
	case r.Protocol != "all":
		return []string{r.Protocol}
	}
	return edgeProtocols
}

// runDevices runs the devices and injects faults. It returns when the devices are done or
// have run for edgeDrillTimeout-edgeSettleTime.
func (r *edgeRun) runDevices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, edgeDrillTimeout-edgeSettleTime)
	defer cancel()
	protocols := r.protocols()
	var wg sync.WaitGroup
	for n := range r.Devices {
		protocol := protocols[n%len(protocols)]
		d := newDevice(deviceOptions{
			name:      fmt.Sprintf("%s-%d", protocol, n),
			number:    n / len(protocols),
			readings:  r.Readings,
			interval:  edgeReadingPeriod / time.Duration(max(r.Readings, 1)),
			valueSize: 20 + r.rand.IntN(100),
			addresses: r.addresses[protocol],
			seed:      r.Seed,
		})
		r.devices = append(r.devices, d)
		wg.Go(func() { d.run(ctx, dialFuncs[protocol]) })
	}
	r.injectFaults(ctx)
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	r.awaitDevices(done)
}

// awaitDevices waits until done is closed. Meanwhile it samples the routers' memory and
// logs the progress every 2 s.
func (r *edgeRun) awaitDevices(done <-chan struct{}) {
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			for _, router := range r.fleet.Routers {
				router.samplePeakMemory()
			}
			r.log.Info("devices sending", "elapsed", time.Since(r.startedAt).Round(time.Second),
				"recorded", len(r.fleet.Cluster.Executions()))
		}
	}
}

// finish waits until stored readings are delivered and requests in flight have ended,
// and then audits the run.
func (r *edgeRun) finish() {
	cluster := r.fleet.Cluster
	// With store and forward, readings are delivered after their acknowledgement.
	for r.Store && time.Since(r.startedAt) < edgeDrillTimeout &&
		len(cluster.Executions()) < r.Devices*r.Readings {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(edgeSettleTime)
	for _, router := range r.fleet.Routers {
		router.samplePeakMemory()
		r.result.PeakBytes = max(r.result.PeakBytes, router.PeakResidentBytes)
	}
	auditEdge(r.devices, cluster.Executions(), r.result)
	for _, d := range r.devices {
		if open := d.unacknowledged(); open > 0 {
			r.log.Warn("device has unacknowledged readings",
				"device", d.name, "unacknowledged", open, "last_error", d.lastErr)
		}
	}
	r.result.KeyRepeats, r.result.Aborted = cluster.WriteCounts()
	r.result.Seconds = float64(time.Since(r.startedAt).Milliseconds()) / 1000
}
