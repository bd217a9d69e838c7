package pooling

// tokenCursor holds the tokens of a statement that are not parsed yet.
type tokenCursor []token

// take consumes the given key words and reports true if they come next, in this
// order.
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

// takeAny consumes the next token and reports true if it is one of the key
// words.
func (c *tokenCursor) takeAny(keywords ...string) bool {
	for _, keyword := range keywords {
		if c.take(keyword) {
			return true
		}
	}
	return false
}

// takeIdentifier consumes and returns the next token if it is an identifier, and
// returns "" otherwise.
func (c *tokenCursor) takeIdentifier() string {
	if len(*c) == 0 || !(*c)[0].isIdentifier() {
		return ""
	}
	name := (*c)[0].text
	*c = (*c)[1:]
	return name
}

// takeChain reports whether AND CHAIN comes next, after an optional WORK or
// TRANSACTION.
func takeChain(c tokenCursor) bool {
	c.takeAny("work", "transaction")
	return c.take("and", "chain")
}

// analyzeStatement returns the effect of one statement. A statement that none of
// the parsers knows, such as DO, CALL or LOAD, is Opaque.
func (a Analyzer) analyzeStatement(tokens []token) Effect {
	parsers := []func(tokenCursor) (Effect, bool){
		a.transactionStatement,
		a.settingStatement,
		a.discardStatement,
		a.preparedStatement,
		a.notificationStatement,
		a.writeStatement,
		a.schemaStatement,
		a.queryStatement,
	}
	for _, parse := range parsers {
		if effect, known := parse(tokenCursor(tokens)); known {
			return effect
		}
	}
	return opaqueEffect()
}

// transactionStatement parses statements that begin or end transactions and
// those on savepoints.
func (a Analyzer) transactionStatement(c tokenCursor) (effect Effect, known bool) {
	switch {
	case c.take("begin"), c.take("start", "transaction"):
		return Effect{Kind: Begin}, true
	case c.take("commit", "prepared"), c.take("rollback", "prepared"):
		return Effect{Writes: true}, true
	case c.take("prepare", "transaction"):
		// The session is outside the transaction afterwards, as after a commit.
		return Effect{Kind: Commit, Writes: true}, true
	case c.takeAny("commit", "end"):
		return Effect{Kind: Commit, Chain: takeChain(c)}, true
	case c.takeAny("rollback", "abort"):
		return readRollback(c), true
	case c.take("savepoint"):
		return Effect{Kind: Savepoint, Name: c.takeIdentifier()}, true
	case c.take("release"):
		c.take("savepoint")
		return Effect{Kind: Release, Name: c.takeIdentifier()}, true
	}
	return Effect{}, false
}

// readRollback parses the rest of a statement after ROLLBACK.
func readRollback(c tokenCursor) Effect {
	c.takeAny("work", "transaction")
	if c.take("to") {
		c.take("savepoint")
		return Effect{Kind: RollbackTo, Name: c.takeIdentifier()}
	}
	return Effect{Kind: Rollback, Chain: takeChain(c)}
}

// settingStatement parses SET and RESET.
func (a Analyzer) settingStatement(c tokenCursor) (effect Effect, known bool) {
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

// discardStatement parses DISCARD.
func (a Analyzer) discardStatement(c tokenCursor) (effect Effect, known bool) {
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

// preparedStatement parses PREPARE, EXECUTE and DEALLOCATE.
func (a Analyzer) preparedStatement(c tokenCursor) (effect Effect, known bool) {
	switch {
	case c.take("prepare"):
		effect = a.analyzeQuery(c)
		effect.Kind = Prepare
		effect.Name = TruncateIdentifier(c.takeIdentifier())
		return effect, true
	case c.take("execute"):
		effect = a.analyzeQuery(c) // of the arguments; PREPARE has reported that of the statement itself
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

// notificationStatement parses LISTEN and UNLISTEN.
func (a Analyzer) notificationStatement(c tokenCursor) (effect Effect, known bool) {
	switch {
	case c.take("listen"):
		return Effect{Pins: PinListen}, true
	case c.take("unlisten"):
		if len(c) == 1 && c[0].isSymbol("*") {
			return Effect{Unpins: PinListen}, true
		}
		return Effect{}, true // the session may still listen on other channels
	}
	return Effect{}, false
}

// writeStatement parses statements that only a primary can run and that do not
// change the schema.
func (a Analyzer) writeStatement(c tokenCursor) (effect Effect, known bool) {
	if !c.takeAny("notify", "truncate", "lock", "vacuum", "analyze", "cluster", "reindex", "refresh",
		"checkpoint", "insert", "update", "delete", "merge", "copy") {
		return Effect{}, false
	}
	effect = a.analyzeQuery(c)
	effect.Writes = true
	return effect, true
}

// schemaStatement parses statements that change the schema.
func (a Analyzer) schemaStatement(c tokenCursor) (effect Effect, known bool) {
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
		effect.Pins |= a.analyzeQuery(c).Pins // CREATE TABLE AS runs a query
	}
	return effect, true
}

// queryStatement parses statements that return rows and statements on cursors.
func (a Analyzer) queryStatement(c tokenCursor) (effect Effect, known bool) {
	rest := c
	switch {
	case rest.take("declare"):
		effect = a.analyzeQuery(rest)
		for i := 1; i < len(rest); i++ {
			if rest[i].is("hold") && rest[i-1].is("with") {
				effect.Pins |= PinHold
			}
		}
		return effect, true
	case rest.takeAny("select", "with", "values", "table", "explain", "show", "fetch", "move", "close"),
		len(rest) > 0 && rest[0].isSymbol("("):
		return a.analyzeQuery(c), true
	}
	return Effect{}, false
}
