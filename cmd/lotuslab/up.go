package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"lotusbend/internal/lab"
	"lotusbend/internal/standin"
)

// upCmd is the command "up".
type upCmd struct {
	Seed   uint64 `help:"Seed of all random draws." default:"1"`
	Groups int    `help:"Number of replica groups." default:"2"`
	Router string `help:"Path of lotusbend; default: in this program's directory." type:"path"`
}

// Run starts the stand-in hosts, discovery and a router, and prints their
// addresses. It serves until ctx ends.
func (c *upCmd) Run(ctx context.Context) error {
	if c.Groups < 1 || c.Groups > 50 {
		return errors.New("groups must be from 1 to 50")
	}
	binary, err := lab.FindRouter(c.Router)
	if err != nil {
		return err
	}
	cluster := standin.Defaults()
	cluster.Seed = c.Seed
	cluster.Groups = c.Groups
	fleet, err := lab.StartFleet(lab.FleetOptions{
		Binary:  binary,
		Standin: cluster,
		Routers: 1,
		Log:     os.Stderr,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	router := fleet.Routers[0]
	fmt.Printf("%d groups of hosts and one router are up on loopback, until interrupted:\n", c.Groups)
	fmt.Printf("  PostgreSQL  %s   one statement a query; its comment names class and group\n", router.Listen)
	fmt.Printf("  CoAP        %s   POST readings, GET values/ID\n", router.CoAP)
	fmt.Printf("  MQTT        %s   publish to readings\n", router.MQTT)
	fmt.Printf("  frames      %s\n", router.Frames)
	fmt.Printf("  discovery   http://%s/v1/endpoints\n", fleet.Cluster.Discovery)
	<-ctx.Done()
	return nil
}
