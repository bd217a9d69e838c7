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
	// maxAnswer bounds the bytes of one answer, which stay in the read buffer
	// until it is complete.
	maxAnswer = 2 * wire.MaxBodyLen
	// maxControl bounds, in bytes, every message of an answer but the row.
	maxControl = 8 << 10
)

var (
	errTooLong = fmt.Errorf("%w: an answer without end", wire.ErrMalformed)
	errOrder   = fmt.Errorf("%w: out of order", wire.ErrMalformed)
	errExcess  = fmt.Errorf("%w: more than the answer", wire.ErrMalformed)
)

// stage is how far an answer has arrived: its messages have one order.
type stage uint8

const (
	awaiting  stage = iota // nothing yet, or the messages of a startup
	described              // RowDescription
	rowRead                // DataRow
	completed              // CommandComplete
	failed                 // ErrorResponse
)

// answer collects one answer. It is used by the connection's own callbacks,
// which never run concurrently. Its slices are those of the read buffer, valid
// until the buffer's Release at the end of the answer.
type answer struct {
	size      int // bytes so far
	stage     stage
	column    wire.Column
	row       router.Row
	errorCode []byte // of an ErrorResponse
	role      decide.Role
	position  []byte
}

// onData reads messages. It waits for the rest of a partial one, in this
// connection's own goroutine.
//
// An endpoint may send a malformed answer, or more than the answer. Whatever
// cannot be an answer to the statement at hand ends the attempt and the
// connection: the next request's answer would be read from what is left.
func (c *conn) onData(_ context.Context, nc netpoll.Connection) error {
	in := nc.Reader()
	for in.Len() > 0 {
		err := c.readMessage(in)
		if errors.Is(err, wire.ErrMalformed) {
			c.pool.loop.Do(func() { c.pool.malformed(c) })
		}
		if err != nil {
			return nc.Close() // the close callback informs the pool
		}
	}
	return nil
}

// readMessage reads one message.
func (c *conn) readMessage(in netpoll.Reader) error {
	if c.answer.size == 0 { // checked before anything is taken off the buffer, where Quiet sees it
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
	return c.answer.take(kind, body)
}

// checkSize bounds the messages of an answer.
func (a *answer) checkSize(kind byte, n int) error {
	if kind != wire.DataRow && n > maxControl {
		return errTooLong
	}
	a.size += n + wire.HeaderLen
	if a.size > maxAnswer {
		return errTooLong
	}
	return nil
}

// checkRow checks a DataRow of n bytes before it has arrived: one with a false
// length would be waited for in vain.
func checkRow(in netpoll.Reader, n int) error {
	head, err := in.Peek(min(n, wire.RowHeaderLen))
	if err != nil {
		return err
	}
	return wire.CheckDataRow(head, n)
}

// endAnswer takes a ReadyForQuery.
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

// take reads one message of an answer, or of a startup.
func (a *answer) take(kind byte, body []byte) (err error) {
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
		return a.takeError(body)
	case wire.NoticeResponse:
		_, err = wire.ParseErrorResponse(body)
		return err
	case wire.ParameterStatus:
		return a.takeParameter(body)
	case wire.Authentication:
		return errors.Join(wire.CheckAuthentication(body), a.advance(awaiting, awaiting))
	case wire.BackendKeyData:
		return a.advance(awaiting, awaiting)
	}
	return errOrder
}

// advance moves from one stage to another.
func (a *answer) advance(from, to stage) error {
	if a.stage != from {
		return errOrder
	}
	a.stage = to
	return nil
}

// takeError reads an ErrorResponse.
func (a *answer) takeError(body []byte) error {
	if a.stage >= completed {
		return errOrder
	}
	a.stage = failed
	fields, err := wire.ParseErrorResponse(body)
	a.errorCode = fields.Code
	return err
}

// takeParameter reads a ParameterStatus.
func (a *answer) takeParameter(body []byte) error {
	name, value, err := wire.ParseParameterStatus(body)
	switch string(name) {
	case paramRole:
		a.role = parseRole(value)
	case paramPosition:
		a.position = value
	}
	return err
}

// startupOutcome is the outcome of a connection that ended before it was ready.
func (a *answer) startupOutcome() decide.Outcome {
	if string(a.errorCode) == wire.CodeTooManyConnections {
		return decide.Overloaded
	}
	return decide.ConnectFailed
}

// report returns how a job ended, if its answer has arrived. An answer to some
// other statement is not one to this.
func (a *answer) report(j *job) (report router.AttemptReport, complete bool) {
	switch {
	case a.stage == failed:
		return router.AttemptReport{Outcome: outcomeOf(string(a.errorCode)), Status: a.status(false)}, true
	case a.stage != completed:
		return router.AttemptReport{}, false
	case j.healthCheck:
		return healthReport(a.row.Value), true
	case !tagFits(a.row.Tag, j.statement.Text):
		return router.AttemptReport{}, false
	}
	a.row.Column = a.column.Name
	a.row.Type = a.column.Type
	a.row.Size = a.column.Size
	a.row.Binary = a.column.Binary
	return router.AttemptReport{Outcome: decide.OK, Status: a.status(j.statement.Write), Row: &a.row}, true
}

// tagFits reports whether a command's tag, such as INSERT 0 1, may complete the
// statement with one row.
func tagFits(tag, statement []byte) bool {
	verb, count, _ := bytes.Cut(tag, []byte{' '})
	if len(verb) == 0 || !bytes.EqualFold(verb, wire.Verb(statement)) {
		return false
	}
	return string(count) == "1" || string(count) == "0 1"
}

// outcomeOf returns the outcome that the code of an endpoint's error stands for.
func outcomeOf(code string) decide.Outcome {
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
