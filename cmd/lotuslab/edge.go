package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"lotusbend/internal/lab"
	"lotusbend/internal/standin"
)

// edgeCmd is "drill edge".
type edgeCmd struct {
	Seed         uint64  `help:"Of all random draws." default:"1"`
	Devices      int     `help:"How many devices." default:"36"`
	Readings     int     `help:"How many readings each makes." default:"20"`
	Loss         float64 `help:"Chance that a datagram is lost, each way." default:"0.2"`
	Dup          float64 `help:"Chance that a datagram is duplicated." default:"0.1"`
	Reorder      float64 `help:"Chance that a datagram is overtaken." default:"0.1"`
	Stall        float64 `help:"Chance that a chunk stops half way." default:"0.02"`
	Delay        float64 `help:"Milliseconds one way, and as much at random." default:"20"`
	KillRouter   int     `help:"How often a router is killed." default:"2"`
	CrashPrimary int     `help:"How often a primary crashes or hangs." default:"2"`
	Protocol     string  `help:"Which one the devices speak." enum:"coap,mqtt,frames,all" default:"all"`
	Sabotage     string  `help:"Stand-ins misbehave: the drill must fail." enum:"${edge_sabotage}" default:""`
	Baseline     bool    `help:"Use a baseline edge in place of ours, over frames."`
	Store        bool    `help:"Store and forward on each router's disk."`
	JSON         bool    `help:"Only the JSON object on standard output." name:"json"`
	Router       string  `help:"The router's program; beside this one by default." type:"path"`
}

// check returns an error for options out of their bounds.
func (c *edgeCmd) check() error {
	if c.Devices < 1 || c.Devices > 2000 || c.Readings < 1 || c.Readings > 1000 {
		return errors.New("devices must be 1 to 2000 and readings 1 to 1000")
	}
	chances := map[string]float64{"loss": c.Loss, "dup": c.Dup, "reorder": c.Reorder, "stall": c.Stall}
	for name, chance := range chances {
		if !(chance >= 0 && chance < 1) { // false for NaN, too
			return fmt.Errorf("%s must be from 0 to below 1", name)
		}
	}
	delayInBounds := c.Delay >= 0 && c.Delay <= 1000
	if c.KillRouter < 0 || c.CrashPrimary < 0 || c.KillRouter+c.CrashPrimary > 20 || !delayInBounds {
		return errors.New("at most 20 faults, and a delay of 0 to 1000 ms, are played")
	}
	return nil
}

// Run implements the command.
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

// measureCmd is "measure edge".
type measureCmd struct {
	Requests int    `help:"Through each front." default:"2000"`
	Idle     int    `help:"Idle MQTT devices." default:"9000"`
	Router   string `help:"The router's program; beside this one by default." type:"path"`
}

// Run implements the command.
func (c *measureCmd) Run(ctx context.Context) error {
	if c.Requests < 100 || c.Requests > 100000 || c.Idle < 0 || c.Idle > 100000 {
		return errors.New("requests must be 100 to 100000 and idle devices at most 100000")
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
