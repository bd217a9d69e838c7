// Package discovery keeps a router's endpoint list up to date. It polls the
// discovery service over HTTP and parses the endpoint list.
//
// update.go parses the list's JSON, watcher.go polls the service, and response.go
// reads HTTP responses. Package polling decides when to poll and what to request.
package discovery

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/valyala/fastjson"

	"lotusbend/decide"
	"lotusbend/internal/clock"
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	decide.Endpoint // its ID is assigned by EndpointIDs
	Name            string
	Address         string // host:port
}

// Update is a snapshot of the endpoint list, or the changes since an earlier
// version.
type Update struct {
	Index     uint64 // version of the list
	Snapshot  bool   // Endpoints is the whole list, otherwise only the changed entries
	Endpoints []Endpoint
}

// EndpointIDs parses updates and assigns an ID to each endpoint name. A name keeps
// its ID as long as the program runs. EndpointIDs is safe for concurrent use: while
// discovery moves to another address, the watches on both parse their lists.
type EndpointIDs struct {
	zones []string

	mu  sync.Mutex
	ids map[string]uint32 // by endpoint name
}

// NewEndpointIDs returns an EndpointIDs that has assigned no IDs. zones are the
// zone names in the settings. An endpoint's Zone is an index into them, -1 if its
// zone is not among them.
func NewEndpointIDs(zones []string) *EndpointIDs {
	return &EndpointIDs{zones: zones, ids: map[string]uint32{}}
}

var errMalformedList = errors.New(`discovery: parsing endpoint list: "endpoints" is not an array`)

// Parse reads an update from a JSON document. It skips entries that have no name or
// an unknown status, so that a malformed entry does not invalidate the others.
// It returns an error if the document has no array of endpoints.
func (e *EndpointIDs) Parse(document *fastjson.Value) (Update, error) {
	entries := document.Get("endpoints")
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return Update{}, errMalformedList
	}
	update := Update{
		Index:    document.GetUint64("index"),
		Snapshot: document.GetBool("snapshot"),
	}
	for _, entry := range entries.GetArray() {
		if endpoint, ok := e.parseEndpoint(entry); ok {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	return update, nil
}

// parseEndpoint reads one entry and reports whether it is valid.
func (e *EndpointIDs) parseEndpoint(entry *fastjson.Value) (Endpoint, bool) {
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
	endpoint.ID = e.id(endpoint.Name)
	endpoint.Zone = slices.Index(e.zones, string(entry.GetStringBytes("zone")))
	endpoint.Group = entry.GetInt("group")
	endpoint.Primary = string(entry.GetStringBytes("recovery")) == "off" // a replica is in recovery
	endpoint.StartedAt = clock.Duration(entry.GetFloat64("since_ms"))
	return endpoint, true
}

// id returns the ID of an endpoint name, and assigns one to a new name.
func (e *EndpointIDs) id(name string) uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, ok := e.ids[name]
	if !ok {
		id = uint32(len(e.ids) + 1)
		e.ids[name] = id
	}
	return id
}

// ParseBytes is like Parse, for a JSON text.
func (e *EndpointIDs) ParseBytes(body []byte) (Update, error) {
	document, err := fastjson.ParseBytes(body)
	if err != nil {
		return Update{}, fmt.Errorf("discovery: parsing endpoint list: %w", err)
	}
	return e.Parse(document)
}
