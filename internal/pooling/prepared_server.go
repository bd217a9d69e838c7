package pooling

import "container/list"

// ConnectionStatements records the prepared statements on a server connection.
// Beyond Max it evicts the least recently used one. The zero value is empty and
// has no limit. It is not safe for concurrent use.
type ConnectionStatements struct {
	Max    int       // largest number of statements, 0 for no limit
	lru    list.List // of *connectionStatement, least recently used first
	byName map[string]*list.Element
}

// connectionStatement is one prepared statement on a connection.
type connectionStatement struct {
	name       string
	generation uint64 // schema generation at its Parse
}

// staleGeneration is a generation that a StatementCatalog never reaches.
const staleGeneration = ^uint64(0)

// PrepareSteps lists the messages to send before a statement can be bound: first
// the Close messages, then the Parse.
type PrepareSteps struct {
	Close []string // server-side names of statements to close, in order
	Parse bool     // whether to parse the statement
}

// Ensure returns the messages to send before a statement can be bound on the
// connection, and records them as successful. The caller must call Forget if the
// Parse fails, and Restore for each Close that the server skips.
func (s *ConnectionStatements) Ensure(
	catalog *StatementCatalog,
	prepared *PreparedStatement,
) (steps PrepareSteps) {
	if element := s.byName[prepared.ServerName]; element != nil {
		if element.Value.(*connectionStatement).generation == catalog.generation {
			s.lru.MoveToBack(element)
			return steps
		}
		steps.Close = append(steps.Close, prepared.ServerName)
		s.remove(element)
	}
	for s.Max > 0 && s.lru.Len() >= s.Max {
		oldest := s.lru.Front()
		steps.Close = append(steps.Close, oldest.Value.(*connectionStatement).name)
		s.remove(oldest)
	}
	added := &connectionStatement{name: prepared.ServerName, generation: catalog.generation}
	s.put(s.lru.PushBack(added))
	steps.Parse = true
	return steps
}

// Forget records that a statement is not on the connection because its Parse
// failed or was skipped after another error.
func (s *ConnectionStatements) Forget(prepared *PreparedStatement) {
	if element := s.byName[prepared.ServerName]; element != nil {
		s.remove(element)
	}
}

// Restore records that a statement is still on the connection because its Close
// was skipped. The statement counts as stale, so that it is closed before its
// next use.
func (s *ConnectionStatements) Restore(name string) {
	if s.byName[name] != nil {
		return
	}
	s.put(s.lru.PushFront(&connectionStatement{name: name, generation: staleGeneration}))
}

// Clear records that the connection has no statements. It is called after
// DEALLOCATE ALL or DISCARD ALL.
func (s *ConnectionStatements) Clear() {
	s.lru.Init()
	s.byName = nil
}

// Len returns the number of statements on the connection.
func (s *ConnectionStatements) Len() int { return s.lru.Len() }

func (s *ConnectionStatements) put(element *list.Element) {
	if s.byName == nil {
		s.byName = map[string]*list.Element{}
	}
	s.byName[element.Value.(*connectionStatement).name] = element
}

func (s *ConnectionStatements) remove(element *list.Element) {
	delete(s.byName, element.Value.(*connectionStatement).name)
	s.lru.Remove(element)
}
