package pooling

import (
	"maps"
	"slices"
)

// value is a setting's value, or its default.
type value struct {
	text  string // as SQL
	reset bool   // to the default
}

// change is how a transaction, or the part of it since a savepoint, has changed
// a setting. A nil value is unchanged.
type change struct {
	session *value // by SET, which outlives the transaction if it commits
	local   *value // by SET LOCAL
}

// frame holds the changes of a transaction, or those since a savepoint.
type frame struct {
	savepoint string
	changes   map[string]change
}

// Settings are the settings of a session by PostgreSQL's rules on transactions:
// a rollback undoes a SET, and SET LOCAL ends with its transaction. The zero
// Settings are those of a new connection. They are not safe for concurrent use.
type Settings struct {
	base   map[string]string // set for the session outside a transaction, or committed
	frames []frame           // of the open transaction, the innermost last
	failed bool              // the transaction can only be rolled back
}

// InTransaction reports whether a transaction is open.
func (s *Settings) InTransaction() bool { return len(s.frames) > 0 }

// Failed reports whether the open transaction can only be rolled back.
func (s *Settings) Failed() bool { return s.failed }

// Apply takes the effect of a statement that succeeded. In a failed transaction
// only the end of the transaction or a rollback to a savepoint has an effect.
func (s *Settings) Apply(effect Effect) {
	if s.failed && effect.Kind != Rollback && effect.Kind != RollbackTo && effect.Kind != Commit {
		return
	}
	switch effect.Kind {
	case Begin, Commit, Rollback, Savepoint, Release, RollbackTo:
		s.applyTransaction(effect)
	case Set:
		s.set(effect.Name, value{text: effect.Value})
	case SetLocal:
		s.setLocal(effect.Name, effect.Value)
	case Reset:
		s.set(effect.Name, value{reset: true})
	case ResetAll:
		for _, name := range s.names() {
			s.set(name, value{reset: true})
		}
	case DiscardAll:
		if !s.InTransaction() { // PostgreSQL rejects it inside a transaction
			s.base = nil
		}
	}
}

// applyTransaction takes the effect of a statement that begins, ends or parts a
// transaction.
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
			s.frames = append(s.frames, frame{savepoint: effect.Name, changes: map[string]change{}})
		}
	case Release:
		if depth := s.find(effect.Name); depth > 0 {
			for len(s.frames) > depth {
				s.merge()
			}
		}
	case RollbackTo:
		if depth := s.find(effect.Name); depth > 0 { // the savepoint itself stays
			s.frames = s.frames[:depth+1]
			s.frames[depth].changes = map[string]change{}
			s.failed = false
		}
	}
}

// Fail reports that a statement failed: the open transaction, if there is one,
// can only be rolled back.
func (s *Settings) Fail() { s.failed = s.InTransaction() }

func (s *Settings) begin() { s.frames = []frame{{changes: map[string]change{}}} }

// end ends the transaction, if one is open.
func (s *Settings) end(commit bool) {
	if commit && s.InTransaction() {
		for len(s.frames) > 1 {
			s.merge()
		}
		for name, changed := range s.frames[0].changes {
			if changed.session != nil {
				s.setBase(name, *changed.session)
			}
		}
	}
	s.frames = nil
	s.failed = false
}

// merge adds the changes of the innermost frame to the one around it.
func (s *Settings) merge() {
	inner := s.frames[len(s.frames)-1]
	s.frames = s.frames[:len(s.frames)-1]
	outer := s.frames[len(s.frames)-1].changes
	for name, changed := range inner.changes {
		merged := outer[name]
		if changed.session != nil { // a later SET replaces a SET LOCAL, too
			merged = change{session: changed.session}
		}
		if changed.local != nil {
			merged.local = changed.local
		}
		outer[name] = merged
	}
}

// find returns the index of the frame of the innermost savepoint of a name, 0
// if there is none.
func (s *Settings) find(name string) int {
	for i := len(s.frames) - 1; i > 0; i-- {
		if s.frames[i].savepoint == name {
			return i
		}
	}
	return 0
}

// set changes a setting for the session.
func (s *Settings) set(name string, to value) {
	if !s.InTransaction() {
		s.setBase(name, to)
		return
	}
	s.frames[len(s.frames)-1].changes[name] = change{session: &to}
}

// setLocal changes a setting for the transaction. It has no effect outside one.
func (s *Settings) setLocal(name, text string) {
	if !s.InTransaction() {
		return
	}
	changes := s.frames[len(s.frames)-1].changes
	changed := changes[name]
	changed.local = &value{text: text, reset: text == "DEFAULT"}
	changes[name] = changed
}

// setBase changes a setting for the session outside any transaction.
func (s *Settings) setBase(name string, to value) {
	if to.reset {
		delete(s.base, name)
		return
	}
	if s.base == nil {
		s.base = map[string]string{}
	}
	s.base[name] = to.text
}

// names returns the names of all settings that have a value or a change.
func (s *Settings) names() []string {
	all := map[string]bool{}
	for name := range s.base {
		all[name] = true
	}
	for _, frame := range s.frames {
		for name := range frame.changes {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Get returns a setting's current value as SQL; ok is false for the default.
func (s *Settings) Get(name string) (text string, ok bool) {
	for i := len(s.frames) - 1; i >= 0; i-- {
		changed := s.frames[i].changes[name]
		for _, current := range []*value{changed.local, changed.session} {
			if current != nil {
				return current.text, !current.reset
			}
		}
	}
	text, ok = s.base[name]
	return text, ok
}

// Session returns the session's settings outside any transaction, as SQL by
// name.
func (s *Settings) Session() map[string]string { return maps.Clone(s.base) }
