// Command lotusbend routes the statements of PostgreSQL clients to the
// primaries and replicas of sharded databases.
package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/alecthomas/kong"

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
	command := kong.Parse(&cli{}, kong.Name("lotusbend"),
		kong.Description("A router for sharded, replicated databases that speaks the PostgreSQL protocol."))
	if err := command.Run(); err != nil {
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
	Settings string `help:"The operators' settings, JSON with comments." env:"LOTUSBEND_SETTINGS" type:"path"`
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
	options, err := cmd.load()
	if err != nil {
		return err
	}
	config, err := deployconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	if err := checkEdge(config, options); err != nil {
		return fmt.Errorf("%s: %w", cmd.Settings, err)
	}
	fmt.Printf("configuration of %s is in order: %d classes, %d database hosts known\n",
		config.Name, len(config.Settings.Config.Classes), len(config.KnownEndpoints.Endpoints))
	return nil
}

// checkEdge checks the edge against the classes of the routing settings.
func checkEdge(config *deployconfig.Config, options *operatorconfig.Options) error {
	if options.Edge == nil {
		return nil
	}
	loop := clock.NewLoop(clock.System())
	classes, err := router.New(loop, config.Settings.Config, config.Seed)
	if err != nil {
		return err
	}
	return edge.Check(options.Edge, classes)
}
