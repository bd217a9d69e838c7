// Package routingconfig reads the settings object, which the simulator sends and
// a router's configuration file holds in the same form, into the decisions'
// configuration.
package routingconfig

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"lotusbend/decide"
	"lotusbend/internal/clock"
)

// Settings is the decisions' configuration and what lies around it.
type Settings struct {
	Text           []byte // as JSON, to tell them from others
	Config         decide.Config
	PositionZero   time.Duration // from which the simulator counts positions
	Zones          []string
	ConnIdle       float64 // milliseconds
	ConnectTimeout float64
	positionAt     int // index of x0 in a report, -1 if it has none
	roleAt         int // index of x1
}

// The names of a report's values that are read.
const (
	FieldPosition = "x0" // in seconds
	FieldRole     = "x1" // 1 from a primary
)

var semantics = map[string]decide.Idempotency{
	"pure": decide.Idempotent, "token": decide.IdempotencyKey, "side_effect": decide.NonIdempotent,
}
var scopes = map[string]decide.IdempotencyScope{
	"cell": decide.ScopeGroup, "zone": decide.ScopeZone, "all": decide.ScopeAll,
}
var consistencies = map[string]decide.Consistency{
	"write": decide.Write, "fresh": decide.Fresh, "session": decide.Session,
	"bounded": decide.Bounded, "any": decide.Any,
}
var checks = map[string]decide.StaleReadPolicy{
	"off": decide.ServeStale, "refuse": decide.RejectStale, "wait": decide.WaitThenReject,
}

// Parse reads the settings from JSON.
func Parse(data []byte) (*Settings, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return From(v)
}

// From reads the settings from a parsed object. Unknown keys are skipped;
// what the decisions cannot do without is an error.
func From(v *fastjson.Value) (*Settings, error) {
	classes, info, limits, rules := v.GetArray("Classes"), v.Get("FamilyInfo"), v.Get("Limits"), v.Get("Rules")
	if len(classes) == 0 || info == nil || limits == nil || rules == nil {
		return nil, fmt.Errorf("settings: Classes, FamilyInfo, Limits and Rules are needed")
	}
	reads, bounds := info.GetArray("ClassRead"), info.GetArray("OldestDataMs")
	if len(reads) != len(classes) {
		return nil, fmt.Errorf("settings: %d classes, %d entries of ClassRead", len(classes), len(reads))
	}
	check, ok := checks[text(info, "WhenBehind")]
	if !ok {
		return nil, fmt.Errorf("settings: unknown WhenBehind %q", text(info, "WhenBehind"))
	}
	fields := texts(v.GetArray("Feedback", "Fields"))
	s := &Settings{
		Text:         v.MarshalTo(nil),
		PositionZero: millis(info, "PositionZeroMs"), Zones: texts(v.GetArray("Zones")),
		ConnIdle: limits.GetFloat64("ConnIdleMs"), ConnectTimeout: limits.GetFloat64("ConnectTimeoutMs"),
		positionAt: slices.Index(fields, FieldPosition), roleAt: slices.Index(fields, FieldRole),
	}
	s.Config = decide.Config{
		Zone:            v.GetInt("Locality"),
		Routers:         int(max(1, min(v.GetFloat64("FleetSize"), math.MaxInt32))),
		StaleReadPolicy: check, StaleReadWait: millis(info, "PatienceMs"), AnswersCarryPosition: info.GetBool("Stamps"),
		SessionTokens:          text(info, "Tokens") == "carried",
		HealthChecksReportRole: s.positionAt >= 0 && s.roleAt >= 0 && text(v.Get("Feedback"), "Via") != "off",
		PollOnly:               text(v, "Discovery") == "ask",
		PollInterval:           millis(rules, "AskWithinMs"),
		MaxAttempts:            limits.GetInt("MaxAttempts"),
		ParallelAttempts:       limits.GetBool("ParallelTries"), HealthChecks: limits.GetBool("Probes"),
		CancelAttempts:    limits.GetBool("Cancelling"),
		SlowStartCapacity: rules.GetFloat64("StartCapacity"), SlowStartDuration: millis(rules, "ColdMs"),
		OverloadFactor: rules.GetFloat64("OverloadFactor"), OverloadDuration: millis(rules, "OverloadForMs"),
		RemovalEnforced: !rules.GetBool("RemovalNotBinding"),
	}
	if limits.GetBool("RetryAfter") {
		s.Config.MaxRetryAfter = millis(limits, "MaxRetryAfterMs")
	}
	for i, c := range classes {
		cl := decide.Class{
			Name: text(c, "Name"), LatencyObjective: millis(c, "AimMs"), Deadline: millis(c, "GiveUpMs"),
			PriorityWeight: c.GetFloat64("Importance"), LateWeight: c.GetFloat64("LateWorth"),
			IdempotencyWindow: millis(c, "KeyTtlMs"),
		}
		read, _ := reads[i].StringBytes()
		var ok1, ok2 bool
		cl.Idempotency, ok1 = semantics[text(c, "Semantics")]
		cl.Consistency, ok2 = consistencies[string(read)]
		if !ok1 || !ok2 {
			return nil, fmt.Errorf("settings: class %q: unknown semantics %q or read %q",
				cl.Name, text(c, "Semantics"), read)
		}
		cl.IdempotencyScope, ok = scopes[text(c, "Group")]
		if !ok && cl.Idempotency == decide.IdempotencyKey {
			return nil, fmt.Errorf("settings: class %q: unknown group %q", cl.Name, text(c, "Group"))
		}
		if cl.Consistency == decide.Bounded {
			if i >= len(bounds) {
				return nil, fmt.Errorf("settings: class %q has no OldestDataMs", cl.Name)
			}
			cl.MaxStaleness = clock.Duration(bounds[i].GetFloat64())
		}
		s.Config.Classes = append(s.Config.Classes, cl)
	}
	return s, nil
}

func text(v *fastjson.Value, key string) string { return string(v.GetStringBytes(key)) }

func millis(v *fastjson.Value, key string) time.Duration { return clock.Duration(v.GetFloat64(key)) }

func texts(vs []*fastjson.Value) []string {
	var out []string
	for _, v := range vs {
		b, _ := v.StringBytes()
		out = append(out, string(b))
	}
	return out
}

// Note puts the position of an answer in the simulator on the router's clock.
func (s *Settings) Note(n decide.ReplicationStatus) decide.ReplicationStatus {
	if n.Position > 0 {
		n.Position += s.PositionZero
	}
	return n
}

// Report reads the values of a probe's report in the simulator, given in the
// order of the settings.
func (s *Settings) Report(values []float32) decide.ReplicationStatus {
	var n decide.ReplicationStatus
	if s.roleAt >= 0 && s.roleAt < len(values) {
		switch values[s.roleAt] {
		case 1:
			n.Role = decide.RolePrimary
		case 0:
			n.Role = decide.RoleReplica
		}
	}
	if s.positionAt >= 0 && s.positionAt < len(values) {
		// A float32 of seconds is as coarse as a millisecond after hours: round
		// down by one unit in the last place.
		sec := math.Nextafter32(values[s.positionAt], 0)
		if sec > 0 && !math.IsInf(float64(sec), 0) {
			n.Position = s.PositionZero + clock.Duration(float64(sec)*1e3)
		}
	}
	return n
}
