package pooling

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// snapshotModel implements the rules of Settings with snapshots: it copies all
// settings at each savepoint and restores them at a rollback.
type snapshotModel struct {
	session, local map[string]string // in local, "" stands for the default
	stack          []snapshot
	failed         bool
}

type snapshot struct {
	name           string
	session, local map[string]string
}

// push saves the settings under a savepoint's name, "" at the beginning of a
// transaction.
func (m *snapshotModel) push(name string) {
	m.stack = append(m.stack, snapshot{name, maps.Clone(m.session), maps.Clone(m.local)})
}

func (m *snapshotModel) apply(e Effect) {
	if m.failed && e.Kind != Rollback && e.Kind != RollbackTo && e.Kind != Commit {
		return
	}
	last := func(name string) int {
		for i := len(m.stack) - 1; i > 0; i-- {
			if m.stack[i].name == name {
				return i
			}
		}
		return 0
	}
	switch e.Kind {
	case Begin:
		if len(m.stack) == 0 {
			m.push("")
		}
	case Commit, Rollback:
		if len(m.stack) > 0 && (e.Kind == Rollback || m.failed) {
			m.session = m.stack[0].session
		}
		m.local, m.stack, m.failed = map[string]string{}, nil, false
		if e.Chain {
			m.push("")
		}
	case Savepoint:
		if len(m.stack) > 0 {
			m.push(e.Name)
		}
	case Release:
		if i := last(e.Name); i > 0 {
			m.stack = m.stack[:i]
		}
	case RollbackTo:
		if i := last(e.Name); i > 0 {
			m.session, m.local = maps.Clone(m.stack[i].session), maps.Clone(m.stack[i].local)
			m.stack, m.failed = m.stack[:i+1], false
		}
	case Set:
		m.session[e.Name] = e.Value
		delete(m.local, e.Name)
	case Reset:
		delete(m.session, e.Name)
		delete(m.local, e.Name)
	case ResetAll:
		clear(m.session)
		clear(m.local)
	case SetLocal:
		if len(m.stack) > 0 {
			m.local[e.Name] = e.Value
			if e.Value == "DEFAULT" {
				m.local[e.Name] = ""
			}
		}
	case DiscardAll:
		if len(m.stack) == 0 {
			clear(m.session)
		}
	}
}

func (m *snapshotModel) get(name string) (string, bool) {
	if v, ok := m.local[name]; ok {
		return v, v != ""
	}
	v, ok := m.session[name]
	return v, ok
}

var settingNames = []string{"a", "b", "c.d"}

// drawEffect returns a random effect on settings or transactions.
func drawEffect(t *rapid.T) Effect {
	e := Effect{Kind: rapid.SampledFrom([]Kind{Begin, Commit, Rollback, Savepoint, Savepoint, Release, RollbackTo, Set, Set,
		Set, SetLocal, SetLocal,
		Reset, ResetAll, DiscardAll, Ordinary}).Draw(t, "kind")}
	switch e.Kind {
	case Savepoint, Release, RollbackTo:
		e.Name = rapid.SampledFrom([]string{"s", "t"}).Draw(t, "savepoint")
	case Set, SetLocal, Reset:
		e.Name = rapid.SampledFrom(settingNames).Draw(t, "name")
		if e.Kind != Reset {
			e.Value = rapid.SampledFrom([]string{"1", "2", "3", "DEFAULT"}).Draw(t, "value")
			if e.Kind == Set && e.Value == "DEFAULT" {
				e.Value = "4"
			}
		}
	case Commit, Rollback:
		e.Chain = rapid.IntRange(0, 4).Draw(t, "chain") == 0
	}
	return e
}

// After random statements, each setting has the value that PostgreSQL's rules on
// transactions require.
func TestSettingsFollowTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Settings
		m := &snapshotModel{session: map[string]string{}, local: map[string]string{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 12).Draw(t, "error") == 0 {
				s.Fail()
				m.failed = len(m.stack) > 0
			}
			e := drawEffect(t)
			s.Apply(e)
			m.apply(e)
			if s.InTransaction() != (len(m.stack) > 0) || s.Failed() != m.failed {
				t.Fatalf("after %+v: in a transaction %t, failed %t; want %t, %t", e, s.InTransaction(), s.Failed(),
					len(m.stack) > 0, m.failed)
			}
			if s.Failed() {
				continue
			}
			for _, name := range settingNames {
				v, ok := s.Get(name)
				if w, set := m.get(name); ok != set || ok && v != w {
					t.Fatalf("Get(%q) after %+v = %q, %t; want %q, %t", name, e, v, ok, w, set)
				}
			}
			if !s.InTransaction() && !maps.Equal(s.CommittedSettings(), m.session) {
				t.Fatalf("CommittedSettings() after %+v = %v, want %v", e, s.CommittedSettings(), m.session)
			}
		}
	})
}

// ROLLBACK TO after SET LOCAL and an error restores the value that a setting had
// before the savepoint.
func TestSetLocalThenErrorThenRollbackTo(t *testing.T) {
	var s Settings
	analyzer := Analyzer{StandardConformingStrings: true}
	run := func(sql string) {
		for _, e := range analyzer.Analyze(sql) {
			s.Apply(e)
		}
	}
	want := func(text string) {
		t.Helper()
		if v, _ := s.Get("work_mem"); v != text {
			t.Errorf("work_mem is %q, want %q", v, text)
		}
	}
	run("set work_mem to '1MB'; begin; set work_mem to '2MB'; savepoint s; set local work_mem to '3MB'")
	want("'3MB'")
	s.Fail()
	run("set work_mem to '9MB'; rollback to s")
	want("'2MB'")
	run("set local work_mem to '4MB'; release s")
	want("'4MB'")
	run("commit")
	want("'2MB'")
	run("begin; set local work_mem to '6MB'; savepoint t; set work_mem to '7MB'; release t")
	want("'7MB'") // the later SET overrides the SET LOCAL
	run("rollback")
	want("'2MB'")
	run("begin; set work_mem to '5MB'")
	s.Fail()
	run("commit") // rolls the failed transaction back
	want("'2MB'")
}

// The statements of SettingsDifference turn one session's settings into the
// other's, and there are none if the settings are equal.
func TestSettingsDifferenceMakesSessionsEqual(t *testing.T) {
	analyzer := Analyzer{StandardConformingStrings: true}
	session := rapid.Custom(func(t *rapid.T) map[string]string {
		m := map[string]string{}
		for _, name := range []string{"a", "my.own", "search_path", "timezone", "role", "session_authorization", "We Ird.x"} {
			if rapid.Bool().Draw(t, "set") {
				m[name] = rapid.SampledFrom([]string{"'x'", "app", "'it''s'", " E'back\\\\slash'"}).Draw(t, "value")
			}
		}
		delete(m, "We Ird.x") // settingName returns names in lower case only
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		from, to := session.Draw(t, "from"), session.Draw(t, "to")
		diff := SettingsDifference(from, to)
		if maps.Equal(from, to) != (diff == "") {
			t.Fatalf("SettingsDifference(%v, %v) = %q, want statements only if they differ", from, to, diff)
		}
		s := Settings{committed: maps.Clone(from)}
		for _, e := range analyzer.Analyze(diff) {
			if e.Kind != Set && e.Kind != Reset {
				t.Fatalf("effect of %q: %+v, want Set or Reset", diff, e)
			}
			s.Apply(e)
		}
		got := map[string]string{}
		for name, v := range s.CommittedSettings() {
			got[name] = v
		}
		for name, v := range to {
			// A constant may be read back with another quoting, such as a prefix E.
			if fmt.Sprint(analyzer.Analyze("set q to "+v)) != fmt.Sprint(analyzer.Analyze("set q to "+got[name])) {
				t.Fatalf("after %q: setting %s is %q, want %q", diff, name, got[name], v)
			}
		}
		if len(got) != len(to) {
			t.Fatalf("after %q: settings %v, want %v", diff, got, to)
		}
	})
}
