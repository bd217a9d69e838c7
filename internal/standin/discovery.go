package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
)

// endpoint is a host's entry in the endpoint list.
type endpoint struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Group    int     `json:"group"`
	Status   string  `json:"status"`   // always "ready", also while the host is down
	Recovery string  `json:"recovery"` // "off" for a primary, "on" for a replica
	Since    float64 `json:"since_ms"` // start of the host, Unix milliseconds; 0 if it has not restarted
}

// EndpointList returns the endpoint list in the discovery service's JSON form.
// The roles in it are those at the start of the cluster; elections do not change
// them.
func (c *Cluster) EndpointList() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := struct {
		Index     uint64     `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}{Index: c.index, Snapshot: true}
	for _, g := range c.groups {
		for i, h := range g.hosts {
			list.Endpoints = append(list.Endpoints, h.endpoint(i == 0))
		}
	}
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // unreachable: these types can always be encoded
	}
	return body
}

// endpoint returns the host's entry in the endpoint list. firstPrimary says that it
// was the primary at the start of the cluster.
func (h *Host) endpoint(firstPrimary bool) endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	recovery := "on"
	if firstPrimary {
		recovery = "off"
	}
	return endpoint{
		Name:     h.Name,
		Address:  h.Address,
		Zone:     h.Zone,
		Group:    h.group.number,
		Status:   "ready",
		Recovery: recovery,
		Since:    h.startedAtMs,
	}
}

// maxWaitMs limits how long a long poll waits for a change of the endpoint list.
const maxWaitMs = 60000

// serveEndpoints is a long poll for the endpoint list. It answers immediately if
// the index of the list is past the parameter "after" or if "wait_ms" is 0 or
// absent, and otherwise after the next change or after "wait_ms" milliseconds.
func (c *Cluster) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseFloat(r.URL.Query().Get("wait_ms"), 64)
	if waitMs != 0 {
		ctx, cancel := context.WithTimeout(r.Context(), milliseconds(min(waitMs, maxWaitMs)))
		defer cancel()
		c.waitForChange(ctx, after)
	}
	_, _ = w.Write(c.EndpointList()) // a client that missed the answer polls again
}

// waitForChange returns when the index is past after, or when ctx is done.
func (c *Cluster) waitForChange(ctx context.Context, after uint64) {
	for {
		c.mu.Lock()
		current := c.index
		changed := c.changed
		c.mu.Unlock()
		if current > after {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// publishChange increments the index and wakes the requests that wait for a change.
func (c *Cluster) publishChange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
}
