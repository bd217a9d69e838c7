package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/edge"
	"lotusbend/internal/netio"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/postgres/back"
	"lotusbend/internal/postgres/front"
	"lotusbend/internal/router"
)

// defaultDescriptors is the limit on file descriptors if the configuration sets
// none.
const defaultDescriptors = 1024

// node is a running router: its client listener, its connection pool, its watch
// on the endpoint list, and the edge.
type node struct {
	loop    *clock.Loop
	budget  *netio.DescriptorBudget
	log     *slog.Logger
	router  *router.Router
	pool    *back.Pool
	server  *front.Server
	edge    *edge.Edge           // nil if the edge is off
	config  *deployconfig.Config // the configuration in force
	watches []*endpointWatch     // the watches that run, newest last
	names   map[uint32]string    // endpoint names by ID, nil without shared state
}

// newNode creates a router. It listens for clients at once, but serves them only
// after run is called.
func newNode(
	config *deployconfig.Config, options *operatorconfig.Options, loop *clock.Loop, log *slog.Logger,
) (*node, error) {
	requestRouter, err := router.New(loop, config.Settings.Config, config.Seed)
	if err != nil {
		return nil, err
	}
	n := &node{
		loop:   loop,
		budget: netio.NewDescriptorBudget(descriptorLimit(config)),
		log:    log,
		router: requestRouter,
		config: config,
	}
	n.pool = back.New(loop, back.Options{
		ConnectTimeout: config.Settings.ConnectTimeoutMs,
		IdleTimeout:    config.Settings.IdleTimeoutMs,
	}, n.budget, requestRouter)
	n.server, err = front.Listen(config.Listen, loop, n.budget, config.MemoryMiB, requestRouter)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	if options.Edge == nil {
		return n, nil
	}
	if n.edge, err = edge.New(options.Edge, loop, log, n.budget, requestRouter, config.Seed); err != nil {
		return nil, err
	}
	return n, nil
}

// descriptorLimit returns the limit on file descriptors.
func descriptorLimit(config *deployconfig.Config) int {
	if config.Descriptors == 0 {
		return defaultDescriptors
	}
	return config.Descriptors
}

// start begins routing with the endpoint list in the configuration, and starts the
// watch for newer lists. If reload was called before, the watch uses the address
// of the reloaded configuration.
func (n *node) start() {
	n.loop.Do(func() {
		n.router.Start(n.pool, n.applyUpdate(n.config.KnownEndpoints))
		n.watchEndpoints(n.config.Discovery)
	})
}

// reload applies the parts of a new configuration that can change while serving:
// the address of the discovery service and the limits. It logs a warning if
// the name, the listen address or the settings have changed, which needs a restart.
func (n *node) reload(fresh *deployconfig.Config) {
	n.loop.Do(func() {
		config := n.config
		if fresh.Listen != config.Listen || fresh.Name != config.Name ||
			!bytes.Equal(fresh.Settings.JSON, config.Settings.JSON) {
			n.log.Warn("configuration change needs a restart: name, listen or settings")
		}
		moved := fresh.Discovery != config.Discovery
		config.Discovery = fresh.Discovery
		config.Descriptors = fresh.Descriptors
		config.MemoryMiB = fresh.MemoryMiB
		n.budget.Resize(descriptorLimit(fresh))
		n.server.SetMemoryLimit(fresh.MemoryMiB)
		n.log.Info("configuration reloaded",
			"discovery", fresh.Discovery, "moved", moved, "descriptors", fresh.Descriptors)
		if moved && len(n.watches) > 0 { // before start there is no watch to replace
			n.watchEndpoints(fresh.Discovery)
		}
	})
}

// run serves clients until ctx ends, then shuts down gracefully.
func (n *node) run(ctx context.Context) error {
	defer n.loop.Do(func() {
		for _, watch := range n.watches {
			watch.stop()
		}
	})
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve() }()
	n.log.Info("serving", "listen", n.server.Address(), "endpoints", len(n.config.KnownEndpoints.Endpoints))
	if n.edge != nil {
		n.edge.Start()
		coap, mqtt, frames := n.edge.Addresses()
		n.log.Info("edge serving", "coap", coap, "mqtt", mqtt, "frames", frames)
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	return n.shutDown()
}

// shutDown drains the router. It returns once every accepted request is answered
// or the bounds in shutdown.check have passed.
func (n *node) shutDown() error {
	s := shutdown{node: n, ended: make(chan struct{})}
	n.loop.Do(func() { n.loop.At(n.loop.Now()+drainDelayMs, s.begin) })
	n.log.Info("stopping", "drain_delay_ms", drainDelayMs)
	<-s.ended
	if n.edge != nil {
		if err := n.edge.Close(); err != nil {
			return fmt.Errorf("closing the edge: %w", err)
		}
	}
	n.log.Info("stopped", "clients_cut", s.clients, "clients_unsent", s.unsent)
	return nil
}
