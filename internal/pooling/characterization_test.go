package pooling_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/pooling"
)

// update rewrites the expected values. They may change only with an intended
// change of behaviour, which the commit must name.
var update = flag.Bool("update", false, "rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares the behaviour of the package under long streams
// of events with recorded hashes. Only numbers, positions and bytes are hashed,
// so that renaming identifiers does not change the expected values.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, limits := range leaseLimits {
		got["leases-"+name] = leaseStream(t, limits)
	}
	for name, statements := range statementGroups {
		got["statements-"+name] = statementEffects(statements)
	}
	got["statements-generated"] = statementEffects(generatedStatements())
	got["statements-cut"] = statementEffects(cutStatements())
	got["sessions"] = sessionStream()
	got["session-scripts"] = sessionScripts()
	got["differences"] = differences()
	got["literals"] = literals()
	got["truncation"] = truncation()
	for name, limits := range preparedLimits {
		got["pipeline-"+name] = pipelineStream(limits)
	}
	got["catalog"] = catalogStream()
	compareExpected(t, got)
}

// compareExpected compares the scenarios' hashes with the expected values, or
// rewrites the expected values with -update.
func compareExpected(t *testing.T, got map[string]string) {
	t.Helper()
	if *update {
		var out strings.Builder
		for _, name := range slices.Sorted(maps.Keys(got)) {
			fmt.Fprintln(&out, strings.TrimSpace(name+" "+got[name]))
		}
		if err := os.WriteFile(expectedFile, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(expectedFile)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		want[name] = value
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if value, ok := want[name]; !ok {
			t.Errorf("scenario %s is not in %s", name, expectedFile)
		} else if got[name] != value {
			t.Errorf("scenario %s: got %s, want %s", name, got[name], value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if _, ok := got[name]; !ok {
			t.Errorf("scenario %s of %s did not run", name, expectedFile)
		}
	}
}

// digest hashes numbers and bytes.
type digest struct{ hash hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

func (d digest) numbers(values ...int) {
	for _, v := range values {
		_ = binary.Write(d.hash, binary.BigEndian, int64(v)) // a hash never fails
	}
}

// milliseconds hashes a time rounded to microseconds, since the last bits of a
// float may depend on the machine.
func (d digest) milliseconds(ms float64) { d.numbers(int(math.Round(ms * 1000))) }

func (d digest) flags(values ...bool) {
	for _, v := range values {
		n := 0
		if v {
			n = 1
		}
		d.numbers(n)
	}
}

// texts hashes strings with their lengths.
func (d digest) texts(values ...string) {
	for _, v := range values {
		d.numbers(len(v))
		d.hash.Write([]byte(v))
	}
}

func (d digest) sum() string { return hex.EncodeToString(d.hash.Sum(nil)) }

// pick returns one of several values at random.
func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// leaseLimits holds the limits of the lease scenarios: each limit alone, and
// combinations.
var leaseLimits = map[string]pooling.Limits{
	"unlimited":    {},
	"total":        {Total: 5, MaxQueueTimeout: 400},
	"per-host":     {PerEndpoint: 3, MaxQueueTimeout: 400},
	"per-user":     {PerUser: 2, MaxQueueTimeout: 400},
	"per-database": {PerDatabase: 3, MaxQueueTimeout: 400},
	"reserve":      {PerEndpoint: 4, WriteReserve: 2, MaxQueueTimeout: 300},
	"queue":        {Total: 3, MaxQueued: 4, MaxQueueTimeout: 900},
	"opening":      {Total: 12, MaxOpening: 1, MaxQueueTimeout: 500},
	"lives":        {MaxLifetime: 300},
	"ages":         {Total: 8, IdleTimeout: 150, MaxLifetime: 900, MaxQueueTimeout: 500},
	"all": {Total: 9, PerEndpoint: 5, PerUser: 5, PerDatabase: 6, WriteReserve: 1, MaxQueued: 12, MaxQueueTimeout: 350,
		MaxOpening: 2, IdleTimeout: 250, MaxLifetime: 1500},
}

const (
	leaseEvents    = 2500
	leaseEndpoints = 3
)

// leaseSimulation simulates the clients and endpoints of Leases and hashes every
// action.
type leaseSimulation struct {
	digest  digest
	random  *rand.Rand
	leases  *pooling.Leases
	now     float64
	client  uint64   // highest number of a client so far
	waiting []uint64 // clients with a queued request
	opening []uint64 // connections
	leased  []uint64 // connections
	all     []uint64 // connections
	drained [leaseEndpoints + 1]bool
}

func remove(values []uint64, removed uint64) []uint64 {
	return slices.DeleteFunc(values, func(v uint64) bool { return v == removed })
}

func (sim *leaseSimulation) Open(conn uint64, key pooling.PoolKey) {
	sim.digest.numbers(1, int(conn), int(key.Endpoint))
	sim.digest.texts(key.User, key.Database)
	sim.opening = append(sim.opening, conn)
	sim.all = append(sim.all, conn)
}

func (sim *leaseSimulation) Grant(client, conn uint64) {
	sim.digest.numbers(2, int(client), int(conn))
	sim.waiting = remove(sim.waiting, client)
	sim.leased = append(sim.leased, conn)
}

func (sim *leaseSimulation) Reject(client uint64, retryAfter float64) {
	sim.digest.numbers(3, int(client))
	sim.digest.milliseconds(retryAfter)
	sim.waiting = remove(sim.waiting, client)
}

func (sim *leaseSimulation) Close(conn uint64) {
	sim.digest.numbers(4, int(conn))
	sim.removeConnection(conn)
}

func (sim *leaseSimulation) removeConnection(conn uint64) {
	sim.opening = remove(sim.opening, conn)
	sim.leased = remove(sim.leased, conn)
	sim.all = remove(sim.all, conn)
}

// leaseStream runs a stream of events and returns the digest of all actions.
func leaseStream(t *testing.T, limits pooling.Limits) string {
	t.Helper()
	sim := &leaseSimulation{digest: newDigest(), random: rand.New(rand.NewPCG(1, 2)), now: 1e6}
	sim.leases = pooling.NewLeases(limits, 3, sim)
	for range leaseEvents {
		sim.randomEvent()
		due, ok := sim.leases.Next()
		sim.digest.flags(ok)
		sim.digest.milliseconds(due)
	}
	sim.advance(1e6) // past the timeouts of all queued requests
	if len(sim.waiting) != 0 {
		t.Errorf("%d clients are still queued", len(sim.waiting))
	}
	return sim.digest.sum()
}

// randomEvent runs one event; the bounds of n are cumulative percentages.
func (sim *leaseSimulation) randomEvent() {
	switch n := sim.random.IntN(100); {
	case n < 32:
		sim.acquire()
	case n < 52:
		if conn, ok := sim.pickFrom(sim.opening); ok {
			sim.opening = remove(sim.opening, conn)
			sim.leases.Opened(sim.now, conn)
		}
	case n < 76:
		if conn, ok := sim.pickFrom(sim.leased); ok {
			sim.leased = remove(sim.leased, conn)
			sim.leases.Released(sim.now, conn, sim.random.IntN(6) > 0)
		}
	case n < 82:
		if conn, ok := sim.pickFrom(sim.all); ok {
			sim.removeConnection(conn)
			sim.leases.Closed(conn)
		}
	case n < 87:
		if client, ok := sim.pickFrom(sim.waiting); ok {
			sim.waiting = remove(sim.waiting, client)
			sim.leases.Cancel(client)
		}
	case n < 89:
		endpoint := 1 + sim.random.IntN(leaseEndpoints)
		sim.drained[endpoint] = !sim.drained[endpoint]
		sim.leases.SetDraining(uint32(endpoint), sim.drained[endpoint])
	case n < 92:
		sim.unexpectedEvent()
	default:
		sim.advance(sim.random.Float64() * 120)
	}
}

func (sim *leaseSimulation) pickFrom(values []uint64) (value uint64, ok bool) {
	if len(values) == 0 {
		return 0, false
	}
	return pick(sim.random, values...), true
}

// acquire requests a connection, usually for a new client and sometimes for a
// previous one, which may have a queued request already.
func (sim *leaseSimulation) acquire() {
	client := sim.client + 1
	if sim.random.IntN(4) == 0 && sim.client > 0 {
		client = 1 + sim.random.Uint64N(sim.client)
	}
	sim.client = max(sim.client, client)
	if !slices.Contains(sim.waiting, client) {
		sim.waiting = append(sim.waiting, client)
	}
	sim.leases.Acquire(sim.now, pooling.ConnectionRequest{
		Client: client,
		Key: pooling.PoolKey{
			Endpoint: uint32(1 + sim.random.IntN(leaseEndpoints)),
			User:     pick(sim.random, "ann", "ben", "cleo"),
			Database: pick(sim.random, "shop", "shop", "park"),
		},
		Write:        sim.random.IntN(3) == 0,
		QueueTimeout: pick(sim.random, 0.0, 50, 250, 1000),
	})
}

// unexpectedEvent reports an event that Leases must ignore: for an unknown
// connection, or in the wrong state.
func (sim *leaseSimulation) unexpectedEvent() {
	switch conn := sim.random.Uint64N(1 << 20); sim.random.IntN(5) {
	case 0:
		sim.leases.Opened(sim.now, conn|1<<30)
	case 1:
		sim.leases.Released(sim.now, conn|1<<30, true)
	case 2:
		sim.leases.Closed(conn | 1<<30)
	case 3:
		sim.leases.Cancel(conn | 1<<30)
	default:
		if leased, ok := sim.pickFrom(sim.leased); ok {
			sim.leases.Opened(sim.now, leased)
		}
		if opening, ok := sim.pickFrom(sim.opening); ok {
			sim.leases.Released(sim.now, opening, true)
		}
	}
}

// advance moves the clock forward and runs the timers that become due.
func (sim *leaseSimulation) advance(ms float64) {
	end := sim.now + ms
	for due, ok := sim.leases.Next(); ok && due <= end; due, ok = sim.leases.Next() {
		sim.now = max(sim.now, due)
		sim.leases.Tick(sim.now)
	}
	sim.now = end
}

// statementGroups holds statements whose effects are hashed, by scenario.
var statementGroups = map[string][]string{
	"transactions": {
		"begin", "BEGIN WORK", "begin isolation level serializable", "start transaction", "start transaction read only",
		"start", "start slave",
		"commit", "commit work", "commit transaction and chain", "commit and no chain", "COMMIT AND CHAIN", "end",
		"end transaction", "end and chain",
		"rollback", "abort", "abort work and chain", "rollback and chain", "rollback transaction", "rollback to a",
		"rollback to savepoint a",
		"rollback work to savepoint \"A b\"", "rollback transaction to a", "rollback to", "savepoint a",
		"savepoint \"A\"\"b\"", "savepoint", "savepoint 1",
		"release a", "release savepoint A", "release", "prepare transaction 'x'", "commit prepared 'x'",
		"rollback prepared 'x'",
		"begin; select 1; commit", "begin;;commit;", ";", " ; ; ", "", "begin /* a */ ; -- b\n commit",
	},
	"settings": {
		"set a to 1", "set a = 1", "SET Work_Mem TO '4MB'", "set session a to 1", "set local a to 1",
		"set local a to default", "set a to default",
		"set a = default", "set a.b to 'x'", "set a.b.c = x, y", "set \"A\".\"b\" to 'x'", "set search_path to a, \"B\", 'c'",
		"set a to -1", "set a to - 1.5e3",
		"set a to E'x\\'y'", "set a to 'x\\y'", "set a to $$it's$$", "set a to U&'d\\0061t'", "set a to $1", "set a",
		"set a to", "set a 1", "set", "set = 1",
		"set time zone 'UTC'", "set time zone local", "set time zone default", "set time zone interval '1' hour to minute",
		"set local time zone 'UTC'",
		"set timezone to 'UTC'", "set names 'utf8'", "set names default", "set role app", "set role none", "set role 'none'",
		"set local role none",
		"set session role app", "set session authorization bob", "set session authorization default",
		"set session session authorization bob",
		"set local session authorization bob", "set session authorization 'b\"ob'",
		"set transaction isolation level serializable", "set transaction read only",
		"set transaction_isolation to 'serializable'", "set session characteristics as transaction read only",
		"set constraints all deferred",
		"reset a", "reset a.b", "reset all", "reset", "reset 1", "reset time zone", "reset session authorization",
		"reset transaction isolation level",
		"reset role", "reset names", "reset ALL",
	},
	"discards": {
		"discard all", "discard plans", "discard temp", "discard temporary", "discard sequences", "discard",
		"discard everything", "DISCARD ALL;",
		"listen a", "unlisten a", "unlisten *", "unlisten * , b", "unlisten", "notify a", "notify a, 'b'", "notify a, f('b')",
	},
	"prepared": {
		"prepare p as select 1", "prepare p (int, text) as select $1", "PREPARE \"P\"\"q\" AS INSERT INTO t VALUES ($1)",
		"prepare p as select f(1)",
		"prepare " + strings.Repeat("p", 70) + " as select 1", "prepare \"" + strings.Repeat("é", 40) + "\" as select 1",
		"prepare", "prepare p",
		"  prepare p as select 1 ; select 2", "prepare p as select 1 -- last\n;", "execute p", "execute p(1, f(2))",
		"execute \"P\"", "execute",
		"execute " + strings.Repeat("p", 70), "deallocate p", "deallocate prepare p", "deallocate all",
		"deallocate prepare all", "deallocate",
		"deallocate " + strings.Repeat("p", 70), "create table t as execute p", "explain execute p(1)",
	},
	"queries": {
		"select 1", "SELECT * FROM a", "(select 1) union (select 2)", "table a", "values (1), (2)", "show a",
		"explain select 1", "explain analyze delete from a",
		"fetch 1 from c", "move c", "close c", "select * from a for update", "select * from a for no key update",
		"select * from a for share",
		"select * from a for key share", "select share from a", "select a.share, key share from a", "select * into b from a",
		"select * into temp b from a",
		"select * into temporary b from a", "select a into", "with x as (select 1) select * from x",
		"with x as (insert into a values (1) returning b) select * from x",
		"with recursive x (a, b) as (select 1, 2) select * from x",
		"with x as (merge into a using b on true when matched then delete) select 1",
		"insert into a values (1)", "insert into a (b, c) select f(1)",
		"insert into a values (1) on conflict (b) do update set c = 1", "update a set b = 1",
		"update a set b = f(1) where c in (1, 2)", "delete from a", "delete from only a using b",
		"merge into a using b on true when matched then delete",
		"copy a from stdin", "copy a (b, c) to stdout", "copy (select f(1)) to stdout", "truncate a", "lock a",
		"lock table a in share mode", "vacuum", "vacuum (full) a",
		"analyze a", "cluster a", "reindex table a", "refresh materialized view a", "checkpoint",
		"declare c cursor for select 1",
		"declare c cursor with hold for select 1", "declare c cursor without hold for select f(1)",
		"declare hold cursor for select 1", "declare c no scroll cursor with hold for select 1",
		"do $$ begin end $$", "call p()", "load 'x'", "frobnicate", "1", "'x'", "$1", "\"select\" 1", "* 1", "select", "with",
		"(", "select (1)",
	},
	"functions": {
		"select count(*)", "select COUNT (*)", "select pg_catalog.count(1)", "select pg_catalog.f(1)",
		"select other.count(1)", "select a.b.count(1)", "select \"count\"(1)",
		"select f(1)", "select F (1)", "select a.f(1)", "select \"A\".\"F\"(1)", "select safe(1)", "select part.safe(1)",
		"select pg_catalog.safe(1)", "select \"SAFE\"(1)",
		"select currval('s')", "select lastval()", "select nextval('s')", "select setval('s', 1)",
		"select pg_catalog.nextval('s')", "select pg_advisory_lock(1)",
		"select pg_advisory_lock_shared(1)", "select pg_try_advisory_lock(1)", "select pg_advisory_xact_lock(1)",
		"select pg_try_advisory_xact_lock_shared(1)",
		"select pg_advisory_unlock(1)", "select pg_advisory_unlock_all()", "select set_config('a', 'b', true)",
		"select 1 as f (a)", "select * from a as b(c)",
		"select * from f(1) with ordinality", "select * from table (a)", "select a references (b)",
		"select x.y from g(1), h(2)", "select 'f(1)', $$f(2)$$, $x$f(3)$x$",
		"select f -- (\n (1)", "select f /* ( */ (1)", "select (f)(1)", "select f[1]", "select case when f(1) then 2 end",
		"select cast(1 as numeric(3))",
		"select 1 from a where b in (select f(1))", "select count(f(1))", "select now(), random(), coalesce(a, b)",
		"select .f(1)", "select a . f (1)",
	},
	"schema": {
		"create table a (b int)", "create table if not exists a (b int check (b > 0))", "create temp table a (b int)",
		"create temporary table a as select f(1)",
		"create local temp table a ()", "create global temporary table a ()", "create or replace temp view a as select 1",
		"create or replace view a as select f(1)",
		"create table a as select f(1)", "create table a as select nextval('s')", "create unlogged table temp ()",
		"create table a (b int, c temp)", "create materialized view a as select f(1)",
		"create index on a (f(b))", "create sequence s", "create temp sequence s",
		"create function f() returns int language sql as 'select 1'", "create",
		"create function f() returns int begin atomic select 1; select 2; end; select 3",
		"create function f() returns int begin atomic select case when true then 1 end; end; select 3", "create role r",
		"create extension e",
		"alter table a add b int", "alter system set a = 1", "drop table a", "drop function f(int)", "grant select on a to b",
		"revoke all on a from b",
		"comment on table a is 'x'", "security label on a is 'x'", "import foreign schema a from server b into c",
		"reassign owned by a to b", "create table f(a int)",
	},
	"lexical": {
		"select 'a''b'", "select 'a\\'; set b to 1", "select 'a\\'; set b to 1'; set c to 2", "select E'a\\'; set b to 1'",
		"select e'\\", "select e'a", "select 'a",
		"select \"a", "select \"a\"\"b\"", "select $$a", "select $a$ $$ $b$ $a$; set b to 1", "select $a", "select $",
		"select $1$", "select $1a", "select a$b$c",
		"select /* a", "select /* a /* b */ c", "select /* a /* b */ */ 1; set b to 1", "select 1 -- a; set b to 1",
		"select 1 -- a\n; set b to 1", "select 1 -- a\r; set b to 1",
		"select - - 1", "select 1/2", "select 1.5e3, .5, 1.a", "select b'01', X'ff', n'a', U&'\\0061', u&\"a\"", "select u&",
		"select u&a", "select b, e, n, x",
		"\tselect\f1\v;\r\nset b to 1", "select é(1)", "select \xff(1)", "selectf(1)", "select'x'", "begin atomic; end",
		"begin; atomic", "begin atomic case end end; set a to 1",
		"select 1; select 'a", "/* only */", "-- only", "begin atomic", ";/* a */;", "set a to 'x''y'", "set a to \"x\"\"y\"",
		"select ''''", "select ''",
	},
}

// generatedStatements returns random combinations of statement parts, many of
// which are invalid SQL.
func generatedStatements() (statements []string) {
	random := rand.New(rand.NewPCG(4, 5))
	heads := []string{"select", "SELECT", "insert into a", "update a set", "delete from a where", "with x as", "create",
		"create temp table", "set", "set local", "set session",
		"reset", "prepare p as", "execute p", "deallocate", "declare c cursor", "explain", "commit", "rollback", "begin",
		"discard", "copy a", "values", "do", "alter table"}
	parts := []string{" 1", " a.b", " f(1)", " count(*)", " pg_catalog.now()", " nextval('s')", " pg_advisory_lock(2)",
		" into temp t", " into b", " for update",
		" for share", " with hold", " and chain", " to", " =", " 'x'", " 'x\\'", " E'\\''", " $1", " $$;$$", " \"Q\"", " ,",
		" ;", ";", " (", " )", " -- c\n", " /* f(1) */", " -",
		" default", " all", " temp", " none", " local", " time zone", " role", " as", " select", " delete from a", " case",
		" end", " begin atomic", " -1.5", " safe(1)", " U&'x'"}
	for range 600 {
		var statement strings.Builder
		statement.WriteString(pick(random, heads...))
		for range random.IntN(8) {
			statement.WriteString(pick(random, parts...))
		}
		statements = append(statements, statement.String())
	}
	return statements
}

// cutStatements returns all prefixes of a query string, some of which end inside
// a string constant, a comment or a quoted identifier.
func cutStatements() (statements []string) {
	whole := "select E'a\\'b', 'c''d', \"e\"\"f\", $g$ $ $$ $g$, U&'h', u&\"i\" " +
		"/* j /* k */ */ -- l\n from m.n(1, .5); set o.p = -q, 'r\\s'"
	for n := range len(whole) + 1 {
		statements = append(statements, whole[:n])
	}
	return statements
}

// statementEffects hashes the effects of statements under several Analyzers.
func statementEffects(statements []string) string {
	d := newDigest()
	safe := func(name string) bool {
		d.texts(name)
		return name == "safe" || name == "part.safe"
	}
	for _, analyzer := range []pooling.Analyzer{{}, {StandardConformingStrings: true}, {StandardConformingStrings: true, SafeFunction: safe}} {
		for _, statement := range statements {
			effects := analyzer.Analyze(statement)
			d.numbers(len(effects))
			for _, effect := range effects {
				hashEffect(d, effect)
			}
		}
	}
	return d.sum()
}

func hashEffect(d digest, e pooling.Effect) {
	d.numbers(int(e.Kind), int(e.Pins), int(e.Unpins))
	d.texts(e.Name, e.Value, e.Text)
	d.flags(e.Schema, e.Writes, e.Chain)
}

// sessionStatements holds the statements that clients of sessionStream run.
var sessionStatements = []string{
	"begin", "begin", "begin", "commit", "commit", "commit and chain", "rollback", "rollback and chain", "savepoint a",
	"savepoint b", "savepoint a", "release a", "release b",
	"rollback to a", "rollback to b", "set a to 1", "set a to 2", "set b to 'x'", "set c.d = 'y', z", "set local a to 3",
	"set local b to default", "set local e to 'l'",
	"set a to default", "reset b", "reset all", "set role app", "set role none", "set session authorization bob",
	"set time zone 'UTC'", "discard all", "discard temp",
	"discard sequences", "create temp table t (a int)", "listen news", "unlisten *", "unlisten *", "discard temp",
	"select nextval('s')", "select pg_advisory_lock(1)",
	"declare c cursor with hold for select 1", "select f(1)", "prepare p as select 1", "prepare p as select 2",
	"prepare \"q\"\"r\" as select 3", "deallocate p",
	"deallocate \"q\"\"r\"", "deallocate all", "select 1", "insert into t values (1)", "frobnicate", "select 'open",
	"discard plans",
}

// sessionStream runs statements of several sessions on shared connections and
// hashes the session states and handovers.
func sessionStream() string {
	const events = 6000
	d := newDigest()
	random := rand.New(rand.NewPCG(6, 7))
	analyzer := pooling.Analyzer{StandardConformingStrings: true}
	var sessions [4]pooling.Session
	var connections [3]pooling.ConnectionState
	for range events {
		session, connection := &sessions[random.IntN(len(sessions))], &connections[random.IntN(len(connections))]
		switch n := random.IntN(100); {
		case n < 70:
			for _, effect := range analyzer.Analyze(pick(random, sessionStatements...)) {
				session.Apply(effect)
			}
		case n < 78:
			session.Fail()
		case n < 82:
			session.RecordWrite(float64(random.IntN(1000)))
		case n < 84: // a new client replaces the session's client
			*session = pooling.Session{}
		case n < 87:
			connection.Reset()
		default:
			d.texts(connection.HandoverSQL(session))
			if random.IntN(3) > 0 {
				connection.RecordHandover(session)
			}
			d.flags(connection.Release(session))
			d.texts(connection.HandoverSQL(session))
		}
		hashSession(d, session)
	}
	return d.sum()
}

// sessionScripts hashes the session state during sequences in which the order of
// statements matters. An exclamation mark stands for a failed statement.
func sessionScripts() string {
	d := newDigest()
	analyzer := pooling.Analyzer{StandardConformingStrings: true}
	for _, script := range []string{
		"create temp table t () | begin | discard temp | commit",
		"create temp table t () | begin | discard temp | rollback",
		"create temp table t () | begin | discard temp | create temp table u () | commit",
		"create temp table t () | begin | savepoint a | discard temp | rollback to a | commit",
		"create temp table t () | begin | discard temp | ! | commit",
		"create temp table t () | begin | discard temp | commit and chain | rollback",
		"listen a | unlisten * | listen b | begin | unlisten * | listen c | rollback and chain | commit",
		"begin | create temp table t () | rollback", "begin | ! | create temp table t () | commit",
		"begin | select f(1) | discard all | commit | discard all",
		"begin | set a to 1 | savepoint s | set a to 2 | release s | commit",
		"begin | set a to 1 | savepoint s | set a to 2 | rollback to s | commit",
		"begin | savepoint s | set a to 1 | savepoint s | set a to 2 | release s | rollback to s | commit",
		"begin | set local a to 1 | set a to 2 | commit", "begin | set a to 1 | set local a to 2 | commit",
		"set a to 0 | begin | set local a to default | commit",
		"set a to 0 | begin | savepoint s | set local a to 1 | release s | set b to 1 | commit",
		"begin | savepoint s | set local a to 1 | release s | rollback",
		"begin | set local a to 1 | savepoint s | set a to 2 | release s | commit",
		"begin | set a to 1 | ! | set a to 2 | rollback to s | commit",
		"begin | savepoint s | ! | rollback to s | set a to 1 | commit", "begin | begin | set a to 1 | rollback",
		"set local a to 1", "savepoint s | release s | rollback to s",
		"set a to 1 | set b to 2 | begin | reset all | rollback | begin | reset all | commit",
		"begin | set a to 1 | commit and chain | set a to 2 | rollback and chain | set a to 3 | commit",
		"prepare p as select 1 | begin | deallocate p | rollback | prepare q as select 2 | deallocate all",
		"begin | ! | prepare p as select 1 | rollback", "! | set a to 1",
	} {
		var session pooling.Session
		var connection pooling.ConnectionState
		for statement := range strings.SplitSeq(script, " | ") {
			if statement == "!" {
				session.Fail()
			} else {
				for _, effect := range analyzer.Analyze(statement) {
					session.Apply(effect)
				}
			}
			hashSession(d, &session)
			d.texts(connection.HandoverSQL(&session))
		}
		d.flags(connection.Release(&session))
	}
	return d.sum()
}

func hashSession(d digest, s *pooling.Session) {
	d.numbers(int(s.Pins()))
	d.milliseconds(s.Position)
	d.flags(s.InTransaction(), s.Failed())
	for _, name := range []string{"a", "b", "c.d", "e", "role", "session_authorization", "timezone"} {
		value, ok := s.Get(name)
		d.texts(value)
		d.flags(ok)
	}
	set := s.CommittedSettings()
	for _, name := range slices.Sorted(maps.Keys(set)) {
		d.texts(name, set[name])
	}
}

// differences hashes SettingsDifference of random settings.
func differences() string {
	d := newDigest()
	random := rand.New(rand.NewPCG(8, 9))
	names := []string{"a", "b.c", "role", "session_authorization", "timezone", "Upper", "with space", "quo\"te", "1st", "",
		"é", "a$b", "x..y", "search_path"}
	values := []string{"1", "'x'", "a, \"B\"", "DEFAULT", ""}
	settings := func() map[string]string {
		chosen := map[string]string{}
		for range random.IntN(6) {
			chosen[pick(random, names...)] = pick(random, values...)
		}
		return chosen
	}
	for range 1000 {
		d.texts(pooling.SettingsDifference(settings(), settings()))
	}
	d.texts(pooling.SettingsDifference(nil, nil))
	return d.sum()
}

func literals() string {
	d := newDigest()
	random := rand.New(rand.NewPCG(10, 11))
	for range 500 {
		var text strings.Builder
		for range random.IntN(10) {
			text.WriteString(pick(random, "a", "'", "\\", "\"", "é", "\n", "\xff", " ", "$"))
		}
		d.texts(pooling.QuoteLiteral(text.String()))
	}
	return d.sum()
}

func truncation() string {
	d := newDigest()
	for n := range 80 {
		for _, unit := range []string{"a", "é", "€", "𝄞", "\xff", "\x80"} {
			d.texts(pooling.TruncateIdentifier(strings.Repeat("x", n%5) + strings.Repeat(unit, n)))
		}
	}
	return d.sum()
}

// preparedBounds holds the largest numbers of prepared statements, 0 for no
// limit.
type preparedBounds struct{ perClient, perConnection int }

var preparedLimits = map[string]preparedBounds{
	"unlimited": {}, "clients": {perClient: 2}, "connections": {perConnection: 2}, "both": {perClient: 3, perConnection: 1},
}

// extendedClient is one client of the extended protocol and the state of the
// server connection that it uses.
type extendedClient struct {
	names      pooling.ClientStatements
	pipeline   *pooling.Pipeline
	unanswered []pooling.ServerMessage // messages sent to the server, oldest first
	skipping   bool                    // the server skips all messages up to the next Sync
}

// extendedSimulation simulates several clients of the extended protocol that
// exchange their connections.
type extendedSimulation struct {
	digest       digest
	random       *rand.Rand
	catalog      pooling.StatementCatalog
	statements   []*pooling.ConnectionStatements // of each connection
	clients      []*extendedClient
	messageCount int
}

// pipelineStream simulates clients' messages and a server's responses, and
// hashes what is sent in both directions.
func pipelineStream(limits preparedBounds) string {
	const events = 6000
	sim := &extendedSimulation{digest: newDigest(), random: rand.New(rand.NewPCG(12, 13))}
	for range 3 {
		sim.statements = append(sim.statements, &pooling.ConnectionStatements{Max: limits.perConnection})
		sim.clients = append(sim.clients, &extendedClient{names: pooling.ClientStatements{Max: limits.perClient}})
	}
	for n, c := range sim.clients {
		c.pipeline = pooling.NewPipeline(&sim.catalog, &c.names, sim.statements[n])
	}
	for range events {
		n := sim.random.IntN(len(sim.clients))
		sim.randomEvent(n, sim.clients[n])
		sim.digest.numbers(sim.catalog.Len(), sim.statements[n].Len())
		sim.digest.flags(sim.clients[n].pipeline.Idle(), sim.clients[n].pipeline.Ready())
	}
	return sim.digest.sum()
}

func (sim *extendedSimulation) randomEvent(n int, c *extendedClient) {
	switch roll := sim.random.IntN(200); {
	case roll < 100:
		if c.pipeline.Ready() {
			sim.sendMessage(c)
		}
	case roll < 188:
		sim.answerOldest(n, c)
	case roll < 190:
		sim.catalog.SchemaChanged()
	case roll < 192 && c.pipeline.Idle():
		c.names.Clear(&sim.catalog)
	case roll < 194 && c.pipeline.Idle():
		sim.statements[n].Clear()
	case roll < 198 && c.pipeline.Idle() && len(c.unanswered) == 0: // exchange connections with another client
		other := sim.random.IntN(len(sim.clients))
		if o := sim.clients[other]; o.pipeline.Idle() && len(o.unanswered) == 0 {
			sim.statements[n], sim.statements[other] = sim.statements[other], sim.statements[n]
			o.pipeline = pooling.NewPipeline(&sim.catalog, &o.names, sim.statements[other])
			c.pipeline = pooling.NewPipeline(&sim.catalog, &c.names, sim.statements[n])
		}
	default:
		sim.receive(n, c, pick(sim.random, byte('N'), 'S', 'A'))
	}
}

// sendMessage sends one random message of the client.
func (sim *extendedSimulation) sendMessage(c *extendedClient) {
	sim.messageCount++
	m := &pooling.ClientMessage{Kind: pick(sim.random, []byte("PPPBBDDEECHSSS")...), Raw: sim.messageCount}
	switch m.Kind {
	case 'D', 'C':
		m.Portal = sim.random.IntN(3) == 0
	}
	if !m.Portal {
		m.Statement = pick(sim.random, "", "", "s", "t", "u", "lb_forged", strings.Repeat("long", 30))
	}
	if m.Kind == 'P' {
		m.Text = pick(sim.random, "select 1", "select $1", "select 2", "")
		m.Types = pick(sim.random, nil, []uint32{23}, []uint32{0, 25})
	}
	sent, now := c.pipeline.FromClient(m)
	sim.digest.numbers(len(sent))
	for _, s := range sent {
		sim.hashSent(s)
	}
	sim.digest.texts(string(now))
	c.unanswered = append(c.unanswered, sent...)
}

func (sim *extendedSimulation) hashSent(s pooling.ServerMessage) {
	sim.digest.numbers(int(s.Kind), len(s.Types))
	for _, oid := range s.Types {
		sim.digest.numbers(int(oid))
	}
	sim.digest.texts(s.Name, s.Text)
	if s.ClientMessage != nil {
		sim.digest.numbers(s.ClientMessage.Raw.(int))
	}
}

// answerOldest simulates the server's response to the client's oldest message.
func (sim *extendedSimulation) answerOldest(n int, c *extendedClient) {
	if len(c.unanswered) == 0 {
		if sim.random.IntN(20) == 0 { // a response to no message
			sim.receive(n, c, 'Z')
		}
		return
	}
	kind := c.unanswered[0].Kind
	portal := c.unanswered[0].ClientMessage != nil && c.unanswered[0].ClientMessage.Portal
	c.unanswered = c.unanswered[1:]
	switch {
	case kind == 'S':
		if !c.skipping && sim.random.IntN(15) == 0 { // failed commit
			sim.receive(n, c, 'E')
		}
		c.skipping = false
		sim.receive(n, c, 'Z')
	case kind == 'H', c.skipping:
	case sim.random.IntN(8) == 0:
		c.skipping = true
		sim.receive(n, c, 'E')
	case sim.random.IntN(300) == 0:
		sim.receive(n, c, pick(sim.random, []byte("x123Z")...)) // may not belong to the response
	default:
		for _, b := range sim.responseTypes(kind, portal) {
			sim.receive(n, c, b)
		}
	}
}

// responseTypes returns the types of the messages in a successful response to a
// message.
func (sim *extendedSimulation) responseTypes(kind byte, portal bool) []byte {
	switch kind {
	case 'P':
		return []byte("1")
	case 'B':
		return []byte("2")
	case 'C':
		return []byte("3")
	case 'D':
		if portal {
			return []byte{pick(sim.random, byte('T'), 'n')}
		}
		return []byte{'t', pick(sim.random, byte('T'), 'n')}
	}
	return append([]byte(pick(sim.random, "", "D", "DDD", "GWd", "Hc")), pick(sim.random, []byte("CIs")...))
}

// receive passes one message from the server to the pipeline. If the pipeline
// rejects it, the client gets a new connection.
func (sim *extendedSimulation) receive(n int, c *extendedClient, kind byte) {
	r, ok := c.pipeline.FromServer(kind)
	sim.digest.flags(r.Forward, ok)
	sim.digest.texts(string(r.Synthesized))
	if ok {
		return
	}
	sim.statements[n] = &pooling.ConnectionStatements{Max: sim.statements[n].Max}
	c.pipeline = pooling.NewPipeline(&sim.catalog, &c.names, sim.statements[n])
	c.unanswered = nil
	c.skipping = false
}

// catalogStream hashes operations on prepared statements without a Pipeline.
func catalogStream() string {
	const events = 4000
	d := newDigest()
	random := rand.New(rand.NewPCG(14, 15))
	var catalog pooling.StatementCatalog
	names := []*pooling.ClientStatements{{}, {Max: 3}}
	statements := []*pooling.ConnectionStatements{{}, {Max: 2}}
	for range events {
		client, connection := pick(random, names...), pick(random, statements...)
		name := pick(random, "", "a", "b", "c", "d")
		switch random.IntN(12) {
		case 0, 1, 2:
			prepared, err := client.Parse(&catalog, name, pick(random, "x", "y", "z"),
				pick(random, nil, []uint32{1}, []uint32{1, 2}))
			hashPrepared(d, prepared, err)
		case 3:
			client.Close(&catalog, name)
		case 4:
			catalog.SchemaChanged()
		case 5:
			if random.IntN(10) == 0 {
				client.Clear(&catalog)
				connection.Clear()
				connection.Restore("lb_left")
			}
		default:
			prepared, err := client.Get(name)
			hashPrepared(d, prepared, err)
			if err != nil {
				break
			}
			steps := connection.Ensure(&catalog, prepared)
			d.texts(steps.Close...)
			d.flags(steps.Parse)
			if random.IntN(5) == 0 {
				connection.Forget(prepared)
			}
			if len(steps.Close) > 0 && random.IntN(3) == 0 {
				connection.Restore(steps.Close[0])
			}
		}
		d.numbers(catalog.Len(), statements[0].Len(), statements[1].Len())
	}
	return d.sum()
}

// hashPrepared hashes a prepared statement, or the SQLSTATE of the error.
func hashPrepared(d digest, p *pooling.PreparedStatement, err error) {
	if err != nil {
		state, _, _ := strings.Cut(err.Error(), ":")
		d.texts(state)
		return
	}
	d.texts(p.Text, p.ServerName)
	for _, oid := range p.Types {
		d.numbers(int(oid))
	}
}
