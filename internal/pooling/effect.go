package pooling

import "strings"

// Kind is what a statement does to its session.
type Kind uint8

// The kinds of statement. Which fields of an Effect belong to one is said
// behind it.
const (
	Ordinary Kind = iota // nothing but what the Effect's flags and pins say
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
	Prepare       // Name, Text
	Execute       // Name
	Deallocate    // Name
	DeallocateAll // of all names
	Opaque        // not understood: may do anything
)

// Pin is a set of reasons why a session must keep its connection.
type Pin uint16

// The reasons, one bit each.
const (
	PinTemp     Pin = 1 << iota // a temporary table or view
	PinListen                   // LISTEN
	PinLock                     // an advisory lock of the session
	PinHold                     // a cursor WITH HOLD
	PinSequence                 // currval or lastval
	PinUnknown                  // a function or block that may do any of these
)

// pinNames are the names of the bits of Pin, in order.
var pinNames = [...]string{
	"temporary table",
	"listen",
	"advisory lock",
	"cursor with hold",
	"sequence",
	"unknown function",
}

// String returns the names of the reasons, for operators.
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

// Effect is what one statement does to its session and to others.
type Effect struct {
	Kind   Kind
	Name   string // of a savepoint, setting or prepared statement
	Value  string // of Set and SetLocal, as SQL that may follow the name
	Text   string // of Prepare, the whole statement
	Pins   Pin    // reasons that begin with it
	Unpins Pin    // reasons that end with it
	Schema bool   // changes the schema: plans of other sessions may be stale
	Writes bool   // only a primary can run it
	Chain  bool   // COMMIT or ROLLBACK AND CHAIN: another transaction begins
}

// opaqueEffect is that of a statement that may do anything.
func opaqueEffect() Effect {
	return Effect{Kind: Opaque, Pins: PinUnknown, Writes: true, Schema: true}
}

// Analyzer reads what statements do. It is safe for concurrent use if SafeFunction is.
type Analyzer struct {
	// SafeFunction reports whether a function neither writes nor changes its session.
	// Nil adds none to the common functions that are known.
	SafeFunction func(name string) bool
	// StandardConformingStrings is standard_conforming_strings, which is on by default in
	// PostgreSQL.
	StandardConformingStrings bool
}

// Analyze returns what each statement of a query string does, in order. A string
// that cannot be parsed is one Opaque statement.
func (r Analyzer) Analyze(sql string) []Effect {
	statements, err := splitStatements(sql, r.StandardConformingStrings)
	if err != nil {
		return []Effect{opaqueEffect()}
	}
	effects := make([]Effect, len(statements))
	for i, statement := range statements {
		effects[i] = r.statement(statement.tokens)
		if effects[i].Kind == Prepare {
			effects[i].Text = statement.text
		}
	}
	return effects
}
