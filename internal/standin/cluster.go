package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// Cluster is a set of database groups and the discovery service that lists their
// hosts.
type Cluster struct {
	Discovery string // host:port of the discovery service

	opt    Options
	groups []*group
	server *http.Server

	mu      sync.Mutex
	index   uint64        // version of the endpoint list
	changed chan struct{} // closed and replaced when index changes
}

// Start starts every host and the discovery service on loopback addresses. The
// caller must call Close.
func Start(opt Options) (*Cluster, error) {
	c := &Cluster{opt: opt, index: 1, changed: make(chan struct{})}
	for number := 1; number <= opt.Groups+opt.StandaloneGroups; number++ {
		replicas := opt.Replicas
		if number > opt.Groups {
			replicas = 0
		}
		g, err := startGroup(&c.opt, number, replicas)
		if err != nil {
			return nil, err
		}
		c.groups = append(c.groups, g)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: listening for discovery: %w", err)
	}
	c.Discovery = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", c.serveEndpoints)
	c.server = &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(listener) }() // ends with Close
	return c, nil
}

// startGroup starts the hosts of a group. The first one is its primary.
func startGroup(opt *Options, number, replicas int) (*group, error) {
	g := &group{
		opt:    opt,
		number: number,
		rand:   rand.New(rand.NewPCG(opt.Seed, uint64(number))),
		rows:   map[string]int{},
		keys:   map[string]*keyState{},
	}
	for i := range replicas + 1 {
		h := &Host{
			Name:  fmt.Sprintf("s%d-%d", number, i),
			Zone:  "east",
			group: g,
			lagMs: g.draw(opt.ReplicateMinMs, opt.ReplicateMaxMs) + 5,
			cores: make(chan struct{}, opt.Cores),
		}
		if err := h.start(); err != nil {
			return nil, err
		}
		g.hosts = append(g.hosts, h)
	}
	g.primary = g.hosts[0]
	return g, nil
}

// Close stops the discovery service and every host.
func (c *Cluster) Close() {
	_ = c.server.Close()
	for _, g := range c.groups {
		for _, h := range g.hosts {
			h.stop()
		}
	}
}

// Primary returns the primary of a group, or nil during an election. Groups are
// numbered from 1.
func (c *Cluster) Primary(group int) *Host {
	g := c.groups[group-1]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Hosts returns the hosts of a group. The first one was the primary at the start.
// Groups are numbered from 1.
func (c *Cluster) Hosts(group int) []*Host { return c.groups[group-1].hosts }

// Crash stops a host, resets its connections and restarts it after downMs
// milliseconds. If it is a primary and stays down for long enough, its group elects
// another. Crash does not wait for the election or the restart.
func (c *Cluster) Crash(h *Host, downMs float64) {
	h.stop()
	go h.group.failOver(h)
	go func() {
		sleepMs(downMs)
		h.mu.Lock()
		h.startedAtMs = nowMs()
		h.mu.Unlock()
		if err := h.start(); err == nil {
			sleepMs(500) // discovery lists a restart with a delay
			c.publishChange()
		}
	}()
}

// Hang makes a host receive statements without answering them for ms milliseconds.
// If it is a primary and hangs for long enough, its group elects another. Hang does
// not wait for the election or the end of the hang.
func (c *Cluster) Hang(h *Host, ms float64) {
	hung := make(chan struct{})
	h.mu.Lock()
	h.hung = hung
	h.mu.Unlock()
	go h.group.failOver(h)
	go func() {
		sleepMs(ms)
		h.mu.Lock()
		h.hung = nil
		h.mu.Unlock()
		close(hung)
	}()
}

// Executions returns every write that took effect, by group and then in the order
// of execution.
func (c *Cluster) Executions() (all []Execution) {
	for _, g := range c.groups {
		g.mu.Lock()
		all = append(all, g.log...)
		g.mu.Unlock()
	}
	return all
}

// StaleReads returns how many reads of Options.BoundedClass replicas answered with
// data older than Options.MaxStalenessMs.
func (c *Cluster) StaleReads() (count int) {
	for _, g := range c.groups {
		g.mu.Lock()
		count += g.staleReads
		g.mu.Unlock()
	}
	return count
}

// WriteCounts returns how many writes were not executed because their idempotency
// key was known, and how many were lost with their primary.
func (c *Cluster) WriteCounts() (repeats, aborted int) {
	for _, g := range c.groups {
		g.mu.Lock()
		repeats += g.repeats
		aborted += g.aborted
		g.mu.Unlock()
	}
	return repeats, aborted
}
