package operatorconfig

import (
	"net/netip"
	"strings"

	"lotusbend/internal/edge/intake"
)

// Upper bounds on the edge's settings.
const (
	maxDurationMs     = 86400e3 // a day
	maxBytes          = 1 << 40
	maxCount          = 10_000_000
	maxRoutes         = 100
	maxRouteGroups    = 1000 // groups of one route
	maxGroupNumber    = 1<<16 - 1
	maxMatchBytes     = 64 // of a route's match
	maxTableNameBytes = 63 // longest identifier of PostgreSQL
)

// Edge configures the edge, which serves devices over CoAP, MQTT and frames.
type Edge struct {
	CoAP   string        // UDP address and port to listen on, "" for none
	MQTT   string        // TCP address and port to listen on, "" for none
	Frames string        // TCP address and port to listen on, "" for none
	Intake intake.Config // the rules for readings
	Routes []Route

	MaxConnections   int     // of devices over TCP
	MaxSessions      int     // MQTT sessions kept for devices that are disconnected
	SessionExpiryMs  float64 // longest time that such a session is kept
	MaxExchanges     int     // CoAP exchanges remembered
	MaxMessageBytes  int     // bound on the length of one message
	UnfinishedBytes  int     // bound on the bytes of all unfinished messages together
	ProgressWindowMs float64 // window over which the progress of a message is measured
	MinProgressBytes int     // least progress of a message within the window; a slower one is aborted
	FirstMessageMs   float64 // bound on the time to a connection's first complete message
	IdleTimeoutMs    float64 // bound on the silence of a frames connection and on MQTT's keep alive
	Store            string  // path of the store's file, "" to pass readings through
	MaxStoreBytes    int     // bound on the bytes of the readings in the store
}

// Route maps a CoAP path, an MQTT topic or a kind of frame to classes of requests.
type Route struct {
	Match  string // CoAP path, MQTT topic or kind of frame
	Groups []int  // the replica groups; a hash of the device's name selects one
	Write  string // class of the writes of readings, "" for a route of reads only
	Check  string // class of the reads that look for a written reading; it must see every write
	Read   string // class of the reads, "" for a route of writes only
	Table  string // table of the readings
}

// defaultEdge returns the defaults, which suit a small router.
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

// parseEdge reads the edge section. Missing keys keep their defaults.
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

// fields returns the keys of the section except those of the intake.
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

// intakeFields returns the keys of the rules for readings.
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

// check records an error for settings that are missing or contradict each other.
func (e *Edge) check(section *value) {
	limits := &e.Intake
	if e.CoAP == "" && e.MQTT == "" && e.Frames == "" {
		section.fail("one of coap, mqtt and frames is required")
	}
	if len(e.Routes) == 0 {
		section.fail("routes are required")
	}
	if limits.MinRetryAfter > limits.MaxRetryAfter {
		section.fail("retry_min_ms exceeds retry_max_ms")
	}
	if limits.MaxPerDevice > limits.MaxReadings || limits.MaxPerNetwork > limits.MaxReadings {
		section.fail("per_device and per_network must not exceed readings")
	}
	if e.MaxMessageBytes > e.UnfinishedBytes {
		section.fail("message_bytes exceeds partial_bytes")
	}
}

// parseRoute reads one entry of routes.
func parseRoute(section *value) Route {
	route := Route{Table: "items"}
	section.section(map[string]func(*value){
		"match": func(v *value) {
			if route.Match = v.text(); !isPlain(route.Match, "/-_.", maxMatchBytes) {
				v.fail("%q: expected 1 to 64 letters, digits, or / - _ .", route.Match)
			}
		},
		"groups": func(v *value) {
			v.array(maxRouteGroups, func(v *value) {
				route.Groups = append(route.Groups, v.integer(0, maxGroupNumber))
			})
		},
		"write": func(v *value) { route.Write = v.text() },
		"check": func(v *value) { route.Check = v.text() },
		"read":  func(v *value) { route.Read = v.text() },
		"table": func(v *value) {
			if route.Table = v.text(); !isPlain(route.Table, "_", maxTableNameBytes) {
				v.fail("%q: expected a table name of 1 to 63 letters, digits, or _", route.Table)
			}
		},
	})
	switch {
	case !section.ok():
	case route.Match == "":
		section.fail("match is required")
	case len(route.Groups) == 0:
		section.fail("groups are required")
	case route.Write == "" && route.Read == "":
		section.fail("write or read is required")
	case route.Write != "" && route.Check == "":
		section.fail("write requires check, a class of reads that see every write")
	}
	return route
}

// milliseconds returns a function that reads a time of 1 ms to a day into to.
func milliseconds(to *float64) func(*value) {
	return func(v *value) { *to = v.number(1, maxDurationMs, false) }
}

// count returns a function that reads a whole number from 1 to limit into to.
func count(to *int, limit int) func(*value) {
	return func(v *value) { *to = v.integer(1, limit) }
}

// address returns a function that reads an IP address and port into to.
func address(to *string) func(*value) {
	return func(v *value) {
		*to = v.text()
		if _, err := netip.ParseAddrPort(*to); err != nil {
			v.fail("%q: not an address and port", *to)
		}
	}
}

// isPlain reports whether s has 1 to limit bytes, all of them ASCII letters,
// digits or characters of extra.
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
