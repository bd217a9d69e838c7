package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"log/slog"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/discovery"
	"lotusbend/internal/discovery/polling"
	"lotusbend/internal/edge"
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/netio"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/postgres/back"
	"lotusbend/internal/postgres/front"
	"lotusbend/internal/router"
)

const (
	// lingerFor is how long after SIGTERM, in milliseconds, new clients are
	// still served: the front needs a while to hear of the restart.
	lingerFor = 600
	// settleFor is how long, in milliseconds, devices' readings may take to
	// have their answers; who gets none by then sends them again.
	settleFor = 3000
	// stopBeat is how often it is looked what is left when stopping.
	stopBeat = 20
	// turnedAwayFor is how long those turned away last have to hear so.
	turnedAwayFor = 1000
	// defaultSockets stands in where the configuration sets no limit.
	defaultSockets = 1024
)

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
	watches []*watch             // under way, the newest last
	names   map[uint32]string    // of hosts, by the module's numbers; nil without shared state
}

// newNode puts a router together; it listens, and takes clients once run.
func newNode(c *deployconfig.Config, opt *operatorconfig.Options, loop *clock.Loop, log *slog.Logger) (*node, error) {
	budget := netio.NewDescriptorBudget(cmp.Or(c.Descriptors, defaultSockets))
	r, err := router.New(loop, c.Settings.Config, c.Seed)
	if err != nil {
		return nil, err
	}
	n := &node{loop: loop, budget: budget, log: log, router: r, config: c}
	n.pool = back.New(loop, back.Options{
		ConnectTimeout: c.Settings.ConnectTimeoutMs, IdleTimeout: c.Settings.IdleTimeoutMs,
	}, budget, r)
	if n.server, err = front.Listen(c.Listen, loop, budget, c.MemoryMiB, r); err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	if opt.Edge != nil {
		if n.edge, err = edge.New(opt.Edge, loop, log, budget, r, c.Seed); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// watch is one of discovery's list at one address.
type watch struct{ stop context.CancelFunc }

// follow watches the list at an address, in place of every earlier one once
// that has told it: until then what an earlier one tells still counts. It runs
// inside Do.
func (n *node) follow(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	self := &watch{cancel}
	n.watches = append(n.watches, self)
	heard := false
	w := discovery.Watcher{Loop: n.loop, Log: n.log, Address: address, IDs: n.config.EndpointIDs, OnUpdate: func(list discovery.Update) {
		if ctx.Err() != nil { // it waited for its turn while another took its place
			return
		}
		if !heard {
			heard = true
			n.log.Info("discovery heard", "address", address, "index", list.Index, "hosts", len(list.Endpoints))
		}
		for n.watches[0] != self {
			n.watches[0].stop()
			n.watches = n.watches[1:]
		}
		n.news(list)
	}}
	cfg := n.config.Settings.Config
	w.Schedule = polling.NewSchedule(polling.Config{
		Routers: cfg.Routers, PollOnly: cfg.PollOnly, PollInterval: clock.Millis(cfg.PollInterval),
	}, n.config.Seed+uint64(len(n.watches)))
	// Another address may count its lists otherwise, so only the first goes on
	// from what the configuration holds.
	if known := n.config.KnownEndpoints; cfg.PollOnly && len(n.watches) == 1 && len(known.Endpoints) > 0 {
		w.Schedule.Resume(known.Index)
	}
	go w.Run(ctx)
}

// reload puts a new configuration in force, as far as that goes while serving.
func (n *node) reload(c *deployconfig.Config) {
	n.loop.Do(func() {
		was := n.config
		if c.Listen != was.Listen || c.Name != was.Name || !bytes.Equal(c.Settings.JSON, was.Settings.JSON) {
			n.log.Warn("a new name, listen or settings takes effect at the next start")
		}
		moved := c.Discovery != was.Discovery
		was.Discovery, was.Descriptors, was.MemoryMiB = c.Discovery, c.Descriptors, c.MemoryMiB
		n.budget.Resize(cmp.Or(c.Descriptors, defaultSockets))
		n.server.LimitMemory(c.MemoryMiB)
		n.log.Info("configuration read anew", "discovery", c.Discovery, "moved", moved, "sockets", c.Descriptors)
		if moved && len(n.watches) > 0 { // before the start there is none to go on until the new one is heard
			n.follow(c.Discovery)
		}
	})
}

// observeEvery is how often, in milliseconds, what the router saw is told to
// the shared state.
const observeEvery = 50

// join has the module hear of the fleet until ctx ends: the view's count of
// routers, and with shared state the advice drawn from what peers say.
func (n *node) join(ctx context.Context, f *fleet) {
	if f == nil {
		return
	}
	guide := &fleetstate.FleetAdapter{} // owned by the loop
	n.loop.Do(func() {
		n.router.JoinFleet(guide)
		if f.link != nil {
			n.router.StartObserving()
			n.names = map[uint32]string{}
			guide.Set(f.link.First().OnClockAhead(-f.ahead), n.number, int64(n.loop.Now()))
		}
	})
	if f.link == nil {
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case k := <-f.view.Sizes():
					n.loop.Do(func() { guide.SetRouters(k) })
				}
			}
		}()
		return
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case a := <-f.link.Advice():
				n.loop.Do(func() { guide.Set(a.OnClockAhead(-f.ahead), n.number, int64(n.loop.Now())) })
				f.link.Applied(a.Seq)
			}
		}
	}()
	go func() {
		for ctx.Err() == nil {
			<-n.loop.After(observeEvery)
			n.loop.Do(func() {
				f.link.Offer(n.router.Observe(func(id uint32) string { return n.names[id] }).OnClockAhead(f.ahead))
			})
		}
	}()
}

// number is a host's number by its name. Names are few, and looked up only
// where advice is on some host.
func (n *node) number(name string) (uint32, bool) {
	for id, s := range n.names {
		if s == name {
			return id, true
		}
	}
	return 0, false
}

// news passes a list on.
func (n *node) news(list discovery.Update) {
	kind := decide.UpdateDelta
	if list.Snapshot {
		kind = decide.UpdateSnapshot
	}
	n.router.EndpointsUpdated(kind, n.members(list))
}

// members tells the pool of the hosts and returns them in the module's terms.
func (n *node) members(list discovery.Update) []decide.Endpoint {
	members := make([]decide.Endpoint, len(list.Endpoints))
	for i, h := range list.Endpoints {
		n.pool.SetHost(h.ID, h.Address, h.State == decide.Ready)
		if n.names != nil {
			n.names[h.ID] = h.Name
			if h.State == decide.Removed {
				delete(n.names, h.ID)
			}
		}
		members[i] = h.Endpoint
	}
	return members
}

// start takes up the work: the list as last known, and the watch for what it
// is now. What a reload changes comes after it.
func (n *node) start() {
	n.loop.Do(func() {
		n.router.Start(n.pool, n.members(n.config.KnownEndpoints))
		n.follow(n.config.Discovery)
	})
}

// run serves until ctx ends and all that was taken is answered.
func (n *node) run(ctx context.Context) error {
	defer n.loop.Do(func() {
		for _, w := range n.watches {
			w.stop()
		}
	})
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve() }()
	n.log.Info("serving", "listen", n.server.Address(), "hosts", len(n.config.KnownEndpoints.Endpoints))
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
	s := stopping{node: n, ended: make(chan struct{})}
	n.loop.Do(func() { n.loop.At(n.loop.Now()+lingerFor, s.begin) })
	n.log.Info("stopping", "linger_ms", lingerFor)
	<-s.ended
	if n.edge != nil {
		if err := n.edge.Close(); err != nil {
			return fmt.Errorf("closing the edge: %w", err)
		}
	}
	n.log.Info("stopped", "clients_cut", s.clients, "clients_unsent", s.unsent)
	return nil
}

// stopping is a graceful shutdown after the linger. It lives in the loop.
type stopping struct {
	*node
	began   float64
	alone   float64 // since when only connections that were turned away are left, 0 if others are
	clients int     // connections left
	unsent  int     // of these, with answers that are not all with the system
	ended   chan struct{}
}

func (s *stopping) begin() {
	s.began = s.loop.Now()
	s.server.Drain()
	if s.edge != nil {
		s.edge.Drain()
	}
	s.look()
}

// look ends the shutdown when nothing is left to wait for: a request, the way
// of its answer to the client, a connection that has not ended. Each has its
// bound: a request the longest wait that any class gives its clients, whatever
// its own client says; an answer and an end their own in the front; and those
// who go on coming and are turned away one second.
func (s *stopping) look() {
	now := s.loop.Now()
	if now >= s.began+s.longestWait() {
		s.router.Expire()
	}
	clients, leaving := s.server.Open()
	s.clients, s.unsent = clients+leaving, s.server.Unsent()
	held := s.router.PendingRequests() > 0 || clients > 0 || s.edge != nil && s.edge.Owes() && now < s.began+settleFor
	if held {
		s.alone = 0
	} else if s.alone == 0 {
		s.alone = now
	}
	if held || leaving > 0 && now < s.alone+turnedAwayFor {
		s.loop.At(now+stopBeat, s.look)
	} else {
		close(s.ended)
	}
}

// longestWait is the longest that a client waits, by the settings, in
// milliseconds; settings that do not tell cut nobody off.
func (n *node) longestWait() float64 {
	most := float64(settleFor)
	for _, c := range n.config.Settings.Config.Classes {
		most = max(most, clock.Millis(c.Deadline))
	}
	return most
}
