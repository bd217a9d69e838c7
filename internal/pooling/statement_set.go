package pooling

import "strings"

// settingName consumes a setting's name, which may contain dots or consist of
// several key words, and returns it in lower case; "" if there is none.
func settingName(c *tokenCursor) string {
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
	name := c.takeIdentifier()
	for len(*c) > 1 && (*c)[0].isSymbol(".") && (*c)[1].isIdentifier() {
		name += "." + (*c)[1].text
		*c = (*c)[2:]
	}
	return strings.ToLower(name)
}

// readSet parses the rest of a statement after SET.
func readSet(c tokenCursor) Effect {
	kind := Set
	switch {
	case c.takeAny("constraints", "transaction"):
		return Effect{} // applies only to the current transaction
	case c.take("session", "characteristics", "as", "transaction"):
		return opaqueSetting() // may change several settings
	case c.take("local"):
		kind = SetLocal
	case len(c) > 1 && c[0].is("session") && !c[1].is("authorization"):
		c = c[1:]
	}
	// Settings with special syntax need neither TO nor an equals sign.
	ownSyntax := len(c) > 0 && (c[0].is("time") || c[0].is("names") || c[0].is("session") || c[0].is("role"))
	name := settingName(&c)
	if name == "" {
		return opaqueSetting()
	}
	if len(c) > 0 && (c[0].is("to") || c[0].isSymbol("=")) {
		c = c[1:]
	} else if !ownSyntax {
		return opaqueSetting()
	}
	if len(c) == 0 {
		return opaqueSetting()
	}
	if isDefault(c, name, ownSyntax) {
		if kind == SetLocal {
			return Effect{Kind: SetLocal, Name: name, Value: "DEFAULT"}
		}
		return Effect{Kind: Reset, Name: name}
	}
	value, ok := settingValue(c)
	if !ok {
		return opaqueSetting()
	}
	return Effect{Kind: kind, Name: name, Value: value}
}

// opaqueSetting returns the effect of a SET that cannot be parsed. It changes
// settings of its session, but neither data nor the schema.
func opaqueSetting() Effect { return Effect{Kind: Opaque, Pins: PinUnknown} }

// isDefault reports whether the value that follows restores the setting's
// default.
func isDefault(c tokenCursor, name string, ownSyntax bool) bool {
	if len(c) != 1 {
		return false
	}
	return c[0].is("default") || ownSyntax && c[0].is("local") || name == "role" && c[0].is("none")
}

// settingValue returns the remaining tokens as SQL. ok is false if they contain
// a parameter, whose value is unknown.
func settingValue(c tokenCursor) (value string, ok bool) {
	var sql strings.Builder
	for i, t := range c {
		if i > 0 && !t.isSymbol(",") && !c[i-1].isSymbol("-") {
			sql.WriteByte(' ')
		}
		switch t.kind {
		case stringConstant:
			sql.WriteString(QuoteLiteral(t.text))
		case quotedIdentifier:
			sql.WriteString(quoteIdentifier(t.text))
		case parameter:
			return "", false
		default:
			sql.WriteString(t.text)
		}
	}
	return sql.String(), true
}

// quoteIdentifier returns a quoted identifier with the given name.
func quoteIdentifier(name string) string {
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}

// QuoteLiteral returns an SQL string constant with the given value, which is the
// same whether standard_conforming_strings is on or off. A constant with
// backslashes has the prefix E, after a space that separates it from a preceding
// word.
func QuoteLiteral(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if strings.Contains(value, `\`) {
		return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}
