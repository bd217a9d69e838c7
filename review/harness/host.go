package harness

import (
	"bufio"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"lotusbend/internal/postgres/wire"
)

// Statement is a client's statement as a database host received it.
type Statement struct {
	Text   string
	Insert bool
	Table  string // of an INSERT
	Row    string // the first quoted string
	Doc    string // of an INSERT, in hexadecimal digits
	Fields map[string]string
}

var (
	insertForm  = regexp.MustCompile(`^INSERT INTO (\w+) \(id, doc\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\)`)
	quotedForm  = regexp.MustCompile(`id = '([^']*)'`)
	commentForm = regexp.MustCompile(`/\* (.*) \*/$`)
)

// parseStatement reads a statement of the form that clients send.
func parseStatement(text string) (s Statement, ok bool) {
	comment := commentForm.FindStringSubmatch(text)
	if comment == nil {
		return s, false
	}
	s = Statement{Text: text, Fields: map[string]string{}}
	for _, field := range strings.Split(comment[1], ",") {
		name, value, _ := strings.Cut(field, "=")
		s.Fields[name] = value
	}
	if insert := insertForm.FindStringSubmatch(text); insert != nil {
		s.Insert = true
		s.Table, s.Row, s.Doc = insert[1], insert[2], insert[3]
		return s, true
	}
	quoted := quotedForm.FindStringSubmatch(text)
	if quoted == nil {
		return s, false
	}
	s.Row = quoted[1]
	return s, true
}

// Answer is what a host answers to a statement.
type Answer struct {
	Code  string // SQLSTATE of an error, "" for a row
	Value []byte
	Lost  bool // nothing is answered and the connection stays open
	Reset bool // nothing is answered and the connection is reset
}

// Host is a stand-in for a database host. Serve decides on the answer to each
// statement; it is called from several goroutines.
type Host struct {
	Name    string
	Address string
	Group   int
	Primary bool
	Serve   func(h *Host, s Statement) Answer
	Record  *Recorder

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Start listens on a free port, or on the address if one is set.
func (h *Host) Start() error {
	address := h.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener = listener
	h.conns = map[net.Conn]bool{}
	h.Address = listener.Addr().String()
	go h.accept(listener)
	return nil
}

// Stop closes the listener and resets every connection, as a process does that
// dies.
func (h *Host) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		_ = h.listener.Close()
	}
	for conn := range h.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (h *Host) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[conn] = true
		h.mu.Unlock()
		go h.serve(conn)
	}
}

// serve speaks the protocol on one connection.
func (h *Host) serve(conn net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, conn)
		h.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	head := make([]byte, wire.StartupHeaderLen)
	if _, err := io.ReadFull(in, head); err != nil {
		return
	}
	size, err := wire.ParseStartupHeader(head)
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
		if !h.query(conn, strings.TrimSuffix(string(body), "\x00")) {
			return
		}
	}
}

// query answers one query and reports whether the connection goes on.
func (h *Host) query(conn net.Conn, text string) bool {
	switch text {
	case "SHOW health":
		_, err := conn.Write(h.health())
		return err == nil
	case "SELECT 1":
		_, err := conn.Write(appendRow(nil, []byte("1"), "SELECT 1"))
		return err == nil
	}
	s, ok := parseStatement(text)
	if !ok {
		h.Record.Note("host %s got a statement of no known form: %.120q", h.Name, text)
		_, err := conn.Write(appendError(wire.CodeProtocolViolation))
		return err == nil
	}
	answer := h.Serve(h, s)
	switch {
	case answer.Reset:
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case answer.Lost:
		return true
	case answer.Code != "":
		_, err := conn.Write(append(h.role(nil), appendError(answer.Code)...))
		return err == nil
	}
	tag := "SELECT 1"
	if s.Insert {
		tag = "INSERT 0 1"
	}
	_, err := conn.Write(wire.AppendReadyForQuery(h.role(appendRow(nil, answer.Value, tag))))
	return err == nil
}

// role appends the status parameters of an answer.
func (h *Host) role(b []byte) []byte {
	recovery := "on"
	if h.Primary {
		recovery = "off"
	}
	b = wire.AppendParameterStatus(b, "recovery", recovery)
	return wire.AppendParameterStatus(b, "lsn_ms", strconv.FormatInt(int64(NowMs()), 10))
}

// health answers SHOW health.
func (h *Host) health() []byte {
	report := "x0=" + strconv.FormatFloat(NowMs()/1e3, 'f', 3, 64) + ",x1=0,util=0.1,queue=0"
	if h.Primary {
		report = strings.Replace(report, "x1=0", "x1=1", 1)
	}
	return wire.AppendReadyForQuery(appendRow(nil, []byte(report), "SHOW 1"))
}

// appendRow appends one row with one binary column, and its CommandComplete.
func appendRow(b, value []byte, tag string) []byte {
	b = wire.AppendRowDescription(b, wire.Column{Name: []byte("doc"), Type: 17, Size: -1, Binary: true})
	return wire.AppendCommandComplete(wire.AppendDataRow(b, value), []byte(tag))
}

func appendError(code string) []byte {
	return wire.AppendReadyForQuery(wire.AppendErrorResponse(nil, "ERROR", code, "not here", ""))
}

// ReadMessage reads one message that follows the startup.
func ReadMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, wire.HeaderLen)
	if _, err := io.ReadFull(in, head); err != nil {
		return 0, nil, err
	}
	kind, size, err := wire.ParseHeader(head)
	if err != nil {
		return 0, nil, err
	}
	body = make([]byte, size)
	_, err = io.ReadFull(in, body)
	return kind, body, err
}
