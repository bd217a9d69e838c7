package operatorconfig

import (
	"net/netip"
	"strings"

	"lotusbend/internal/edge/intake"
)

// Bounds of the edge's settings.
const (
	maxDurationMs     = 86400e3 // a day
	maxBytes          = 1 << 40
	maxCount          = 10_000_000
	maxRoutes         = 100
	maxRouteGroups    = 1000 // of a route
	maxGroupNumber    = 1<<16 - 1
	maxMatchBytes     = 64 // letters of a route's match
	maxTableNameBytes = 63 // letters of a table's name, as PostgreSQL takes them
)

// Edge switches the edge for devices on.
type Edge struct {
	CoAP   string // address to listen on, "" for none
	MQTT   string // likewise
	Frames string // likewise
	Intake intake.Config
	Routes []Route

	MaxConnections   int     // of devices over TCP
	MaxSessions      int     // MQTT sessions kept for devices that are away
	SessionExpiryMs  float64 // how long at most
	MaxExchanges     int     // CoAP exchanges remembered
	MaxMessageBytes  int
	UnfinishedBytes  int     // of all unfinished messages together, at most
	ProgressWindowMs float64 // progress of a message is measured over it
	MinProgressBytes int     // the least progress in it
	FirstMessageMs   float64 // until a connection's first complete message
	IdleTimeoutMs    float64 // until a silent framed connection ends
	Store            string  // the file of the store, "" for pass-through
	MaxStoreBytes    int     // of readings in the store
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

// defaultEdge suits a small router.
func defaultEdge() *Edge {
	return &Edge{
		Intake:           intake.Defaults(),
		MaxConnections:   2000,
		MaxSessions:      10000,
		SessionExpiryMs:  3600e3,
		MaxExchanges:     10000,
		MaxMessageBytes:  16 << 10,
		UnfinishedBytes:  1 << 20,
		ProgressWindowMs: 10000,
		MinProgressBytes: 64,
		FirstMessageMs:   10000,
		IdleTimeoutMs:    600e3,
		MaxStoreBytes:    64 << 20,
	}
}

// parseEdge reads the section of the edge; what it leaves out has a default.
func parseEdge(section *value) *Edge {
	edge := defaultEdge()
	fields := edge.fields()
	for name, parse := range intakeFields(&edge.Intake) {
		fields[name] = parse
	}
	section.section(fields)
	if section.ok() {
		edge.check(section)
	}
	return edge
}

// fields are the keys of the edge itself.
func (e *Edge) fields() map[string]func(*value) {
	return map[string]func(*value){
		"coap":            address(&e.CoAP),
		"mqtt":            address(&e.MQTT),
		"frames":          address(&e.Frames),
		"connections":     count(&e.MaxConnections, maxCount),
		"sessions":        count(&e.MaxSessions, maxCount),
		"session_ms":      milliseconds(&e.SessionExpiryMs),
		"exchanges":       count(&e.MaxExchanges, maxCount),
		"message_bytes":   count(&e.MaxMessageBytes, 1<<16),
		"partial_bytes":   count(&e.UnfinishedBytes, maxBytes),
		"stall_window_ms": milliseconds(&e.ProgressWindowMs),
		"stall_bytes":     count(&e.MinProgressBytes, 1<<16),
		"first_ms":        milliseconds(&e.FirstMessageMs),
		"idle_ms":         milliseconds(&e.IdleTimeoutMs),
		"store_bytes":     count(&e.MaxStoreBytes, maxBytes),
		"routes": func(v *value) {
			v.array(maxRoutes, func(v *value) { e.Routes = append(e.Routes, parseRoute(v)) })
		},
		"store": func(v *value) {
			e.Store = v.text()
			e.Intake.Durable = e.Store != ""
		},
	}
}

// intakeFields are the keys of the rules for readings.
func intakeFields(c *intake.Config) map[string]func(*value) {
	return map[string]func(*value){
		"readings":        count(&c.MaxReadings, maxCount),
		"bytes":           count(&c.MaxBytes, maxBytes),
		"per_device":      count(&c.MaxPerDevice, maxCount),
		"per_network":     count(&c.MaxPerNetwork, maxCount),
		"devices":         count(&c.MaxDevices, maxCount),
		"recent":          count(&c.MaxRecent, 4096),
		"waiters":         count(&c.MaxWaiters, 64),
		"window":          count(&c.MaxWindow, 10000),
		"trust_first":     func(v *value) { c.TrustFirstCopies = v.boolean() },
		"write_wait_ms":   milliseconds(&c.WriteTimeout),
		"check_wait_ms":   milliseconds(&c.CheckTimeout),
		"may_run_ms":      milliseconds(&c.MaxOverrun),
		"clock_margin_ms": milliseconds(&c.ClockMargin),
		"answer_ms":       milliseconds(&c.AnswerTimeout),
		"retry_min_ms":    milliseconds(&c.MinRetryAfter),
		"retry_max_ms":    milliseconds(&c.MaxRetryAfter),
		"ramp_ms":         milliseconds(&c.RecoveryRamp),
	}
}

// check notes settings that contradict each other.
func (e *Edge) check(section *value) {
	limits := &e.Intake
	if e.CoAP == "" && e.MQTT == "" && e.Frames == "" {
		section.fail("one of coap, mqtt and frames is needed")
	}
	if len(e.Routes) == 0 {
		section.fail("routes are needed")
	}
	if limits.MinRetryAfter > limits.MaxRetryAfter {
		section.fail("retry_min_ms is over retry_max_ms")
	}
	if limits.MaxPerDevice > limits.MaxReadings || limits.MaxPerNetwork > limits.MaxReadings {
		section.fail("per_device and per_network must not be over readings")
	}
	if e.MaxMessageBytes > e.UnfinishedBytes {
		section.fail("message_bytes is over partial_bytes")
	}
}

// parseRoute reads one entry of routes.
func parseRoute(section *value) Route {
	route := Route{Table: "items"}
	section.section(map[string]func(*value){
		"match": func(v *value) {
			if route.Match = v.text(); !isPlain(route.Match, "/-_.", maxMatchBytes) {
				v.fail("%q: 1 to 64 letters, digits, or / - _ . are expected", route.Match)
			}
		},
		"groups": func(v *value) {
			v.array(maxRouteGroups, func(v *value) { route.Groups = append(route.Groups, v.integer(0, maxGroupNumber)) })
		},
		"write": func(v *value) { route.Write = v.text() },
		"check": func(v *value) { route.Check = v.text() },
		"read":  func(v *value) { route.Read = v.text() },
		"table": func(v *value) {
			if route.Table = v.text(); !isPlain(route.Table, "_", maxTableNameBytes) {
				v.fail("%q is no plain name of a table", route.Table)
			}
		},
	})
	switch {
	case !section.ok():
	case route.Match == "":
		section.fail("match is needed")
	case len(route.Groups) == 0:
		section.fail("groups are needed")
	case route.Write == "" && route.Read == "":
		section.fail("write or read is needed")
	case route.Write != "" && route.Check == "":
		section.fail("write needs check, a class that sees all that was written")
	}
	return route
}

// milliseconds parses a time above 0 into to.
func milliseconds(to *float64) func(*value) {
	return func(v *value) { *to = v.number(1, maxDurationMs, false) }
}

// count parses a whole number above 0 into to.
func count(to *int, limit int) func(*value) {
	return func(v *value) { *to = v.integer(1, limit) }
}

// address parses an address with its port into to.
func address(to *string) func(*value) {
	return func(v *value) {
		*to = v.text()
		if _, err := netip.ParseAddrPort(*to); err != nil {
			v.fail("%q is no address and port", *to)
		}
	}
}

// isPlain reports whether s is short and holds letters, digits and extra only.
func isPlain(s, extra string, limit int) bool {
	for _, c := range s {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune(extra, c) {
			return false
		}
	}
	return len(s) > 0 && len(s) <= limit
}
