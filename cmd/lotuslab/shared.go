package main

import (
	"context"
	"errors"

	"lotusbend/internal/lab"
)

// sharedCmd is the command "drill shared".
type sharedCmd struct {
	Seed     uint64  `help:"Seed of all random draws." default:"1"`
	Procs    int     `help:"Number of routers, each a process." default:"12"`
	Loss     float64 `help:"Probability of packet loss on every link, the whole run." default:"0.1"`
	Cut      string  `help:"Partition of zones, one way or none." enum:"zones,oneway,none" default:"zones"`
	CutMs    int64   `help:"Minimum duration of the partition, in ms." default:"30000" name:"cut-ms"`
	ColdMs   int64   `help:"Slow start duration of the restarted host, in ms." default:"18000" name:"cold-ms"`
	Pause    int     `help:"Routers paused (SIGSTOP) past their leases, then resumed." default:"2"`
	Kill     int     `help:"Routers killed (SIGKILL), restarted without their state." default:"1"`
	Liars    int     `help:"Byzantine routers: they report that every host hangs." default:"2"`
	SkewMs   int64   `help:"Lead of every second router's clock, in ms." default:"2000" name:"skew-ms"`
	Sabotage string  `help:"Disabled safeguard; the drill must fail." enum:"${shared_sabotage}" default:""`
	JSON     bool    `help:"Print no progress on standard error." name:"json"`
	Router   string  `help:"Path of lotusbend; default: in this program's directory." type:"path"`
	Logs     bool    `help:"Copy the routers' log lines to standard error."`
}

// check returns an error if a flag is out of range.
func (c *sharedCmd) check() error {
	faultsInBounds := c.Pause >= 0 && c.Kill >= 0 && c.Pause+c.Kill <= c.Procs-2 &&
		c.Liars >= 0 && c.Liars <= c.Procs-2
	if c.Procs < 4 || c.Procs > 64 || !faultsInBounds {
		return errors.New("procs must be from 4 to 64; pause plus kill, and liars, from 0 to procs-2")
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

// Run runs the drill and prints its result. It returns errFault if the audit
// found a fault.
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
