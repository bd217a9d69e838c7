package back

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/decide"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/routingconfig"
)

// The parameters that tell of a database host.
const (
	paramRole     = "recovery" // off from a primary, on from a replica
	paramPosition = "lsn_ms"
)

// maxAnswer bounds the bytes of one answer, which stay in the read buffer
// until it is whole.
const maxAnswer = 2 * wire.MaxMessage

// maxControl bounds every message of an answer but the row.
const maxControl = 8 << 10

// stage is how far an answer has come: its messages have one order.
type stage uint8

const (
	begun stage = iota
	described
	rowed
	completed
	refused // by an ErrorResponse
)

// reader collects one answer. It is used by the connection's own callbacks,
// which never run at the same time.
type reader struct {
	size     int
	stage    stage
	column   wire.Column
	row      router.Row
	code     []byte // of an ErrorResponse
	role     decide.Role
	position []byte
}

// onData reads messages; a partial one waits for its rest, in this
// connection's own goroutine. What the reader keeps are slices of the read
// buffer, valid until Release at the end of the answer.
//
// A host may spoil an answer or send more than belongs to it. Whatever cannot
// be an answer to the statement at hand ends the attempt and the connection:
// the next request's answer would be read from what is left.
func (c *conn) onData(_ context.Context, nc netpoll.Connection) error {
	in := nc.Reader()
	for in.Len() > 0 {
		var err error
		if c.reader.size == 0 { // asked before anything is taken off the buffer, where Quiet sees it
			c.pool.loop.Do(func() { err = c.pool.beginAnswer(c) })
		}
		var h []byte
		if err == nil {
			h, err = in.Next(wire.HeaderLen)
		}
		if err == nil {
			var kind byte
			var n int
			if kind, n, err = wire.Header(h); err == nil {
				err = c.message(in, kind, n)
			}
		}
		if errors.Is(err, wire.ErrMalformed) {
			c.pool.loop.Do(func() { c.pool.spoilt(c) })
		}
		if err != nil {
			return nc.Close() // the close callback tells the pool
		}
	}
	return nil
}

var (
	errTooLong = fmt.Errorf("%w: an answer without end", wire.ErrMalformed)
	errOrder   = fmt.Errorf("%w: out of order", wire.ErrMalformed)
	errExcess  = fmt.Errorf("%w: more than the answer", wire.ErrMalformed)
)

func (c *conn) message(in netpoll.Reader, kind byte, n int) error {
	if kind != wire.DataRow && n > maxControl {
		return errTooLong
	}
	if c.reader.size += n + wire.HeaderLen; c.reader.size > maxAnswer {
		return errTooLong
	}
	if kind == wire.DataRow { // one that lies about its length would wait for what never comes
		head, err := in.Peek(min(n, wire.RowHeaderLen))
		if err == nil {
			err = wire.CheckDataRow(head, n)
		}
		if err != nil {
			return err
		}
	}
	var body []byte
	if n > 0 {
		var err error
		if body, err = in.Next(n); err != nil {
			return err
		}
	}
	if kind != wire.ReadyForQuery {
		return c.reader.take(kind, body)
	}
	if err := wire.CheckReady(body); err != nil {
		return err
	}
	var err error
	c.pool.loop.Do(func() { err = c.pool.answered(c) })
	if err != nil {
		return err
	}
	c.reader = reader{}
	return in.Release()
}

// take reads one message of an answer.
func (r *reader) take(kind byte, body []byte) (err error) {
	switch kind {
	case wire.RowDescription:
		r.column, err = wire.ParseRowDescription(body)
		return errors.Join(err, r.step(begun, described))
	case wire.DataRow:
		r.row.Value, err = wire.ParseDataRow(body)
		return errors.Join(err, r.step(described, rowed))
	case wire.CommandComplete:
		r.row.Tag, err = wire.Text(body)
		return errors.Join(err, r.step(rowed, completed))
	case wire.ErrorResponse:
		if r.stage >= completed {
			return errOrder
		}
		r.stage = refused
		var e wire.Error
		e, err = wire.ParseError(body)
		r.code = e.Code
	case wire.NoticeResponse:
		_, err = wire.ParseError(body)
	case wire.ParameterStatus:
		var name, value []byte
		name, value, err = wire.Parameter(body)
		switch string(name) {
		case paramRole:
			r.role = role(value)
		case paramPosition:
			r.position = value
		}
	case wire.Authentication:
		err = wire.CheckAuthentication(body)
		fallthrough
	case wire.BackendKeyData: // of a connection that comes up
		return errors.Join(err, r.step(begun, begun))
	default:
		return errOrder
	}
	return err
}

func (r *reader) step(from, to stage) error {
	if r.stage != from {
		return errOrder
	}
	r.stage = to
	return nil
}

func role(recovery []byte) decide.Role {
	switch string(recovery) {
	case "off":
		return decide.RolePrimary
	case "on":
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// startupOutcome is what became of a connection that ended before it was ready.
func (r *reader) startupOutcome() decide.Outcome {
	if string(r.code) == wire.CodeTooManyConnections {
		return decide.Overloaded
	}
	return decide.ConnectFailed
}

// report tells how a job ended, if the answer came so far. An answer to some
// other statement is none to this one.
func (r *reader) report(j *job) (rep router.AttemptReport, whole bool) {
	switch {
	case r.stage == refused:
		rep.Outcome = outcome(string(r.code))
	case r.stage != completed:
		return rep, false
	case j.probe:
		var ok bool
		if rep.Status, ok = health(r.row.Value); !ok {
			rep.Outcome = decide.Error
		}
		return rep, true
	case !tagFits(r.row.Tag, j.stmt.Text):
		return rep, false
	default:
		r.row.Column, r.row.Type = r.column.Name, r.column.Type
		r.row.Size, r.row.Binary = r.column.Size, r.column.Binary
		rep.Row = &r.row
	}
	commit := j.stmt.Write && rep.Outcome == decide.OK
	rep.Status = decide.ReplicationStatus{Role: r.role, Position: position(r.position, time.Millisecond, commit)}
	return rep, true
}

// tagFits tells whether a command's tag, such as INSERT 0 1, may complete the
// statement with one row.
func tagFits(tag, statement []byte) bool {
	verb, count, _ := bytes.Cut(tag, []byte{' '})
	if len(verb) == 0 || !bytes.EqualFold(verb, wire.Verb(statement)) {
		return false
	}
	return string(count) == "1" || string(count) == "0 1"
}

// outcome translates the code of a database host's error.
func outcome(code string) decide.Outcome {
	switch code {
	case wire.CodeReadOnly, wire.CodeTooFarBehind:
		return decide.Ineligible
	case wire.CodeTooManyConnections:
		return decide.Overloaded
	case wire.CodeSyntax, wire.CodeProtocol:
		return decide.InvalidRequest
	}
	return decide.Error
}

// health reads a load report: names and values, such as x0=12.5,x1=1. One in
// which any part cannot be read tells nothing.
func health(report []byte) (n decide.ReplicationStatus, ok bool) {
	for part := range bytes.SplitSeq(report, []byte{','}) {
		name, value, _ := bytes.Cut(part, []byte{'='})
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || len(name) == 0 {
			return decide.ReplicationStatus{}, false
		}
		switch string(name) {
		case routingconfig.FieldPosition:
			if n.Position = position(value, time.Second, false); n.Position == 0 && v != 0 {
				return decide.ReplicationStatus{}, false
			}
		case routingconfig.FieldRole:
			switch v {
			case 1:
				n.Role = decide.RolePrimary
			case 0:
				n.Role = decide.RoleReplica
			default:
				return decide.ReplicationStatus{}, false
			}
		}
	}
	return n, true
}

// position reads a Unix time in the given unit exactly, digit by digit: a
// float64 of seconds would be off by parts of a microsecond either way. What
// is finer than a nanosecond is rounded down, or up for a commit.
func position(text []byte, unit time.Duration, up bool) time.Duration {
	whole, fraction, _ := bytes.Cut(text, []byte{'.'})
	n, err := strconv.ParseInt(string(whole), 10, 64)
	if err != nil || n < 0 || n > int64(maxPosition/unit) {
		return 0
	}
	d := time.Duration(n) * unit
	for _, c := range fraction {
		if c < '0' || c > '9' {
			return 0
		}
		unit /= 10
		d += time.Duration(c-'0') * unit
		if unit == 0 && up && c != '0' {
			return d + 1
		}
	}
	return d
}

// maxPosition keeps a position far from overflow.
const maxPosition = 4e12 * time.Millisecond
