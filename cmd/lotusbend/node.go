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
	// lingerFor is how long after SIGTERM, in milliseconds, new clients are
	// still served: the front needs a while to hear of the restart.
	lingerFor = 600
	// leaveFor is how long the last answers may take to leave.
	leaveFor = 100
	// defaultSockets stands in where the configuration sets no limit.
	defaultSockets = 1024
)

// node is one router put together.
type node struct {
	loop    *clock.Loop
	budget  *netio.Budget
	log     *slog.Logger
	router  *router.Router
	pool    *backend.Pool
	server  *frontend.Server
	watcher discovery.Watcher
	known   discovery.List
}

// newNode puts a router together; it listens, and takes clients once run.
func newNode(c *config.Config, loop *clock.Loop, log *slog.Logger) (*node, error) {
	sockets := c.Sockets
	if sockets == 0 {
		sockets = defaultSockets
	}
	budget := netio.NewBudget(sockets)
	r, err := router.New(loop, c.Settings.Config, c.Seed)
	if err != nil {
		return nil, err
	}
	n := &node{loop: loop, budget: budget, log: log, router: r, known: c.Known}
	n.pool = backend.New(loop, backend.Options{
		ConnectTimeout: c.Settings.ConnectTimeout, IdleTimeout: c.Settings.ConnIdle,
	}, budget, r)
	if n.server, err = frontend.Listen(c.Listen, loop, budget, r); err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	n.watcher = discovery.Watcher{Loop: loop, Log: log, Address: c.Discovery, Names: c.Names, News: n.news}
	return n, nil
}

// news passes a list on.
func (n *node) news(list discovery.List) {
	kind := decide.ListDelta
	if list.Whole {
		kind = decide.ListFull
	}
	n.router.Listed(kind, n.members(list))
}

// members tells the pool of the hosts and returns them in the module's terms.
func (n *node) members(list discovery.List) []decide.Member {
	members := make([]decide.Member, len(list.Hosts))
	for i, h := range list.Hosts {
		n.pool.SetHost(h.ID, h.Address, h.State == decide.Ready)
		members[i] = h.Member
	}
	return members
}

// run serves until ctx ends and all that was taken is answered.
func (n *node) run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	n.loop.Do(func() { n.router.Start(n.pool, n.members(n.known)) })
	go n.watcher.Run(running)
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve() }()
	n.log.Info("serving", "listen", n.server.Address(), "hosts", len(n.known.Hosts))
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	linger := n.loop.After(lingerFor)
	n.log.Info("stopping", "linger_ms", lingerFor)
	<-linger
	n.loop.Do(n.server.Drain)
	for open := 1; open > 0; { // one more round lets the last answers leave
		n.loop.Do(func() { open = n.router.Open() })
		<-n.loop.After(leaveFor)
	}
	n.log.Info("stopped")
	return nil
}
