package pooling

import (
	"maps"
	"slices"
)

// assignment gives a setting a value or resets it to its default.
type assignment struct {
	text  string // as SQL
	reset bool   // whether to reset the setting to its default
}

// change holds the changes of one setting in a transactionFrame. A nil
// assignment means no change.
type change struct {
	session *assignment // by SET or RESET: persists if the transaction commits
	local   *assignment // by SET LOCAL: ends with the transaction
}

// transactionFrame holds the changes since the beginning of a transaction or
// since a savepoint, up to the next savepoint.
type transactionFrame struct {
	savepoint string            // "" for the beginning of the transaction
	changes   map[string]change // by setting
}

// Settings holds the settings of a session and follows PostgreSQL's rules on
// transactions: a rollback undoes a SET, and a SET LOCAL ends with its
// transaction. The zero Settings is that of a new connection. It is not safe for
// concurrent use.
type Settings struct {
	committed map[string]string  // values as SQL, set outside a transaction or committed
	frames    []transactionFrame // of the open transaction, innermost last
	failed    bool               // whether the transaction can only be rolled back
}

// InTransaction reports whether a transaction is open.
func (s *Settings) InTransaction() bool { return len(s.frames) > 0 }

// Failed reports whether the open transaction can only be rolled back.
func (s *Settings) Failed() bool { return s.failed }

// Apply applies the effect of a statement that has succeeded. In a failed
// transaction only the end of the transaction and a rollback to a savepoint have
// an effect.
func (s *Settings) Apply(effect Effect) {
	if s.failed && effect.Kind != Rollback && effect.Kind != RollbackTo && effect.Kind != Commit {
		return
	}
	switch effect.Kind {
	case Begin, Commit, Rollback, Savepoint, Release, RollbackTo:
		s.applyTransaction(effect)
	case Set:
		s.setSession(effect.Name, assignment{text: effect.Value})
	case SetLocal:
		s.setLocal(effect.Name, effect.Value)
	case Reset:
		s.setSession(effect.Name, assignment{reset: true})
	case ResetAll:
		for _, name := range s.names() {
			s.setSession(name, assignment{reset: true})
		}
	case DiscardAll:
		if !s.InTransaction() { // PostgreSQL rejects it inside a transaction
			s.committed = nil
		}
	}
}

// applyTransaction applies the effect of a statement that begins or ends a
// transaction, or of one on savepoints.
func (s *Settings) applyTransaction(effect Effect) {
	switch effect.Kind {
	case Begin:
		if !s.InTransaction() {
			s.begin()
		}
	case Commit, Rollback:
		committed := effect.Kind == Commit && !s.failed // COMMIT rolls a failed transaction back
		s.end(committed)
		if effect.Chain {
			s.begin()
		}
	case Savepoint:
		if s.InTransaction() {
			s.frames = append(s.frames, transactionFrame{
				savepoint: effect.Name,
				changes:   map[string]change{},
			})
		}
	case Release:
		if depth := s.findSavepoint(effect.Name); depth > 0 {
			for len(s.frames) > depth {
				s.mergeInnermost()
			}
		}
	case RollbackTo:
		if depth := s.findSavepoint(effect.Name); depth > 0 { // the savepoint remains defined
			s.frames = s.frames[:depth+1]
			s.frames[depth].changes = map[string]change{}
			s.failed = false
		}
	}
}

// Fail records that a statement has failed: the open transaction, if any, can
// only be rolled back.
func (s *Settings) Fail() { s.failed = s.InTransaction() }

func (s *Settings) begin() { s.frames = []transactionFrame{{changes: map[string]change{}}} }

// end ends the open transaction, if any, and keeps its session-level changes if
// it commits.
func (s *Settings) end(commit bool) {
	if commit && s.InTransaction() {
		for len(s.frames) > 1 {
			s.mergeInnermost()
		}
		for name, changed := range s.frames[0].changes {
			if changed.session != nil {
				s.setCommitted(name, *changed.session)
			}
		}
	}
	s.frames = nil
	s.failed = false
}

// mergeInnermost merges the changes of the innermost frame into the next outer
// one.
func (s *Settings) mergeInnermost() {
	inner := s.frames[len(s.frames)-1]
	s.frames = s.frames[:len(s.frames)-1]
	outer := s.frames[len(s.frames)-1].changes
	for name, changed := range inner.changes {
		merged := outer[name]
		if changed.session != nil { // a later SET also overrides a SET LOCAL
			merged = change{session: changed.session}
		}
		if changed.local != nil {
			merged.local = changed.local
		}
		outer[name] = merged
	}
}

// findSavepoint returns the index of the frame of the innermost savepoint with a
// name, 0 if there is none.
func (s *Settings) findSavepoint(name string) int {
	for i := len(s.frames) - 1; i > 0; i-- {
		if s.frames[i].savepoint == name {
			return i
		}
	}
	return 0
}

// setSession changes a setting for the session. Inside a transaction the change
// persists only if the transaction commits.
func (s *Settings) setSession(name string, to assignment) {
	if !s.InTransaction() {
		s.setCommitted(name, to)
		return
	}
	s.frames[len(s.frames)-1].changes[name] = change{session: &to}
}

// setLocal changes a setting for the open transaction. It has no effect outside
// a transaction.
func (s *Settings) setLocal(name, text string) {
	if !s.InTransaction() {
		return
	}
	changes := s.frames[len(s.frames)-1].changes
	changed := changes[name]
	changed.local = &assignment{text: text, reset: text == "DEFAULT"}
	changes[name] = changed
}

// setCommitted changes a setting for the session, independent of any
// transaction.
func (s *Settings) setCommitted(name string, to assignment) {
	if to.reset {
		delete(s.committed, name)
		return
	}
	if s.committed == nil {
		s.committed = map[string]string{}
	}
	s.committed[name] = to.text
}

// names returns the sorted names of all settings that have a value or a change.
func (s *Settings) names() []string {
	all := map[string]bool{}
	for name := range s.committed {
		all[name] = true
	}
	for _, frame := range s.frames {
		for name := range frame.changes {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Get returns a setting's current value as SQL. ok is false if it has its
// default.
func (s *Settings) Get(name string) (text string, ok bool) {
	for i := len(s.frames) - 1; i >= 0; i-- {
		changed := s.frames[i].changes[name]
		for _, current := range []*assignment{changed.local, changed.session} {
			if current != nil {
				return current.text, !current.reset
			}
		}
	}
	text, ok = s.committed[name]
	return text, ok
}

// CommittedSettings returns a copy of the settings that apply to the session
// outside any transaction: values as SQL by name.
func (s *Settings) CommittedSettings() map[string]string { return maps.Clone(s.committed) }
