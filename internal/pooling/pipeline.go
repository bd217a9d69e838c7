package pooling

import "strings"

// Message types of the frontend/backend protocol. The same letter may stand for
// different messages from clients and from servers.
const (
	msgParse    = 'P' // response: ParseComplete
	msgBind     = 'B' // response: BindComplete
	msgDescribe = 'D'
	msgExecute  = 'E'
	msgClose    = 'C' // response: CloseComplete
	msgFlush    = 'H' // no response
	msgSync     = 'S' // response: ReadyForQuery

	msgParseComplete = '1'
	msgBindComplete  = '2'
	msgCloseComplete = '3'
	msgReadyForQuery = 'Z'
	msgError         = 'E'
)

// ClientMessage is one message of the extended protocol from a client.
type ClientMessage struct {
	Kind byte // message type on the wire: 'P', 'B', 'D', 'E', 'C', 'H' or 'S'
	// Statement is the client's name of a prepared statement, in Parse, Bind and
	// in Describe and Close if Portal is false.
	Statement string
	Portal    bool     // whether Describe or Close refers to a portal
	Text      string   // SQL text, in Parse
	Types     []uint32 // OIDs of the parameter types, in Parse
	Raw       any      // for the caller's use, such as the encoded message
}

// ServerMessage is one message for the server: a client's message with the
// server-side statement name, or one that the pool generates.
type ServerMessage struct {
	Kind          byte           // message type on the wire
	Name          string         // server-side statement name, in Parse, Bind, Describe and Close
	Text          string         // SQL text, in a Parse that the pool generates
	Types         []uint32       // OIDs of the parameter types, in a Parse that the pool generates
	ClientMessage *ClientMessage // nil if the pool generates the message
}

// ReplyAction describes how to handle one message from the server.
type ReplyAction struct {
	Forward bool // whether the client receives the message
	// Synthesized holds the types of the responses that the pool generates for
	// the client after this message: '1' for ParseComplete, '3' for
	// CloseComplete.
	Synthesized []byte
}

// expectedResponse is the pending response to one message.
type expectedResponse struct {
	kind        byte               // type of the message that is answered
	portal      bool               // whether the message refers to a portal
	internal    bool               // the pool generated the message: only an error is forwarded
	synthesized byte               // response that the pool generates, as nothing was sent; 0 for none
	parsed      *PreparedStatement // statement that a Parse adds to the connection; nil for none
	// undo reverts the message's effects after an error; nil if there are none.
	// failed is true if the message itself failed, false if the server skipped
	// it.
	undo func(failed bool)
}

// Pipeline tracks the extended protocol of one client on one connection. It is
// empty between a ReadyForQuery and the next message, and not safe for
// concurrent use.
//
// A client may send many messages before it reads a response, and the responses
// come in the order of the messages (PostgreSQL 15, section 55.2.3). After an
// error the server skips all messages up to the next Sync. A pool changes some
// messages: it does not parse a statement again that the connection already has,
// and first parses one that the connection lacks. Pipeline keeps the order of
// the responses, so that the client sees no difference.
type Pipeline struct {
	catalog              *StatementCatalog
	clientStatements     *ClientStatements
	connectionStatements *ConnectionStatements
	pending              []expectedResponse
	skipping             bool // the server skips everything up to the next Sync
}

// NewPipeline returns an empty pipeline of a client on a connection.
func NewPipeline(
	catalog *StatementCatalog,
	clientStatements *ClientStatements,
	connectionStatements *ConnectionStatements,
) *Pipeline {
	return &Pipeline{
		catalog:              catalog,
		clientStatements:     clientStatements,
		connectionStatements: connectionStatements,
	}
}

// Idle reports whether no response is pending.
func (p *Pipeline) Idle() bool { return len(p.pending) == 0 }

// Ready reports whether FromClient may be called. It is false while the response
// to a Sync is pending if an error before that Sync would undo changes: until
// then it is not known which statements the connection has and to which
// statements the client's names refer. Otherwise a client may send any number of
// messages ahead.
func (p *Pipeline) Ready() bool {
	undoable := false
	for i := range p.pending {
		response := &p.pending[i]
		if response.kind == msgSync && undoable {
			return false
		}
		undoable = undoable || response.parsed != nil || response.undo != nil
	}
	return true
}

// FromClient processes a client's message; Ready must have reported true. It
// returns the messages to send to the server, and the types of the responses
// that the pool generates for the client at once, since no other response is
// pending before them.
func (p *Pipeline) FromClient(m *ClientMessage) (send []ServerMessage, now []byte) {
	if p.skipping && m.Kind != msgSync {
		return nil, nil
	}
	p.skipping = false
	switch {
	case m.Kind == msgFlush:
		return []ServerMessage{{Kind: msgFlush, ClientMessage: m}}, nil
	case m.Kind == msgParse:
		send = p.handleParse(m)
	case m.Kind == msgBind, m.Kind == msgDescribe && !m.Portal:
		send = p.useStatement(m)
	case m.Kind == msgClose && !m.Portal:
		p.handleClose(m)
	default: // Execute and Sync, and Describe and Close of a portal
		send = p.passThrough(m, "")
	}
	return send, p.takeSynthesized()
}

// passThrough returns a client's message with a server-side statement name, and
// expects its response.
func (p *Pipeline) passThrough(m *ClientMessage, name string) []ServerMessage {
	p.expect(expectedResponse{kind: m.Kind, portal: m.Portal})
	return []ServerMessage{{Kind: m.Kind, Name: name, ClientMessage: m}}
}

func (p *Pipeline) expect(response expectedResponse) { p.pending = append(p.pending, response) }

// handleParse records a statement under the client's name. If the connection
// already has the statement, the Parse is not sent and the pool generates the
// response.
func (p *Pipeline) handleParse(m *ClientMessage) []ServerMessage {
	var replaced *PreparedStatement
	if m.Statement == "" {
		replaced, _ = p.clientStatements.Get("")
	}
	prepared, err := p.clientStatements.Parse(p.catalog, m.Statement, m.Text, m.Types)
	if err != nil {
		return p.forceParseError(m)
	}
	undo := func(failed bool) {
		p.clientStatements.Close(p.catalog, m.Statement)
		if replaced != nil && !failed { // a Parse that fails still closes the unnamed statement
			_, _ = p.clientStatements.Parse(p.catalog, "", replaced.Text, replaced.Types)
		}
	}
	steps := p.connectionStatements.Ensure(p.catalog, prepared)
	send := p.closeOnServer(steps.Close)
	if !steps.Parse {
		p.expect(expectedResponse{kind: msgParse, synthesized: msgParseComplete, undo: undo})
		return send
	}
	p.expect(expectedResponse{kind: msgParse, parsed: prepared, undo: undo})
	return append(send, ServerMessage{Kind: msgParse, Name: prepared.ServerName, ClientMessage: m})
}

// forceParseError returns messages that cause an error on the server, for a
// Parse that the client's statement names or their number do not allow. The
// server must report the error so that its transaction fails, too.
func (p *Pipeline) forceParseError(m *ClientMessage) []ServerMessage {
	duplicate, _ := p.clientStatements.Get(m.Statement)
	if duplicate == nil { // too many statements: bind a name that the server does not have
		p.expect(expectedResponse{kind: msgBind})
		return []ServerMessage{{Kind: msgBind, Name: escapeUnknownName(m.Statement)}}
	}
	send := p.ensureParsed(duplicate)
	p.expect(expectedResponse{kind: msgParse})
	return append(send, parseMessage(duplicate))
}

// parseMessage returns a Parse of a statement that the pool generates.
func parseMessage(prepared *PreparedStatement) ServerMessage {
	return ServerMessage{
		Kind:  msgParse,
		Name:  prepared.ServerName,
		Text:  prepared.Text,
		Types: prepared.Types,
	}
}

// useStatement returns a message that refers to a prepared statement, after the
// messages that prepare the statement on the connection. An unknown name is sent
// without translation: the server has no statement of that name and responds
// with the error.
func (p *Pipeline) useStatement(m *ClientMessage) []ServerMessage {
	prepared, err := p.clientStatements.Get(m.Statement)
	if err != nil {
		return p.passThrough(m, escapeUnknownName(m.Statement))
	}
	send := p.ensureParsed(prepared)
	return append(send, p.passThrough(m, prepared.ServerName)...)
}

// escapeUnknownName changes an unknown name of a client if it could match one of
// the pool's server-side names.
func escapeUnknownName(name string) string {
	if strings.HasPrefix(name, serverNamePrefix) {
		return "-" + name
	}
	return name
}

// ensureParsed returns the messages that prepare a statement on the connection,
// none if it is prepared there.
func (p *Pipeline) ensureParsed(prepared *PreparedStatement) []ServerMessage {
	steps := p.connectionStatements.Ensure(p.catalog, prepared)
	send := p.closeOnServer(steps.Close)
	if !steps.Parse {
		return send
	}
	p.expect(expectedResponse{kind: msgParse, internal: true, parsed: prepared})
	return append(send, parseMessage(prepared))
}

// closeOnServer returns messages that close statements on the server.
func (p *Pipeline) closeOnServer(names []string) (send []ServerMessage) {
	for _, name := range names {
		undo := func(bool) { p.connectionStatements.Restore(name) }
		p.expect(expectedResponse{kind: msgClose, internal: true, undo: undo})
		send = append(send, ServerMessage{Kind: msgClose, Name: name})
	}
	return send
}

// handleClose deletes a client's statement name. The statement stays on the
// server, where other clients may use it.
func (p *Pipeline) handleClose(m *ClientMessage) {
	response := expectedResponse{kind: msgClose, synthesized: msgCloseComplete}
	if prepared, err := p.clientStatements.Get(m.Statement); err == nil {
		p.clientStatements.Close(p.catalog, m.Statement)
		response.undo = func(bool) {
			_, _ = p.clientStatements.Parse(p.catalog, m.Statement, prepared.Text, prepared.Types)
		}
	}
	p.expect(response)
}

// takeSynthesized removes the responses that the pool generates from the front
// of the pending ones, and returns their types.
func (p *Pipeline) takeSynthesized() (kinds []byte) {
	for len(p.pending) > 0 && p.pending[0].synthesized != 0 {
		kinds = append(kinds, p.pending[0].synthesized)
		p.pending = p.pending[1:]
	}
	return kinds
}
