package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"lotusbend/internal/standin"
)

// EdgeDrill is a check of the edge: devices on poor links, routers that are
// killed and primaries that die, and an audit of what was recorded.
type EdgeDrill struct {
	Seed         uint64
	Devices      int
	Readings     int
	Loss         float64
	Dup          float64
	Reorder      float64
	Stall        float64
	Delay        float64
	KillRouter   int
	CrashPrimary int
	Protocol     string
	Sabotage     standin.Sabotage
	Baseline     bool
	Store        bool
	Binary       string
	Progress     io.Writer
}

// EdgeResult is what an audit found. Only what the devices heard and what the
// stand-ins recorded goes into it.
type EdgeResult struct {
	Drill            string  `json:"drill"`
	Seed             uint64  `json:"seed"`
	OK               bool    `json:"ok"`
	Sent             int     `json:"sent"`
	Recorded         int     `json:"recorded"`
	RecordedTwice    int     `json:"recorded_twice"`
	RecordedUnasked  int     `json:"recorded_unasked"`
	Acked            int     `json:"acked"`
	AckedNotRecorded int     `json:"acked_not_recorded"`
	Unanswered       int     `json:"unanswered"`
	Lost             int     `json:"lost"`
	PeakBytes        int64   `json:"peak_bytes"`
	Transmissions    uint64  `json:"transmissions"`
	KeyRepeats       int     `json:"key_repeats_dropped"`
	Aborted          int     `json:"writes_that_died"`
	RouterKills      int     `json:"router_kills"`
	PrimaryCrashes   int     `json:"primary_crashes"`
	Seconds          float64 `json:"seconds"`
}

const (
	// drillRouters is how many routers a drill has: whoever loses one goes to
	// another.
	drillRouters = 2
	// drillMost bounds a drill.
	drillMost = 52 * time.Second
	// settle lets what is under way end before the audit: a repeat that runs
	// late is a fault that must be seen.
	settle = 3 * time.Second
)

// Run plays the drill.
func (o EdgeDrill) Run(ctx context.Context) (res EdgeResult, err error) {
	res = EdgeResult{Drill: "edge", Seed: o.Seed}
	began := time.Now()
	rnd := rand.New(rand.NewPCG(o.Seed, 0xd711))
	so := standin.Defaults()
	so.Seed, so.Sabotage = o.Seed, o.Sabotage
	if o.Sabotage == standin.ForgetsKeys { // so that repeats within the window are common
		so.ResetChance = 0.2
	}
	f, err := StartFleet(FleetOptions{Binary: o.Binary, Standin: so, Routers: drillRouters, Store: o.Store && !o.Baseline, Log: o.Progress,
		Edge: `"answer_ms": 8000, "retry_max_ms": 2000, "stall_window_ms": 3000, "stall_bytes": 16, `})
	if err != nil {
		return res, err
	}
	defer f.Close()
	faults := standin.Faults{Loss: o.Loss, Duplicate: o.Dup, Reorder: o.Reorder, Stall: o.Stall, StallMs: 4000, Break: o.Loss / 20, DelayMs: o.Delay, Rebind: 0.02}
	var links []*standin.Link
	defer func() {
		for _, l := range links {
			l.Close()
		}
	}()
	addresses := map[string][]string{}
	for i, r := range f.Routers {
		targets := map[string]string{"coap": r.CoAP, "mqtt": r.MQTT, "frames": r.Frame}
		if o.Baseline {
			p, err := startPlain(ctx, r.Listen, o.Seed+uint64(i))
			if err != nil {
				return res, err
			}
			defer p.close()
			targets = map[string]string{"frames": p.address}
		}
		for _, proto := range []string{"coap", "mqtt", "frames"} { // in order: each link draws from its own seed
			target, ok := targets[proto]
			if !ok {
				continue
			}
			start := standin.StreamLink
			if proto == "coap" {
				start = standin.DatagramLink
			}
			l, err := start(target, faults, o.Seed*31+uint64(len(links)))
			if err != nil {
				return res, err
			}
			links = append(links, l)
			addresses[proto] = append(addresses[proto], l.Address)
		}
	}
	protocols := []string{"coap", "mqtt", "frames"}
	switch {
	case o.Baseline:
		protocols = []string{"frames"}
	case o.Protocol != "all":
		protocols = []string{o.Protocol}
	}
	dials := map[string]func(context.Context, *device, string) (transport, error){"coap": dialCoAP, "mqtt": dialMQTT, "frames": dialFrames}

	// Readings come for about a third of the time; the rest is for the tail.
	pace := 15 * time.Second / time.Duration(max(o.Readings, 1))
	ctx, cancel := context.WithTimeout(ctx, drillMost-settle)
	defer cancel()
	var devices []*device
	var wg sync.WaitGroup
	for n := range o.Devices {
		proto := protocols[n%len(protocols)]
		d := newDevice(fmt.Sprintf("%s-%d", proto, n), n/len(protocols), o.Readings, pace, 20+rnd.IntN(100), addresses[proto], o.Seed)
		devices = append(devices, d)
		wg.Go(func() { d.run(ctx, dials[proto]) })
	}
	o.troubles(ctx, f, rnd, &res)
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-tick.C:
			for _, r := range f.Routers {
				r.sample()
			}
			fmt.Fprintf(o.Progress, "edge drill: %.0f s, %d readings recorded\n", time.Since(began).Seconds(), len(f.Cluster.Executions()))
		}
	}
	for o.Store && time.Since(began) < drillMost && len(f.Cluster.Executions()) < o.Devices*o.Readings {
		time.Sleep(100 * time.Millisecond) // what is stored is delivered behind
	}
	time.Sleep(settle)
	for _, r := range f.Routers {
		r.sample()
		res.PeakBytes = max(res.PeakBytes, r.Peak)
	}
	audit(devices, f.Cluster.Executions(), &res)
	for _, d := range devices {
		d.mu.Lock()
		open := 0
		for _, r := range d.readings {
			if !r.Acked {
				open++
			}
		}
		d.mu.Unlock()
		if open > 0 {
			fmt.Fprintf(o.Progress, "edge drill: %s waits for %d answers; its last trouble: %v\n", d.name, open, d.trouble)
		}
	}
	res.KeyRepeats, res.Aborted = f.Cluster.Counts()
	res.Seconds = float64(time.Since(began).Milliseconds()) / 1000
	return res, nil
}

// troubles kills routers and primaries while readings come.
func (o EdgeDrill) troubles(ctx context.Context, f *Fleet, rnd *rand.Rand, res *EdgeResult) {
	wait := func(ms float64) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(ms * float64(time.Millisecond))):
			return true
		}
	}
	total := o.KillRouter + o.CrashPrimary
	for n := range total {
		if !wait(10000/float64(total) + 1000*rnd.Float64()) {
			return
		}
		if n*o.KillRouter/total < (n+1)*o.KillRouter/total { // spread among each other
			r := f.Routers[rnd.IntN(len(f.Routers))]
			fmt.Fprintf(o.Progress, "edge drill: router %s is killed\n", r.Name)
			r.Kill()
			res.RouterKills++
			away := 200 + 2000*rnd.Float64()
			if !wait(away) {
				return
			}
			if err := r.Start(); err != nil {
				fmt.Fprintln(o.Progress, "edge drill:", err)
			}
			continue
		}
		group := 1 + rnd.IntN(2)
		h := f.Cluster.Primary(group)
		if h == nil {
			continue
		}
		res.PrimaryCrashes++
		if rnd.IntN(3) == 0 {
			fmt.Fprintf(o.Progress, "edge drill: primary %s hangs\n", h.Name)
			f.Cluster.Hang(h, 500+6000*rnd.Float64())
		} else {
			fmt.Fprintf(o.Progress, "edge drill: primary %s dies\n", h.Name)
			f.Cluster.Crash(h, 4000+4000*rnd.Float64())
		}
	}
}

// audit compares what the devices know with what was recorded, by values alone.
func audit(devices []*device, log []standin.Execution, res *EdgeResult) {
	times := map[string]int{}
	rows := map[string]int{}
	for _, e := range log {
		times[e.Doc]++
		rows[e.Row]++
	}
	asked := map[string]bool{}
	for _, d := range devices {
		d.mu.Lock()
		for _, r := range d.readings {
			asked[r.Value] = true
			res.Sent++
			res.Transmissions += r.sent
			n := times[r.Value]
			if n > 0 {
				res.Recorded++
			} else {
				res.Lost++
			}
			if n > 1 {
				res.RecordedTwice++
			}
			if r.Acked {
				res.Acked++
				if n == 0 {
					res.AckedNotRecorded++
				}
			} else {
				res.Unanswered++
			}
		}
		d.mu.Unlock()
	}
	for _, e := range log {
		if !asked[e.Doc] {
			res.RecordedUnasked++
		}
	}
	res.OK = res.Sent > 0 && res.Recorded == res.Sent && res.RecordedTwice == 0 && res.RecordedUnasked == 0 && res.Acked == res.Sent && res.AckedNotRecorded == 0 &&
		res.Unanswered == 0 && len(rows) == res.Sent
}
