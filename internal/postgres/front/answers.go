package front

import (
	"math"
	"strconv"

	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// writeTimeout ends a connection whose client does not read its answers, in
	// milliseconds.
	writeTimeout = 5000
	// sendSize is about how many bytes of answers are sent at once; further ones
	// wait until these are written to the system.
	sendSize = 64 << 10
	// maxErrorText bounds what an error quotes of a client's statement, in bytes:
	// the answer may have to wait for its turn.
	maxErrorText = 200
)

// Answers that are the same to every client.
var (
	readyAnswer    = wire.AppendReadyForQuery(nil)
	emptyAnswer    = wire.AppendReadyForQuery(wire.AppendEmptyQueryResponse(nil))
	extendedAnswer = wire.AppendErrorResponse(
		nil, "ERROR", wire.CodeFeatureNotSupported, "only simple queries are served", "")
	drainingAnswer   = errorAnswer(wire.CodeCannotConnectNow, "the router is stopping")
	overloadedAnswer = errorAnswer(
		wire.CodeTooManyConnections, "refused: too much was sent ahead of the answers")
	cancelledAnswer = errorAnswer(wire.CodeQueryCanceled, "canceling statement due to user request")
)

// errorAnswer returns an error as the whole answer to a command.
func errorAnswer(code, message string) []byte {
	message = message[:min(len(message), maxErrorText)]
	return wire.AppendReadyForQuery(wire.AppendErrorResponse(nil, "ERROR", code, message, ""))
}

// Answer implements router.Client; running names a running statement.
func (s *Server) Answer(running slotmap.Handle, answer router.Answer) {
	if answered := s.running.Get(running); answered != nil {
		answered.stop()
		answered.answer(wire.AppendReadyForQuery(appendAnswer(nil, answer)))
		answered.client.advance()
	}
}

// appendAnswer appends the messages of a router's answer.
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
		return wire.AppendErrorResponse(b, "ERROR", wire.CodeTooManyConnections, "refused: try again later", detail)
	}
	return wire.AppendErrorResponse(
		b, "ERROR", wire.CodeQueryCanceled, "the request failed; it may have had an effect", "")
}

// sendAnswers sends the answers whose turn has come. Further ones wait until
// these are written to the system, so that a client that does not read makes
// the router hold no more.
func (c *client) sendAnswers() {
	if c.sending || c.released || c.closing {
		return
	}
	answers, done, last := c.queue.NextAnswers(sendSize)
	for _, command := range done {
		command.Value.rebook(0)
	}
	loop := c.server.loop
	if len(answers) > 0 {
		c.sending = true
		c.conn.Send(answers, func(err error) { loop.Do(func() { c.answersSent(err) }) })
		loop.Cancel(c.closeTimer)
		c.closeTimer = loop.At(loop.Now()+writeTimeout, c.conn.Close)
	}
	if last {
		c.halfClose()
	}
}

// answersSent continues once answers were written to the system. If they could
// not be, the client has gone or is cut off, and nothing more is executed for
// it.
func (c *client) answersSent(err error) {
	c.sending = false
	switch {
	case err != nil:
		c.disconnected()
		return
	case c.released:
		return
	case c.closing: // its time to close begins
		c.awaitClose()
		return
	}
	c.server.loop.Cancel(c.closeTimer)
	c.advance()
	c.server.evictIdle()
}
