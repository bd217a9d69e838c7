package back_test

import (
	"net"
	"slices"

	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// exchange is a statement or health check and the behaviour of its endpoint.
type exchange struct {
	healthCheck  bool
	write        bool
	text         string  // of the statement; readStatement if empty
	timePasses   float64 // milliseconds that pass before the answer to the startup
	forbidden    bool    // MaySend returns false
	startupError []byte  // sent before the endpoint closes in the startup; nil for greeting
	answer       []byte
	ends         bool // the endpoint closes the connection after its answer
}

const (
	readStatement  = "SELECT doc FROM items WHERE id = 'a' /* id=1,c=read,d=480,cluster=2,after=5 */"
	writeStatement = "INSERT INTO items VALUES ('a') /* id=1,c=write,k=b,d=480,cluster=2 */"
)

// greeting is the answer to the startup.
var greeting = concat(
	wire.AppendAuthenticationOk(nil), wire.AppendParameterStatus(nil, "server_version", "15.0"),
	wire.AppendBackendKeyData(nil, 1, 2), wire.AppendReadyForQuery(nil),
)

// concat returns the concatenation of messages.
func concat(parts ...[]byte) []byte { return slices.Concat(parts...) }

// answer returns an answer with one row, and with a ParameterStatus for each name and
// value in parameters.
func answer(value, tag string, parameters ...string) []byte {
	b := wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc"), Type: 25, Size: -1})
	b = wire.AppendCommandComplete(wire.AppendDataRow(b, []byte(value)), []byte(tag))
	for i := 0; i < len(parameters); i += 2 {
		b = wire.AppendParameterStatus(b, parameters[i], parameters[i+1])
	}
	return wire.AppendReadyForQuery(b)
}

// failure returns an error as an answer, and a ParameterStatus for each name and
// value in parameters.
func failure(code string, parameters ...string) []byte {
	b := wire.AppendErrorResponse(nil, "ERROR", code, "no", "")
	for i := 0; i < len(parameters); i += 2 {
		b = wire.AppendParameterStatus(b, parameters[i], parameters[i+1])
	}
	return wire.AppendReadyForQuery(b)
}

// exchanges are the scenarios by the names under which the golden file has them.
var exchanges = map[string]exchange{
	"read": {answer: answer("v", "SELECT 1")},
	"read-from-replica": {
		answer: answer("v", "SELECT 1", "recovery", "on", "lsn_ms", "1767225600123.4567891"),
	},
	"read-of-role-unknown": {answer: answer("v", "SELECT 1", "recovery", "perhaps", "lsn_ms", "-5")},
	"write": {
		write:  true,
		text:   writeStatement,
		answer: answer("v", "INSERT 0 1", "recovery", "off", "lsn_ms", "1767225600123.4567891"),
	},
	"write-in-lower-case": {
		write:  true,
		text:   "update items /* id=1,c=write,k=b,d=480,cluster=2 */",
		answer: answer("v", "UPDATE 1", "lsn_ms", "7"),
	},
	"position-not-a-number": {answer: answer("v", "SELECT 1", "lsn_ms", "7.x")},
	"position-too-large":    {answer: answer("v", "SELECT 1", "lsn_ms", "4000000000001")},
	"binary-row": {
		answer: concat(
			wire.AppendRowDescription(nil, wire.Column{Name: []byte("n"), Type: 23, Size: 4, Binary: true}),
			wire.AppendDataRow(nil, []byte{0, 0, 0, 9}), wire.AppendCommandComplete(nil, []byte("SELECT 1")),
			wire.AppendReadyForQuery(nil),
		),
	},
	"notice":           {answer: concat(notice(), answer("v", "SELECT 1"))},
	"wait-partly-over": {timePasses: 100.5, answer: answer("v", "SELECT 1")},
	"wait-over":        {timePasses: 1000, answer: answer("v", "SELECT 1")},
	"not-sent":         {forbidden: true},
	"error-read-only":  {answer: failure(wire.CodeReadOnlyTransaction, "recovery", "on")},
	"error-behind":     {answer: failure(wire.CodeTooFarBehind)},
	"error-full":       {answer: failure(wire.CodeTooManyConnections)},
	"error-syntax":     {answer: failure(wire.CodeSyntaxError)},
	"error-protocol":   {answer: failure(wire.CodeProtocolViolation)},
	"error-other":      {answer: failure("XX000")},
	"startup-full": {
		startupError: wire.AppendErrorResponse(nil, "FATAL", wire.CodeTooManyConnections, "no", ""),
	},
	"startup-refused": {
		startupError: wire.AppendErrorResponse(nil, "FATAL", wire.CodeCannotConnectNow, "no", ""),
	},
	"startup-ends":          {startupError: []byte{}},
	"startup-with-password": {startupError: []byte("R\x00\x00\x00\x08\x00\x00\x00\x03")},
	"no-answer":             {ends: true},
	"answer-before-the-end": {
		answer: answer("v", "SELECT 1")[:len(answer("v", "SELECT 1"))-6],
		ends:   true,
	},
	"answer-cut":               {answer: answer("v", "SELECT 1")[:20], ends: true},
	"tag-of-another-statement": {answer: answer("v", "INSERT 0 1")},
	"tag-of-two-rows":          {answer: answer("v", "SELECT 2")},
	"ready-without-answer":     {answer: wire.AppendReadyForQuery(nil)},
	"row-without-description":  {answer: wire.AppendDataRow(nil, []byte("v"))},
	"ready-of-no-state":        {answer: []byte("Z\x00\x00\x00\x05X")},
	"message-of-no-kind":       {answer: []byte("?\x00\x00\x00\x04")},
	"message-too-long":         {answer: []byte("C\x00\x00\x40\x00")},
	"row-of-lying-length": {
		answer: concat(
			wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc")}),
			[]byte("D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x09v"),
		),
	},
	"error-behind-the-answer": {
		answer: concat(answer("v", "SELECT 1")[:len(answer("v", "SELECT 1"))-6], failure("XX000")),
	},
	"probe":            {healthCheck: true, answer: answer("x0=12.5,x1=1,role=1", "SHOW")},
	"probe-error":      {healthCheck: true, answer: failure("XX000")},
	"probe-unreadable": {healthCheck: true, answer: answer("x0=much", "SHOW")},
	"probe-empty":      {healthCheck: true, answer: answer("", "SHOW")},
	"probe-spoilt":     {healthCheck: true, answer: wire.AppendReadyForQuery(nil)},
	"probe-startup-full": {
		healthCheck:  true,
		startupError: wire.AppendErrorResponse(nil, "FATAL", wire.CodeTooManyConnections, "no", ""),
	},
	"probe-that-ends-unheard": {healthCheck: true, ends: true},
	"probe-of-a-replica":      {healthCheck: true, answer: answer("x0=1767225600.1234567891,x1=0,x7=4", "SHOW")},
	"probe-of-no-role":        {healthCheck: true, answer: answer("x1=2", "SHOW")},
	"probe-of-no-position":    {healthCheck: true, answer: answer("x0=-1", "SHOW")},
}

// notice returns a NoticeResponse.
func notice() []byte {
	b := wire.AppendErrorResponse(nil, "WARNING", "01000", "careful", "")
	b[0] = wire.NoticeResponse
	return b
}

// poolScenarios are scenarios that an exchange cannot describe: jobs that get no
// connection or no answer, cancellations, and connections that the pool closes. They
// have the names that the golden file gives them.
var poolScenarios = map[string]func(*fixture) string{
	"without-host": func(f *fixture) string {
		f.loop.Do(func() { f.pool.Send(2, router.AttemptID{Number: 3}, router.Statement{}, 10) })
		return f.report()
	},
	"host-not-there": func(f *fixture) string {
		_ = f.listener.Close()
		f.start(exchange{})
		return f.report()
	},
	"connect-timeout": func(f *fixture) string {
		f.start(exchange{})
		f.readStartup(f.accept())
		f.passTime(250)
		return f.report()
	},
	"probe-timeout": func(f *fixture) string {
		f.start(exchange{healthCheck: true})
		c := f.accept()
		f.readStartup(c)
		f.write(c, greeting)
		f.readMessage(c)
		f.passTime(250)
		return f.report()
	},
	"no-socket-left": func(f *fixture) string {
		f.takeAllDescriptors()
		f.start(exchange{})
		return f.report()
	},
	"socket-of-an-idle-connection": func(f *fixture) string {
		c := f.idleConnection()
		f.takeAllDescriptors()
		other, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		defer other.Close()
		f.loop.Do(func() {
			f.pool.SetEndpoint(2, other.Addr().String(), true)
			f.pool.CheckHealth(2)
		})
		f.expectEOF(c)
		f.listener = other
		second := f.accept()
		f.readStartup(second)
		f.write(second, greeting)
		f.readMessage(second)
		f.write(second, answer("x0=5", "SHOW"))
		return f.report()
	},
	"host-no-longer-usable": func(f *fixture) string {
		c := f.idleConnection()
		f.loop.Do(func() { f.pool.SetEndpoint(1, "", false) })
		f.expectEOF(c)
		return f.cancelled(f.start(exchange{}))
	},
	"cancelled-before-it-began": func(f *fixture) string { return f.cancelled(f.start(exchange{})) },
	"cancelled-write": func(f *fixture) string {
		sent := f.start(exchange{write: true, text: writeStatement})
		c := f.accept()
		f.readStartup(c)
		f.write(c, greeting)
		f.readMessage(c)
		text := f.cancelled(sent)
		f.expectEOF(c)
		return text
	},
	"cancelled-twice": func(f *fixture) string {
		sent := f.start(exchange{})
		return f.cancelled(sent) + f.cancelled(sent)
	},
}
