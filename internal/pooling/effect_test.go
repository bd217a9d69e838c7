package pooling

import (
	"fmt"
	"strings"
	"testing"
)

// say tells an effect in one line.
func say(e Effect) string {
	kinds := [...]string{"plain", "begin", "commit", "rollback", "savepoint", "release", "rollback-to", "set", "set-local", "reset", "reset-all",
		"discard-all", "discard-plans", "discard-temp", "discard-sequences", "prepare", "execute", "deallocate", "deallocate-all", "unreadable"}
	out := kinds[e.Kind]
	if e.Name != "" {
		out += " " + e.Name
	}
	if e.Value != "" {
		out += "=" + e.Value
	}
	if e.Pins != 0 {
		out += " pins(" + e.Pins.String() + ")"
	}
	for word, on := range map[string]bool{" schema": e.Schema, " chain": e.Chain} {
		if on {
			out += word
		}
	}
	if e.Writes {
		out += " writes"
	}
	return out
}

func TestWhatStatementsDo(t *testing.T) {
	r := Reader{Standard: true, Safe: func(name string) bool { return name == "park_total" || name == "billing.fee" }}
	for sql, want := range map[string]string{
		"":         "",
		" ; ;; ":   "",
		"select 1": "plain",
		"SELECT count(*), park_total(3), billing.fee(1), pg_catalog.now() FROM parks": "plain",
		"select f(1)":                                           "plain pins(unknown function) writes",
		"select other.count(1)":                                 "plain pins(unknown function) writes",
		`select "count"(1)`:                                     "plain pins(unknown function) writes",
		"select set_config('a', 'b', false)":                    "plain pins(unknown function) writes",
		"select 'f(1)', $$g(2)$$, \"h (3)\" -- i(4)":            "plain",
		"select 1 /* f(1) /* nested */ g(2) */":                 "plain",
		"select pg_advisory_lock(1)":                            "plain pins(advisory lock)",
		"select pg_advisory_xact_lock(1)":                       "plain",
		"select nextval('s'); select currval('s')":              "plain pins(sequence) writes | plain pins(sequence)",
		"select * from a for update":                            "plain writes",
		"select * from a for key share":                         "plain writes",
		"with x as (delete from a returning b) select * from x": "plain writes",
		"with x (a) as (select 1) select * from x":              "plain",
		"insert into public.items (id, doc) values ('a', lower('B')) on conflict (id) do update set doc = 'x'": "plain writes",
		"select * into temp t from a":                                                 "plain pins(temporary table) schema writes",
		"create temp table t (a int)":                                                 "plain pins(temporary table) schema writes",
		"CREATE OR REPLACE TEMPORARY VIEW v AS SELECT 1":                              "plain pins(temporary table) schema writes",
		"create table t (a varchar(10) primary key)":                                  "plain schema writes",
		"create table t as select f(1)":                                               "plain pins(unknown function) schema writes",
		"alter table t add b int":                                                     "plain schema writes",
		"declare c cursor with hold for select 1":                                     "plain pins(cursor with hold)",
		"declare c cursor for select 1":                                               "plain",
		"listen news; unlisten *":                                                     "plain pins(listen) | plain",
		"do $$ begin perform 1; end $$":                                               "unreadable pins(unknown function) schema writes",
		"call p(1)":                                                                   "unreadable pins(unknown function) schema writes",
		"begin; set local a.b to 1; commit and chain":                                 "begin | set-local a.b=1 | commit chain",
		"start transaction isolation level serializable":                              "begin",
		"rollback work to savepoint S1; rollback to \"S1\"; abort":                    "rollback-to s1 | rollback-to S1 | rollback",
		"savepoint a; release savepoint a; release a":                                 "savepoint a | release a | release a",
		"prepare transaction 'x'; commit prepared 'x'":                                "commit writes | plain writes",
		"SET search_path = a, \"B\"; set session work_mem to '4MB'":                   `set search_path=a, "B" | set work_mem='4MB'`,
		"set time zone 'Europe/Stockholm'; set time zone local; set timezone = 'UTC'": "set timezone='Europe/Stockholm' | reset timezone | set timezone='UTC'",
		"set geqo_threshold to -1":                                                    "set geqo_threshold=-1",
		"set a to default; reset a; reset all":                                        "reset a | reset a | reset-all",
		"set role none; set role app; set session authorization bob":                  "reset role | set role=app | set session_authorization=bob",
		"set session characteristics as transaction read only":                        "unreadable pins(unknown function)",
		"set transaction read only; set constraints all deferred":                     "plain | plain",
		"set a = $1": "unreadable pins(unknown function)",
		"discard all; discard plans; discard temp; discard sequences":                 "discard-all | discard-plans | discard-temp | discard-sequences",
		"prepare p (int) as select f($1); execute p(1); deallocate p; deallocate all": "prepare p pins(unknown function) writes | execute p pins(unknown function) writes | deallocate p | deallocate-all",
		"select 'open":   "unreadable pins(unknown function) schema writes",
		"select /* open": "unreadable pins(unknown function) schema writes",
		"select E'a\\'; set b to 1' ; set c to 2": "plain | set c=2",
		"select 'a\\'; set c to 2":                "plain | set c=2",
		"select $a$ ; $$ ; $a$; set c to U&'x'":   "plain | set c='x'",
		"create function f() returns int begin atomic select 1; select case when true then 2 end; end; set c to 2": "plain schema writes | set c=2",
		"copy t from stdin": "plain writes",
		"frobnicate":        "unreadable pins(unknown function) schema writes",
	} {
		var got []string
		for _, e := range r.Read(sql) {
			got = append(got, say(e))
		}
		if s := strings.Join(got, " | "); s != want {
			t.Errorf("%s\n got %s\nwant %s", sql, s, want)
		}
	}
	if got := fmt.Sprint(len(Reader{}.Read(`select 'a\'; set c to 2'`))); got != "1" {
		t.Errorf("with backslashes that escape: %s statements", got)
	}
}

func FuzzRead(f *testing.F) {
	f.Add("select E'a\\'' ; set a.b = $$x$$ -- y\n; /* /* */ */ commit and chain")
	f.Add("create function f() begin atomic select 1; end")
	f.Fuzz(func(t *testing.T, sql string) {
		for _, r := range []Reader{{}, {Standard: true}} {
			for _, e := range r.Read(sql) {
				if e.Kind > Unreadable {
					t.Errorf("%+v", e)
				}
				// A value that was read must read back as itself.
				if e.Kind == Set && e.Name != "session_authorization" && e.Name != "role" {
					again := r.Read(Difference(nil, map[string]string{e.Name: e.Value}))
					if len(again) != 1 || again[0].Kind != Set && again[0].Kind != Reset || again[0].Kind == Set && (again[0].Value != e.Value || again[0].Name != e.Name) {
						t.Errorf("%q: %+v came back as %+v", sql, e, again)
					}
				}
			}
		}
	})
}
