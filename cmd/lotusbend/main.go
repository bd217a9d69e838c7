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

// version is the version of the build, set with the linker flag -X.
var version = "dev"

// cli lists the commands; kong derives their names from the fields' names.
type cli struct {
	Serve       serveCmd       `cmd:"" help:"Serve clients until SIGTERM, as the file in GW_CONFIG says."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
	CheckConfig checkConfigCmd `cmd:"" help:"Check the configuration file in GW_CONFIG and exit."`
	Fleet       fleetCmd       `cmd:"" help:"Print a router's view of the fleet and the fleet's totals."`
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

// Run prints the version of the program and of Go.
func (versionCmd) Run() error {
	fmt.Println("lotusbend", version, runtime.Version())
	return nil
}

// settingsFlag is the flag that names the operators' settings file.
type settingsFlag struct {
	Settings string `help:"The settings file, JSON with comments." env:"LOTUSBEND_SETTINGS" type:"path"`
}

// load reads the settings file. Without one, every option has its zero value.
func (f settingsFlag) load() (*operatorconfig.Options, error) {
	if f.Settings == "" {
		return &operatorconfig.Options{}, nil
	}
	return operatorconfig.Load(f.Settings)
}

type checkConfigCmd struct{ settingsFlag }

// Run checks the settings file and the configuration file, and the edge's routes
// against the classes of requests.
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
	fmt.Printf("configuration of %s is valid: %d classes, %d known endpoints\n",
		config.Name, len(config.Settings.Config.Classes), len(config.KnownEndpoints.Endpoints))
	return nil
}

// checkEdge checks the edge's routes against the classes of the routing settings.
func checkEdge(config *deployconfig.Config, options *operatorconfig.Options) error {
	if options.Edge == nil {
		return nil
	}
	loop := clock.NewLoop(clock.System())
	requestRouter, err := router.New(loop, config.Settings.Config, config.Seed)
	if err != nil {
		return err
	}
	return edge.Check(options.Edge, requestRouter)
}
