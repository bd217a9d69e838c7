// Command lotusbend routes the statements of PostgreSQL clients to the
// primaries and replicas of sharded databases.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cloudwego/netpoll"

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/edge"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/router"
)

// version is set by the linker in a release build.
var version = "dev"

type cli struct {
	Serve       serveCmd       `cmd:"" help:"Serve clients until SIGTERM, as GW_CONFIG says."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
	CheckConfig checkConfigCmd `cmd:"" help:"Check the configuration that GW_CONFIG names, and end."`
	Fleet       fleetCmd       `cmd:"" help:"Print a router's view of the fleet and what the fleet carried."`
}

func main() {
	k := kong.Parse(&cli{}, kong.Name("lotusbend"),
		kong.Description("A router for sharded, replicated databases that speaks the PostgreSQL protocol."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "lotusbend:", err)
		os.Exit(1)
	}
}

type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run() error {
	fmt.Println("lotusbend", version, runtime.Version())
	return nil
}

// settingsFlag names the operators' settings file.
type settingsFlag struct {
	Settings string `help:"The operators' settings file, JSON with comments." env:"LOTUSBEND_SETTINGS" type:"path"`
}

// load reads the file, if there is one: without it everything in it is off.
func (f settingsFlag) load() (*operatorconfig.Options, error) {
	if f.Settings == "" {
		return &operatorconfig.Options{}, nil
	}
	return operatorconfig.Load(f.Settings)
}

type checkConfigCmd struct{ settingsFlag }

// Run implements the command.
func (cmd checkConfigCmd) Run() error {
	opt, err := cmd.load()
	if err != nil {
		return err
	}
	c, err := deployconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	if err := checkEdge(c, opt); err != nil {
		return fmt.Errorf("%s: %w", cmd.Settings, err)
	}
	fmt.Printf("configuration of %s is in order: %d classes, %d database hosts known\n",
		c.Name, len(c.Settings.Config.Classes), len(c.KnownEndpoints.Endpoints))
	return nil
}

// checkEdge checks the edge against the classes that the router is told.
func checkEdge(c *deployconfig.Config, opt *operatorconfig.Options) error {
	if opt.Edge == nil {
		return nil
	}
	r, err := router.New(clock.NewLoop(clock.System()), c.Settings.Config, c.Seed)
	if err != nil {
		return err
	}
	return edge.Check(opt.Edge, r)
}

type serveCmd struct{ settingsFlag }

// Run implements the command.
func (cmd serveCmd) Run() error {
	again := make(chan os.Signal, 1) // from the first moment on, SIGHUP must not end the program,
	signal.Notify(again, syscall.SIGHUP)
	// and SIGTERM must end it in good order. A second one changes nothing.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	opt, err := cmd.load()
	if err != nil {
		return err
	}
	c, err := deployconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	limitMemory(c)
	var level slog.LevelVar
	level.Set(opt.Level)
	log := logger(os.Stderr, opt.JSON, &level).With("router", c.Name)
	netpoll.SetLoggerOutput(debugLog{log}) // it has a line for each connection that a peer resets
	clk := clock.System()
	loop := clock.NewLoop(clk)
	n, err := newNode(c, opt, loop, log)
	if err != nil {
		return err
	}
	f, err := startMembership(ctx, c, opt, clk, log)
	if err != nil {
		return err
	}
	n.join(ctx, f)
	go loop.Run(context.Background())
	n.start()
	go func() {
		for range again {
			if c, err := deployconfig.Reload(os.Getenv); err != nil {
				log.Error("the new configuration is not taken", "error", err)
			} else {
				limitMemory(c)
				n.reload(c)
			}
			if fresh, err := cmd.load(); err != nil {
				log.Error("the new settings file is not taken", "error", err)
			} else {
				level.Set(fresh.Level)
				if fresh.JSON != opt.JSON || !reflect.DeepEqual(fresh.Edge, opt.Edge) || !reflect.DeepEqual(fresh.Membership, opt.Membership) ||
					!reflect.DeepEqual(fresh.Shared, opt.Shared) {
					log.Warn("a new form of the log, edge, membership or shared state takes effect at the next start")
				}
			}
		}
	}()
	return n.run(ctx)
}

// logger writes lines as text or JSON.
func logger(to io.Writer, asJSON bool, level slog.Leveler) *slog.Logger {
	opt := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(to, opt))
	}
	return slog.New(slog.NewTextHandler(to, opt))
}

// debugLog takes another package's lines as debugging ones.
type debugLog struct{ *slog.Logger }

// Write implements io.Writer.
func (l debugLog) Write(line []byte) (int, error) {
	l.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// memoryShare of the limit is for the heap; the rest is for stacks, the
// binary and the system's buffers.
const memoryShare = 0.6

// limitMemory lets the collector work harder long before the platform's limit.
func limitMemory(c *deployconfig.Config) {
	if c.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMiB * (1 << 20) * memoryShare))
	}
}
