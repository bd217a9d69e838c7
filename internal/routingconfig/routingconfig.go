// Package routingconfig reads the routing settings (classes of requests, rules
// and limits) into the configuration of package decide. The simulator sends the
// settings, and a deployment's configuration file holds them in the same form.
// No other package knows the keys of the settings.
package routingconfig

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"lotusbend/decide"
	"lotusbend/internal/clock"
)

// ErrInvalid is wrapped by every error about settings that are malformed, lack a
// required value or hold an unknown one.
var ErrInvalid = errors.New("invalid settings")

// invalid returns an error that wraps ErrInvalid.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Settings holds the configuration of package decide, and the settings that apply
// outside it.
type Settings struct {
	JSON             []byte // the settings as JSON, to compare them with others
	Config           decide.Config
	PositionZero     time.Duration // the router's clock where the simulator's positions are 0
	Zones            []string      // names of the zones, by number
	IdleTimeoutMs    float64       // after which an endpoint closes an idle connection
	ConnectTimeoutMs float64       // bound on opening a connection to an endpoint
	positionIndex    int           // index of FieldPosition in a health check's report, -1 for none
	roleIndex        int           // index of FieldRole in a health check's report, -1 for none
}

// Names of the values of a health check's report that are used.
const (
	FieldPosition = "x0" // in seconds
	FieldRole     = "x1" // 1 from a primary, 0 from a replica
)

// Names in the settings of the values of package decide's types.
var (
	idempotencies = map[string]decide.Idempotency{
		"pure":        decide.Idempotent,
		"token":       decide.IdempotencyKey,
		"side_effect": decide.NonIdempotent,
	}
	idempotencyScopes = map[string]decide.IdempotencyScope{
		"cell": decide.ScopeGroup,
		"zone": decide.ScopeZone,
		"all":  decide.ScopeAll,
	}
	consistencies = map[string]decide.Consistency{
		"write":   decide.Write,
		"fresh":   decide.Fresh,
		"session": decide.Session,
		"bounded": decide.Bounded,
		"any":     decide.Any,
	}
	staleReadPolicies = map[string]decide.StaleReadPolicy{
		"off":    decide.ServeStale,
		"refuse": decide.RejectStale,
		"wait":   decide.WaitThenReject,
	}
)

// Parse reads the settings from JSON. Its errors wrap ErrInvalid.
func Parse(data []byte) (*Settings, error) {
	object, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return From(object)
}

// From reads the settings from a parsed object. It ignores unknown keys. Required
// values that are missing or unknown give an error that wraps ErrInvalid.
func From(object *fastjson.Value) (*Settings, error) {
	classes, info := object.GetArray("Classes"), object.Get("FamilyInfo")
	limits, rules := object.Get("Limits"), object.Get("Rules")
	if len(classes) == 0 || info == nil || limits == nil || rules == nil {
		return nil, invalid("Classes, FamilyInfo, Limits and Rules are required")
	}
	reads := info.GetArray("ClassRead")
	if len(reads) != len(classes) {
		return nil, invalid("%d entries in Classes but %d in ClassRead", len(classes), len(reads))
	}
	policy, known := staleReadPolicies[text(info, "WhenBehind")]
	if !known {
		return nil, invalid("WhenBehind %q: not off, refuse or wait", text(info, "WhenBehind"))
	}
	fields := texts(object.GetArray("Feedback", "Fields"))
	settings := &Settings{
		JSON:             object.MarshalTo(nil),
		PositionZero:     millis(info, "PositionZeroMs"),
		Zones:            texts(object.GetArray("Zones")),
		IdleTimeoutMs:    limits.GetFloat64("ConnIdleMs"),
		ConnectTimeoutMs: limits.GetFloat64("ConnectTimeoutMs"),
		positionIndex:    slices.Index(fields, FieldPosition),
		roleIndex:        slices.Index(fields, FieldRole),
	}
	settings.Config = configFrom(object, info, limits, rules)
	settings.Config.StaleReadPolicy = policy
	settings.Config.HealthChecksReportRole = settings.positionIndex >= 0 && settings.roleIndex >= 0 &&
		text(object.Get("Feedback"), "Via") != "off"
	for i, class := range classes {
		read, err := classFrom(class, reads[i], info.GetArray("OldestDataMs"), i)
		if err != nil {
			return nil, err
		}
		settings.Config.Classes = append(settings.Config.Classes, read)
	}
	return settings, nil
}

// configFrom reads the configuration of package decide, except for its classes,
// its policy on stale reads and whether health checks report a role.
func configFrom(object, info, limits, rules *fastjson.Value) decide.Config {
	config := decide.Config{
		Zone:                 object.GetInt("Locality"),
		Routers:              int(max(1, min(object.GetFloat64("FleetSize"), math.MaxInt32))),
		StaleReadWait:        millis(info, "PatienceMs"),
		AnswersCarryPosition: info.GetBool("Stamps"),
		SessionTokens:        text(info, "Tokens") == "carried",
		PollOnly:             text(object, "Discovery") == "ask",
		PollInterval:         millis(rules, "AskWithinMs"),
		MaxAttempts:          limits.GetInt("MaxAttempts"),
		ParallelAttempts:     limits.GetBool("ParallelTries"),
		HealthChecks:         limits.GetBool("Probes"),
		CancelAttempts:       limits.GetBool("Cancelling"),
		SlowStartCapacity:    rules.GetFloat64("StartCapacity"),
		SlowStartDuration:    millis(rules, "ColdMs"),
		OverloadFactor:       rules.GetFloat64("OverloadFactor"),
		OverloadDuration:     millis(rules, "OverloadForMs"),
		RemovalEnforced:      !rules.GetBool("RemovalNotBinding"),
	}
	if limits.GetBool("RetryAfter") {
		config.MaxRetryAfter = millis(limits, "MaxRetryAfterMs")
	}
	return config
}

// classFrom reads the class at index. read is its entry in ClassRead, and bounds
// are the staleness bounds of all classes, in milliseconds.
func classFrom(object, read *fastjson.Value, bounds []*fastjson.Value, index int) (decide.Class, error) {
	class := decide.Class{
		Name:              text(object, "Name"),
		LatencyObjective:  millis(object, "AimMs"),
		Deadline:          millis(object, "GiveUpMs"),
		PriorityWeight:    object.GetFloat64("Importance"),
		LateWeight:        object.GetFloat64("LateWorth"),
		IdempotencyWindow: millis(object, "KeyTtlMs"),
	}
	consistency, _ := read.StringBytes()
	var known, knownRead bool
	class.Idempotency, known = idempotencies[text(object, "Semantics")]
	class.Consistency, knownRead = consistencies[string(consistency)]
	if !known || !knownRead {
		return decide.Class{}, invalid("class %q: unknown Semantics %q or ClassRead %q",
			class.Name, text(object, "Semantics"), consistency)
	}
	class.IdempotencyScope, known = idempotencyScopes[text(object, "Group")]
	if !known && class.Idempotency == decide.IdempotencyKey {
		return decide.Class{}, invalid("class %q: Group %q: not cell, zone or all",
			class.Name, text(object, "Group"))
	}
	if class.Consistency == decide.Bounded {
		if index >= len(bounds) {
			return decide.Class{}, invalid("class %q: bounded reads need OldestDataMs", class.Name)
		}
		class.MaxStaleness = clock.Duration(bounds[index].GetFloat64())
	}
	return class, nil
}

// OnRouterClock converts the position in a simulated answer to the router's
// clock. Position 0 means unknown and stays.
func (s *Settings) OnRouterClock(status decide.ReplicationStatus) decide.ReplicationStatus {
	if status.Position > 0 {
		status.Position += s.PositionZero
	}
	return status
}

// HealthReport reads the replication status from a simulated health check's
// report, whose values are in the order of the settings. Values that are missing
// or out of range stay unknown.
func (s *Settings) HealthReport(values []float32) decide.ReplicationStatus {
	var status decide.ReplicationStatus
	if s.roleIndex >= 0 && s.roleIndex < len(values) {
		switch values[s.roleIndex] {
		case 1:
			status.Role = decide.RolePrimary
		case 0:
			status.Role = decide.RoleReplica
		}
	}
	if s.positionIndex >= 0 && s.positionIndex < len(values) {
		status.Position = s.position(values[s.positionIndex])
	}
	return status
}

// position converts a position in seconds to the router's clock; 0 if it is not a
// positive finite number. After a few hours a float32 of seconds resolves only
// about a millisecond, so the value is rounded down by one unit in the last place:
// a position must not appear newer than it is.
func (s *Settings) position(seconds float32) time.Duration {
	rounded := math.Nextafter32(seconds, 0)
	if !(rounded > 0) || math.IsInf(float64(rounded), 0) {
		return 0
	}
	return s.PositionZero + clock.Duration(float64(rounded)*1e3)
}

// text returns the string under a key, "" if there is none.
func text(object *fastjson.Value, key string) string { return string(object.GetStringBytes(key)) }

// millis returns the time in milliseconds under a key, 0 if there is none.
func millis(object *fastjson.Value, key string) time.Duration {
	return clock.Duration(object.GetFloat64(key))
}

// texts returns the strings of a list, "" for every other value.
func texts(values []*fastjson.Value) []string {
	var out []string
	for _, value := range values {
		text, _ := value.StringBytes()
		out = append(out, string(text))
	}
	return out
}
