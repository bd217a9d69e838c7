package pooling

import "strings"

// The extended protocol lets a client send many messages before it reads an
// answer, and answers come in the order of the messages (PostgreSQL 15,
// section 55.2.3). After an error the server passes over everything up to the
// next Sync. Behind a pool some messages are not sent as they came: a
// statement that the connection has is not parsed again, and one that it lacks
// is parsed first. Pipeline keeps the order, so that the client cannot tell.

// Message is one message of the extended protocol from a client.
type Message struct {
	Kind byte // 'P', 'B', 'D', 'E', 'C', 'H' or 'S', as on the wire
	// Statement is the client's name of a prepared statement: of P, B, and of D
	// and C where Portal is false.
	Statement string
	Portal    bool   // D and C of a portal
	Text      string // of P
	Types     []uint32
	Raw       any // what the caller needs to write it again
}

// Sent is one message for the server: the client's own with another statement's
// name, or one of the pool's.
type Sent struct {
	Kind    byte
	Name    string   // the server-side statement of P, B, D and C
	Text    string   // of the pool's own P
	Types   []uint32 // of the pool's own P
	Message *Message // the client's, nil for the pool's own
}

// Reply says what becomes of one message from the server.
type Reply struct {
	Pass bool
	// Also are answers of the pool's own that the client gets after it, by
	// their kinds: '1' for ParseComplete, '3' for CloseComplete.
	Also []byte
}

// expected is an answer that must come.
type expected struct {
	kind   byte // of the message it answers
	portal bool
	own    bool      // the pool's message: its answer is not the client's
	say    byte      // nothing was sent: this is answered when its turn comes
	parsed *Prepared // what a P gives the connection
	// undo takes back what was done for it, after an error: it failed itself,
	// or the server passes it over.
	undo func(itself bool)
}

// Pipeline is the extended protocol of one client on one connection. It is
// empty between a ReadyForQuery and the next message.
type Pipeline struct {
	catalog *Catalog
	names   *Names
	held    *Held
	queue   []expected
	failed  bool // the server passes over everything up to the next Sync
}

// NewPipeline returns an empty pipeline.
func NewPipeline(c *Catalog, n *Names, h *Held) *Pipeline {
	return &Pipeline{catalog: c, names: n, held: h}
}

// Idle tells whether every message has its answer.
func (p *Pipeline) Idle() bool { return len(p.queue) == 0 }

// Ready tells whether the next message may be offered. Behind a Sync whose
// answer is not there yet it must wait if an error before that Sync would take
// something back: what the connection has and what a name means are not known
// until then. Otherwise clients may send ahead as far as they like.
func (p *Pipeline) Ready() bool {
	unsure := false
	for i := range p.queue {
		e := &p.queue[i]
		if e.kind == 'S' && unsure {
			return false
		}
		unsure = unsure || e.parsed != nil || e.undo != nil
	}
	return true
}

// Client takes a message, if the pipeline is Ready, and returns what must be sent for it. Answers that the
// client gets at once, nothing being before them, are in now.
func (p *Pipeline) Client(m *Message) (send []Sent, now []byte) {
	if p.failed && m.Kind != 'S' {
		return nil, nil
	}
	p.failed = false
	switch m.Kind {
	case 'P':
		send = p.parse(m)
	case 'B':
		send = p.statement(m)
	case 'D':
		if m.Portal {
			send = p.plain(m, "")
		} else {
			send = p.statement(m)
		}
	case 'C':
		if m.Portal {
			send = p.plain(m, "")
		} else {
			p.close(m)
		}
	case 'H':
		return []Sent{{Kind: 'H', Message: m}}, nil // it has no answer
	default: // E and S
		send = p.plain(m, "")
	}
	return send, p.said()
}

func (p *Pipeline) plain(m *Message, name string) []Sent {
	p.queue = append(p.queue, expected{kind: m.Kind, portal: m.Portal})
	return []Sent{{Kind: m.Kind, Name: name, Message: m}}
}

// parse gives a client's name to a statement. One that the connection has is
// not sent: its ParseComplete is ours to say.
func (p *Pipeline) parse(m *Message) (send []Sent) {
	var old *Prepared
	if m.Statement == "" {
		old, _ = p.names.Get("")
	}
	st, err := p.names.Parse(p.catalog, m.Statement, m.Text, m.Types)
	if err != nil {
		// The server must fail, too, or its transaction would go on: the
		// statement of that name is parsed again under its own name there.
		taken, _ := p.names.Get(m.Statement)
		if taken == nil { // too many: the name is one that no statement can have
			p.queue = append(p.queue, expected{kind: 'B'})
			return []Sent{{Kind: 'B', Name: foreign(m.Statement)}}
		}
		send = p.ensure(taken)
		p.queue = append(p.queue, expected{kind: 'P'})
		return append(send, Sent{Kind: 'P', Name: taken.ServerName, Text: taken.Text, Types: taken.Types})
	}
	undo := func(itself bool) {
		p.names.Close(p.catalog, m.Statement)
		if old != nil && !itself { // a Parse that fails has ended the unnamed statement before it
			_, _ = p.names.Parse(p.catalog, "", old.Text, old.Types)
		}
	}
	steps := p.held.Ensure(p.catalog, st)
	send = p.closes(steps.Close)
	if !steps.Parse {
		p.queue = append(p.queue, expected{kind: 'P', say: '1', undo: undo})
		return send
	}
	p.queue = append(p.queue, expected{kind: 'P', parsed: st, undo: undo})
	return append(send, Sent{Kind: 'P', Name: st.ServerName, Message: m})
}

// statement sends a message that names a prepared statement, after what the
// connection needs for it. A name that is not there goes on as it is: no
// statement on the server has such a name, and the error is the server's own.
func (p *Pipeline) statement(m *Message) (send []Sent) {
	st, err := p.names.Get(m.Statement)
	if err != nil {
		return p.plain(m, foreign(m.Statement))
	}
	send = p.ensure(st)
	return append(send, p.plain(m, st.ServerName)...)
}

// foreign writes a client's name that no statement has so that it cannot be
// one of the pool's.
func foreign(name string) string {
	if strings.HasPrefix(name, serverPrefix) {
		return "-" + name
	}
	return name
}

// ensure sends what a connection lacks for a statement.
func (p *Pipeline) ensure(st *Prepared) (send []Sent) {
	steps := p.held.Ensure(p.catalog, st)
	send = p.closes(steps.Close)
	if steps.Parse {
		p.queue = append(p.queue, expected{kind: 'P', own: true, parsed: st})
		send = append(send, Sent{Kind: 'P', Name: st.ServerName, Text: st.Text, Types: st.Types})
	}
	return send
}

func (p *Pipeline) closes(names []string) (send []Sent) {
	for _, name := range names {
		p.queue = append(p.queue, expected{kind: 'C', own: true, undo: func(bool) { p.held.Restore(name) }})
		send = append(send, Sent{Kind: 'C', Name: name})
	}
	return send
}

// close frees a client's name. The server keeps the statement for others.
func (p *Pipeline) close(m *Message) {
	st, err := p.names.Get(m.Statement)
	if err != nil {
		p.queue = append(p.queue, expected{kind: 'C', say: '3'})
		return
	}
	p.names.Close(p.catalog, m.Statement)
	p.queue = append(p.queue, expected{kind: 'C', say: '3', undo: func(bool) {
		_, _ = p.names.Parse(p.catalog, m.Statement, st.Text, st.Types)
	}})
}

// said returns the answers of the pool's own whose turn has come.
func (p *Pipeline) said() (out []byte) {
	for len(p.queue) > 0 && p.queue[0].say != 0 {
		out = append(out, p.queue[0].say)
		p.queue = p.queue[1:]
	}
	return out
}

// Server takes the kind of a message from the server and says what becomes of
// it. ok is false for one that answers nothing: the connection is of no use.
func (p *Pipeline) Server(kind byte) (r Reply, ok bool) {
	switch kind {
	case 'N', 'S', 'A': // they come at any time
		return Reply{Pass: true}, true
	}
	if len(p.queue) == 0 {
		return r, false
	}
	e := p.queue[0]
	if kind == 'E' {
		if e.kind == 'S' { // a Sync answered by an error: a commit that failed; ReadyForQuery follows
			return Reply{Pass: true}, true
		}
		p.skip()
		return Reply{Pass: true}, true
	}
	last, fits := e.answer(kind)
	if !fits {
		return r, false
	}
	r.Pass = !e.own
	if last {
		p.queue = p.queue[1:]
		r.Also = p.said()
	}
	return r, true
}

// answer tells whether a message may answer e, and whether it is the last that
// does.
func (e *expected) answer(kind byte) (last, fits bool) {
	switch e.kind {
	case 'P':
		return true, kind == '1'
	case 'B':
		return true, kind == '2'
	case 'C':
		return true, kind == '3'
	case 'D':
		if kind == 't' && !e.portal {
			return false, true
		}
		return true, kind == 'T' || kind == 'n'
	case 'E':
		switch kind {
		case 'D', 'G', 'H', 'W', 'd', 'c':
			return false, true
		}
		return true, kind == 'C' || kind == 'I' || kind == 's'
	}
	return true, kind == 'Z'
}

// skip drops what the server passes over after an error: all up to the next
// Sync, the message that failed included. Latest first, so that names are as
// they were.
func (p *Pipeline) skip() {
	n := 0
	for n < len(p.queue) && p.queue[n].kind != 'S' {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		e := &p.queue[i]
		if e.parsed != nil {
			p.held.Lost(e.parsed)
		}
		if e.undo != nil {
			e.undo(i == 0)
		}
	}
	p.queue = p.queue[n:]
	p.failed = len(p.queue) == 0 // what comes before the next Sync is passed over, too
}
