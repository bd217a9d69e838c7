package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Cluster is all groups and the discovery that lists their hosts.
type Cluster struct {
	opt       Options
	groups    []*group
	Discovery string // its address

	mu      sync.Mutex
	index   uint64
	changed chan struct{}
	server  *http.Server
}

// Start starts every host and discovery on loopback.
func Start(opt Options) (*Cluster, error) {
	c := &Cluster{opt: opt, index: 1, changed: make(chan struct{})}
	for n := 1; n <= opt.Groups+opt.Singles; n++ {
		replicas := opt.Replicas
		if n > opt.Groups {
			replicas = 0
		}
		g := &group{opt: &c.opt, number: n, rand: rand.New(rand.NewPCG(opt.Seed, uint64(n))), rows: map[string]int{}, keys: map[string]*keyState{}}
		for i := range replicas + 1 {
			h := &Host{Name: fmt.Sprintf("s%d-%d", n, i), Zone: "east", group: g, lag: g.draw(opt.ShipMin, opt.ShipMax) + 5, slots: make(chan struct{}, opt.Cores)}
			if err := h.start(); err != nil {
				return nil, err
			}
			g.hosts = append(g.hosts, h)
		}
		g.primary = g.hosts[0]
		c.groups = append(c.groups, g)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.Discovery = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", c.endpoints)
	c.server = &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(ln) }() // ends with Close
	return c, nil
}

// Close ends discovery and every host.
func (c *Cluster) Close() {
	_ = c.server.Close()
	for _, g := range c.groups {
		for _, h := range g.hosts {
			h.stop()
		}
	}
}

type endpoint struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Group    int     `json:"group"`
	Status   string  `json:"status"`
	Recovery string  `json:"recovery"`
	Since    float64 `json:"since_ms"`
}

// List is the whole list in discovery's form. It shows who was primary at
// first, and never changes that.
func (c *Cluster) List() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := struct {
		Index     uint64     `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}{c.index, true, nil}
	for _, g := range c.groups {
		for i, h := range g.hosts {
			h.mu.Lock()
			e := endpoint{h.Name, h.Address, h.Zone, g.number, "ready", "on", h.since}
			h.mu.Unlock()
			if i == 0 {
				e.Recovery = "off"
			}
			all.Endpoints = append(all.Endpoints, e)
		}
	}
	b, err := json.Marshal(all)
	if err != nil {
		panic(err) // the types are plain
	}
	return b
}

func (c *Cluster) endpoints(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseFloat(r.URL.Query().Get("wait_ms"), 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 60000)*float64(time.Millisecond)))
	defer cancel()
	for {
		c.mu.Lock()
		news, changed := c.index > after, c.changed
		c.mu.Unlock()
		if news || wait == 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		}
		break
	}
	_, _ = w.Write(c.List()) // a caller that has gone asks again
}

func (c *Cluster) bump() {
	c.mu.Lock()
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
}

// Primary returns a group's primary, nil while it has none.
func (c *Cluster) Primary(group int) *Host {
	g := c.groups[group-1]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Crash ends a host, which comes back cold after so many milliseconds.
func (c *Cluster) Crash(h *Host, downFor float64) {
	h.stop()
	go h.group.fail(h)
	go func() {
		sleepMs(downFor)
		h.mu.Lock()
		h.since = nowMs()
		h.mu.Unlock()
		if err := h.start(); err == nil {
			sleepMs(500) // the list hears late
			c.bump()
		}
	}()
}

// Hang lets a host take work and answer nothing for so many milliseconds.
func (c *Cluster) Hang(h *Host, ms float64) {
	hung := make(chan struct{})
	h.mu.Lock()
	h.hung = hung
	h.mu.Unlock()
	go h.group.fail(h)
	go func() {
		sleepMs(ms)
		h.mu.Lock()
		h.hung = nil
		h.mu.Unlock()
		close(hung)
	}()
}

// Executions returns every write that took effect, group by group.
func (c *Cluster) Executions() (all []Execution) {
	for _, g := range c.groups {
		g.mu.Lock()
		all = append(all, g.log...)
		g.mu.Unlock()
	}
	return all
}

// Hosts returns a group's hosts, the first primary first.
func (c *Cluster) Hosts(group int) []*Host { return c.groups[group-1].hosts }

// Stale returns how many reads were answered from data older than BoundMs.
func (c *Cluster) Stale() (n int) {
	for _, g := range c.groups {
		g.mu.Lock()
		n += g.stale
		g.mu.Unlock()
	}
	return n
}

// Counts returns how many repeats of keys were dropped, and how many writes
// died with their primary.
func (c *Cluster) Counts() (repeats, aborted int) {
	for _, g := range c.groups {
		g.mu.Lock()
		repeats += g.repeats
		aborted += g.aborted
		g.mu.Unlock()
	}
	return repeats, aborted
}
