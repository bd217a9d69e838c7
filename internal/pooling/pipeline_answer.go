package pooling

// FromServer takes the kind of a message from the server and returns what
// becomes of it. ok is false if it answers nothing that is pending: then the
// connection must be closed.
func (p *Pipeline) FromServer(kind byte) (reply ReplyAction, ok bool) {
	switch kind {
	case 'N', 'S', 'A': // NoticeResponse, ParameterStatus, NotificationResponse come at any time
		return ReplyAction{Forward: true}, true
	}
	if len(p.pending) == 0 {
		return ReplyAction{}, false
	}
	answer := p.pending[0]
	if kind == msgError {
		// An error that answers a Sync is a commit that failed: ReadyForQuery
		// follows it, and nothing is skipped.
		if answer.kind != msgSync {
			p.skip()
		}
		return ReplyAction{Forward: true}, true
	}
	last, expected := answer.accepts(kind)
	if !expected {
		return ReplyAction{}, false
	}
	reply.Forward = !answer.internal
	if last {
		p.pending = p.pending[1:]
		reply.Synthesized = p.takeSynthesized()
	}
	return reply, true
}

// accepts reports whether a server's message may belong to the answer, and
// whether it is the last one that does.
func (a *expectedAnswer) accepts(kind byte) (last, expected bool) {
	switch a.kind {
	case msgParse:
		return true, kind == msgParseComplete
	case msgBind:
		return true, kind == msgBindComplete
	case msgClose:
		return true, kind == msgCloseComplete
	case msgDescribe:
		if kind == 't' && !a.portal { // ParameterDescription
			return false, true
		}
		return true, kind == 'T' || kind == 'n' // RowDescription, NoData
	case msgExecute:
		switch kind {
		case 'D', 'G', 'H', 'W', 'd', 'c': // DataRow and the messages of COPY
			return false, true
		}
		// CommandComplete, EmptyQueryResponse, PortalSuspended
		return true, kind == 'C' || kind == 'I' || kind == 's'
	}
	return true, kind == msgReadyForQuery
}

// skip drops the answers that do not come after an error: all up to the next
// Sync, that of the failed message included. They are undone in reverse, so
// that names get back what they meant.
func (p *Pipeline) skip() {
	skipped := 0
	for skipped < len(p.pending) && p.pending[skipped].kind != msgSync {
		skipped++
	}
	for i := skipped - 1; i >= 0; i-- {
		answer := &p.pending[i]
		if answer.parsed != nil {
			p.statements.Forget(answer.parsed)
		}
		if answer.undo != nil {
			answer.undo(i == 0)
		}
	}
	p.pending = p.pending[skipped:]
	p.failed = len(p.pending) == 0 // the Sync is still to come
}
