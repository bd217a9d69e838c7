package main

import (
	"context"
	"errors"
	"io"
	"os"

	"lotusbend/internal/lab"
)

// fleetviewCmd is "drill fleetview".
type fleetviewCmd struct {
	Seed     uint64  `help:"Of all random draws." default:"1"`
	Procs    int     `help:"Routers, each a process." default:"12"`
	Loss     float64 `help:"Chance that a packet is lost, on every link, the whole run." default:"0.2"`
	Cut      string  `help:"A cut between zones, or one way." enum:"zones,oneway,none" default:"zones"`
	Kill     int     `help:"Routers killed at once (SIGKILL); the first is started again." default:"4"`
	Pause    int     `help:"Routers paused (SIGSTOP) past their suspicion, then resumed." default:"1"`
	SplitMs  int64   `help:"How long the cut lasts, in ms." default:"30000" name:"split-ms"`
	Late     int     `help:"Routers whose packets are later than the direct probe waits." default:"1"`
	Flood    int     `help:"Malformed datagrams sent straight at the first router." default:"2000"`
	Sabotage string  `help:"No safeguard: the drill must fail." enum:"${fleetview_sabotage}" default:""`
	JSON     bool    `help:"Only the JSON object on standard output." name:"json"`
	Router   string  `help:"The router's program; beside this one by default." type:"path"`
	Logs     bool    `help:"The routers' log lines on standard error."`
}

// check returns an error for options out of their bounds.
func (c *fleetviewCmd) check() error {
	if c.Procs < 3 || c.Procs > 64 || c.Kill < 0 || c.Pause < 0 || c.Kill+c.Pause > c.Procs-2 {
		return errors.New("procs must be 3 to 64, and kill and pause together leave two routers untouched")
	}
	lossInBounds := c.Loss >= 0 && c.Loss < 0.5
	if !lossInBounds || c.SplitMs < 0 || c.SplitMs > 120_000 {
		return errors.New("loss must be from 0 to below 0.5, split-ms from 0 to 120000")
	}
	if c.Late < 0 || c.Late > c.Procs-2 || c.Flood < 0 || c.Flood > 100_000 {
		return errors.New("late must leave two routers on time, flood be from 0 to 100000")
	}
	return nil
}

// Run implements the command.
func (c *fleetviewCmd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	drill := lab.FleetviewDrill{
		Seed:      c.Seed,
		Procs:     c.Procs,
		Loss:      c.Loss,
		Cut:       c.Cut,
		Kill:      c.Kill,
		Pause:     c.Pause,
		SplitMs:   c.SplitMs,
		Late:      c.Late,
		Flood:     c.Flood,
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

// progressLog is where a drill's progress goes; nil for nowhere.
func progressLog(onlyJSON bool) io.Writer {
	if onlyJSON {
		return nil
	}
	return os.Stderr
}

// routerLog is where the routers' standard error goes; nil for nowhere.
func routerLog(wanted bool) io.Writer {
	if !wanted {
		return nil
	}
	return os.Stderr
}
