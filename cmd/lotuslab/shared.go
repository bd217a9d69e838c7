package main

import (
	"context"
	"errors"
	"io"
	"os"

	"lotusbend/internal/lab"
)

type sharedCmd struct {
	Seed     uint64  `help:"Of everything that is drawn." default:"1"`
	Procs    int     `help:"Routers, each a process." default:"12"`
	Loss     float64 `help:"Share of packets lost on every link, the whole run." default:"0.1"`
	Cut      string  `help:"A cut between the zones while a cold host returns, or one way." enum:"zones,oneway,none" default:"zones"`
	CutMs    int64   `help:"How long the cut lasts at least, in ms." default:"30000" name:"cut-ms"`
	ColdMs   int64   `help:"How long the host that returns is cold, in ms." default:"18000" name:"cold-ms"`
	Pause    int     `help:"Routers paused (SIGSTOP) past their leases, then resumed." default:"2"`
	Kill     int     `help:"Routers killed (SIGKILL) and started again without their state." default:"1"`
	Liars    int     `help:"Routers that claim that every host hangs." default:"2"`
	SkewMs   int64   `help:"How far every second router's clock is ahead, in ms." default:"2000" name:"skew-ms"`
	Sabotage string  `help:"Take a guard out of every router: the drill must fail." enum:",no-lease-wait,trust-one,counts-by-sum,never-expire" default:""`
	JSON     bool    `help:"Only the JSON object on standard output." name:"json"`
	Router   string  `help:"The router's program; beside this one by default." type:"path"`
	Logs     bool    `help:"The routers' log lines on standard error."`
}

// Run implements the command.
func (c *sharedCmd) Run(ctx context.Context) error {
	if c.Procs < 4 || c.Procs > 64 || c.Pause < 0 || c.Kill < 0 || c.Pause+c.Kill > c.Procs-2 || c.Liars < 0 || c.Liars > c.Procs-2 {
		return errors.New("procs must be 4 to 64; pause and kill together, and liars, leave two routers")
	}
	if !(c.Loss >= 0 && c.Loss < 0.5) || c.CutMs < 0 || c.CutMs > 120_000 || c.ColdMs < 3000 || c.ColdMs > 120_000 || c.SkewMs < 0 || c.SkewMs > 60_000 {
		return errors.New("loss must be from 0 to below 0.5, cut-ms from 0 to 120000, cold-ms from 3000 to 120000, skew-ms from 0 to 60000")
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	drill := lab.SharedDrill{Seed: c.Seed, Procs: c.Procs, Loss: c.Loss, Cut: c.Cut, CutMs: c.CutMs, ColdMs: c.ColdMs, Pause: c.Pause, Kill: c.Kill,
		Liars: c.Liars, SkewMs: c.SkewMs, Sabotage: c.Sabotage, Binary: binary}
	if !c.JSON {
		drill.Progress = io.Writer(os.Stderr)
	}
	if c.Logs {
		drill.RouterLog = os.Stderr
	}
	res, err := drill.Run(ctx)
	if err != nil {
		return err
	}
	return report(res, res.OK)
}
