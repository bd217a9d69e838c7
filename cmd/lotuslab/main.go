// Command lotuslab starts real routers with stand-in database hosts and discovery
// on loopback, and runs drills and measurements on them.
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

// Exit codes other than 0.
const (
	exitFault  = 1 // the audit of a drill found a fault
	exitNotRun = 2 // invalid usage, or the command could not run to its end
)

// errFault is returned by a drill whose audit found a fault.
var errFault = errors.New("the audit found a fault")

// cli lists the commands; kong derives their names from the fields' names.
type cli struct {
	Up      upCmd   `cmd:"" help:"Run stand-in hosts and a router with its edge until interrupted."`
	Drill   drills  `cmd:"" help:"Check a guarantee under faults; the last line is a JSON object."`
	Measure measure `cmd:"" help:"Run a measurement; the last line is a JSON object."`
}

// drills lists the commands of "drill".
type drills struct {
	Edge      edgeCmd      `cmd:"" help:"Check that readings over poor links are recorded exactly once."`
	Fleetview fleetviewCmd `cmd:"" help:"Check that views settle after kills, pauses and partitions."`
	Shared    sharedCmd    `cmd:"" help:"Check the bounds of shared state through partitions and kills."`
}

// measure lists the commands of "measure".
type measure struct {
	Edge measureCmd `cmd:"" help:"Measure latency beside the PostgreSQL front, and memory of idle devices."`
}

// enums holds the values of the sabotage flags, which are too long for the tags.
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
			if code != 0 { // kong's own codes could be taken for exitFault
				code = exitNotRun
			}
			os.Exit(code)
		}))
	if err != nil {
		panic(err) // only a mistake in the tags above causes an error
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

// report prints the result of a drill. It returns errFault if ok is false.
func report(result any, ok bool) error {
	if err := printJSON(result); err != nil {
		return err
	}
	if !ok {
		return errFault
	}
	return nil
}
