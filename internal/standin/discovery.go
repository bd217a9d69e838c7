package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
)

// endpoint is a host as the discovery service lists it.
type endpoint struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Group    int     `json:"group"`
	Status   string  `json:"status"`
	Recovery string  `json:"recovery"` // "off" for a primary
	Since    float64 `json:"since_ms"`
}

// EndpointList returns the endpoint list in the discovery service's JSON form.
// It shows which hosts were primaries at the start, also after they changed.
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
		panic(err) // these types can always be encoded
	}
	return body
}

// endpoint returns the host's entry in the endpoint list.
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

// maxWaitMs bounds how long a request for the endpoint list waits for a change.
const maxWaitMs = 60000

// serveEndpoints answers with the endpoint list: at once if its index is past
// the request's "after", otherwise after a change or "wait_ms".
func (c *Cluster) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseFloat(r.URL.Query().Get("wait_ms"), 64)
	if waitMs != 0 {
		ctx, cancel := context.WithTimeout(r.Context(), milliseconds(min(waitMs, maxWaitMs)))
		defer cancel()
		c.waitForChange(ctx, after)
	}
	_, _ = w.Write(c.EndpointList()) // a client that has gone polls again
}

// waitForChange returns when the index is past after, or ctx ends.
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

// publishChange wakes the clients that wait for a change of the list.
func (c *Cluster) publishChange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
}
