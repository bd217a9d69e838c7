package pooling

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// snapshotModel implements the same rules by copies: every setting is copied at
// each savepoint, and restored.
type snapshotModel struct {
	session, local map[string]string // "" in local: the default
	stack          []snapshot
	failed         bool
}

type snapshot struct {
	name           string
	session, local map[string]string
}

func (m *snapshotModel) keep(name string) {
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
			m.keep("")
		}
	case Commit, Rollback:
		if len(m.stack) > 0 && (e.Kind == Rollback || m.failed) {
			m.session = m.stack[0].session
		}
		m.local, m.stack, m.failed = map[string]string{}, nil, false
		if e.Chain {
			m.keep("")
		}
	case Savepoint:
		if len(m.stack) > 0 {
			m.keep(e.Name)
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

func anyEffect(t *rapid.T) Effect {
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

// After any statements a setting is what PostgreSQL's rules on transactions make it.
func TestSettingsFollowTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Settings
		m := &snapshotModel{session: map[string]string{}, local: map[string]string{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 12).Draw(t, "error") == 0 {
				s.Fail()
				m.failed = len(m.stack) > 0
			}
			e := anyEffect(t)
			s.Apply(e)
			m.apply(e)
			if s.InTransaction() != (len(m.stack) > 0) || s.Failed() != m.failed {
				t.Fatalf("in a transaction %t, failed %t", s.InTransaction(), s.Failed())
			}
			if s.Failed() {
				continue
			}
			for _, name := range settingNames {
				v, ok := s.Get(name)
				if w, set := m.get(name); ok != set || ok && v != w {
					t.Fatalf("%s is %q, %t; want %q, %t", name, v, ok, w, set)
				}
			}
			if !s.InTransaction() && !maps.Equal(s.Session(), m.session) {
				t.Fatalf("the session has %v, want %v", s.Session(), m.session)
			}
		}
	})
}

// SET LOCAL, an error, then ROLLBACK TO: what was before the savepoint is back.
func TestSetLocalThenErrorThenRollbackTo(t *testing.T) {
	var s Settings
	r := Analyzer{StandardConformingStrings: true}
	run := func(sql string) {
		for _, e := range r.Analyze(sql) {
			s.Apply(e)
		}
	}
	want := func(text string) {
		t.Helper()
		if v, _ := s.Get("work_mem"); v != text {
			t.Errorf("%q, want %q", v, text)
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
	want("'7MB'") // what is set for the session covers what was set for the transaction
	run("rollback")
	want("'2MB'")
	run("begin; set work_mem to '5MB'")
	s.Fail()
	run("commit") // of a failed transaction
	want("'2MB'")
}

// The difference of two sessions makes the one the other, and says nothing
// where they agree.
func TestDifferenceMakesSessionsEqual(t *testing.T) {
	r := Analyzer{StandardConformingStrings: true}
	session := rapid.Custom(func(t *rapid.T) map[string]string {
		m := map[string]string{}
		for _, name := range []string{"a", "my.own", "search_path", "timezone", "role", "session_authorization", "We Ird.x"} {
			if rapid.Bool().Draw(t, "set") {
				m[name] = rapid.SampledFrom([]string{"'x'", "app", "'it''s'", " E'back\\\\slash'"}).Draw(t, "value")
			}
		}
		delete(m, "We Ird.x") // names are small letters once they were read
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		has, must := session.Draw(t, "has"), session.Draw(t, "must")
		diff := SettingsDifference(has, must)
		if maps.Equal(has, must) != (diff == "") {
			t.Fatalf("%v to %v: %q", has, must, diff)
		}
		s := Settings{committed: maps.Clone(has)}
		for _, e := range r.Analyze(diff) {
			if e.Kind != Set && e.Kind != Reset {
				t.Fatalf("%q: %+v", diff, e)
			}
			s.Apply(e)
		}
		got := map[string]string{}
		for name, v := range s.Session() {
			got[name] = v
		}
		for name, v := range must {
			// A constant reads back as it means: with or without the E before it.
			if fmt.Sprint(r.Analyze("set q to "+v)) != fmt.Sprint(r.Analyze("set q to "+got[name])) {
				t.Fatalf("%q made %s %q, want %q", diff, name, got[name], v)
			}
		}
		if len(got) != len(must) {
			t.Fatalf("%q made %v, want %v", diff, got, must)
		}
	})
}
