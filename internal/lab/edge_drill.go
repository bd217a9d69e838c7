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

// EdgeDrill checks the edge: devices on poor links, routers that are killed and
// primaries that are lost, and an audit of what was recorded. Loss, Dup,
// Reorder and Stall are chances from 0 to below 1.
type EdgeDrill struct {
	Seed         uint64
	Devices      int
	Readings     int     // of each device
	Loss         float64 // of datagrams, each way
	Dup          float64 // of datagrams
	Reorder      float64 // of datagrams
	Stall        float64 // of chunks
	Delay        float64 // one way, milliseconds
	KillRouter   int     // how often
	CrashPrimary int     // how often a primary crashes or hangs
	Protocol     string  // "coap", "mqtt", "frames" or "all"
	Sabotage     standin.Sabotage
	Baseline     bool // devices use a baseline edge before the routers
	Store        bool // store and forward
	Binary       string
	Progress     io.Writer // also the routers' standard error
}

// EdgeResult is what an audit found. It derives only from the answers that the
// devices got and from what the stand-ins recorded.
type EdgeResult struct {
	Drill            string  `json:"drill"`
	Seed             uint64  `json:"seed"`
	OK               bool    `json:"ok"`
	Sent             int     `json:"sent"` // readings
	Recorded         int     `json:"recorded"`
	RecordedTwice    int     `json:"recorded_twice"`
	RecordedUnasked  int     `json:"recorded_unasked"` // values that no device sent
	Acked            int     `json:"acked"`
	AckedNotRecorded int     `json:"acked_not_recorded"`
	Unanswered       int     `json:"unanswered"`
	Lost             int     `json:"lost"`
	PeakBytes        int64   `json:"peak_bytes"` // resident, of the largest router
	Transmissions    uint64  `json:"transmissions"`
	KeyRepeats       int     `json:"key_repeats_dropped"`
	Aborted          int     `json:"writes_that_died"`
	RouterKills      int     `json:"router_kills"`
	PrimaryCrashes   int     `json:"primary_crashes"`
	Seconds          float64 `json:"seconds"`
}

const (
	// edgeRouters is the number of routers: devices of a lost one use another.
	edgeRouters = 2
	// edgeDrillTimeout bounds a drill.
	edgeDrillTimeout = 52 * time.Second
	// edgeSettleTime lets requests in flight end before the audit, which must
	// see a repeat that runs late.
	edgeSettleTime = 3 * time.Second
	// edgeReadingPeriod is over how much time the devices make their readings.
	// The rest is for those that arrive late.
	edgeReadingPeriod = 15 * time.Second
	// edgeDrillSettings are keys for short timeouts.
	edgeDrillSettings = `"answer_ms": 8000, "retry_max_ms": 2000, ` +
		`"stall_window_ms": 3000, "stall_bytes": 16, `
)

// edgeProtocols are the protocols of devices, in the order of their links: each
// link draws from a seed of its own.
var edgeProtocols = []string{"coap", "mqtt", "frames"}

// edgeRun is one run of the drill.
type edgeRun struct {
	EdgeDrill
	result    *EdgeResult
	startedAt time.Time
	rand      *rand.Rand
	log       *slog.Logger
	fleet     *Fleet
	baselines []*baselineEdge
	links     []*standin.Link
	addresses map[string][]string // of the links to each router, by protocol
	devices   []*device
}

// Run runs the drill. It ends every process that it started.
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

// start starts the routers and the links to them.
func (r *edgeRun) start(ctx context.Context) (err error) {
	cluster := standin.Defaults()
	cluster.Seed = r.Seed
	cluster.Sabotage = r.Sabotage
	if r.Sabotage == standin.ForgetsKeys { // so that repeats of a key are common
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

// link starts a link to each address of a router, by protocol.
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

// protocols are those that the devices speak.
func (r *edgeRun) protocols() []string {
	switch {
	case r.Baseline:
		return []string{"frames"}
	case r.Protocol != "all":
		return []string{r.Protocol}
	}
	return edgeProtocols
}

// runDevices lets the devices send, with faults, until they are done or the drill's
// time is over.
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

// awaitDevices samples the routers' memory until the devices are done.
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
			r.log.Info("devices send", "elapsed", time.Since(r.startedAt).Round(time.Second),
				"recorded", len(r.fleet.Cluster.Executions()))
		}
	}
}

// finish waits until all is recorded or settled, and audits it.
func (r *edgeRun) finish() {
	cluster := r.fleet.Cluster
	// Stored readings are delivered after their acknowledgement.
	for r.Store && time.Since(r.startedAt) < edgeDrillTimeout && len(cluster.Executions()) < r.Devices*r.Readings {
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
			r.log.Warn("device not done", "device", d.name, "unacknowledged", open, "last_error", d.lastErr)
		}
	}
	r.result.KeyRepeats, r.result.Aborted = cluster.WriteCounts()
	r.result.Seconds = float64(time.Since(r.startedAt).Milliseconds()) / 1000
}
