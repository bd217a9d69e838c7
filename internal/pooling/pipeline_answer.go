package pooling

// FromServer processes a message from the server, given by its type, and returns
// how to handle it. ok is false if no pending response may contain the message;
// the connection must be closed then.
func (p *Pipeline) FromServer(kind byte) (action ReplyAction, ok bool) {
	switch kind {
	case 'N', 'S', 'A': // NoticeResponse, ParameterStatus, NotificationResponse come at any time
		return ReplyAction{Forward: true}, true
	}
	if len(p.pending) == 0 {
		return ReplyAction{}, false
	}
	response := p.pending[0]
	if kind == msgError {
		// An error in response to a Sync is a failed commit: ReadyForQuery
		// follows, and the server skips nothing.
		if response.kind != msgSync {
			p.skipToSync()
		}
		return ReplyAction{Forward: true}, true
	}
	last, expected := response.accepts(kind)
	if !expected {
		return ReplyAction{}, false
	}
	action.Forward = !response.internal
	if last {
		p.pending = p.pending[1:]
		action.Synthesized = p.takeSynthesized()
	}
	return action, true
}

// accepts reports whether a message from the server may belong to the response,
// and whether it is the last one of the response.
func (r *expectedResponse) accepts(kind byte) (last, expected bool) {
	switch r.kind {
	case msgParse:
		return true, kind == msgParseComplete
	case msgBind:
		return true, kind == msgBindComplete
	case msgClose:
		return true, kind == msgCloseComplete
	case msgDescribe:
		if kind == 't' && !r.portal { // ParameterDescription
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

// skipToSync removes the pending responses that an error cancels, from that of
// the failed message up to the next Sync, and undoes the effects of their
// messages. It does so in reverse order, so that names regain their previous
// statements.
func (p *Pipeline) skipToSync() {
	skipped := 0
	for skipped < len(p.pending) && p.pending[skipped].kind != msgSync {
		skipped++
	}
	for i := skipped - 1; i >= 0; i-- {
		response := &p.pending[i]
		if response.parsed != nil {
			p.connectionStatements.Forget(response.parsed)
		}
		if response.undo != nil {
			response.undo(i == 0)
		}
	}
	p.pending = p.pending[skipped:]
	p.skipping = len(p.pending) == 0 // the client has not sent the Sync yet
}
