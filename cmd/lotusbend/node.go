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

// defaultDescriptors stands in where the configuration sets no limit.
const defaultDescriptors = 1024

// node is one router put together.
type node struct {
	loop    *clock.Loop
	budget  *netio.DescriptorBudget
	log     *slog.Logger
	router  *router.Router
	pool    *back.Pool
	server  *front.Server
	edge    *edge.Edge           // nil where it is off
	config  *deployconfig.Config // in force
	watches []*endpointWatch     // running, the newest last
	names   map[uint32]string    // of endpoints, by number; nil without shared state
}

// newNode puts a router together; it listens, and serves clients once run.
func newNode(
	config *deployconfig.Config, options *operatorconfig.Options, loop *clock.Loop, log *slog.Logger,
) (*node, error) {
	requests, err := router.New(loop, config.Settings.Config, config.Seed)
	if err != nil {
		return nil, err
	}
	n := &node{
		loop:   loop,
		budget: netio.NewDescriptorBudget(descriptorLimit(config)),
		log:    log,
		router: requests,
		config: config,
	}
	n.pool = back.New(loop, back.Options{
		ConnectTimeout: config.Settings.ConnectTimeoutMs,
		IdleTimeout:    config.Settings.IdleTimeoutMs,
	}, n.budget, requests)
	n.server, err = front.Listen(config.Listen, loop, n.budget, config.MemoryMiB, requests)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	if options.Edge == nil {
		return n, nil
	}
	if n.edge, err = edge.New(options.Edge, loop, log, n.budget, requests, config.Seed); err != nil {
		return nil, err
	}
	return n, nil
}

func descriptorLimit(config *deployconfig.Config) int {
	if config.Descriptors == 0 {
		return defaultDescriptors
	}
	return config.Descriptors
}

// start begins the work: with the endpoint list as last known, and the watch
// for what it is now. What a reload changes comes after it.
func (n *node) start() {
	n.loop.Do(func() {
		n.router.Start(n.pool, n.applyUpdate(n.config.KnownEndpoints))
		n.watchEndpoints(n.config.Discovery)
	})
}

// reload puts a new configuration in force, as far as that goes while serving.
func (n *node) reload(fresh *deployconfig.Config) {
	n.loop.Do(func() {
		config := n.config
		if fresh.Listen != config.Listen || fresh.Name != config.Name ||
			!bytes.Equal(fresh.Settings.JSON, config.Settings.JSON) {
			n.log.Warn("a new name, listen or settings takes effect at the next start")
		}
		moved := fresh.Discovery != config.Discovery
		config.Discovery = fresh.Discovery
		config.Descriptors = fresh.Descriptors
		config.MemoryMiB = fresh.MemoryMiB
		n.budget.Resize(descriptorLimit(fresh))
		n.server.SetMemoryLimit(fresh.MemoryMiB)
		n.log.Info("configuration read anew",
			"discovery", fresh.Discovery, "moved", moved, "descriptors", fresh.Descriptors)
		if moved && len(n.watches) > 0 { // before the start there is none to replace
			n.watchEndpoints(fresh.Discovery)
		}
	})
}

// run serves until ctx ends and all that was taken is answered.
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

// shutDown ends gracefully: it returns once everything is answered, or its time
// is up.
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
