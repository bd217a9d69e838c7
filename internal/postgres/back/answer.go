package back

import (
	"bytes"
	"errors"
	"fmt"

	"lotusbend/decide"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

const (
	// maxAnswerBytes is the maximum length of an answer, which stays in memory until it
	// is complete.
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

// answer collects the messages of one answer. Its slices may refer to the pool's read
// buffer until keep is called.
type answer struct {
	size      int // bytes received
	stage     stage
	column    wire.Column
	row       router.Row
	errorCode []byte      // of an ErrorResponse
	role      decide.Role // reported by the endpoint
	position  []byte      // reported by the endpoint, in Unix milliseconds
	valueKept bool        // row.Value does not refer to the read buffer
}

// keep copies what refers to the pool's read buffer, which is used again for the next
// bytes of any connection.
func (a *answer) keep() {
	a.column.Name = bytes.Clone(a.column.Name)
	a.row.Tag = bytes.Clone(a.row.Tag)
	a.errorCode = bytes.Clone(a.errorCode)
	a.position = bytes.Clone(a.position)
	if !a.valueKept {
		a.row.Value = bytes.Clone(a.row.Value)
		a.valueKept = a.row.Value != nil
	}
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
