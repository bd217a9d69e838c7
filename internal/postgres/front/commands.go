package front

import (
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
)

// commandOverheadBytes is the memory that a queued command occupies in addition to
// its text or answer.
const commandOverheadBytes = 256

// maxQueuedCommands is how many commands a connection may have queued for a further
// statement to be accepted. Statements of one client that expire together would
// otherwise hold up all others.
const maxQueuedCommands = 1024

// copiesOfStatement is how often a statement under way is in memory: as its text,
// and as the message that is being written to an endpoint.
const copiesOfStatement = 2

// receive processes one message, whose body it may keep. It must be called inside
// Do. If it returns an error, the connection must be ended after the answers to
// earlier commands.
func (c *client) receive(kind byte, body []byte) error {
	if c.closing || c.gone { // after a half-close the client retries on another connection
		return nil
	}
	switch {
	case kind == wire.Terminate:
		return errTerminate
	case kind == wire.Sync:
		c.skipping = false
		return c.reply(readyAnswer)
	case c.skipping, kind == wire.Flush:
		return nil
	case kind != wire.Query:
		c.skipping = true // up to the next Sync, like PostgreSQL after an error
		return c.reply(extendedProtocolAnswer)
	}
	return c.receiveQuery(body)
}

// receiveQuery processes the body of a Query message.
func (c *client) receiveQuery(body []byte) error {
	text, err := wire.ParseString(body)
	now := c.server.loop.Now()
	switch {
	case err != nil:
		return c.reply(errorAnswer(wire.CodeProtocolViolation, err.Error()))
	case isEmpty(text):
		return c.reply(emptyAnswer)
	case c.server.draining && now > c.server.drainBegan+drainGraceMs:
		return c.reply(drainingAnswer)
	}
	return c.receiveStatement(text)
}

// isEmpty reports whether a query consists of white space and semicolons only.
func isEmpty(text []byte) bool {
	for _, b := range text {
		if b != ' ' && b != '\t' && b != '\r' && b != '\n' && b != ';' {
			return false
		}
	}
	return true
}

// receiveStatement parses and queues a statement. If the memory budget is
// exhausted, it queues an error in its place, except that each connection may
// always have one statement of up to smallMessageBytes. It also does so if too many
// commands of the connection are queued.
func (c *client) receiveStatement(text []byte) error {
	if !c.active {
		c.active = true
		c.server.activeClients++
	}
	size := commandOverheadBytes + copiesOfStatement*len(text)
	outOfMemory := !c.server.queuedMemory.Fits(size) && (c.queue.Len() > 0 || len(text) > smallMessageBytes)
	if outOfMemory || c.queue.Len() >= maxQueuedCommands {
		c.rejectStatement()
		return nil
	}
	received, access, problem := c.parse(text)
	if problem != "" {
		return c.reply(errorAnswer(wire.CodeSyntaxError, problem))
	}
	c.server.queuedMemory.Reserve(size)
	received.reservedBytes = size
	received.receivedAt = c.server.loop.Now()
	received.command = c.queue.Add(access, received)
	c.startCommands()
	if !received.command.Waiting() {
		return nil
	}
	// A statement that expires in the queue is submitted with no time left, so that
	// it is answered without an attempt and its text is released.
	deadline := received.receivedAt + received.request.TimeLeft
	received.deadlineTimer = c.server.loop.At(deadline, func() { c.start(received, 0) })
	return nil
}

// receiveError queues the error that ended the reading from the client. The
// connection ends after the answers to earlier commands.
func (c *client) receiveError(err error) {
	if c.closing {
		return
	}
	c.queue.AddAnswered(fatalMessage(err), true, c.reserveCommand(commandOverheadBytes))
	c.sendAnswers()
}

// reply queues the answer to a command that is not submitted to the router. It
// returns errOutOfMemory if other commands are queued and the memory budget is
// exhausted.
func (c *client) reply(answer []byte) error {
	if c.queue.Merge(answer) {
		return nil
	}
	if c.queue.Len() > 0 && !c.server.queuedMemory.Fits(commandOverheadBytes+len(answer)) {
		return errOutOfMemory
	}
	c.addAnswered(answer)
	return nil
}

// rejectStatement queues the error for a statement that exceeds the memory
// budget. Consecutive errors share one queue entry and its memory.
func (c *client) rejectStatement() {
	if !c.queue.Merge(overloadedAnswer) {
		c.addAnswered(overloadedAnswer)
	}
}

// addAnswered queues a command together with its answer.
func (c *client) addAnswered(answer []byte) {
	c.queue.AddAnswered(answer, false, c.reserveCommand(commandOverheadBytes+len(answer)))
	c.sendAnswers()
	c.drainIfIdle()
}

// startCommands submits the queued statements that may run now. The oldest command
// runs at once unless answers are being sent. In that case, and for any other
// command, memory must be available for the answer.
func (c *client) startCommands() {
	if c.starting { // the router answered inside Submit, called from the loop below
		return
	}
	c.starting = true
	defer func() { c.starting = false }()
	for !c.released && !c.closing {
		command, oldest := c.queue.NextStart()
		if command == nil {
			return
		}
		next := command.Value
		if !oldest || c.sending {
			if !c.server.queuedMemory.Fits(answerReserveBytes) {
				return
			}
			next.setReservedBytes(next.reservedBytes + answerReserveBytes)
		}
		waited := c.server.loop.Now() - next.receivedAt
		if c.givenUp {
			waited = next.request.TimeLeft
		}
		c.start(next, next.request.TimeLeft-waited)
	}
}

// advance sends answers and starts statements after a command was answered.
func (c *client) advance() {
	c.sendAnswers()
	c.startCommands()
	if !c.busy() && !c.closing {
		c.beginIdle()
		c.drainIfIdle()
	}
}

// abandonCommands cancels and removes all commands of a client that has
// disconnected.
func (c *client) abandonCommands() {
	c.queue.Each(func(command *pipeline.Command[*statement]) {
		abandoned := command.Value
		abandoned.setReservedBytes(0)
		c.server.loop.Cancel(abandoned.deadlineTimer)
		if command.Running() {
			abandoned.cancelRunning()
		}
	})
	c.queue.Clear()
}

// cancel handles a CancelRequest. It ends the oldest running statement of the
// connection with the given process number, and no further attempt is made for
// it. It does nothing if the secret does not match.
func (s *Server) cancel(process, secret uint32) {
	c := s.clients.AtSlot(process)
	if c == nil || c.secret != secret {
		return
	}
	command := c.queue.FirstRunning()
	if command == nil {
		return
	}
	cancelled := command.Value
	cancelled.cancelRunning()
	cancelled.answer(cancelledAnswer)
	c.advance()
}
