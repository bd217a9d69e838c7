// Command lotuslab starts stand-in fleets with real routers on loopback, and
// drills them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lotusbend/internal/lab"
	"lotusbend/internal/standin"
)

// The exit codes of a drill.
const (
	exitFault  = 1 // the audit found a fault
	exitCannot = 2 // wrong usage, or the drill could not run
)

type cli struct {
	Up    upCmd `cmd:"" help:"Start a stand-in fleet, discovery and a router with its edge, until interrupted."`
	Drill struct {
		Edge      edgeCmd      `cmd:"" help:"Devices on poor links: is every reading recorded exactly once?"`
		Fleetview fleetviewCmd `cmd:"" help:"Routers' view of their fleet through kills, pauses, loss and cuts: does it settle?"`
		Shared    sharedCmd    `cmd:"" help:"State that routers share, through cuts, pauses, kills and lies: is it within its bounds?"`
	} `cmd:"" help:"Check a promise under troubles; the last line is one JSON object."`
	Measure struct {
		Edge measureCmd `cmd:"" help:"Latency beside the PostgreSQL front, and the memory of idle devices."`
	} `cmd:"" help:"Measure; the last line is one JSON object."`
}

func main() {
	var c cli
	parser, err := kong.New(&c, kong.Name("lotuslab"), kong.Description("Stand-in fleets, drills and audits for lotusbend."),
		kong.UsageOnError(), kong.Exit(func(code int) {
			if code != 0 {
				code = exitCannot
			}
			os.Exit(code)
		}))
	if err != nil {
		panic(err) // the commands are this program's own
	}
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	switch err := k.Run(); {
	case errors.Is(err, errFault):
		os.Exit(exitFault)
	case err != nil:
		fmt.Fprintln(os.Stderr, "lotuslab:", err)
		os.Exit(exitCannot)
	}
}

// errFault tells that an audit found what must not be.
var errFault = errors.New("the audit found a fault")

type edgeCmd struct {
	Seed         uint64  `help:"Of everything that is drawn." default:"1"`
	Devices      int     `help:"How many devices." default:"36"`
	Readings     int     `help:"How many readings each makes." default:"20"`
	Loss         float64 `help:"Share of datagrams lost, each way." default:"0.2"`
	Dup          float64 `help:"Share of datagrams doubled." default:"0.1"`
	Reorder      float64 `help:"Share of datagrams overtaken." default:"0.1"`
	Stall        float64 `help:"Chance that a chunk stops half way." default:"0.02"`
	Delay        float64 `help:"Milliseconds one way, and as much by chance." default:"20"`
	KillRouter   int     `help:"How often a router is killed." default:"2"`
	CrashPrimary int     `help:"How often a primary dies or hangs." default:"2"`
	Protocol     string  `help:"Which one the devices speak." enum:"coap,mqtt,frames,all" default:"all"`
	Sabotage     string  `help:"Let the stand-ins misbehave: the drill must fail." enum:",runs-twice,forgets-keys,acks-early" default:""`
	Baseline     bool    `help:"Play a plain edge in place of ours, over frames."`
	Store        bool    `help:"Store and forward on each router's disk."`
	JSON         bool    `help:"Only the JSON object on standard output." name:"json"`
	Router       string  `help:"The router's program; beside this one by default." type:"path"`
}

// Run implements the command.
func (c *edgeCmd) Run(ctx context.Context) error {
	if c.Devices < 1 || c.Devices > 2000 || c.Readings < 1 || c.Readings > 1000 {
		return fmt.Errorf("devices must be 1 to 2000 and readings 1 to 1000")
	}
	for name, p := range map[string]float64{"loss": c.Loss, "dup": c.Dup, "reorder": c.Reorder, "stall": c.Stall} {
		if !(p >= 0 && p < 1) {
			return fmt.Errorf("%s must be from 0 to below 1", name)
		}
	}
	if c.KillRouter < 0 || c.CrashPrimary < 0 || c.KillRouter+c.CrashPrimary > 20 || !(c.Delay >= 0 && c.Delay <= 1000) {
		return fmt.Errorf("at most 20 troubles, and a delay of 0 to 1000 ms, are played")
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	res, err := lab.EdgeDrill{
		Seed: c.Seed, Devices: c.Devices, Readings: c.Readings, Loss: c.Loss, Dup: c.Dup, Reorder: c.Reorder, Stall: c.Stall,
		Delay: c.Delay, KillRouter: c.KillRouter, CrashPrimary: c.CrashPrimary, Protocol: c.Protocol,
		Sabotage: standin.Sabotage(c.Sabotage), Baseline: c.Baseline, Store: c.Store, Binary: binary, Progress: os.Stderr,
	}.Run(ctx)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errors.New("interrupted")
	}
	return report(res, res.OK)
}

// report prints what a drill found as one line of JSON; a fault is an error.
func report(res any, ok bool) error {
	line, err := json.Marshal(res)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if !ok {
		return errFault
	}
	return nil
}

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
	f, err := lab.MeasureEdge(ctx, binary, c.Requests, c.Idle, os.Stderr)
	if err != nil {
		return err
	}
	line, err := json.Marshal(f)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}

type upCmd struct {
	Seed   uint64 `help:"Of everything that is drawn." default:"1"`
	Groups int    `help:"How many groups of hosts." default:"2"`
	Router string `help:"The router's program; beside this one by default." type:"path"`
}

// Run implements the command.
func (c *upCmd) Run(ctx context.Context) error {
	if c.Groups < 1 || c.Groups > 50 {
		return errors.New("groups must be 1 to 50")
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	o := standin.Defaults()
	o.Seed, o.Groups = c.Seed, c.Groups
	f, err := lab.StartFleet(lab.FleetOptions{Binary: binary, Standin: o, Routers: 1, Log: os.Stderr})
	if err != nil {
		return err
	}
	defer f.Close()
	r := f.Routers[0]
	fmt.Printf("%d groups of hosts and one router are up on loopback, until interrupted:\n", c.Groups)
	fmt.Printf("  PostgreSQL  %s   one statement a query; its comment names class and group\n", r.Listen)
	fmt.Printf("  CoAP        %s   POST readings, GET values/ID\n", r.CoAP)
	fmt.Printf("  MQTT        %s   publish to readings\n", r.MQTT)
	fmt.Printf("  frames      %s\n", r.Frame)
	fmt.Printf("  discovery   http://%s/v1/endpoints\n", f.Cluster.Discovery)
	<-ctx.Done()
	return nil
}
