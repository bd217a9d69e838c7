package main

import (
	"context"
	"errors"

	"lotusbend/internal/lab"
)

// sharedCmd is "drill shared".
type sharedCmd struct {
	Seed     uint64  `help:"Of all random draws." default:"1"`
	Procs    int     `help:"Routers, each a process." default:"12"`
	Loss     float64 `help:"Chance that a packet is lost, on every link, the whole run." default:"0.1"`
	Cut      string  `help:"A cut between zones, or one way." enum:"zones,oneway,none" default:"zones"`
	CutMs    int64   `help:"How long the cut lasts at least, in ms." default:"30000" name:"cut-ms"`
	ColdMs   int64   `help:"How long the restarted host warms up, in ms." default:"18000" name:"cold-ms"`
	Pause    int     `help:"Routers paused (SIGSTOP) past their leases, then resumed." default:"2"`
	Kill     int     `help:"Routers killed (SIGKILL), restarted without their state." default:"1"`
	Liars    int     `help:"Byzantine routers: they report that every host hangs." default:"2"`
	SkewMs   int64   `help:"Lead of every second router's clock, in ms." default:"2000" name:"skew-ms"`
	Sabotage string  `help:"No safeguard: the drill must fail." enum:"${shared_sabotage}" default:""`
	JSON     bool    `help:"Only the JSON object on standard output." name:"json"`
	Router   string  `help:"The router's program; beside this one by default." type:"path"`
	Logs     bool    `help:"The routers' log lines on standard error."`
}

// check returns an error for options out of their bounds.
func (c *sharedCmd) check() error {
	faultsInBounds := c.Pause >= 0 && c.Kill >= 0 && c.Pause+c.Kill <= c.Procs-2 &&
		c.Liars >= 0 && c.Liars <= c.Procs-2
	if c.Procs < 4 || c.Procs > 64 || !faultsInBounds {
		return errors.New("procs must be 4 to 64; pause and kill together, and liars, leave two routers")
	}
	lossInBounds := c.Loss >= 0 && c.Loss < 0.5
	timesInBounds := c.CutMs >= 0 && c.CutMs <= 120_000 &&
		c.ColdMs >= 3000 && c.ColdMs <= 120_000 &&
		c.SkewMs >= 0 && c.SkewMs <= 60_000
	if !lossInBounds || !timesInBounds {
		return errors.New("loss must be from 0 to below 0.5, cut-ms from 0 to 120000, " +
			"cold-ms from 3000 to 120000, skew-ms from 0 to 60000")
	}
	return nil
}

// Run implements the command.
func (c *sharedCmd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	drill := lab.SharedDrill{
		Seed:      c.Seed,
		Procs:     c.Procs,
		Loss:      c.Loss,
		Cut:       c.Cut,
		CutMs:     c.CutMs,
		ColdMs:    c.ColdMs,
		Pause:     c.Pause,
		Kill:      c.Kill,
		Liars:     c.Liars,
		SkewMs:    c.SkewMs,
		Sabotage:  c.Sabotage,
		Binary:    binary,
		Progress:  progressLog(c.JSON),
		RouterLog: routerLog(c.Logs),
	}
	result, err := drill.Run(ctx)
	if err != nil {
		return err
	}
	return report(result, result.OK)
}
