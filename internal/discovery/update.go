// Package discovery keeps the list of database hosts: it reads the list's
// JSON and follows its changes over HTTP.
package discovery

import (
	"errors"
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"lotusbend/decide"
	"lotusbend/internal/clock"
)

// Host is one line of the list.
type Endpoint struct {
	decide.Endpoint // its ID is this router's own number for Name
	Name, Address   string
}

// List is the whole list or what has changed of it.
type Update struct {
	Index     uint64
	Snapshot  bool
	Endpoints []Endpoint
}

// Names gives hosts their numbers, the same as long as the program runs.
type EndpointIDs struct {
	zones []string
	ids   map[string]uint32
}

// NewEndpointIDs returns an empty register; zones are those of the settings.
func NewEndpointIDs(zones []string) *EndpointIDs {
	return &EndpointIDs{zones: zones, ids: map[string]uint32{}}
}

var errList = errors.New("discovery: not a list of endpoints")

// Parse reads a list. An entry that cannot be used is left out of it.
func (n *EndpointIDs) Parse(v *fastjson.Value) (Update, error) {
	entries := v.Get("endpoints")
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return Update{}, errList
	}
	list := Update{Index: v.GetUint64("index"), Snapshot: v.GetBool("snapshot")}
	for _, e := range entries.GetArray() {
		if h, ok := n.host(e); ok {
			list.Endpoints = append(list.Endpoints, h)
		}
	}
	return list, nil
}

func (n *EndpointIDs) host(e *fastjson.Value) (Endpoint, bool) {
	h := Endpoint{Name: string(e.GetStringBytes("name")), Address: string(e.GetStringBytes("address"))}
	if h.Name == "" {
		return h, false
	}
	switch string(e.GetStringBytes("status")) {
	case "ready":
		h.State = decide.Ready
	case "draining":
		h.State = decide.Draining
	case "gone":
		h.State = decide.Removed
	default:
		return h, false
	}
	id, ok := n.ids[h.Name]
	if !ok {
		id = uint32(len(n.ids) + 1)
		n.ids[h.Name] = id
	}
	h.ID = id
	h.Zone = slices.Index(n.zones, string(e.GetStringBytes("zone")))
	h.Group = e.GetInt("group")
	h.Primary = string(e.GetStringBytes("recovery")) == "off"
	h.StartedAt = clock.Duration(e.GetFloat64("since_ms"))
	return h, true
}

// ParseBytes reads a list from JSON.
func (n *EndpointIDs) ParseBytes(body []byte) (Update, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return Update{}, fmt.Errorf("discovery: %w", err)
	}
	return n.Parse(v)
}
