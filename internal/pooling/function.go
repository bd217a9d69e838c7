package pooling

import "strings"

// analyzeQuery returns what a query does besides returning rows: the functions
// that it calls, the data that it changes and the tables that it creates.
func (a Analyzer) analyzeQuery(tokens []token) Effect {
	var effect Effect
	for i, t := range tokens {
		if t.kind == identifier {
			applyKeyword(tokens, i, &effect)
		}
		if t.isIdentifier() && i+1 < len(tokens) && tokens[i+1].isSymbol("(") {
			effect.Pins |= a.callPins(tokens, i, &effect)
		}
	}
	return effect
}

// applyKeyword adds the effect of the i-th token if it is a key word that has
// one.
func applyKeyword(tokens []token, i int, effect *Effect) {
	var before, after token // zero at the ends of the statement
	if i > 0 {
		before = tokens[i-1]
	}
	if i+1 < len(tokens) {
		after = tokens[i+1]
	}
	switch tokens[i].text {
	case "insert", "update", "delete", "merge":
		effect.Writes = true // also inside WITH; SELECT FOR UPDATE needs a primary, too
	case "share": // SELECT FOR SHARE and FOR KEY SHARE need a primary, too
		effect.Writes = effect.Writes || before.is("for") || before.is("key")
	case "into":
		if i == 0 || before.is("insert") || before.is("merge") {
			return
		}
		effect.Writes = true // SELECT ... INTO creates a table
		effect.Schema = true
		if after.isTemporary() {
			effect.Pins |= PinTemp
		}
	}
}

// callPins returns the pins of calling the function whose name ends at token i,
// before a parenthesis, and adds to effect whether the call writes. A name of a
// table or an alias with a column list is not a call and has no effect.
func (a Analyzer) callPins(tokens []token, i int, effect *Effect) Pin {
	first := i
	name := strings.ToLower(tokens[i].text)
	for first >= 2 && tokens[first-1].isSymbol(".") && tokens[first-2].isIdentifier() {
		first -= 2
		name = strings.ToLower(tokens[first].text) + "." + name
	}
	if first > 0 && tokens[first-1].kind == identifier {
		switch tokens[first-1].text {
		case "into", "as", "table", "references", "with", "recursive", "copy":
			return 0
		}
	}
	unquoted := tokens[i].kind == identifier
	return a.functionPins(strings.TrimPrefix(name, "pg_catalog."), unquoted, effect)
}

// functionPins returns the pins of calling a function, and adds to effect
// whether it writes. The name is in lower case; unquoted reports whether its
// last part was written without quotes.
func (a Analyzer) functionPins(name string, unquoted bool, effect *Effect) Pin {
	switch {
	case name == "currval" || name == "lastval":
		return PinSequence
	case name == "nextval" || name == "setval":
		effect.Writes = true
		return PinSequence
	case strings.HasPrefix(name, "pg_advisory_xact_lock"),
		strings.HasPrefix(name, "pg_try_advisory_xact_lock"):
		return 0 // the lock is released at the end of the transaction
	case strings.HasPrefix(name, "pg_advisory_unlock"):
		return 0 // the session may hold other locks, so the pin remains
	case strings.HasPrefix(name, "pg_advisory_lock"), strings.HasPrefix(name, "pg_try_advisory_lock"):
		return PinLock
	case unquoted && safeBeforeParenthesis[name], a.SafeFunction != nil && a.SafeFunction(name):
		return 0
	}
	effect.Writes = true // an unknown function may write
	return PinUnknown
}

// safeBeforeParenthesis holds the key words that may precede a parenthesis
// without being functions, and the common built-in functions that neither write
// nor change the session.
var safeBeforeParenthesis = func() map[string]bool {
	names := map[string]bool{}
	for _, name := range strings.Fields(`
		and or not in any all some exists from where on using as select values with over filter within
		group by order having
		limit offset union intersect except case when then else end array row cast is like ilike similar
		between distinct
		join left right full inner outer cross lateral into set returning default check key unique
		references primary
		materialized recursive partition rows range tablesample only insert update delete conflict do
		interval
		varchar char character numeric decimal bit varying timestamp time float text explain analyze
		verbose costs buffers
		count sum avg min max coalesce nullif greatest least abs ceil ceiling floor round trunc mod power
		sqrt exp ln log sign
		random now current_timestamp current_date clock_timestamp statement_timestamp
		transaction_timestamp date_trunc date_part
		extract age to_char to_date to_number to_timestamp make_date make_interval length char_length
		octet_length lower upper
		initcap substring substr position strpos trim btrim ltrim rtrim lpad rpad replace translate
		split_part concat concat_ws
		format repeat reverse left right md5 sha256 encode decode convert_from convert_to string_agg
		array_agg array_length
		array_to_string string_to_array unnest cardinality array_append array_position generate_series
		generate_subscripts
		json_agg jsonb_agg json_build_object jsonb_build_object json_object_agg jsonb_object_agg to_json
		to_jsonb row_to_json
		jsonb_array_elements jsonb_each jsonb_set jsonb_typeof json_extract_path_text regexp_replace
		regexp_match regexp_matches
		row_number rank dense_rank percent_rank ntile lag lead first_value last_value nth_value bool_and
		bool_or every
		stddev variance corr percentile_cont percentile_disc mode pg_typeof version current_schema
		current_setting
		has_table_privilege pg_is_in_recovery pg_backend_pid pg_sleep gen_random_uuid quote_ident
		quote_literal exists`) {
		names[name] = true
	}
	return names
}()
