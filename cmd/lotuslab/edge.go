package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"lotusbend/internal/lab"
	"lotusbend/internal/standin"
)

// edgeCmd is the command "drill edge".
type edgeCmd struct {
	Seed         uint64  `help:"Seed of all random draws." default:"1"`
	Devices      int     `help:"Number of devices." default:"36"`
	Readings     int     `help:"Number of readings that each device sends." default:"20"`
	Loss         float64 `help:"Probability that a datagram is lost, each way." default:"0.2"`
	Dup          float64 `help:"Probability that a datagram is duplicated." default:"0.1"`
	Reorder      float64 `help:"Probability that a datagram is overtaken by a later one." default:"0.1"`
	Stall        float64 `help:"Probability that a chunk of a stream stops half way." default:"0.02"`
	Delay        float64 `help:"Delay one way in ms, plus a random part of up to as much." default:"20"`
	KillRouter   int     `help:"Number of times that a router is killed." default:"2"`
	CrashPrimary int     `help:"Number of times that a primary crashes or hangs." default:"2"`
	Protocol     string  `help:"Protocol of the devices." enum:"coap,mqtt,frames,all" default:"all"`
	Sabotage     string  `help:"Stand-ins' fault; the drill must fail." enum:"${edge_sabotage}" default:""`
	Baseline     bool    `help:"Use a baseline edge instead of the router's, over frames."`
	Store        bool    `help:"Store and forward on each router's disk."`
	JSON         bool    `help:"No effect: standard output holds only the JSON object." name:"json"`
	Router       string  `help:"Path of lotusbend; default: in this program's directory." type:"path"`
}

// check returns an error if a flag is out of range.
func (c *edgeCmd) check() error {
	if c.Devices < 1 || c.Devices > 2000 || c.Readings < 1 || c.Readings > 1000 {
		return errors.New("devices must be from 1 to 2000, readings from 1 to 1000")
	}
	chances := map[string]float64{"loss": c.Loss, "dup": c.Dup, "reorder": c.Reorder, "stall": c.Stall}
	for name, chance := range chances {
		if !(chance >= 0 && chance < 1) { // rejects NaN, too
			return fmt.Errorf("%s must be from 0 to below 1, not %v", name, chance)
		}
	}
	delayInBounds := c.Delay >= 0 && c.Delay <= 1000
	if c.KillRouter < 0 || c.CrashPrimary < 0 || c.KillRouter+c.CrashPrimary > 20 || !delayInBounds {
		return errors.New("kill-router plus crash-primary must be from 0 to 20, delay from 0 to 1000 ms")
	}
	return nil
}

// Run runs the drill and prints its result. It returns errFault if the audit
// found a fault.
func (c *edgeCmd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	drill := lab.EdgeDrill{
		Seed:         c.Seed,
		Devices:      c.Devices,
		Readings:     c.Readings,
		Loss:         c.Loss,
		Dup:          c.Dup,
		Reorder:      c.Reorder,
		Stall:        c.Stall,
		Delay:        c.Delay,
		KillRouter:   c.KillRouter,
		CrashPrimary: c.CrashPrimary,
		Protocol:     c.Protocol,
		Sabotage:     standin.Sabotage(c.Sabotage),
		Baseline:     c.Baseline,
		Store:        c.Store,
		Binary:       binary,
		Progress:     os.Stderr,
	}
	result, err := drill.Run(ctx)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errors.New("interrupted")
	}
	return report(result, result.OK)
}

// measureCmd is the command "measure edge".
type measureCmd struct {
	Requests int    `help:"Number of requests through each front." default:"2000"`
	Idle     int    `help:"Number of idle MQTT devices." default:"9000"`
	Router   string `help:"Path of lotusbend; default: in this program's directory." type:"path"`
}

// Run runs the measurement and prints its figures.
func (c *measureCmd) Run(ctx context.Context) error {
	if c.Requests < 100 || c.Requests > 100000 || c.Idle < 0 || c.Idle > 100000 {
		return errors.New("requests must be from 100 to 100000, idle from 0 to 100000")
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	figures, err := lab.MeasureEdge(ctx, binary, c.Requests, c.Idle, os.Stderr)
	if err != nil {
		return err
	}
	return printJSON(figures)
}
