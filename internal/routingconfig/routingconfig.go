// Package routingconfig reads the routing settings, classes of requests, rules
// and limits, into the decisions' configuration. The simulator sends them, and a
// deployment's configuration file holds them in the same form. It is the one
// place that knows the settings' own names.
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

// ErrInvalid is wrapped by every error about settings that the decisions cannot
// work with.
var ErrInvalid = errors.New("settings")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Settings is the decisions' configuration and what lies around it.
type Settings struct {
	JSON             []byte // the settings as they came, to tell them from others
	Config           decide.Config
	PositionZero     time.Duration // from which the simulator counts positions
	Zones            []string      // by number
	IdleTimeoutMs    float64       // after which an endpoint closes an idle connection
	ConnectTimeoutMs float64
	positionIndex    int // of FieldPosition in a health check's report, -1 if it has none
	roleIndex        int // of FieldRole, likewise
}

// The names of the values of a health check's report that are read.
const (
	FieldPosition = "x0" // in seconds
	FieldRole     = "x1" // 1 from a primary, 0 from a replica
)

// The settings' names for the values of the decisions' types.
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

// Parse reads the settings from JSON.
func Parse(data []byte) (*Settings, error) {
	object, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return From(object)
}

// From reads the settings from a parsed object. Unknown keys are skipped; what
// the decisions cannot do without is an error that wraps ErrInvalid.
func From(object *fastjson.Value) (*Settings, error) {
	classes, info := object.GetArray("Classes"), object.Get("FamilyInfo")
	limits, rules := object.Get("Limits"), object.Get("Rules")
	if len(classes) == 0 || info == nil || limits == nil || rules == nil {
		return nil, invalid("Classes, FamilyInfo, Limits and Rules are needed")
	}
	reads := info.GetArray("ClassRead")
	if len(reads) != len(classes) {
		return nil, invalid("%d classes, %d entries of ClassRead", len(classes), len(reads))
	}
	policy, known := staleReadPolicies[text(info, "WhenBehind")]
	if !known {
		return nil, invalid("unknown WhenBehind %q", text(info, "WhenBehind"))
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

// configFrom reads the decisions' configuration but for its classes and its
// policy on stale reads.
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

// classFrom reads one class; read is its entry of ClassRead, and the bounds are
// those of every class.
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
		return decide.Class{}, invalid("class %q: unknown semantics %q or read %q",
			class.Name, text(object, "Semantics"), consistency)
	}
	class.IdempotencyScope, known = idempotencyScopes[text(object, "Group")]
	if !known && class.Idempotency == decide.IdempotencyKey {
		return decide.Class{}, invalid("class %q: unknown group %q", class.Name, text(object, "Group"))
	}
	if class.Consistency == decide.Bounded {
		if index >= len(bounds) {
			return decide.Class{}, invalid("class %q has no OldestDataMs", class.Name)
		}
		class.MaxStaleness = clock.Duration(bounds[index].GetFloat64())
	}
	return class, nil
}

// OnRouterClock puts the position of an answer in the simulator on the router's
// clock.
func (s *Settings) OnRouterClock(status decide.ReplicationStatus) decide.ReplicationStatus {
	if status.Position > 0 {
		status.Position += s.PositionZero
	}
	return status
}

// HealthReport reads the values of a health check's report in the simulator,
// given in the order of the settings.
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

// position puts a position, in seconds, on the router's clock; 0 if it is none.
// A float32 of seconds is as coarse as a millisecond after hours, so it is
// rounded down by one unit in the last place.
func (s *Settings) position(seconds float32) time.Duration {
	rounded := math.Nextafter32(seconds, 0)
	if !(rounded > 0) || math.IsInf(float64(rounded), 0) {
		return 0
	}
	return s.PositionZero + clock.Duration(float64(rounded)*1e3)
}

func text(object *fastjson.Value, key string) string { return string(object.GetStringBytes(key)) }

func millis(object *fastjson.Value, key string) time.Duration {
	return clock.Duration(object.GetFloat64(key))
}

func texts(values []*fastjson.Value) []string {
	var out []string
	for _, value := range values {
		text, _ := value.StringBytes()
		out = append(out, string(text))
	}
	return out
}
