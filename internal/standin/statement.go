package standin

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"

	"lotusbend/internal/postgres/wire"
)

// serve speaks the PostgreSQL protocol on a connection until it ends. It accepts
// the startup message, then simple queries and Terminate; it ignores other messages.
func (h *Host) serve(conn net.Conn) {
	defer conn.Close()
	defer h.removeConn(conn)
	in := bufio.NewReaderSize(conn, 4096)
	if err := skipStartup(in); err != nil {
		return
	}
	if !h.group.opt.IgnoresLoad {
		h.waitWhileHung()
	}
	greeting := wire.AppendReadyForQuery(wire.AppendBackendKeyData(wire.AppendAuthenticationOk(nil), 1, 1))
	if _, err := conn.Write(greeting); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(in)
		if err != nil || kind == wire.Terminate {
			return
		}
		if kind != wire.Query {
			continue
		}
		text, err := wire.ParseString(body)
		if err != nil {
			return
		}
		answer, reset := h.query(string(text))
		if reset {
			resetOnClose(conn)
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// skipStartup reads and discards a client's startup message.
func skipStartup(in *bufio.Reader) error {
	header := make([]byte, 4)
	if _, err := io.ReadFull(in, header); err != nil {
		return err
	}
	size, err := wire.ParseStartupHeader(header)
	if err != nil {
		return err
	}
	_, err = in.Discard(size)
	return err
}

// readMessage reads one message that follows the startup.
func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	header := make([]byte, wire.HeaderLen)
	if _, err := io.ReadFull(in, header); err != nil {
		return 0, nil, err
	}
	kind, size, err := wire.ParseHeader(header)
	if err != nil {
		return 0, nil, err
	}
	body = make([]byte, size)
	_, err = io.ReadFull(in, body)
	return kind, body, err
}

// The statements that the router sends. The trailing comment holds the parameters
// of the request.
var (
	insertForm = regexp.MustCompile(
		`^INSERT INTO \w+ \(id, doc\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\) RETURNING doc /\* (.*) \*/$`)
	selectForm    = regexp.MustCompile(`^SELECT .*WHERE id = '([^']*)'.* /\* (.*) \*/$`)
	parameterForm = regexp.MustCompile(`(\w+)=([^,]*)`)
)

// healthQuery is the statement that the router sends as a health check.
const healthQuery = "SHOW health"

// statement is a parsed statement of the router.
type statement struct {
	insert     bool
	row        string
	docHex     string            // document of an insert, in hex
	parameters map[string]string // parameters in the comment
}

// parseStatement parses an insert or a select. It returns false for any other
// statement.
func parseStatement(text string) (statement, bool) {
	var s statement
	comment := ""
	if match := insertForm.FindStringSubmatch(text); match != nil {
		s.insert = true
		s.row = match[1]
		s.docHex = match[2]
		comment = match[3]
	} else if match := selectForm.FindStringSubmatch(text); match != nil {
		s.row = match[1]
		comment = match[2]
	} else {
		return s, false
	}
	s.parameters = map[string]string{}
	for _, match := range parameterForm.FindAllStringSubmatch(comment, -1) {
		s.parameters[match[1]] = match[2]
	}
	return s, true
}

// numberParameter returns a numeric parameter, or 0 if it is absent or malformed.
func (s *statement) numberParameter(name string) float64 {
	value, _ := strconv.ParseFloat(s.parameters[name], 64)
	return value
}

// query executes one statement. It returns either the answer or reset, which says
// that the connection is to be reset without an answer.
func (h *Host) query(text string) (answer []byte, reset bool) {
	if text == healthQuery {
		return h.health(), false
	}
	s, ok := parseStatement(text)
	if !ok {
		return errorAnswer(wire.CodeProtocolViolation, "not a statement of this form"), false
	}
	deadlineMs := nowMs() + s.numberParameter("d")
	if !h.enqueue(s.parameters["id"]) {
		return errorAnswer(wire.CodeTooManyConnections, "queue full"), false
	}
	defer h.leaveQueue()
	if h.group.chance(h.group.opt.RejectChance) {
		return errorAnswer(wire.CodeTooManyConnections, "queue full"), false
	}
	h.waitWhileHung()
	outcome, err := h.run(&s, deadlineMs)
	if err != nil || h.isDown() {
		return nil, true
	}
	if s.insert && outcome.code == "" && h.group.chance(h.group.opt.ResetChance) {
		return nil, true
	}
	h.waitWhileHung()
	recovery := "on"
	if h.group.isPrimary(h) {
		recovery = "off"
	}
	if outcome.code != "" {
		status := wire.AppendParameterStatus(nil, "recovery", recovery)
		return append(status, errorAnswer(outcome.code, "not here")...), false
	}
	return rowAnswer(&s, outcome, recovery), false
}

// run executes a statement in the host's group. It returns an error if the document
// of an insert is malformed. deadlineMs is in Unix milliseconds.
func (h *Host) run(s *statement, deadlineMs float64) (result, error) {
	if !s.insert {
		return h.group.read(h, s.row, s.parameters["c"], s.numberParameter("after")), nil
	}
	doc, err := hex.DecodeString(s.docHex)
	if err != nil {
		return result{}, err
	}
	w := write{row: s.row, key: s.parameters["k"], doc: string(doc), deadlineMs: deadlineMs}
	return h.group.write(h, w), nil
}

// health answers a health check with the host's replication position in Unix
// seconds (x0) and its role (x1): 1 for the primary, 0 for a replica.
func (h *Host) health() []byte {
	h.waitWhileHung()
	h.group.mu.Lock()
	position := nowMs()
	primary := 0
	if h.group.primary == h {
		primary = 1
	} else {
		position -= h.lagMs
	}
	h.group.mu.Unlock()
	report := fmt.Appendf(nil, "x0=%.3f,x1=%d", position/1000, primary)
	return wire.AppendReadyForQuery(appendRow(nil, report, "SHOW 1"))
}

// errorAnswer returns the answer to a statement that failed.
func errorAnswer(code, text string) []byte {
	return wire.AppendReadyForQuery(wire.AppendErrorResponse(nil, "ERROR", code, text, ""))
}

// rowAnswer returns the answer to a statement that succeeded, with the host's role
// and replication position.
func rowAnswer(s *statement, outcome result, recovery string) []byte {
	tag := "SELECT 1"
	if s.insert {
		tag = "INSERT 0 1"
	}
	answer := appendRow(nil, outcome.doc, tag)
	answer = wire.AppendParameterStatus(answer, "recovery", recovery)
	answer = wire.AppendParameterStatus(answer, "lsn_ms", strconv.FormatInt(int64(outcome.position), 10))
	return wire.AppendReadyForQuery(answer)
}

// appendRow appends a result with one row and one column.
func appendRow(to, doc []byte, tag string) []byte {
	const typeBytea = 17
	column := wire.Column{Name: []byte("doc"), Type: typeBytea, Size: -1, Binary: true}
	to = wire.AppendRowDescription(to, column)
	return wire.AppendCommandComplete(wire.AppendDataRow(to, doc), []byte(tag))
}
