package pooling

import "strings"

// The kinds of the protocol's messages that the pipeline sends or knows. Some
// letters mean one thing from clients and another from servers.
const (
	msgParse    = 'P' // answered by ParseComplete
	msgBind     = 'B' // answered by BindComplete
	msgDescribe = 'D'
	msgExecute  = 'E'
	msgClose    = 'C' // answered by CloseComplete
	msgFlush    = 'H' // not answered
	msgSync     = 'S' // answered by ReadyForQuery

	msgParseComplete = '1'
	msgBindComplete  = '2'
	msgCloseComplete = '3'
	msgReadyForQuery = 'Z'
	msgError         = 'E'
)

// ClientMessage is one message of the extended protocol from a client.
type ClientMessage struct {
	Kind byte // 'P', 'B', 'D', 'E', 'C', 'H' or 'S', as on the wire
	// Statement is the client's name of a prepared statement: of Parse, Bind,
	// and Describe and Close where Portal is false.
	Statement string
	Portal    bool     // Describe or Close of a portal
	Text      string   // of Parse
	Types     []uint32 // of Parse, OIDs
	Raw       any      // what the caller needs to encode it again
}

// ServerMessage is one message for the server: the client's own under another
// statement name, or one of the pool's.
type ServerMessage struct {
	Kind          byte
	Name          string         // server-side statement of Parse, Bind, Describe and Close
	Text          string         // of the pool's own Parse
	Types         []uint32       // of the pool's own Parse, OIDs
	ClientMessage *ClientMessage // the client's, nil for the pool's own
}

// ReplyAction says what becomes of one message from the server.
type ReplyAction struct {
	Forward bool // to the client
	// Synthesized are the pool's own answers for the client after it, by their
	// kinds: '1' for ParseComplete, '3' for CloseComplete.
	Synthesized []byte
}

// expectedAnswer is an answer that is pending.
type expectedAnswer struct {
	kind        byte               // of the message that is answered
	portal      bool               // it is about a portal
	internal    bool               // answers the pool's own message: not for the client
	synthesized byte               // nothing was sent; the pool gives this answer in its turn
	parsed      *PreparedStatement // what a Parse adds to the connection
	// undo reverts the message's effects after an error: failed if the error
	// answers the message itself, otherwise the server skips it.
	undo func(failed bool)
}

// Pipeline is the extended protocol of one client on one connection. It is
// empty between a ReadyForQuery and the next message, and not safe for
// concurrent use.
//
// The protocol lets a client send many messages before it reads an answer, and
// answers come in the order of the messages (PostgreSQL 15, section 55.2.3).
// After an error the server skips everything up to the next Sync. Behind a pool
// some messages are not sent as they came: a statement that the connection has
// is not parsed again, and one that it lacks is parsed first. Pipeline keeps
// the order of the answers, so that the client cannot tell.
type Pipeline struct {
	catalog    *StatementCatalog
	names      *ClientStatements
	statements *ConnectionStatements
	pending    []expectedAnswer
	failed     bool // the server skips everything up to the next Sync
}

// NewPipeline returns an empty pipeline of a client on a connection.
func NewPipeline(catalog *StatementCatalog, names *ClientStatements, statements *ConnectionStatements) *Pipeline {
	return &Pipeline{catalog: catalog, names: names, statements: statements}
}

// Idle reports whether every message has been answered.
func (p *Pipeline) Idle() bool { return len(p.pending) == 0 }

// Ready reports whether FromClient may be called. Behind a Sync that is not
// answered yet the next message must wait if an error before that Sync would
// undo something: until then it is not known what the connection has and what a
// name means. Otherwise clients may send ahead as far as they like.
func (p *Pipeline) Ready() bool {
	undoable := false
	for i := range p.pending {
		answer := &p.pending[i]
		if answer.kind == msgSync && undoable {
			return false
		}
		undoable = undoable || answer.parsed != nil || answer.undo != nil
	}
	return true
}

// FromClient takes a client's message, if the pipeline is Ready. It returns
// what must be sent to the server for it, and the kinds of the pool's own
// answers that the client gets now since none are pending before them.
func (p *Pipeline) FromClient(m *ClientMessage) (send []ServerMessage, now []byte) {
	if p.failed && m.Kind != msgSync {
		return nil, nil
	}
	p.failed = false
	switch {
	case m.Kind == msgFlush:
		return []ServerMessage{{Kind: msgFlush, ClientMessage: m}}, nil
	case m.Kind == msgParse:
		send = p.parse(m)
	case m.Kind == msgBind, m.Kind == msgDescribe && !m.Portal:
		send = p.useStatement(m)
	case m.Kind == msgClose && !m.Portal:
		p.closeName(m)
	default: // Execute and Sync, and Describe and Close of a portal
		send = p.passThrough(m, "")
	}
	return send, p.takeSynthesized()
}

// passThrough sends a client's message under a server-side statement name.
func (p *Pipeline) passThrough(m *ClientMessage, name string) []ServerMessage {
	p.expect(expectedAnswer{kind: m.Kind, portal: m.Portal})
	return []ServerMessage{{Kind: m.Kind, Name: name, ClientMessage: m}}
}

func (p *Pipeline) expect(answer expectedAnswer) { p.pending = append(p.pending, answer) }

// parse names a statement for the client. If the connection has it, the Parse
// is not sent and the pool answers it.
func (p *Pipeline) parse(m *ClientMessage) []ServerMessage {
	var replaced *PreparedStatement
	if m.Statement == "" {
		replaced, _ = p.names.Get("")
	}
	prepared, err := p.names.Parse(p.catalog, m.Statement, m.Text, m.Types)
	if err != nil {
		return p.failParse(m)
	}
	undo := func(failed bool) {
		p.names.Close(p.catalog, m.Statement)
		if replaced != nil && !failed { // a Parse that fails has ended the unnamed statement
			_, _ = p.names.Parse(p.catalog, "", replaced.Text, replaced.Types)
		}
	}
	steps := p.statements.Ensure(p.catalog, prepared)
	send := p.closeStatements(steps.Close)
	if !steps.Parse {
		p.expect(expectedAnswer{kind: msgParse, synthesized: msgParseComplete, undo: undo})
		return send
	}
	p.expect(expectedAnswer{kind: msgParse, parsed: prepared, undo: undo})
	return append(send, ServerMessage{Kind: msgParse, Name: prepared.ServerName, ClientMessage: m})
}

// failParse sends what makes the server fail where the client's names do not
// allow a Parse: otherwise the server's transaction would go on.
func (p *Pipeline) failParse(m *ClientMessage) []ServerMessage {
	duplicate, _ := p.names.Get(m.Statement)
	if duplicate == nil { // too many statements: bind one that the server cannot have
		p.expect(expectedAnswer{kind: msgBind})
		return []ServerMessage{{Kind: msgBind, Name: escapeUnknownName(m.Statement)}}
	}
	send := p.ensure(duplicate)
	p.expect(expectedAnswer{kind: msgParse})
	return append(send, parseMessage(duplicate))
}

// parseMessage is the pool's own Parse of a statement.
func parseMessage(prepared *PreparedStatement) ServerMessage {
	return ServerMessage{
		Kind:  msgParse,
		Name:  prepared.ServerName,
		Text:  prepared.Text,
		Types: prepared.Types,
	}
}

// useStatement sends a message that names a prepared statement, after what the
// connection lacks for it. An unknown name is sent as it is: no statement on
// the server has it, so that the server itself answers with the error.
func (p *Pipeline) useStatement(m *ClientMessage) []ServerMessage {
	prepared, err := p.names.Get(m.Statement)
	if err != nil {
		return p.passThrough(m, escapeUnknownName(m.Statement))
	}
	send := p.ensure(prepared)
	return append(send, p.passThrough(m, prepared.ServerName)...)
}

// escapeUnknownName changes a client's unknown name that could be one of the
// pool's on the server.
func escapeUnknownName(name string) string {
	if strings.HasPrefix(name, serverPrefix) {
		return "-" + name
	}
	return name
}

// ensure sends what the connection lacks for a statement.
func (p *Pipeline) ensure(prepared *PreparedStatement) []ServerMessage {
	steps := p.statements.Ensure(p.catalog, prepared)
	send := p.closeStatements(steps.Close)
	if !steps.Parse {
		return send
	}
	p.expect(expectedAnswer{kind: msgParse, internal: true, parsed: prepared})
	return append(send, parseMessage(prepared))
}

// closeStatements closes statements on the server.
func (p *Pipeline) closeStatements(names []string) (send []ServerMessage) {
	for _, name := range names {
		undo := func(bool) { p.statements.Restore(name) }
		p.expect(expectedAnswer{kind: msgClose, internal: true, undo: undo})
		send = append(send, ServerMessage{Kind: msgClose, Name: name})
	}
	return send
}

// closeName frees a client's name. The server keeps the statement for others.
func (p *Pipeline) closeName(m *ClientMessage) {
	answer := expectedAnswer{kind: msgClose, synthesized: msgCloseComplete}
	if prepared, err := p.names.Get(m.Statement); err == nil {
		p.names.Close(p.catalog, m.Statement)
		answer.undo = func(bool) {
			_, _ = p.names.Parse(p.catalog, m.Statement, prepared.Text, prepared.Types)
		}
	}
	p.expect(answer)
}

// takeSynthesized returns the pool's own answers whose turn has come.
func (p *Pipeline) takeSynthesized() (kinds []byte) {
	for len(p.pending) > 0 && p.pending[0].synthesized != 0 {
		kinds = append(kinds, p.pending[0].synthesized)
		p.pending = p.pending[1:]
	}
	return kinds
}
