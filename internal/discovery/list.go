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
type Host struct {
	decide.Endpoint // its ID is this router's own number for Name
	Name, Address   string
}

// List is the whole list or what has changed of it.
type List struct {
	Index uint64
	Whole bool
	Hosts []Host
}

// Names gives hosts their numbers, the same as long as the program runs.
type Names struct {
	zones []string
	ids   map[string]uint32
}

// NewNames returns an empty register; zones are those of the settings.
func NewNames(zones []string) *Names { return &Names{zones: zones, ids: map[string]uint32{}} }

var errList = errors.New("discovery: not a list of endpoints")

// Parse reads a list. An entry that cannot be used is left out of it.
func (n *Names) Parse(v *fastjson.Value) (List, error) {
	entries := v.Get("endpoints")
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return List{}, errList
	}
	list := List{Index: v.GetUint64("index"), Whole: v.GetBool("snapshot")}
	for _, e := range entries.GetArray() {
		if h, ok := n.host(e); ok {
			list.Hosts = append(list.Hosts, h)
		}
	}
	return list, nil
}

func (n *Names) host(e *fastjson.Value) (Host, bool) {
	h := Host{Name: string(e.GetStringBytes("name")), Address: string(e.GetStringBytes("address"))}
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
func (n *Names) ParseBytes(body []byte) (List, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	return n.Parse(v)
}
