package backend

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"lotusbend/decide"
	"lotusbend/internal/pgwire"
	"lotusbend/internal/router"
	"lotusbend/internal/settings"
)

// The parameters that tell of a database host.
const (
	paramRole     = "recovery" // off from a primary, on from a replica
	paramPosition = "lsn_ms"
)

// maxAnswer bounds the bytes of one answer, which stay in the read buffer
// until it is whole.
const maxAnswer = 2 * pgwire.MaxMessage

// reader collects one answer. It is used by the connection's own callbacks,
// which never run at the same time.
type reader struct {
	size     int
	column   pgwire.Column
	row      router.Row
	complete bool
	code     []byte // of an ErrorResponse
	role     decide.Role
	position []byte
}

// onData reads messages; a partial one waits for its rest, in this
// connection's own goroutine. What the reader keeps are slices of the read
// buffer, valid until Release at the end of the answer.
func (c *conn) onData(_ context.Context, nc netpoll.Connection) error {
	in := nc.Reader()
	for in.Len() > 0 {
		h, err := in.Next(pgwire.HeaderLen)
		if err == nil {
			var kind byte
			var n int
			if kind, n, err = pgwire.Header(h); err == nil {
				err = c.message(nc, kind, n)
			}
		}
		if err != nil {
			return nc.Close() // the close callback tells the pool
		}
	}
	return nil
}

var errTooLong = errors.New("backend: an answer without end")

func (c *conn) message(nc netpoll.Connection, kind byte, n int) error {
	var body []byte
	if n > 0 {
		var err error
		if body, err = nc.Reader().Next(n); err != nil {
			return err
		}
	}
	if c.reader.size += n + pgwire.HeaderLen; c.reader.size > maxAnswer {
		return errTooLong
	}
	if kind != pgwire.ReadyForQuery {
		return c.reader.take(kind, body)
	}
	c.pool.loop.Do(func() { c.pool.answered(c) })
	c.reader = reader{}
	return nc.Reader().Release()
}

// take reads one message of an answer.
func (r *reader) take(kind byte, body []byte) (err error) {
	switch kind {
	case pgwire.RowDescription:
		r.column, err = pgwire.ParseRowDescription(body)
	case pgwire.DataRow:
		if r.row.Found {
			return pgwire.ErrMalformed // a second row
		}
		r.row.Found = true
		r.row.Value, r.row.Null, err = pgwire.ParseDataRow(body)
	case pgwire.CommandComplete:
		r.complete = true
		r.row.Tag, err = pgwire.Text(body)
	case pgwire.ErrorResponse:
		var e pgwire.Error
		e, err = pgwire.ParseError(body)
		r.code = e.Code
	case pgwire.ParameterStatus:
		var name, value []byte
		name, value, err = pgwire.Parameter(body)
		switch string(name) {
		case paramRole:
			r.role = role(value)
		case paramPosition:
			r.position = value
		}
	}
	return err
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
	if string(r.code) == pgwire.CodeTooManyConnections {
		return decide.Full
	}
	return decide.ConnectFailed
}

// report tells how a job ended, if the answer came so far.
func (r *reader) report(j *job) (rep router.Report, whole bool) {
	switch {
	case r.code != nil:
		rep.Outcome = outcome(string(r.code))
	case !r.complete:
		return rep, false
	case j.probe:
		rep.Note = health(r.row.Value)
		return rep, true
	default:
		r.row.Column, r.row.Type = r.column.Name, r.column.Type
		r.row.Size, r.row.Binary = r.column.Size, r.column.Binary
		rep.Row = &r.row
	}
	commit := j.stmt.Write && rep.Outcome == decide.OK
	rep.Note = decide.Note{Role: r.role, Position: position(r.position, time.Millisecond, commit)}
	return rep, true
}

// outcome translates the code of a database host's error.
func outcome(code string) decide.Outcome {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeTooFarBehind:
		return decide.Miss
	case pgwire.CodeTooManyConnections:
		return decide.Full
	}
	return decide.Error
}

// health reads a load report: names and values, such as x0=12.5,x1=1.
func health(report []byte) (n decide.Note) {
	for part := range bytes.SplitSeq(report, []byte{','}) {
		name, value, _ := bytes.Cut(part, []byte{'='})
		switch string(name) {
		case settings.FieldPosition:
			n.Position = position(value, time.Second, false)
		case settings.FieldRole:
			switch v, err := strconv.ParseFloat(string(value), 64); {
			case err != nil:
			case v == 1:
				n.Role = decide.RolePrimary
			case v == 0:
				n.Role = decide.RoleReplica
			}
		}
	}
	return n
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
