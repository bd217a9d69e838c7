package main

import (
	"context"
	"errors"
	"io"
	"os"

	"lotusbend/internal/lab"
)

// fleetviewCmd is the command "drill fleetview".
type fleetviewCmd struct {
	Seed     uint64  `help:"Seed of all random draws." default:"1"`
	Procs    int     `help:"Number of routers, each a process." default:"12"`
	Loss     float64 `help:"Probability of packet loss on every link, the whole run." default:"0.2"`
	Cut      string  `help:"Partition of zones, one way or none." enum:"zones,oneway,none" default:"zones"`
	Kill     int     `help:"Routers killed at once (SIGKILL); the first is restarted." default:"4"`
	Pause    int     `help:"Routers paused (SIGSTOP) past their suspicion, then resumed." default:"1"`
	SplitMs  int64   `help:"Duration of the partition, in ms." default:"30000" name:"split-ms"`
	Late     int     `help:"Routers whose packets are delayed past the direct probe's timeout." default:"1"`
	Flood    int     `help:"Malformed datagrams sent directly to the first router." default:"2000"`
	Sabotage string  `help:"Disabled safeguard; the drill must fail." enum:"${fleetview_sabotage}" default:""`
	JSON     bool    `help:"Print no progress on standard error." name:"json"`
	Router   string  `help:"Path of lotusbend; default: in this program's directory." type:"path"`
	Logs     bool    `help:"Copy the routers' log lines to standard error."`
}

// check returns an error if a flag is out of range.
func (c *fleetviewCmd) check() error {
	if c.Procs < 3 || c.Procs > 64 || c.Kill < 0 || c.Pause < 0 || c.Kill+c.Pause > c.Procs-2 {
		return errors.New("procs must be from 3 to 64, kill plus pause at most procs-2, neither below 0")
	}
	lossInBounds := c.Loss >= 0 && c.Loss < 0.5
	if !lossInBounds || c.SplitMs < 0 || c.SplitMs > 120_000 {
		return errors.New("loss must be from 0 to below 0.5, split-ms from 0 to 120000")
	}
	if c.Late < 0 || c.Late > c.Procs-2 || c.Flood < 0 || c.Flood > 100_000 {
		return errors.New("late must be from 0 to procs-2, flood from 0 to 100000")
	}
	return nil
}

// Run runs the drill and prints its result. It returns errFault if the audit
// found a fault.
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

// progressLog returns the writer of a drill's progress, nil for none.
func progressLog(quiet bool) io.Writer {
	if quiet {
		return nil
	}
	return os.Stderr
}

// routerLog returns the writer of the routers' standard error, nil for none.
func routerLog(wanted bool) io.Writer {
	if !wanted {
		return nil
	}
	return os.Stderr
}
