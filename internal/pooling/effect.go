package pooling

import "strings"

// Kind classifies a statement by what it does to its session.
type Kind uint8

// Kinds of statements. The comment on a kind names the Effect fields that it
// sets besides the flags and pins.
const (
	Ordinary Kind = iota // no effect besides the flags and pins
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
	Prepare    // Name, Text
	Execute    // Name
	Deallocate // Name
	DeallocateAll
	Opaque // not understood: may do anything
)

// Pin is a bit set of reasons why a session must keep its connection.
type Pin uint16

// Reasons to pin a session.
const (
	PinTemp     Pin = 1 << iota // a temporary table or view
	PinListen                   // LISTEN
	PinLock                     // a session-level advisory lock
	PinHold                     // a cursor WITH HOLD
	PinSequence                 // the session's sequence values, which currval and lastval return
	PinUnknown                  // an unknown statement or function, which may do any of these
)

// pinNames holds the names of the bits of Pin, lowest bit first.
var pinNames = [...]string{
	"temporary table",
	"listen",
	"advisory lock",
	"cursor with hold",
	"sequence",
	"unknown function",
}

// String returns the names of the reasons, separated by commas, or "none".
func (p Pin) String() string {
	var names []string
	for i, name := range pinNames {
		if p&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// Effect describes what one statement does to its session and to the database.
type Effect struct {
	Kind   Kind
	Name   string // of a savepoint, setting or prepared statement
	Value  string // of Set and SetLocal, as SQL that may follow SET name TO
	Text   string // of Prepare, the whole statement
	Pins   Pin    // reasons that the statement adds
	Unpins Pin    // reasons that the statement removes
	Schema bool   // changes the schema, so that plans of other sessions may be stale
	Writes bool   // can run only on a primary
	Chain  bool   // COMMIT or ROLLBACK AND CHAIN: a new transaction begins
}

// opaqueEffect returns the effect of a statement that may do anything.
func opaqueEffect() Effect {
	return Effect{Kind: Opaque, Pins: PinUnknown, Writes: true, Schema: true}
}

// Analyzer determines the effects of statements from their text. It is safe for
// concurrent use if SafeFunction is.
type Analyzer struct {
	// SafeFunction reports whether a function neither writes nor changes its
	// session. The name is in lower case, with its schema if the call names one
	// other than pg_catalog. If nil, only the built-in functions that Analyzer
	// knows count as safe.
	SafeFunction func(name string) bool
	// StandardConformingStrings is the value of the PostgreSQL setting
	// standard_conforming_strings, which is on by default: backslashes in plain
	// string constants are literal.
	StandardConformingStrings bool
}

// Analyze returns the effect of each statement of a query string, in order. A
// string that cannot be tokenized yields one Opaque effect.
func (a Analyzer) Analyze(sql string) []Effect {
	statements, err := splitStatements(sql, a.StandardConformingStrings)
	if err != nil {
		return []Effect{opaqueEffect()}
	}
	effects := make([]Effect, len(statements))
	for i, statement := range statements {
		effects[i] = a.analyzeStatement(statement.tokens)
		if effects[i].Kind == Prepare {
			effects[i].Text = statement.text
		}
	}
	return effects
}
