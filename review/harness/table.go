package harness

import (
	"encoding/hex"
	"sync"
)

// Execution is a write that a table has run.
type Execution struct {
	Table string
	Row   string
	Key   string
	Doc   string // in hexadecimal digits
	AtMs  float64
}

// Table is what the hosts of a group hold. It drops a repeat that carries the key
// of a write which began less than WindowMs before, and answers it like the first.
type Table struct {
	WindowMs float64
	Record   *Recorder

	mu       sync.Mutex
	rows     map[string]string // first document by table and row
	keys     map[string]Execution
	executed []Execution
}

// Run runs a statement.
func (t *Table) Run(s Statement) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[string]string{}
		t.keys = map[string]Execution{}
	}
	if !s.Insert {
		value, _ := hex.DecodeString(t.rows["items/"+s.Row])
		return Answer{Value: value}
	}
	run := Execution{Table: s.Table, Row: s.Row, Key: s.Fields["k"], Doc: s.Doc, AtMs: NowMs()}
	if first, known := t.keys[run.Key]; known && run.AtMs < first.AtMs+t.WindowMs {
		t.Record.Note("database drops a repeat of key %s, row %s", run.Key, run.Row)
		value, _ := hex.DecodeString(first.Doc)
		return Answer{Value: value}
	}
	t.keys[run.Key] = run
	t.executed = append(t.executed, run)
	place := run.Table + "/" + run.Row
	if _, exists := t.rows[place]; !exists {
		t.rows[place] = run.Doc
	}
	t.Record.Note("database runs a write: table %s, row %s, key %s, doc %s",
		run.Table, run.Row, run.Key, run.Doc)
	value, _ := hex.DecodeString(t.rows[place])
	return Answer{Value: value}
}

// Executed returns every write that ran, in order.
func (t *Table) Executed() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.executed...)
}
