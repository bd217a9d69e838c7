package main

import (
	"context"
	"errors"
	"io"
	"os"

	"lotusbend/internal/lab"
)

type fleetviewCmd struct {
	Seed     uint64  `help:"Of everything that is drawn." default:"1"`
	Procs    int     `help:"Routers, each a process." default:"12"`
	Loss     float64 `help:"Share of packets lost on every link, the whole run." default:"0.2"`
	Cut      string  `help:"A cut between the zones, or one way between two routers." enum:"zones,oneway,none" default:"zones"`
	Kill     int     `help:"Routers killed at once (SIGKILL); the first is started again." default:"4"`
	Pause    int     `help:"Routers paused (SIGSTOP) past their suspicion, then resumed." default:"1"`
	SplitMs  int64   `help:"How long the cut lasts, in ms." default:"30000" name:"split-ms"`
	Late     int     `help:"Routers whose every packet comes late past the direct probe's wait, from the join on." default:"1"`
	Flood    int     `help:"Malformed datagrams sent straight at the first router; 0 for none." default:"2000"`
	Sabotage string  `help:"Take a guard out of every router: the drill must fail." enum:",no-refute,no-pushpull,no-suspicion" default:""`
	JSON     bool    `help:"Only the JSON object on standard output." name:"json"`
	Router   string  `help:"The router's program; beside this one by default." type:"path"`
	Logs     bool    `help:"The routers' log lines on standard error."`
}

// Run implements the command.
func (c *fleetviewCmd) Run(ctx context.Context) error {
	if c.Procs < 3 || c.Procs > 64 || c.Kill < 0 || c.Pause < 0 || c.Kill+c.Pause > c.Procs-2 {
		return errors.New("procs must be 3 to 64, and kill and pause together leave two routers untouched")
	}
	if !(c.Loss >= 0 && c.Loss < 0.5) || c.SplitMs < 0 || c.SplitMs > 120_000 {
		return errors.New("loss must be from 0 to below 0.5, split-ms from 0 to 120000")
	}
	if c.Late < 0 || c.Late > c.Procs-2 || c.Flood < 0 || c.Flood > 100_000 {
		return errors.New("late must leave two routers on time, flood be from 0 to 100000")
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	var progress io.Writer = os.Stderr
	if c.JSON {
		progress = io.Discard
	}
	cut := c.Cut
	if cut == "none" {
		cut = ""
	}
	drill := lab.FleetviewDrill{Seed: c.Seed, Procs: c.Procs, Loss: c.Loss, Cut: cut, Kill: c.Kill, Pause: c.Pause,
		SplitMs: c.SplitMs, Late: c.Late, Flood: c.Flood, Sabotage: c.Sabotage, Binary: binary, Progress: progress}
	if c.Logs {
		drill.RouterLog = os.Stderr
	}
	res, err := drill.Run(ctx)
	if err != nil {
		return err
	}
	return report(res, res.OK)
}
