// Command lotuslab starts stand-in fleets with real routers on loopback, and
// runs drills and measurements on them.
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
)

// The exit codes of a drill.
const (
	exitFault  = 1 // the audit found a fault
	exitNotRun = 2 // wrong usage, or the drill could not run
)

// errFault reports that an audit found a fault.
var errFault = errors.New("the audit found a fault")

// cli is the commands of the program.
type cli struct {
	Up      upCmd   `cmd:"" help:"Start a stand-in fleet and a router with its edge, until interrupted."`
	Drill   drills  `cmd:"" help:"Check a promise under faults; the last line is one JSON object."`
	Measure measure `cmd:"" help:"Measure; the last line is one JSON object."`
}

type drills struct {
	Edge      edgeCmd      `cmd:"" help:"Devices on poor links: is every reading recorded exactly once?"`
	Fleetview fleetviewCmd `cmd:"" help:"Routers' views through kills, pauses and cuts: do they settle?"`
	Shared    sharedCmd    `cmd:"" help:"Shared state through cuts, pauses and kills: is it in its bounds?"`
}

type measure struct {
	Edge measureCmd `cmd:"" help:"Latency beside the PostgreSQL front, and the memory of idle devices."`
}

// enums are the values of options that are too many for a field's tag.
var enums = kong.Vars{
	"edge_sabotage":      ",runs-twice,forgets-keys,acks-early",
	"fleetview_sabotage": ",no-refute,no-pushpull,no-suspicion",
	"shared_sabotage":    ",no-lease-wait,trust-one,counts-by-sum,never-expire",
}

func main() {
	var commands cli
	parser, err := kong.New(&commands,
		kong.Name("lotuslab"),
		kong.Description("Stand-in fleets, drills and audits for lotusbend."),
		kong.UsageOnError(),
		enums,
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitNotRun
			}
			os.Exit(code)
		}))
	if err != nil {
		panic(err) // the commands are this program's own
	}
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	err = command.Run()
	if errors.Is(err, errFault) {
		os.Exit(exitFault)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lotuslab:", err)
		os.Exit(exitNotRun)
	}
}

// printJSON prints a result as one line.
func printJSON(result any) error {
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}

// report prints what a drill found; a fault is an error.
func report(result any, ok bool) error {
	if err := printJSON(result); err != nil {
		return err
	}
	if !ok {
		return errFault
	}
	return nil
}
