package pooling

import "strings"

// Kind is what a statement does to its session.
type Kind uint8

// The kinds of statement.
const (
	Plain Kind = iota // nothing, beside Pins and Schema
	Begin
	Commit
	Rollback
	Savepoint  // Name
	Release    // Name
	RollbackTo // Name
	Set        // Name, Value; for the session
	SetLocal   // Name, Value; for the transaction
	Reset      // Name
	ResetAll
	DiscardAll
	DiscardPlans
	DiscardTemp
	DiscardSequences
	Prepare       // Name
	Execute       // Name
	Deallocate    // Name
	DeallocateAll // of all names
	Unreadable    // may be anything
)

// Pin is a reason why a session must keep its connection.
type Pin uint16

// The reasons; several may hold together.
const (
	PinTemp     Pin = 1 << iota // a temporary table or view
	PinListen                   // LISTEN
	PinLock                     // an advisory lock of the session
	PinHold                     // a cursor WITH HOLD
	PinSequence                 // currval or lastval
	PinUnknown                  // a function or block that may do any of these
)

var pinWords = [...]string{"temporary table", "listen", "advisory lock", "cursor with hold", "sequence", "unknown function"}

// String names the reasons, for operators.
func (p Pin) String() string {
	var out []string
	for i, w := range pinWords {
		if p&(1<<i) != 0 {
			out = append(out, w)
		}
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}

// Effect is what one statement does to its session and to others.
type Effect struct {
	Kind   Kind
	Name   string
	Value  string // of Set and SetLocal, as it may stand behind the name again
	Text   string // of Prepare, so that it can be said again
	Pins   Pin
	Unpins Pin  // reasons that end with it
	Schema bool // it changes what statements mean: plans of others are old now
	Writes bool // only a primary may take it
	Chain  bool // COMMIT or ROLLBACK AND CHAIN: another transaction begins
}

// Reader reads statements. Safe tells of a function that it neither writes nor
// changes its session; nil for none beyond those that are built in and usual.
type Reader struct {
	Safe     func(name string) bool
	Standard bool // standard_conforming_strings, on by default in PostgreSQL
}

// Read returns what each statement of a query string does, in order. A string
// that cannot be read is one statement that may do anything.
func (r Reader) Read(sql string) []Effect {
	statements, err := split(sql, r.Standard)
	if err != nil {
		return []Effect{{Kind: Unreadable, Pins: PinUnknown, Writes: true, Schema: true}}
	}
	out := make([]Effect, len(statements))
	for i, s := range statements {
		out[i] = r.statement(s.tokens)
		if out[i].Kind == Prepare {
			out[i].Text = s.text
		}
	}
	return out
}

// cursor walks a statement's tokens.
type cursor []token

func (c *cursor) take(words ...string) bool {
	if len(*c) < len(words) {
		return false
	}
	for i, w := range words {
		if !(*c)[i].is(w) {
			return false
		}
	}
	*c = (*c)[len(words):]
	return true
}

func (c *cursor) takeName() string {
	if len(*c) == 0 || !(*c)[0].name() {
		return ""
	}
	s := (*c)[0].s
	*c = (*c)[1:]
	return s
}

func (r Reader) statement(tokens []token) Effect {
	c := cursor(tokens)
	unknown := Effect{Kind: Unreadable, Pins: PinUnknown, Writes: true, Schema: true}
	switch {
	case c.take("begin"), c.take("start", "transaction"):
		return Effect{Kind: Begin}
	case c.take("commit", "prepared"), c.take("rollback", "prepared"):
		return Effect{Writes: true}
	case c.take("prepare", "transaction"): // it leaves its session without the transaction
		return Effect{Kind: Commit, Writes: true}
	case c.take("commit"), c.take("end"):
		return Effect{Kind: Commit, Chain: chain(c)}
	case c.take("rollback"), c.take("abort"):
		_ = c.take("work") || c.take("transaction")
		if c.take("to") {
			_ = c.take("savepoint")
			return Effect{Kind: RollbackTo, Name: c.takeName()}
		}
		return Effect{Kind: Rollback, Chain: chain(c)}
	case c.take("savepoint"):
		return Effect{Kind: Savepoint, Name: c.takeName()}
	case c.take("release"):
		_ = c.take("savepoint")
		return Effect{Kind: Release, Name: c.takeName()}
	case c.take("set"):
		return r.set(c)
	case c.take("reset"):
		if c.take("all") {
			return Effect{Kind: ResetAll}
		}
		if name := settingName(&c); name != "" {
			return Effect{Kind: Reset, Name: name}
		}
		return unknown
	case c.take("discard"):
		switch {
		case c.take("all"):
			return Effect{Kind: DiscardAll}
		case c.take("plans"):
			return Effect{Kind: DiscardPlans}
		case c.take("temp"), c.take("temporary"):
			return Effect{Kind: DiscardTemp, Unpins: PinTemp}
		case c.take("sequences"):
			return Effect{Kind: DiscardSequences, Unpins: PinSequence}
		}
		return unknown
	case c.take("prepare"):
		e := r.body(c)
		e.Kind, e.Name = Prepare, Truncate(c.takeName())
		return e
	case c.take("execute"):
		e := r.body(c) // what it executes was read when it was prepared
		e.Kind, e.Name = Execute, Truncate(c.takeName())
		return e
	case c.take("deallocate"):
		_ = c.take("prepare")
		if c.take("all") {
			return Effect{Kind: DeallocateAll}
		}
		return Effect{Kind: Deallocate, Name: Truncate(c.takeName())}
	case c.take("listen"):
		return Effect{Pins: PinListen}
	case c.take("unlisten"):
		if len(c) == 1 && c[0].isSymbol("*") {
			return Effect{Unpins: PinListen}
		}
		return Effect{}
	case c.take("notify"), c.take("truncate"), c.take("lock"), c.take("vacuum"), c.take("analyze"), c.take("cluster"),
		c.take("reindex"), c.take("refresh"), c.take("checkpoint"), c.take("insert"), c.take("update"), c.take("delete"), c.take("merge"), c.take("copy"):
		e := r.body(c)
		e.Writes = true
		return e
	case c.take("create"), c.take("alter"), c.take("drop"), c.take("grant"), c.take("revoke"), c.take("comment"), c.take("security"),
		c.take("import"), c.take("reassign"):
		e := Effect{Schema: true, Writes: true}
		for _, t := range c[:min(len(c), 5)] { // CREATE [OR REPLACE] [LOCAL] TEMP ...
			if t.is("temp") || t.is("temporary") {
				e.Pins = PinTemp
			}
		}
		if len(c) > 0 && c[0].is("table") || len(c) > 0 && c[0].is("materialized") {
			e.Pins |= r.body(c).Pins // CREATE TABLE AS runs a query
		}
		return e
	case c.take("declare"):
		e := r.body(c)
		for i := range c {
			if c[i].is("hold") && i > 0 && c[i-1].is("with") {
				e.Pins |= PinHold
			}
		}
		return e
	case c.take("select"), c.take("with"), c.take("values"), c.take("table"), c.take("explain"), c.take("show"), c.take("fetch"),
		c.take("move"), c.take("close"), len(c) > 0 && c[0].isSymbol("("):
		return r.body(tokens)
	}
	return unknown // DO, CALL, LOAD and whatever else there is
}

func chain(c cursor) bool {
	_ = c.take("work") || c.take("transaction")
	return c.take("and", "chain")
}

// settingName reads a setting's name, which may have dots and two words.
func settingName(c *cursor) string {
	switch {
	case c.take("time", "zone"):
		return "timezone"
	case c.take("session", "authorization"):
		return "session_authorization"
	case c.take("transaction", "isolation", "level"):
		return "transaction_isolation"
	case c.take("names"):
		return "client_encoding"
	}
	name := c.takeName()
	for len(*c) > 1 && (*c)[0].isSymbol(".") && (*c)[1].name() {
		name += "." + (*c)[1].s
		*c = (*c)[2:]
	}
	return strings.ToLower(name)
}

// set reads what follows SET.
func (r Reader) set(c cursor) Effect {
	e := Effect{Kind: Set}
	switch {
	case c.take("constraints"):
		return Effect{} // of its transaction alone
	case c.take("transaction"):
		return Effect{}
	case c.take("session", "characteristics", "as", "transaction"):
		return Effect{Kind: Unreadable, Pins: PinUnknown} // several settings at once
	case c.take("local"):
		e.Kind = SetLocal
	case len(c) > 1 && c[0].is("session") && !c[1].is("authorization"):
		c = c[1:]
	}
	zone := len(c) > 0 && (c[0].is("time") || c[0].is("names") || c[0].is("session") || c[0].is("role"))
	if e.Name = settingName(&c); e.Name == "" {
		return Effect{Kind: Unreadable, Pins: PinUnknown}
	}
	if len(c) > 0 && (c[0].is("to") || c[0].isSymbol("=")) {
		c = c[1:]
	} else if !zone {
		return Effect{Kind: Unreadable, Pins: PinUnknown}
	}
	if len(c) == 0 {
		return Effect{Kind: Unreadable, Pins: PinUnknown}
	}
	if len(c) == 1 && (c[0].is("default") || zone && c[0].is("local") || e.Name == "role" && c[0].is("none")) {
		if e.Kind == SetLocal {
			e.Value = "DEFAULT"
			return e
		}
		return Effect{Kind: Reset, Name: e.Name}
	}
	var out strings.Builder
	for i, t := range c {
		if i > 0 && !t.isSymbol(",") && !c[i-1].isSymbol("-") {
			out.WriteByte(' ')
		}
		switch t.kind {
		case text:
			out.WriteString(Literal(t.s))
		case quoted:
			out.WriteString(`"` + strings.ReplaceAll(t.s, `"`, `""`) + `"`)
		case param:
			return Effect{Kind: Unreadable, Pins: PinUnknown}
		default:
			out.WriteString(t.s)
		}
	}
	e.Value = out.String()
	return e
}

// Literal writes a string constant that means s under any setting.
func Literal(s string) string {
	q := "'" + strings.ReplaceAll(s, "'", "''") + "'"
	if strings.Contains(s, `\`) {
		return " E" + strings.ReplaceAll(q, `\`, `\\`)
	}
	return q
}

// body looks for what a query does beside its rows: functions that it calls,
// data that it changes, tables that it makes.
func (r Reader) body(tokens []token) Effect {
	var e Effect
	for i, t := range tokens {
		if t.kind == word {
			switch t.s {
			case "insert", "update", "delete", "merge":
				// In a WITH, or as FOR UPDATE, which only a primary takes.
				e.Writes = true
			case "share":
				e.Writes = e.Writes || i > 0 && (tokens[i-1].is("for") || tokens[i-1].is("key"))
			case "into": // SELECT ... INTO makes a table, INSERT INTO none
				if i > 0 && !tokens[i-1].is("insert") && !tokens[i-1].is("merge") {
					e.Writes, e.Schema = true, true
					if i+1 < len(tokens) && (tokens[i+1].is("temp") || tokens[i+1].is("temporary")) {
						e.Pins |= PinTemp
					}
				}
			}
		}
		if t.name() && i+1 < len(tokens) && tokens[i+1].isSymbol("(") {
			e.Pins |= r.call(tokens, i, &e)
		}
	}
	return e
}

// call tells what a name before a parenthesis may do: nothing where it names a
// table or an alias with its columns.
func (r Reader) call(tokens []token, i int, e *Effect) Pin {
	from, name := i, strings.ToLower(tokens[i].s)
	for from >= 2 && tokens[from-1].isSymbol(".") && tokens[from-2].name() {
		from -= 2
		name = strings.ToLower(tokens[from].s) + "." + name
	}
	if from > 0 && tokens[from-1].kind == word {
		switch tokens[from-1].s {
		case "into", "as", "table", "references", "with", "recursive", "copy":
			return 0
		}
	}
	return r.function(strings.TrimPrefix(name, "pg_catalog."), tokens[i].kind == word, e)
}

// function tells what calling a function may do to the session.
func (r Reader) function(name string, plain bool, e *Effect) Pin {
	switch {
	case name == "currval" || name == "lastval":
		return PinSequence
	case name == "nextval" || name == "setval":
		e.Writes = true
		return PinSequence
	case strings.HasPrefix(name, "pg_advisory_xact_lock"), strings.HasPrefix(name, "pg_try_advisory_xact_lock"):
		return 0 // ends with its transaction
	case strings.HasPrefix(name, "pg_advisory_unlock"):
		return 0 // which locks are left is not known: the pin stays
	case strings.HasPrefix(name, "pg_advisory_lock"), strings.HasPrefix(name, "pg_try_advisory_lock"):
		return PinLock
	case plain && callable[name], r.Safe != nil && r.Safe(name):
		return 0
	}
	e.Writes = true // it may write, too
	return PinUnknown
}

// callable holds key words that stand before a parenthesis without being
// functions, and the usual functions that neither write nor change a session.
var callable = func() map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(`
		and or not in any all some exists from where on using as select values with over filter within group by order having
		limit offset union intersect except case when then else end array row cast is like ilike similar between distinct
		join left right full inner outer cross lateral into set returning default check key unique references primary
		materialized recursive partition rows range tablesample only insert update delete conflict do interval
		varchar char character numeric decimal bit varying timestamp time float text explain analyze verbose costs buffers
		count sum avg min max coalesce nullif greatest least abs ceil ceiling floor round trunc mod power sqrt exp ln log sign
		random now current_timestamp current_date clock_timestamp statement_timestamp transaction_timestamp date_trunc date_part
		extract age to_char to_date to_number to_timestamp make_date make_interval length char_length octet_length lower upper
		initcap substring substr position strpos trim btrim ltrim rtrim lpad rpad replace translate split_part concat concat_ws
		format repeat reverse left right md5 sha256 encode decode convert_from convert_to string_agg array_agg array_length
		array_to_string string_to_array unnest cardinality array_append array_position generate_series generate_subscripts
		json_agg jsonb_agg json_build_object jsonb_build_object json_object_agg jsonb_object_agg to_json to_jsonb row_to_json
		jsonb_array_elements jsonb_each jsonb_set jsonb_typeof json_extract_path_text regexp_replace regexp_match regexp_matches
		row_number rank dense_rank percent_rank ntile lag lead first_value last_value nth_value bool_and bool_or every
		stddev variance corr percentile_cont percentile_disc mode pg_typeof version current_schema current_setting
		has_table_privilege pg_is_in_recovery pg_backend_pid pg_sleep gen_random_uuid quote_ident quote_literal exists`) {
		m[w] = true
	}
	return m
}()
