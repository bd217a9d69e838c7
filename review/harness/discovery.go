package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a host in the endpoint list.
type Entry struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Type     string  `json:"type"`
	Group    int     `json:"group"`
	Status   string  `json:"status"`
	Weight   float64 `json:"weight"`
	SinceMs  float64 `json:"since_ms"`
	Recovery string  `json:"recovery"`
}

// EntryOf returns the entry of a host that has run for long.
func EntryOf(h *Host, status string) Entry {
	entry := Entry{Name: h.Name, Address: h.Address, Zone: "umea-east", Type: "std-3core", Group: h.Group,
		Status: status, Weight: 1, Recovery: "on"}
	if h.Primary {
		entry.Recovery = "off"
	}
	return entry
}

// Discovery is a stand-in for the discovery agent. It answers every watch with the
// whole list.
type Discovery struct {
	Name    string
	Address string
	Record  *Recorder

	server  *http.Server
	mu      sync.Mutex
	index   uint64
	entries []Entry
	changed chan struct{}
	calls   int
}

// Start listens on a free port.
func (d *Discovery) Start(entries ...Entry) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.Address = listener.Addr().String()
	d.index = 1
	d.entries = entries
	d.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", d.serve)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

// Stop ends the agent.
func (d *Discovery) Stop() {
	if d.server != nil {
		_ = d.server.Close()
	}
}

// Calls returns the number of calls so far.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// Publish replaces the list.
func (d *Discovery) Publish(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the list as JSON.
func (d *Discovery) List() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.entries})
	return body
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseFloat(r.URL.Query().Get("wait_ms"), 64)
	d.mu.Lock()
	d.calls++
	first := d.calls == 1
	changed := d.changed
	current := d.index
	d.mu.Unlock()
	if first {
		d.Record.Note("discovery %s: first call %s", d.Name, r.URL)
	}
	if waitMs > 0 && current <= after {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond):
			d.mu.Lock()
			index := d.index
			d.mu.Unlock()
			body, _ := json.Marshal(map[string]any{"index": index, "snapshot": false, "endpoints": []Entry{}})
			_, _ = w.Write(body)
			return
		}
	}
	_, _ = w.Write(d.List())
}
