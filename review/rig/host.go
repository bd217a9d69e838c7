package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"
	"time"

	"lotusbend/internal/postgres/wire"
)

// Statement is a statement as a database host received it.
type Statement struct {
	Text   string
	Insert bool
	Row    string            // id of the row
	Doc    string            // document of an insert, in hex
	Fields map[string]string // of the comment
}

// Number returns a numeric field of the comment, 0 if there is none.
func (s *Statement) Number(name string) float64 {
	value, _ := strconv.ParseFloat(s.Fields[name], 64)
	return value
}

// The statements of the protocol page, and those of the edge's page.
var (
	insertForm = regexp.MustCompile(
		`^INSERT INTO \w+ \(id, doc\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\) RETURNING doc /\* (.*) \*/$`)
	selectForm = regexp.MustCompile(`^SELECT .*WHERE id = '([^']*)'.* /\* (.*) \*/$`)
	fieldForm  = regexp.MustCompile(`(\w+)=([^,]*)`)
)

// parseStatement parses a statement; ok is false for any other text.
func parseStatement(text string) (s Statement, ok bool) {
	s = Statement{Text: text, Fields: map[string]string{}}
	comment := ""
	if match := insertForm.FindStringSubmatch(text); match != nil {
		s.Insert, s.Row, s.Doc, comment = true, match[1], match[2], match[3]
	} else if match := selectForm.FindStringSubmatch(text); match != nil {
		s.Row, comment = match[1], match[2]
	} else {
		return s, false
	}
	for _, match := range fieldForm.FindAllStringSubmatch(comment, -1) {
		s.Fields[match[1]] = match[2]
	}
	return s, true
}

// Host is a stand-in for one database host. It runs each statement through Run.
type Host struct {
	Name    string
	Address string
	Group   int
	// Run executes a statement and writes its answer. An error ends the connection.
	Run func(s Statement, out io.Writer) error
	// Health returns the answer to SHOW health.
	Health func() []byte

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// Listen opens the host's socket and serves connections until Close.
func (h *Host) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.listener = listener
	h.Address = listener.Addr().String()
	h.conns = map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if h.add(conn) {
				go h.serve(conn)
			}
		}
	}()
	return nil
}

// add registers a connection; it closes it if the host is closed.
func (h *Host) add(conn net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = conn.Close()
		return false
	}
	h.conns[conn] = true
	return true
}

// Close ends the host's socket and its connections.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	_ = h.listener.Close()
	for conn := range h.conns {
		_ = conn.Close()
	}
}

// serve speaks the protocol on one connection.
func (h *Host) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		h.mu.Lock()
		delete(h.conns, conn)
		h.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	header := make([]byte, 4)
	if _, err := io.ReadFull(in, header); err != nil {
		return
	}
	size, err := wire.ParseStartupHeader(header)
	if err != nil {
		return
	}
	if _, err := in.Discard(size); err != nil {
		return
	}
	welcome := wire.AppendReadyForQuery(wire.AppendBackendKeyData(wire.AppendAuthenticationOk(nil), 1, 1))
	if _, err := conn.Write(welcome); err != nil {
		return
	}
	for {
		kind, body, err := ReadMessage(in)
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
		if err := h.query(string(text), conn); err != nil {
			return
		}
	}
}

// query answers one query.
func (h *Host) query(text string, out io.Writer) error {
	if text == "SHOW health" {
		_, err := out.Write(wire.AppendReadyForQuery(appendRow(nil, h.Health(), "SHOW")))
		return err
	}
	s, ok := parseStatement(text)
	if !ok {
		_, err := out.Write(ErrorAnswer(wire.CodeProtocolViolation, ""))
		return err
	}
	return h.Run(s, out)
}

// NowMs returns the time in Unix milliseconds.
func NowMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

// HealthReport returns a report of position and role, as hosts of the deployments
// give it.
func HealthReport(positionMs float64, primary bool) []byte {
	role := 0
	if primary {
		role = 1
	}
	return fmt.Appendf(nil, "x0=%.3f,x1=%d", positionMs/1000, role)
}

// status appends the ParameterStatus messages with role and position.
func status(b []byte, primary bool, positionMs float64) []byte {
	recovery := "on"
	if primary {
		recovery = "off"
	}
	b = wire.AppendParameterStatus(b, "recovery", recovery)
	if positionMs > 0 {
		b = wire.AppendParameterStatus(b, "lsn_ms", strconv.FormatInt(int64(positionMs), 10))
	}
	return b
}

// RowAnswer returns the answer to a statement that was served.
func RowAnswer(s *Statement, doc []byte, primary bool, positionMs float64) []byte {
	tag := "SELECT 1"
	if s.Insert {
		tag = "INSERT 0 1"
	}
	return wire.AppendReadyForQuery(status(appendRow(nil, doc, tag), primary, positionMs))
}

// ErrorAnswer returns an error; role is "off", "on" or "" for none.
func ErrorAnswer(code, role string) []byte {
	b := wire.AppendErrorResponse(nil, "ERROR", code, "not here", "")
	if role != "" {
		b = wire.AppendParameterStatus(b, "recovery", role)
	}
	return wire.AppendReadyForQuery(b)
}

// appendRow appends a result with one row and one column.
func appendRow(b, doc []byte, tag string) []byte {
	const typeBytea = 17
	column := wire.Column{Name: []byte("doc"), Type: typeBytea, Size: -1, Binary: true}
	b = wire.AppendRowDescription(b, column)
	return wire.AppendCommandComplete(wire.AppendDataRow(b, doc), []byte(tag))
}
