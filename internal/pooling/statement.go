package pooling

// tokenCursor is what is left of a statement's tokens.
type tokenCursor []token

// take skips these key words, if they come next.
func (c *tokenCursor) take(keywords ...string) bool {
	if len(*c) < len(keywords) {
		return false
	}
	for i, keyword := range keywords {
		if !(*c)[i].is(keyword) {
			return false
		}
	}
	*c = (*c)[len(keywords):]
	return true
}

// takeAny skips one of several key words, if one comes next.
func (c *tokenCursor) takeAny(keywords ...string) bool {
	for _, keyword := range keywords {
		if c.take(keyword) {
			return true
		}
	}
	return false
}

// takeIdentifier returns the identifier that comes next, "" if there is none.
func (c *tokenCursor) takeIdentifier() string {
	if len(*c) == 0 || !(*c)[0].isIdentifier() {
		return ""
	}
	name := (*c)[0].text
	*c = (*c)[1:]
	return name
}

// takeChain reports whether AND CHAIN follows COMMIT or ROLLBACK.
func takeChain(c tokenCursor) bool {
	c.takeAny("work", "transaction")
	return c.take("and", "chain")
}

// statement returns what one statement does. What no group of statements knows
// is Opaque: DO, CALL, LOAD and whatever else there is.
func (r Analyzer) statement(tokens []token) Effect {
	groups := []func(tokenCursor) (Effect, bool){
		r.transactionStatement,
		r.settingStatement,
		r.discardStatement,
		r.preparedStatement,
		r.notificationStatement,
		r.writeStatement,
		r.schemaStatement,
		r.query,
	}
	for _, group := range groups {
		if effect, known := group(tokenCursor(tokens)); known {
			return effect
		}
	}
	return opaqueEffect()
}

// transactionStatement reads statements that begin, end or part transactions.
func (r Analyzer) transactionStatement(c tokenCursor) (effect Effect, known bool) {
	switch {
	case c.take("begin"), c.take("start", "transaction"):
		return Effect{Kind: Begin}, true
	case c.take("commit", "prepared"), c.take("rollback", "prepared"):
		return Effect{Writes: true}, true
	case c.take("prepare", "transaction"):
		// The session is left without the transaction, as after a commit.
		return Effect{Kind: Commit, Writes: true}, true
	case c.takeAny("commit", "end"):
		return Effect{Kind: Commit, Chain: takeChain(c)}, true
	case c.takeAny("rollback", "abort"):
		return rollback(c), true
	case c.take("savepoint"):
		return Effect{Kind: Savepoint, Name: c.takeIdentifier()}, true
	case c.take("release"):
		c.take("savepoint")
		return Effect{Kind: Release, Name: c.takeIdentifier()}, true
	}
	return Effect{}, false
}

// rollback reads what follows ROLLBACK.
func rollback(c tokenCursor) Effect {
	c.takeAny("work", "transaction")
	if c.take("to") {
		c.take("savepoint")
		return Effect{Kind: RollbackTo, Name: c.takeIdentifier()}
	}
	return Effect{Kind: Rollback, Chain: takeChain(c)}
}

// settingStatement reads SET and RESET.
func (r Analyzer) settingStatement(c tokenCursor) (effect Effect, known bool) {
	switch {
	case c.take("set"):
		return readSet(c), true
	case c.take("reset", "all"):
		return Effect{Kind: ResetAll}, true
	case c.take("reset"):
		if name := settingName(&c); name != "" {
			return Effect{Kind: Reset, Name: name}, true
		}
	}
	return Effect{}, false
}

// discardStatement reads DISCARD.
func (r Analyzer) discardStatement(c tokenCursor) (effect Effect, known bool) {
	if !c.take("discard") {
		return Effect{}, false
	}
	switch {
	case c.take("all"):
		return Effect{Kind: DiscardAll}, true
	case c.take("plans"):
		return Effect{Kind: DiscardPlans}, true
	case c.takeAny("temp", "temporary"):
		return Effect{Kind: DiscardTemp, Unpins: PinTemp}, true
	case c.take("sequences"):
		return Effect{Kind: DiscardSequences, Unpins: PinSequence}, true
	}
	return Effect{}, false
}

// preparedStatement reads PREPARE, EXECUTE and DEALLOCATE.
func (r Analyzer) preparedStatement(c tokenCursor) (effect Effect, known bool) {
	switch {
	case c.take("prepare"):
		effect = r.body(c)
		effect.Kind = Prepare
		effect.Name = TruncateIdentifier(c.takeIdentifier())
		return effect, true
	case c.take("execute"):
		effect = r.body(c) // of the arguments; the statement's own effects were those of PREPARE
		effect.Kind = Execute
		effect.Name = TruncateIdentifier(c.takeIdentifier())
		return effect, true
	case c.take("deallocate"):
		c.take("prepare")
		if c.take("all") {
			return Effect{Kind: DeallocateAll}, true
		}
		return Effect{Kind: Deallocate, Name: TruncateIdentifier(c.takeIdentifier())}, true
	}
	return Effect{}, false
}

// notificationStatement reads LISTEN and UNLISTEN.
func (r Analyzer) notificationStatement(c tokenCursor) (effect Effect, known bool) {
	switch {
	case c.take("listen"):
		return Effect{Pins: PinListen}, true
	case c.take("unlisten"):
		if len(c) == 1 && c[0].isSymbol("*") {
			return Effect{Unpins: PinListen}, true
		}
		return Effect{}, true // other channels may still be listened to
	}
	return Effect{}, false
}

// writeStatement reads statements that only a primary runs and that leave the
// schema as it is.
func (r Analyzer) writeStatement(c tokenCursor) (effect Effect, known bool) {
	if !c.takeAny("notify", "truncate", "lock", "vacuum", "analyze", "cluster", "reindex", "refresh",
		"checkpoint", "insert", "update", "delete", "merge", "copy") {
		return Effect{}, false
	}
	effect = r.body(c)
	effect.Writes = true
	return effect, true
}

// schemaStatement reads statements that change the schema.
func (r Analyzer) schemaStatement(c tokenCursor) (effect Effect, known bool) {
	if !c.takeAny("create", "alter", "drop", "grant", "revoke", "comment", "security", "import", "reassign") {
		return Effect{}, false
	}
	effect = Effect{Schema: true, Writes: true}
	for _, t := range c[:min(len(c), 5)] { // CREATE [OR REPLACE] [LOCAL] TEMP ...
		if t.isTemporary() {
			effect.Pins = PinTemp
		}
	}
	if len(c) > 0 && (c[0].is("table") || c[0].is("materialized")) {
		effect.Pins |= r.body(c).Pins // CREATE TABLE AS runs a query
	}
	return effect, true
}

// query reads statements that return rows, and cursors.
func (r Analyzer) query(c tokenCursor) (effect Effect, known bool) {
	rest := c
	switch {
	case rest.take("declare"):
		effect = r.body(rest)
		for i := 1; i < len(rest); i++ {
			if rest[i].is("hold") && rest[i-1].is("with") {
				effect.Pins |= PinHold
			}
		}
		return effect, true
	case rest.takeAny("select", "with", "values", "table", "explain", "show", "fetch", "move", "close"),
		len(rest) > 0 && rest[0].isSymbol("("):
		return r.body(c), true
	}
	return Effect{}, false
}
