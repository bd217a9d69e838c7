package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/hallhook/hallhook/decide"
)

// Settings is an instance's configuration and what its adapter needs to
// translate positions and reports.
type Settings struct {
	Config       decide.Config
	PositionZero time.Duration
	positionAt   int // index of x0 in a report, -1 if it has none
	roleAt       int // index of x1
	stamps       bool
}

type profile struct {
	Classes []struct {
		Name                                             string
		AimMs, GiveUpMs, KeyTtlMs, Importance, LateWorth float64
		Semantics, Group                                 string
	}
	Discovery  string
	FamilyInfo *struct {
		ClassRead                  []string
		OldestDataMs               []float64
		WhenBehind, Tokens         string
		Stamps                     bool
		PatienceMs, PositionZeroMs float64
	}
	Feedback struct {
		Fields []string
		Via    string
	}
	Limits *struct {
		Cancelling, ParallelTries, Probes, RetryAfter bool
		MaxAttempts                                   int
		MaxRetryAfterMs                               float64
	}
	FleetSize float64
	Locality  int
	Rules     *struct {
		AskWithinMs, ColdMs, StartCapacity float64
		OverloadFactor, OverloadForMs      float64
		RemovalNotBinding                  bool
	}
}

var semantics = map[string]decide.Repeat{
	"pure": decide.Pure, "token": decide.Keyed, "side_effect": decide.Unsafe,
}
var scopes = map[string]decide.Scope{
	"cell": decide.ScopeGroup, "zone": decide.ScopeZone, "all": decide.ScopeAll,
}
var consistencies = map[string]decide.Consistency{
	"write": decide.Write, "fresh": decide.Fresh, "session": decide.Session,
	"bounded": decide.Bounded, "any": decide.Any,
}
var checks = map[string]decide.Check{
	"off": decide.Unchecked, "refuse": decide.RefuseStale, "wait": decide.WaitStale,
}

// ParseSettings reads the JSON that configures an instance. Unknown keys are
// skipped; what the decisions cannot do without is an error.
func ParseSettings(data []byte) (*Settings, error) {
	var p profile
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(p.Classes) == 0 || p.FamilyInfo == nil || p.Limits == nil || p.Rules == nil {
		return nil, fmt.Errorf("settings: Classes, FamilyInfo, Limits and Rules are needed")
	}
	fi := p.FamilyInfo
	if len(fi.ClassRead) != len(p.Classes) {
		return nil, fmt.Errorf("settings: %d classes, %d entries of ClassRead", len(p.Classes), len(fi.ClassRead))
	}
	check, ok := checks[fi.WhenBehind]
	if !ok {
		return nil, fmt.Errorf("settings: unknown WhenBehind %q", fi.WhenBehind)
	}
	s := &Settings{PositionZero: millis(fi.PositionZeroMs), positionAt: -1, roleAt: -1, stamps: fi.Stamps}
	for i, name := range p.Feedback.Fields {
		switch name {
		case "x0":
			s.positionAt = i
		case "x1":
			s.roleAt = i
		}
	}
	s.Config = decide.Config{
		Zone: p.Locality, Routers: int(max(1, min(p.FleetSize, math.MaxInt32))),
		Check: check, Patience: millis(fi.PatienceMs), Positions: fi.Stamps,
		Carried:     fi.Tokens == "carried",
		ReportsRole: s.positionAt >= 0 && s.roleAt >= 0 && p.Feedback.Via != "off",
		MustAsk:     p.Discovery == "ask",
		AskWithin:   millis(p.Rules.AskWithinMs),
		MaxAttempts: p.Limits.MaxAttempts,
		Parallel:    p.Limits.ParallelTries, Probes: p.Limits.Probes, Cancels: p.Limits.Cancelling,
		RetryAfter: p.Limits.RetryAfter, MaxRetryWait: millis(p.Limits.MaxRetryAfterMs),
		StartCapacity: p.Rules.StartCapacity, ColdFor: millis(p.Rules.ColdMs),
		OverloadFactor: p.Rules.OverloadFactor, OverloadFor: millis(p.Rules.OverloadForMs),
		RemovalBinds: !p.Rules.RemovalNotBinding,
	}
	for i, c := range p.Classes {
		rep, ok1 := semantics[c.Semantics]
		con, ok2 := consistencies[fi.ClassRead[i]]
		if !ok1 || !ok2 {
			return nil, fmt.Errorf("settings: class %q: unknown semantics %q or read %q",
				c.Name, c.Semantics, fi.ClassRead[i])
		}
		scope, ok := scopes[c.Group]
		if !ok && rep == decide.Keyed {
			return nil, fmt.Errorf("settings: class %q: unknown group %q", c.Name, c.Group)
		}
		cl := decide.Class{
			Name: c.Name, Aim: millis(c.AimMs), Deadline: millis(c.GiveUpMs), Worth: c.Importance,
			LateWorth: c.LateWorth, Repeat: rep, Scope: scope, KeyTTL: millis(c.KeyTtlMs),
			Consistency: con,
		}
		if con == decide.Bounded {
			if i >= len(fi.OldestDataMs) {
				return nil, fmt.Errorf("settings: class %q has no OldestDataMs", c.Name)
			}
			cl.Bound = millis(fi.OldestDataMs[i])
		}
		s.Config.Classes = append(s.Config.Classes, cl)
	}
	return s, nil
}

// Note puts an answer's position on the router's clock.
func (s *Settings) Note(n decide.Note) decide.Note {
	if n.Position > 0 {
		n.Position += s.PositionZero
	}
	return n
}

// ProbeResult reads the report of a probe.
func (s *Settings) ProbeResult(p ProbeReport) decide.ProbeResult {
	r := decide.ProbeResult{Member: p.Member, Outcome: p.Outcome}
	if s.roleAt >= 0 && s.roleAt < len(p.Values) {
		switch p.Values[s.roleAt] {
		case 1:
			r.Note.Role = decide.RolePrimary
		case 0:
			r.Note.Role = decide.RoleReplica
		}
	}
	if s.positionAt >= 0 && s.positionAt < len(p.Values) {
		// A float32 of seconds is as coarse as a millisecond after hours: round
		// down by one unit in the last place.
		sec := math.Nextafter32(p.Values[s.positionAt], 0)
		if sec > 0 && !math.IsInf(float64(sec), 0) {
			r.Note.Position = s.PositionZero + millis(float64(sec)*1e3)
		}
	}
	return r
}
