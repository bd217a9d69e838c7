// Package discovery keeps a router's endpoint list current: it parses the list
// and watches its changes over HTTP.
//
// update.go parses the list's JSON, watcher.go keeps the watch, response.go
// reads HTTP responses. When to poll, and for what, is decided in package
// polling.
package discovery

import (
	"errors"
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"lotusbend/decide"
	"lotusbend/internal/clock"
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	decide.Endpoint // its ID is assigned by an EndpointIDs
	Name            string
	Address         string // host and port
}

// Update is the whole endpoint list, or what has changed of it.
type Update struct {
	Index     uint64 // the list's version
	Snapshot  bool   // Endpoints is the whole list
	Endpoints []Endpoint
}

// EndpointIDs assigns endpoints their IDs by their names. An ID stays the same
// as long as the program runs. It is not safe for concurrent use.
type EndpointIDs struct {
	zones []string
	ids   map[string]uint32
}

// NewEndpointIDs returns an EndpointIDs that has assigned none. zones are the
// names of the zones in the settings; an endpoint's zone is an index into them.
func NewEndpointIDs(zones []string) *EndpointIDs {
	return &EndpointIDs{zones: zones, ids: map[string]uint32{}}
}

var errList = errors.New("discovery: not a list of endpoints")

// Parse reads an update. It skips entries that are malformed or of unknown
// status: one of them must not cost the others.
func (n *EndpointIDs) Parse(document *fastjson.Value) (Update, error) {
	entries := document.Get("endpoints")
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return Update{}, errList
	}
	update := Update{
		Index:    document.GetUint64("index"),
		Snapshot: document.GetBool("snapshot"),
	}
	for _, entry := range entries.GetArray() {
		if endpoint, ok := n.parseEndpoint(entry); ok {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	return update, nil
}

// parseEndpoint reads one entry, and reports whether it can be used.
func (n *EndpointIDs) parseEndpoint(entry *fastjson.Value) (Endpoint, bool) {
	endpoint := Endpoint{
		Name:    string(entry.GetStringBytes("name")),
		Address: string(entry.GetStringBytes("address")),
	}
	if endpoint.Name == "" {
		return endpoint, false
	}
	switch string(entry.GetStringBytes("status")) {
	case "ready":
		endpoint.State = decide.Ready
	case "draining":
		endpoint.State = decide.Draining
	case "gone":
		endpoint.State = decide.Removed
	default:
		return endpoint, false
	}
	endpoint.ID = n.id(endpoint.Name)
	endpoint.Zone = slices.Index(n.zones, string(entry.GetStringBytes("zone")))
	endpoint.Group = entry.GetInt("group")
	endpoint.Primary = string(entry.GetStringBytes("recovery")) == "off"
	endpoint.StartedAt = clock.Duration(entry.GetFloat64("since_ms"))
	return endpoint, true
}

// id returns the ID of a name, a new one for a new name.
func (n *EndpointIDs) id(name string) uint32 {
	id, ok := n.ids[name]
	if !ok {
		id = uint32(len(n.ids) + 1)
		n.ids[name] = id
	}
	return id
}

// ParseBytes reads an update from JSON.
func (n *EndpointIDs) ParseBytes(body []byte) (Update, error) {
	document, err := fastjson.ParseBytes(body)
	if err != nil {
		return Update{}, fmt.Errorf("discovery: %w", err)
	}
	return n.Parse(document)
}
