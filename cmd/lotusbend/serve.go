package main

import (
	"context"
	"fmt"
	"log/slog"

	"lotusbend/decide"
	"lotusbend/internal/backend"
	"lotusbend/internal/clock"
	"lotusbend/internal/config"
	"lotusbend/internal/discovery"
	"lotusbend/internal/frontend"
	"lotusbend/internal/netio"
	"lotusbend/internal/router"
)

const (
	// lingerFor is how long after SIGTERM new connections are still taken:
	// the front needs a while to hear of the restart.
	lingerFor = 600
	// lastAnswers is how long those that come in at the end may take to leave.
	lastAnswers = 100
	// defaultSockets stands in where the configuration sets no limit.
	defaultSockets = 1024
)

// serve runs the router until ctx ends and all that it took is answered.
func serve(ctx context.Context, c *config.Config, log *slog.Logger) error {
	loop := clock.NewLoop(clock.System())
	sockets := c.Sockets
	if sockets == 0 {
		sockets = defaultSockets
	}
	budget := netio.NewBudget(sockets)
	r, err := router.New(loop, c.Settings.Config, c.Seed)
	if err != nil {
		return err
	}
	pool := backend.New(loop, backend.Options{
		ConnectTimeout: c.Settings.ConnectTimeout, IdleTimeout: c.Settings.ConnIdle,
	}, budget, r)
	server, err := frontend.Listen(c.Listen, loop, budget, r, log)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	listed := func(list discovery.List) []decide.Member {
		members := make([]decide.Member, len(list.Hosts))
		for i, h := range list.Hosts {
			pool.SetHost(h.ID, h.Address, h.State == decide.Ready)
			members[i] = h.Member
		}
		return members
	}
	loop.Do(func() { r.Start(pool, listed(c.Known)) })
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go loop.Run(running)
	watcher := discovery.Watcher{
		Loop: loop, Log: log, Address: c.Discovery, Names: c.Names,
		News: func(list discovery.List) {
			kind := decide.ListDelta
			if list.Whole {
				kind = decide.ListFull
			}
			r.Listed(kind, listed(list))
		},
	}
	go watcher.Run(running)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	log.Info("serving", "listen", server.Address(), "hosts", len(c.Known.Hosts))
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	log.Info("stopping: new connections are still taken for a while", "ms", lingerFor)
	<-loop.After(lingerFor)
	if err := server.Shut(); err != nil {
		log.Warn("closing the listener", "error", err)
	}
	loop.Do(server.Drain)
	for open := 1; open > 0; {
		<-loop.After(lastAnswers)
		loop.Do(func() { open = r.Open() })
	}
	log.Info("stopped")
	return nil
}
