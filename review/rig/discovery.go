package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one entry of the endpoint list.
type Entry struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Type     string  `json:"type"`
	Group    int     `json:"group"`
	Status   string  `json:"status"`
	Weight   float64 `json:"weight"`
	SinceMs  float64 `json:"since_ms"`
	Recovery string  `json:"recovery,omitempty"`
}

// EntryOf returns the entry of a host that is ready.
func EntryOf(h *Host, primary bool) Entry {
	recovery := "on"
	if primary {
		recovery = "off"
	}
	return Entry{
		Name: h.Name, Address: h.Address, Zone: "umea-east", Type: "std-3core", Group: h.Group,
		Status: "ready", Weight: 1, Recovery: recovery,
	}
}

// Discovery is a stand-in for the agent of discovery, which always answers with the
// whole list.
type Discovery struct {
	Address string

	server  *http.Server
	mu      sync.Mutex
	index   uint64
	entries []Entry
	changed chan struct{}
	polls   int
}

// NewDiscovery starts an agent with the given list.
func NewDiscovery(index uint64, entries []Entry) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Address: listener.Addr().String(),
		index:   index,
		entries: entries,
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", d.serve)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Close ends the agent.
func (d *Discovery) Close() { _ = d.server.Close() }

// Polls returns how many requests the agent has received.
func (d *Discovery) Polls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.polls
}

// Publish replaces the list.
func (d *Discovery) Publish(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the list in discovery's form.
func (d *Discovery) List() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.entries})
	if err != nil {
		panic(err) // these types can always be encoded
	}
	return text
}

// serve answers a request: at once if the list is newer than the request's version,
// otherwise after the next change or the time that the request allows.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	d.polls++
	index, changed := d.index, d.changed
	d.mu.Unlock()
	if waitMs > 0 && index <= after {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	_, _ = w.Write(d.List()) // a router that missed the answer polls again
}
