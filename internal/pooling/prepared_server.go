package pooling

import "container/list"

// ConnectionStatements are the prepared statements on a server connection, the
// least recently used first. The zero value has none and no bound. It is not
// safe for concurrent use.
type ConnectionStatements struct {
	Max    int       // statements, 0 for no bound
	order  list.List // of *connectionStatement
	byName map[string]*list.Element
}

// connectionStatement is one prepared statement on a connection.
type connectionStatement struct {
	name       string
	generation uint64 // of the schema at its Parse
}

// staleGeneration is a generation that a StatementCatalog never reaches.
const staleGeneration = ^uint64(0)

// PrepareSteps are the messages that must be sent before a statement can be bound.
type PrepareSteps struct {
	Close []string // a Close of each of these server-side names, in order
	Parse bool     // then a Parse of the statement itself
}

// Ensure returns what must be sent before a statement can be bound on the
// connection, and records it as done. If the Parse fails, Forget must follow.
func (s *ConnectionStatements) Ensure(catalog *StatementCatalog, prepared *PreparedStatement) (steps PrepareSteps) {
	if element := s.byName[prepared.ServerName]; element != nil {
		if element.Value.(*connectionStatement).generation == catalog.generation {
			s.order.MoveToBack(element)
			return steps
		}
		steps.Close = append(steps.Close, prepared.ServerName)
		s.remove(element)
	}
	for s.Max > 0 && s.order.Len() >= s.Max {
		oldest := s.order.Front()
		steps.Close = append(steps.Close, oldest.Value.(*connectionStatement).name)
		s.remove(oldest)
	}
	added := &connectionStatement{name: prepared.ServerName, generation: catalog.generation}
	s.put(s.order.PushBack(added))
	steps.Parse = true
	return steps
}

// Forget records that a statement is not on the connection after all: its Parse
// failed, or was skipped after another error.
func (s *ConnectionStatements) Forget(prepared *PreparedStatement) {
	if element := s.byName[prepared.ServerName]; element != nil {
		s.remove(element)
	}
}

// Restore records that a statement is still on the connection because its Close
// was skipped. It counts as stale, so that it is closed before it is used.
func (s *ConnectionStatements) Restore(name string) {
	if s.byName[name] != nil {
		return
	}
	s.put(s.order.PushFront(&connectionStatement{name: name, generation: staleGeneration}))
}

// Clear records that the connection has none, after DEALLOCATE ALL or
// DISCARD ALL.
func (s *ConnectionStatements) Clear() {
	s.order.Init()
	s.byName = nil
}

// Len returns the number of statements on the connection.
func (s *ConnectionStatements) Len() int { return s.order.Len() }

func (s *ConnectionStatements) put(element *list.Element) {
	if s.byName == nil {
		s.byName = map[string]*list.Element{}
	}
	s.byName[element.Value.(*connectionStatement).name] = element
}

func (s *ConnectionStatements) remove(element *list.Element) {
	delete(s.byName, element.Value.(*connectionStatement).name)
	s.order.Remove(element)
}
