package front

import (
	"math"
	"strconv"

	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// writeTimeoutMs is how long the kernel may take to accept a batch of answers;
	// after that the connection is closed, as its client does not read.
	writeTimeoutMs = 5000
	// sendBatchBytes limits the answers sent at once; a single answer may be
	// longer. Further answers wait until the kernel has accepted the batch.
	sendBatchBytes = 64 << 10
	// copiesOfSent is how often answers that are being sent are in memory: as passed to
	// the connection, and in netpoll's write buffer.
	copiesOfSent = 2
	// answerOverheadBytes is the size of an answer without its row, and of any error.
	answerOverheadBytes = 128
	// maxErrorTextBytes is the length to which the text of an error is truncated.
	// It may quote a long statement, and the answer may stay in the queue for long.
	maxErrorTextBytes = 200
)

// Answers with constant contents. They are shared by all clients, so that the
// queue can merge consecutive commands with the same answer.
var (
	readyAnswer            = wire.AppendReadyForQuery(nil)
	emptyAnswer            = wire.AppendReadyForQuery(wire.AppendEmptyQueryResponse(nil))
	extendedProtocolAnswer = wire.AppendErrorResponse(
		nil, "ERROR", wire.CodeFeatureNotSupported, "only simple queries are served", "")
	drainingAnswer   = errorAnswer(wire.CodeCannotConnectNow, "the router is stopping")
	overloadedAnswer = errorAnswer(
		wire.CodeTooManyConnections, "refused: too much was sent ahead of the answers")
	cancelledAnswer = errorAnswer(wire.CodeQueryCanceled, "canceling statement due to user request")
)

// errorAnswer returns an ErrorResponse followed by a ReadyForQuery.
func errorAnswer(code, message string) []byte {
	message = message[:min(len(message), maxErrorTextBytes)]
	return wire.AppendReadyForQuery(wire.AppendErrorResponse(nil, "ERROR", code, message, ""))
}

// Answer implements router.Client; running is the handle of a running statement.
func (s *Server) Answer(running slotmap.Handle, answer router.Answer) {
	answered := s.running.Get(running)
	if answered == nil {
		return
	}
	answered.removeRunning()
	size := answerOverheadBytes
	if row := answer.Row; row != nil {
		size += len(row.Column) + len(row.Value) + len(row.Tag)
		if size > smallMessageBytes && !s.queuedMemory.Fits(size-answered.reservedBytes) {
			answer = withoutMemory(answered)
		}
	}
	answered.answer(wire.AppendReadyForQuery(appendAnswer(make([]byte, 0, size), answer)))
	answered.client.advance()
}

// withoutMemory returns the answer to a served statement whose row exceeds the memory
// budget: a read can safely be retried, a write was executed.
func withoutMemory(served *statement) router.Answer {
	if served.command.Write {
		return router.Answer{Verdict: router.Failed}
	}
	return router.Answer{Verdict: router.Rejected}
}

// appendAnswer appends the messages of a router's answer, without the
// ReadyForQuery. The detail of a rejection is the advised delay before a retry, in
// whole milliseconds.
func appendAnswer(b []byte, answer router.Answer) []byte {
	switch answer.Verdict {
	case router.Served:
		row := answer.Row
		b = wire.AppendRowDescription(b, wire.Column{
			Name:   row.Column,
			Type:   row.Type,
			Size:   row.Size,
			Binary: row.Binary,
		})
		b = wire.AppendDataRow(b, row.Value)
		return wire.AppendCommandComplete(b, row.Tag)
	case router.Rejected:
		detail := ""
		if answer.RetryAfter > 0 {
			detail = strconv.Itoa(int(math.Floor(answer.RetryAfter)))
		}
		return wire.AppendErrorResponse(
			b, "ERROR", wire.CodeTooManyConnections, "refused: try again later", detail)
	}
	return wire.AppendErrorResponse(
		b, "ERROR", wire.CodeQueryCanceled, "the request failed; it may have had an effect", "")
}

// sendAnswers sends the answers that are next in the order of the commands. It
// sends no further ones until the kernel has accepted these, so that a client
// that does not read cannot make the router buffer more.
func (c *client) sendAnswers() {
	if c.sending || c.released || c.closing {
		return
	}
	answers, done, last := c.queue.NextAnswers(c.server.batchBytes())
	for _, command := range done {
		command.Value.setReservedBytes(0)
	}
	loop := c.server.loop
	if len(answers) > 0 {
		c.sending = true
		sendingBytes := copiesOfSent * len(answers)
		c.server.queuedMemory.Reserve(sendingBytes)
		c.conn.Send(answers, func(err error) {
			loop.Do(func() {
				c.server.queuedMemory.Reserve(-sendingBytes)
				c.answersSent(err)
			})
		})
		loop.Cancel(c.closeTimer)
		c.closeTimer = loop.At(loop.Now()+writeTimeoutMs, c.conn.Close)
	}
	if last {
		c.halfClose()
	}
}

// batchBytes returns the size of a batch of answers: less than usual if its copies do
// not fit into the memory budget, as many clients may not read theirs.
func (s *Server) batchBytes() int {
	if s.queuedMemory.Fits(copiesOfSent * sendBatchBytes) {
		return sendBatchBytes
	}
	return smallMessageBytes
}

// answersSent handles the end of a write of answers. If the write failed, the
// client has disconnected or was disconnected, and no further statement of it is
// executed.
func (c *client) answersSent(err error) {
	c.sending = false
	switch {
	case err != nil:
		c.disconnected()
		return
	case c.released:
		return
	case c.closing: // the timeout for the client's close starts now
		c.awaitClose()
		return
	}
	c.server.loop.Cancel(c.closeTimer)
	c.advance()
	c.server.evictIdle()
}
