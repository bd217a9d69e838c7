package pooling

import (
	"maps"
	"slices"
	"strings"
)

// value is a setting's value, or that it was reset to its default.
type value struct {
	text  string
	reset bool
}

// change is what one transaction, or the part of it since a savepoint, has
// made of a setting: for the session, and for the transaction alone.
type change struct {
	session, local *value
}

// frame is a transaction's changes, or those since a savepoint.
type frame struct {
	savepoint string
	changes   map[string]change
}

// Settings are what a session has set, by PostgreSQL's rules on transactions:
// what is rolled back was never set, and SET LOCAL ends with its transaction.
// The zero Settings are those of a new connection.
type Settings struct {
	base   map[string]string // set for the session, outside or committed
	frames []frame           // none outside a transaction
	failed bool              // an error came: only a rollback helps
}

// InTransaction tells whether a transaction is open, and Failed whether it can
// only be rolled back.
func (s *Settings) InTransaction() bool { return len(s.frames) > 0 }

// Failed tells whether the transaction can only be rolled back.
func (s *Settings) Failed() bool { return s.failed }

// Apply takes a statement that went through, as its session sees it. What a
// failed transaction ignores is ignored here.
func (s *Settings) Apply(e Effect) {
	if s.failed && e.Kind != Rollback && e.Kind != RollbackTo && e.Kind != Commit {
		return
	}
	switch e.Kind {
	case Begin:
		if len(s.frames) == 0 {
			s.begin()
		}
	case Commit:
		if s.failed { // COMMIT of a failed transaction is a rollback
			s.end(false)
		} else {
			s.end(true)
		}
		if e.Chain {
			s.begin()
		}
	case Rollback:
		s.end(false)
		if e.Chain {
			s.begin()
		}
	case Savepoint:
		if len(s.frames) > 0 {
			s.frames = append(s.frames, frame{savepoint: e.Name, changes: map[string]change{}})
		}
	case Release:
		if i := s.find(e.Name); i > 0 {
			for len(s.frames) > i {
				s.fold()
			}
		}
	case RollbackTo:
		if i := s.find(e.Name); i > 0 { // the savepoint stays, with nothing since it
			s.frames = s.frames[:i+1]
			s.frames[i].changes = map[string]change{}
			s.failed = false
		}
	case Set:
		s.set(e.Name, value{text: e.Value})
	case Reset:
		s.set(e.Name, value{reset: true})
	case SetLocal:
		if len(s.frames) > 0 { // outside it has no effect
			f := &s.frames[len(s.frames)-1]
			c := f.changes[e.Name]
			c.local = &value{text: e.Value, reset: e.Value == "DEFAULT"}
			f.changes[e.Name] = c
		}
	case ResetAll:
		for _, name := range s.names() {
			s.set(name, value{reset: true})
		}
	case DiscardAll: // refused inside a transaction
		if len(s.frames) == 0 {
			s.base = nil
		}
	}
}

// Error learns that a statement failed, which ends all but a rollback of the
// transaction at hand.
func (s *Settings) Error() { s.failed = len(s.frames) > 0 }

func (s *Settings) begin() { s.frames = []frame{{changes: map[string]change{}}} }

// end ends the transaction.
func (s *Settings) end(commit bool) {
	if commit && len(s.frames) > 0 {
		for len(s.frames) > 1 {
			s.fold()
		}
		for name, c := range s.frames[0].changes {
			if c.session != nil {
				s.put(name, *c.session)
			}
		}
	}
	s.frames, s.failed = nil, false
}

// fold gives the innermost part's changes to the one around it.
func (s *Settings) fold() {
	top := s.frames[len(s.frames)-1]
	s.frames = s.frames[:len(s.frames)-1]
	around := s.frames[len(s.frames)-1].changes
	for name, c := range top.changes {
		was := around[name]
		if c.session != nil { // it covers a local value, too
			was = change{session: c.session}
		}
		if c.local != nil {
			was.local = c.local
		}
		around[name] = was
	}
}

// find returns the frame of the innermost savepoint of a name, 0 if none.
func (s *Settings) find(name string) int {
	for i := len(s.frames) - 1; i > 0; i-- {
		if s.frames[i].savepoint == name {
			return i
		}
	}
	return 0
}

func (s *Settings) set(name string, v value) {
	if len(s.frames) == 0 {
		s.put(name, v)
		return
	}
	s.frames[len(s.frames)-1].changes[name] = change{session: &v}
}

// put sets a value for the session, past any transaction.
func (s *Settings) put(name string, v value) {
	if v.reset {
		delete(s.base, name)
		return
	}
	if s.base == nil {
		s.base = map[string]string{}
	}
	s.base[name] = v.text
}

// names returns every name that has a value or a change.
func (s *Settings) names() []string {
	all := map[string]bool{}
	for name := range s.base {
		all[name] = true
	}
	for _, f := range s.frames {
		for name := range f.changes {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Get returns what a setting is now; ok is false for the default.
func (s *Settings) Get(name string) (text string, ok bool) {
	for i := len(s.frames) - 1; i >= 0; i-- {
		c := s.frames[i].changes[name]
		for _, v := range []*value{c.local, c.session} {
			if v != nil {
				return v.text, !v.reset
			}
		}
	}
	text, ok = s.base[name]
	return text, ok
}

// Session returns what is set for the session outside any transaction.
func (s *Settings) Session() map[string]string { return maps.Clone(s.base) }

// Difference returns the statements, in one query string, that give a
// connection which has what it has the settings that it must have: "" if they
// agree already. Both are outside any transaction. Roles come in the order in
// which they depend on each other: who a session is, then as whom it acts, then
// the rest; and back in the same order.
func Difference(has, must map[string]string) string {
	var names []string
	for name, v := range must {
		if old, ok := has[name]; !ok || old != v {
			names = append(names, name)
		}
	}
	for name := range has {
		if _, ok := must[name]; !ok {
			names = append(names, name)
		}
	}
	rank := func(name string) int {
		switch name {
		case "session_authorization":
			return 0
		case "role":
			return 1
		}
		return 2
	}
	slices.SortFunc(names, func(a, b string) int {
		if d := rank(a) - rank(b); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var out strings.Builder
	for i, name := range names {
		if i > 0 {
			out.WriteString("; ")
		}
		v, ok := must[name]
		switch {
		case !ok:
			out.WriteString("RESET " + statementName(name))
		case name == "session_authorization":
			out.WriteString("SET SESSION AUTHORIZATION " + v)
		case name == "role":
			out.WriteString("SET ROLE " + v)
		case name == "timezone":
			out.WriteString("SET TIME ZONE " + v)
		default:
			out.WriteString("SET " + statementName(name) + " TO " + v)
		}
	}
	return out.String()
}

// statementName writes a setting's name as it may stand in a statement.
func statementName(name string) string {
	if name == "session_authorization" {
		return "SESSION AUTHORIZATION"
	}
	parts := strings.Split(name, ".")
	for i, p := range parts {
		plain := p != "" && letter(p[0])
		for j := range len(p) {
			plain = plain && (letter(p[j]) || digit(p[j]))
		}
		if !plain {
			parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
		}
	}
	return strings.Join(parts, ".")
}
