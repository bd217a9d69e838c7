package front

import (
	"bytes"

	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
)

// commandSize is what a queued command occupies beside its text or answer, in
// bytes.
const commandSize = 256

// receive takes one message. It runs inside Do. An error ends the connection
// after the answers to what came before.
func (c *client) receive(kind byte, body []byte) error {
	if c.closing { // the client sends a request that crosses our closing again elsewhere
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
		c.skipping = true // up to its Sync, as PostgreSQL does
		return c.reply(extendedAnswer)
	}
	return c.receiveQuery(body)
}

// receiveQuery takes the body of a simple query.
func (c *client) receiveQuery(body []byte) error {
	text, err := wire.ParseString(body)
	now := c.server.loop.Now()
	switch {
	case err != nil:
		return c.reply(errorAnswer(wire.CodeProtocolViolation, err.Error()))
	case isEmpty(text):
		return c.reply(emptyAnswer)
	case c.server.draining && now > c.server.drainBegan+drainGrace:
		return c.reply(drainingAnswer)
	}
	return c.receiveStatement(text)
}

// isEmpty reports whether a query holds no statement.
func isEmpty(text []byte) bool {
	for _, b := range text {
		if b != ' ' && b != '\t' && b != '\r' && b != '\n' && b != ';' {
			return false
		}
	}
	return true
}

// receiveStatement queues a statement for the router. One for which no memory
// is left is rejected in its turn; a connection may always have one statement.
func (c *client) receiveStatement(text []byte) error {
	if !c.active {
		c.active = true
		c.server.activeClients++
	}
	size := commandSize + len(text)
	if c.queue.Len() > 0 && !c.server.queuedMemory.Fits(size) {
		c.rejectStatement()
		return nil
	}
	text = bytes.Clone(text) // it must outlive the read buffer
	received, access, problem := c.parse(text)
	if problem != "" {
		return c.reply(errorAnswer(wire.CodeSyntaxError, problem))
	}
	c.server.queuedMemory.Reserve(size)
	received.bookedBytes = size
	received.receivedAt = c.server.loop.Now()
	received.command = c.queue.Add(access, received)
	c.startCommands()
	if !received.command.Waiting() {
		return nil
	}
	// After its deadline it needs no text and no attempt, only its answer in turn.
	deadline := received.receivedAt + received.request.TimeLeft
	received.deadlineTimer = c.server.loop.At(deadline, func() { c.start(received, 0) })
	return nil
}

// receiveError takes the reason why nothing more is read. The connection ends
// after the answers to what came before.
func (c *client) receiveError(err error) {
	if c.closing {
		return
	}
	c.queue.AddAnswered(finalMessage(err), true, c.bookCommand(commandSize))
	c.sendAnswers()
}

// reply answers a command that is not executed, in its turn.
func (c *client) reply(answer []byte) error {
	if c.queue.Merge(answer) {
		return nil
	}
	if c.queue.Len() > 0 && !c.server.queuedMemory.Fits(commandSize+len(answer)) {
		return errMemory
	}
	c.addAnswered(answer)
	return nil
}

// rejectStatement answers a statement for which no memory is left, in its turn.
// The answer needs none beyond what the commands before it occupy.
func (c *client) rejectStatement() {
	if !c.queue.Merge(overloadedAnswer) {
		c.addAnswered(overloadedAnswer)
	}
}

func (c *client) addAnswered(answer []byte) {
	c.queue.AddAnswered(answer, false, c.bookCommand(commandSize+len(answer)))
	c.sendAnswers()
	c.drainIfIdle()
}

// startCommands submits the statements that may run now. The oldest command
// always runs, others as long as there is memory for their answers.
func (c *client) startCommands() {
	if c.starting { // the router answered at once, inside the loop below
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
			if !c.server.queuedMemory.Fits(answerReserve) {
				return
			}
			next.rebook(next.bookedBytes + answerReserve)
		}
		waited := c.server.loop.Now() - next.receivedAt
		c.start(next, next.request.TimeLeft-waited)
	}
}

// advance continues with the queue after one of its commands was answered.
func (c *client) advance() {
	c.sendAnswers()
	c.startCommands()
	if !c.busy() && !c.closing {
		c.beginIdle()
		c.drainIfIdle()
	}
}

// abandonCommands drops the commands of a client that has gone.
func (c *client) abandonCommands() {
	c.queue.Each(func(command *pipeline.Command[*statement]) {
		abandoned := command.Value
		abandoned.rebook(0)
		c.server.loop.Cancel(abandoned.deadlineTimer)
		if command.Running() {
			abandoned.stop()
			c.server.handler.ClientCancelled(abandoned.submitted)
		}
	})
	c.queue.Clear()
}

// cancel serves a CancelRequest: it ends the oldest running statement of the
// connection, for which no attempt begins any more.
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
	cancelled.stop()
	s.handler.ClientCancelled(cancelled.submitted)
	cancelled.answer(cancelledAnswer)
	c.advance()
}
