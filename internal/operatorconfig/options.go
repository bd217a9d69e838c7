// Package operatorconfig reads the operators' own settings file: JSON with comments
// and trailing commas (JWCC). Everything in it is off where the file does not
// name it. It is strict: what it does not know, or cannot take, is an error of
// one line with file, line and path, and the caller keeps what it had.
package operatorconfig

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strings"

	"lotusbend/internal/edge/intake"
	rules "lotusbend/internal/membership"
)

// Options is the file's contents, checked.
type Options struct {
	Level slog.Level
	JSON  bool  // log lines as JSON
	Edge  *Edge // nil where the edge is off
	// Membership is nil where the fleet's view is off: then the router acts
	// as it did before there was one.
	Membership *Membership
	// Shared is nil where routers share no state; it needs Membership.
	Shared *Shared
}

// Edge switches the edge for devices on.
type Edge struct {
	CoAP, MQTT, Frames string // addresses to listen on, "" for none
	Intake             intake.Config
	Routes             []Route
	Connections        int     // of devices over TCP, at most
	Sessions           int     // MQTT sessions kept for devices that are away
	SessionMs          float64 // how long at most
	Exchanges          int     // CoAP exchanges remembered
	MessageBytes       int     // the largest message
	PartialBytes       int     // of all unfinished messages together
	StallWindowMs      float64 // progress is measured over it
	StallBytes         int     // the least progress in it
	FirstMs            float64 // until a connection's first whole message
	IdleMs             float64 // until a silent framed connection ends
	Store              string  // the file of the store, "" for pass-through
	StoreBytes         int     // of readings in the store
}

// Route says where a path, topic or kind of frame goes.
type Route struct {
	Match  string // CoAP path, MQTT topic, kind of a frame
	Groups []int  // a device's group is drawn from these by its name
	Write  string // the class of its readings, "" for a route of reads
	Check  string // the class that must see all that was written
	Read   string // the class of reads
	Table  string
}

// Load reads the file at path.
func Load(path string) (*Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's contents.
func Parse(name string, text []byte) (*Options, error) {
	if len(strings.TrimSpace(string(text))) == 0 {
		return nil, fmt.Errorf("%s:1: $: %w", name, errEmpty)
	}
	t, err := parse(name, text)
	if err != nil {
		return nil, err
	}
	o := &Options{}
	t.object([]string{"log", "edge", "membership", "shared"}, func(name string, v *tree) {
		switch name {
		case "log":
			o.log(v)
		case "edge":
			o.Edge = edge(v)
		case "membership":
			d := rules.Defaults()
			o.Membership = membership(v, d.ProbeIntervalMs, d.SuspicionMult, d.GossipBytesPerSecond)
		case "shared":
			o.Shared = shared(v)
		}
	})
	if t.file.err == nil && o.Shared != nil && o.Membership == nil {
		t.fail("shared needs membership")
	}
	if t.file.err != nil {
		return nil, t.file.err
	}
	return o, nil
}

func (o *Options) log(t *tree) {
	t.object([]string{"level", "form"}, func(name string, v *tree) {
		switch name {
		case "level":
			if s := v.choice("debug", "info", "warn", "error"); t.file.err == nil {
				_ = o.Level.UnmarshalText([]byte(s)) // one of its own names
			}
		case "form":
			o.JSON = v.choice("text", "json") == "json"
		}
	})
}

const (
	maxMs    = 86400e3
	maxBytes = 1 << 40
	maxCount = 10_000_000
)

// edge reads the section of the edge; what it leaves out has a default that
// suits a small router.
func edge(t *tree) *Edge {
	e := &Edge{
		Intake: intake.Defaults(), Connections: 2000, Sessions: 10000, SessionMs: 3600e3, Exchanges: 10000,
		MessageBytes: 16 << 10, PartialBytes: 1 << 20, StallWindowMs: 10000, StallBytes: 64,
		FirstMs: 10000, IdleMs: 600e3, StoreBytes: 64 << 20,
	}
	ms := func(to *float64) func(*tree) { return func(v *tree) { *to = v.number(1, maxMs, false) } }
	count := func(to *int, high int) func(*tree) { return func(v *tree) { *to = v.integer(1, high) } }
	address := func(to *string) func(*tree) {
		return func(v *tree) {
			*to = v.text()
			if _, err := netip.ParseAddrPort(*to); err != nil {
				v.fail("%q is no address and port", *to)
			}
		}
	}
	c := &e.Intake
	fields := map[string]func(*tree){
		"coap": address(&e.CoAP), "mqtt": address(&e.MQTT), "frames": address(&e.Frames),
		"routes":      func(v *tree) { v.array(100, func(v *tree) { e.Routes = append(e.Routes, route(v)) }) },
		"connections": count(&e.Connections, maxCount), "sessions": count(&e.Sessions, maxCount), "session_ms": ms(&e.SessionMs),
		"exchanges": count(&e.Exchanges, maxCount), "message_bytes": count(&e.MessageBytes, 1<<16),
		"partial_bytes": count(&e.PartialBytes, maxBytes), "stall_window_ms": ms(&e.StallWindowMs),
		"stall_bytes": count(&e.StallBytes, 1<<16), "first_ms": ms(&e.FirstMs), "idle_ms": ms(&e.IdleMs),
		"store": func(v *tree) { e.Store = v.text(); c.Durable = e.Store != "" }, "store_bytes": count(&e.StoreBytes, maxBytes),
		"readings": count(&c.MaxReadings, maxCount), "bytes": count(&c.MaxBytes, maxBytes),
		"per_device": count(&c.PerDevice, maxCount), "per_network": count(&c.PerNetwork, maxCount),
		"devices": count(&c.MaxDevices, maxCount), "recent": count(&c.Recent, 4096), "waiters": count(&c.Waiters, 64),
		"trust_first": func(v *tree) { c.TrustFirst = v.boolean() }, "window": count(&c.MaxWindow, 10000), "write_wait_ms": ms(&c.WriteWait), "check_wait_ms": ms(&c.CheckWait),
		"may_run_ms": ms(&c.MayRun), "clock_margin_ms": ms(&c.Margin), "answer_ms": ms(&c.AnswerWithin),
		"retry_min_ms": ms(&c.RetryMin), "retry_max_ms": ms(&c.RetryMax), "ramp_ms": ms(&c.Ramp),
	}
	known := make([]string, 0, len(fields))
	for name := range fields {
		known = append(known, name)
	}
	slices.Sort(known)
	t.object(known, func(name string, v *tree) { fields[name](v) })
	if t.file.err != nil {
		return e
	}
	if e.CoAP == "" && e.MQTT == "" && e.Frames == "" {
		t.fail("one of coap, mqtt and frames is needed")
	}
	if len(e.Routes) == 0 {
		t.fail("routes are needed")
	}
	if c.RetryMin > c.RetryMax {
		t.fail("retry_min_ms is over retry_max_ms")
	}
	if c.PerDevice > c.MaxReadings || c.PerNetwork > c.MaxReadings {
		t.fail("per_device and per_network must not be over readings")
	}
	if e.MessageBytes > e.PartialBytes {
		t.fail("message_bytes is over partial_bytes")
	}
	return e
}

func route(t *tree) Route {
	r := Route{Table: "items"}
	t.object([]string{"match", "groups", "write", "check", "read", "table"}, func(name string, v *tree) {
		switch name {
		case "match":
			if r.Match = v.text(); !plain(r.Match, "/-_.", 64) {
				v.fail("%q: 1 to 64 letters, digits, or / - _ . are expected", r.Match)
			}
		case "groups":
			v.array(1000, func(v *tree) { r.Groups = append(r.Groups, v.integer(0, 1<<16-1)) })
		case "write":
			r.Write = v.text()
		case "check":
			r.Check = v.text()
		case "read":
			r.Read = v.text()
		case "table":
			if r.Table = v.text(); !plain(r.Table, "_", 63) {
				v.fail("%q is no plain name of a table", r.Table)
			}
		}
	})
	switch {
	case t.file.err != nil:
	case r.Match == "":
		t.fail("match is needed")
	case len(r.Groups) == 0:
		t.fail("groups are needed")
	case r.Write == "" && r.Read == "":
		t.fail("write or read is needed")
	case r.Write != "" && r.Check == "":
		t.fail("write needs check, a class that sees all that was written")
	}
	return r
}

// plain tells whether s is short and holds letters, digits and extra only.
func plain(s, extra string, most int) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune(extra, c) {
			return false
		}
	}
	return len(s) > 0 && len(s) <= most
}
