package pooling

import (
	"fmt"
	"strings"
	"testing"
)

// describeEffect formats an effect as one line.
func describeEffect(e Effect) string {
	kindNames := [...]string{"ordinary", "begin", "commit", "rollback", "savepoint", "release", "rollback-to", "set", "set-local",
		"reset", "reset-all",
		"discard-all", "discard-plans", "discard-temp", "discard-sequences", "prepare", "execute", "deallocate",
		"deallocate-all", "opaque"}
	out := kindNames[e.Kind]
	if e.Name != "" {
		out += " " + e.Name
	}
	if e.Value != "" {
		out += "=" + e.Value
	}
	if e.Pins != 0 {
		out += " pins(" + e.Pins.String() + ")"
	}
	for flag, on := range map[string]bool{" schema": e.Schema, " chain": e.Chain} {
		if on {
			out += flag
		}
	}
	if e.Writes {
		out += " writes"
	}
	return out
}

func TestAnalyzeEffects(t *testing.T) {
	analyzer := Analyzer{StandardConformingStrings: true, SafeFunction: func(name string) bool { return name == "park_total" || name == "billing.fee" }}
	for _, test := range []struct{ sql, want string }{
		{"", ""},
		{" ; ;; ", ""},
		{"select 1", "ordinary"},
		{"SELECT count(*), park_total(3), billing.fee(1), pg_catalog.now() FROM parks", "ordinary"},
		{"select f(1)", "ordinary pins(unknown function) writes"},
		{"select other.count(1)", "ordinary pins(unknown function) writes"},
		{`select "count"(1)`, "ordinary pins(unknown function) writes"},
		{"select set_config('a', 'b', false)", "ordinary pins(unknown function) writes"},
		{"select 'f(1)', $$g(2)$$, \"h (3)\" -- i(4)", "ordinary"},
		{"select 1 /* f(1) /* nested */ g(2) */", "ordinary"},
		{"select pg_advisory_lock(1)", "ordinary pins(advisory lock)"},
		{"select pg_advisory_xact_lock(1)", "ordinary"},
		{"select nextval('s'); select currval('s')", "ordinary pins(sequence) writes | ordinary pins(sequence)"},
		{"select * from a for update", "ordinary writes"},
		{"select * from a for key share", "ordinary writes"},
		{"with x as (delete from a returning b) select * from x", "ordinary writes"},
		{"with x (a) as (select 1) select * from x", "ordinary"},
		{
			"insert into public.items (id, doc) values ('a', lower('B')) on conflict (id) do update set doc = 'x'",
			"ordinary writes",
		},
		{"select * into temp t from a", "ordinary pins(temporary table) schema writes"},
		{"create temp table t (a int)", "ordinary pins(temporary table) schema writes"},
		{"CREATE OR REPLACE TEMPORARY VIEW v AS SELECT 1", "ordinary pins(temporary table) schema writes"},
		{"create table t (a varchar(10) primary key)", "ordinary schema writes"},
		{"create table t as select f(1)", "ordinary pins(unknown function) schema writes"},
		{"alter table t add b int", "ordinary schema writes"},
		{"declare c cursor with hold for select 1", "ordinary pins(cursor with hold)"},
		{"declare c cursor for select 1", "ordinary"},
		{"listen news; unlisten *", "ordinary pins(listen) | ordinary"},
		{"do $$ begin perform 1; end $$", "opaque pins(unknown function) schema writes"},
		{"call p(1)", "opaque pins(unknown function) schema writes"},
		{"begin; set local a.b to 1; commit and chain", "begin | set-local a.b=1 | commit chain"},
		{"start transaction isolation level serializable", "begin"},
		{"rollback work to savepoint S1; rollback to \"S1\"; abort", "rollback-to s1 | rollback-to S1 | rollback"},
		{"savepoint a; release savepoint a; release a", "savepoint a | release a | release a"},
		{"prepare transaction 'x'; commit prepared 'x'", "commit writes | ordinary writes"},
		{"SET search_path = a, \"B\"; set session work_mem to '4MB'", `set search_path=a, "B" | set work_mem='4MB'`},
		{
			"set time zone 'Europe/Stockholm'; set time zone local; set timezone = 'UTC'",
			"set timezone='Europe/Stockholm' | reset timezone | set timezone='UTC'",
		},
		{"set geqo_threshold to -1", "set geqo_threshold=-1"},
		{"set a to default; reset a; reset all", "reset a | reset a | reset-all"},
		{
			"set role none; set role app; set session authorization bob",
			"reset role | set role=app | set session_authorization=bob",
		},
		{"set session characteristics as transaction read only", "opaque pins(unknown function)"},
		{"set transaction read only; set constraints all deferred", "ordinary | ordinary"},
		{"set a = $1", "opaque pins(unknown function)"},
		{
			"discard all; discard plans; discard temp; discard sequences",
			"discard-all | discard-plans | discard-temp | discard-sequences",
		},
		{
			"prepare p (int) as select f($1); execute p(1); deallocate p; deallocate all",
			"prepare p pins(unknown function) writes | execute p pins(unknown function) writes | deallocate p | deallocate-all",
		},
		{"select 'open", "opaque pins(unknown function) schema writes"},
		{"select /* open", "opaque pins(unknown function) schema writes"},
		{"select E'a\\'; set b to 1' ; set c to 2", "ordinary | set c=2"},
		{"select 'a\\'; set c to 2", "ordinary | set c=2"},
		{"select $a$ ; $$ ; $a$; set c to U&'x'", "ordinary | set c='x'"},
		{
			"create function f() returns int begin atomic select 1; select case when true then 2 end; end; set c to 2",
			"ordinary schema writes | set c=2",
		},
		{"copy t from stdin", "ordinary writes"},
		{"frobnicate", "opaque pins(unknown function) schema writes"},
	} {
		var got []string
		for _, e := range analyzer.Analyze(test.sql) {
			got = append(got, describeEffect(e))
		}
		if s := strings.Join(got, " | "); s != test.want {
			t.Errorf("Analyze(%q):\n got %s\nwant %s", test.sql, s, test.want)
		}
	}
	if got := fmt.Sprint(len(Analyzer{}.Analyze(`select 'a\'; set c to 2'`))); got != "1" {
		t.Errorf("Analyze of a string with a backslash escape returned %s effects, want 1", got)
	}
}

func FuzzAnalyze(f *testing.F) {
	f.Add("select E'a\\'' ; set a.b = $$x$$ -- y\n; /* /* */ */ commit and chain")
	f.Add("create function f() begin atomic select 1; end")
	f.Fuzz(func(t *testing.T, sql string) {
		for _, analyzer := range []Analyzer{{}, {StandardConformingStrings: true}} {
			for _, e := range analyzer.Analyze(sql) {
				if e.Kind > Opaque {
					t.Errorf("Analyze(%q) returned an unknown kind: %+v", sql, e)
				}
				// The SQL of a value must be read back as the same value.
				if e.Kind == Set && e.Name != "session_authorization" && e.Name != "role" {
					again := analyzer.Analyze(SettingsDifference(nil, map[string]string{e.Name: e.Value}))
					kindKept := len(again) == 1 && (again[0].Kind == Set || again[0].Kind == Reset)
					if !kindKept || again[0].Kind == Set && (again[0].Value != e.Value || again[0].Name != e.Name) {
						t.Errorf("Analyze(%q): %+v was read back as %+v, want the same name and value", sql, e, again)
					}
				}
			}
		}
	})
}
