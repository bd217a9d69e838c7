package back

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/cloudwego/netpoll"

	"lotusbend/decide"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

const (
	// maxAnswerBytes is the maximum length of an answer, which stays in the read
	// buffer until it is complete.
	maxAnswerBytes = 2 * wire.MaxBodyLen
	// maxControlBytes is the maximum body length of every message except a DataRow.
	maxControlBytes = 8 << 10
)

var (
	errTooLong    = fmt.Errorf("%w: message or answer exceeds its maximum length", wire.ErrMalformed)
	errOutOfOrder = fmt.Errorf("%w: message out of order", wire.ErrMalformed)
	errUnexpected = fmt.Errorf("%w: message outside an answer", wire.ErrMalformed)
)

// stage is the last message of an answer that has arrived. The messages arrive in
// the order of the constants, except that an ErrorResponse may take the place of any
// of the others.
type stage uint8

const (
	awaiting  stage = iota // none, or only messages of the startup
	described              // RowDescription
	rowRead                // DataRow
	completed              // CommandComplete
	failed                 // ErrorResponse
)

// answer collects the messages of one answer. It is used by the connection's own
// callbacks, which never run concurrently. Its slices refer to the read buffer
// and are valid until the buffer is released at the end of the answer.
type answer struct {
	size      int // bytes received
	stage     stage
	column    wire.Column
	row       router.Row
	errorCode []byte      // of an ErrorResponse
	role      decide.Role // reported by the endpoint
	position  []byte      // reported by the endpoint, in Unix milliseconds
}

// onData processes received messages. It runs in the connection's own goroutine
// and blocks while a message is incomplete.
//
// Bytes that cannot belong to an answer to the current statement end the attempt
// and the connection; the remaining bytes would otherwise be taken for the answer
// to the next statement.
func (c *conn) onData(_ context.Context, nc netpoll.Connection) error {
	in := nc.Reader()
	for in.Len() > 0 {
		err := c.readMessage(in)
		if errors.Is(err, wire.ErrMalformed) {
			c.pool.loop.Do(func() { c.pool.malformed(c) })
		}
		if err != nil {
			return nc.Close() // the close callback notifies the pool
		}
	}
	return nil
}

// readMessage processes one message.
func (c *conn) readMessage(in netpoll.Reader) error {
	if c.answer.size == 0 { // checked while the bytes are in the buffer, where Quiet sees them
		var err error
		c.pool.loop.Do(func() { err = c.pool.beginAnswer(c) })
		if err != nil {
			return err
		}
	}
	header, err := in.Next(wire.HeaderLen)
	if err != nil {
		return err
	}
	kind, n, err := wire.ParseHeader(header)
	if err != nil {
		return err
	}
	if err := c.answer.checkSize(kind, n); err != nil {
		return err
	}
	if kind == wire.DataRow {
		if err := checkRow(in, n); err != nil {
			return err
		}
	}
	var body []byte
	if n > 0 {
		if body, err = in.Next(n); err != nil {
			return err
		}
	}
	if kind == wire.ReadyForQuery {
		return c.endAnswer(in, body)
	}
	return c.answer.addMessage(kind, body)
}

// checkSize adds a message with a body of n bytes to the size of the answer. It
// returns errTooLong if the message or the answer is too long.
func (a *answer) checkSize(kind byte, n int) error {
	if kind != wire.DataRow && n > maxControlBytes {
		return errTooLong
	}
	a.size += n + wire.HeaderLen
	if a.size > maxAnswerBytes {
		return errTooLong
	}
	return nil
}

// checkRow checks the header of a DataRow with a body of n bytes before the rest
// has arrived; the wait for a row with a wrong length would never end.
func checkRow(in netpoll.Reader, n int) error {
	head, err := in.Peek(min(n, wire.RowHeaderLen))
	if err != nil {
		return err
	}
	return wire.CheckDataRow(head, n)
}

// endAnswer handles a ReadyForQuery and releases the read buffer.
func (c *conn) endAnswer(in netpoll.Reader, body []byte) error {
	if err := wire.CheckReady(body); err != nil {
		return err
	}
	var err error
	c.pool.loop.Do(func() { err = c.pool.readyForQuery(c) })
	if err != nil {
		return err
	}
	c.answer = answer{}
	return in.Release()
}

// addMessage parses a message of an answer or of the startup.
func (a *answer) addMessage(kind byte, body []byte) (err error) {
	switch kind {
	case wire.RowDescription:
		a.column, err = wire.ParseRowDescription(body)
		return errors.Join(err, a.advance(awaiting, described))
	case wire.DataRow:
		a.row.Value, err = wire.ParseDataRow(body)
		return errors.Join(err, a.advance(described, rowRead))
	case wire.CommandComplete:
		a.row.Tag, err = wire.ParseString(body)
		return errors.Join(err, a.advance(rowRead, completed))
	case wire.ErrorResponse:
		return a.addError(body)
	case wire.NoticeResponse:
		_, err = wire.ParseErrorResponse(body)
		return err
	case wire.ParameterStatus:
		return a.addParameter(body)
	case wire.Authentication:
		return errors.Join(wire.CheckAuthentication(body), a.advance(awaiting, awaiting))
	case wire.BackendKeyData:
		return a.advance(awaiting, awaiting)
	}
	return errOutOfOrder
}

// advance changes the stage. It returns errOutOfOrder unless the present stage is
// from.
func (a *answer) advance(from, to stage) error {
	if a.stage != from {
		return errOutOfOrder
	}
	a.stage = to
	return nil
}

// addError parses an ErrorResponse, which may end an answer at any stage before
// its CommandComplete.
func (a *answer) addError(body []byte) error {
	if a.stage >= completed {
		return errOutOfOrder
	}
	a.stage = failed
	fields, err := wire.ParseErrorResponse(body)
	a.errorCode = fields.Code
	return err
}

// addParameter parses a ParameterStatus and keeps the parameters that report the
// replication status.
func (a *answer) addParameter(body []byte) error {
	name, value, err := wire.ParseParameterStatus(body)
	switch string(name) {
	case paramRole:
		a.role = parseRole(value)
	case paramPosition:
		a.position = value
	}
	return err
}

// startupOutcome returns the outcome for a connection that ended during the
// startup.
func (a *answer) startupOutcome() decide.Outcome {
	if string(a.errorCode) == wire.CodeTooManyConnections {
		return decide.Overloaded
	}
	return decide.ConnectFailed
}

// report returns the result of j and whether the answer is complete. A complete
// answer whose tag does not match the statement of j counts as incomplete.
func (a *answer) report(j *job) (report router.AttemptReport, complete bool) {
	switch {
	case a.stage == failed:
		return router.AttemptReport{
			Outcome: outcomeOfCode(string(a.errorCode)),
			Status:  a.status(false),
		}, true
	case a.stage != completed:
		return router.AttemptReport{}, false
	case j.healthCheck:
		return healthReport(a.row.Value), true
	case !tagMatches(a.row.Tag, j.statement.Text):
		return router.AttemptReport{}, false
	}
	a.row.Column = a.column.Name
	a.row.Type = a.column.Type
	a.row.Size = a.column.Size
	a.row.Binary = a.column.Binary
	return router.AttemptReport{Outcome: decide.OK, Status: a.status(j.statement.Write), Row: &a.row}, true
}

// tagMatches reports whether a CommandComplete tag, such as INSERT 0 1, is for one
// row and has the verb of the statement.
func tagMatches(tag, statement []byte) bool {
	verb, count, _ := bytes.Cut(tag, []byte{' '})
	if len(verb) == 0 || !bytes.EqualFold(verb, wire.Verb(statement)) {
		return false
	}
	return string(count) == "1" || string(count) == "0 1"
}

// outcomeOfCode returns the outcome of an attempt that an endpoint answered with
// the given SQLSTATE code.
func outcomeOfCode(code string) decide.Outcome {
	switch code {
	case wire.CodeReadOnlyTransaction, wire.CodeTooFarBehind:
		return decide.Ineligible
	case wire.CodeTooManyConnections:
		return decide.Overloaded
	case wire.CodeSyntaxError, wire.CodeProtocolViolation:
		return decide.InvalidRequest
	}
	return decide.Error
}
