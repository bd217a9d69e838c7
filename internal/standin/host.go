package standin

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"

	"lotusbend/internal/postgres/wire"
)

// Host is one database host on a socket of its own.
type Host struct {
	Name    string
	Address string
	Zone    string
	group   *group
	lag     float64 // of a replica, milliseconds
	slots   chan struct{}

	mu      sync.Mutex
	down    bool
	hung    chan struct{} // open while it hangs
	since   float64       // its last start, 0 for long ago
	ln      net.Listener
	conns   map[net.Conn]bool
	waiting int
	got     []Received
}

// Received is one statement that a host read off a connection.
type Received struct {
	At   float64 // Unix milliseconds
	ID   string  // the statement's
	Hung bool    // it came while the host hung
}

// Received returns every statement that the host was sent so far.
func (h *Host) Received() []Received {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Received(nil), h.got...)
}

// Lag holds a replica back by so many milliseconds from now on.
func (h *Host) Lag(ms float64) {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	h.lag = ms
}

// Since is when the host last started, 0 for long ago.
func (h *Host) Since() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since
}

func (h *Host) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

func (h *Host) isHung() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hung != nil
}

// awake waits while the host hangs.
func (h *Host) awake() {
	h.mu.Lock()
	hung := h.hung
	h.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// work takes a core for as long as a statement needs; a cold host is slower.
func (h *Host) work() {
	if o := h.group.opt; o.Steady {
		sleepMs(h.group.draw(o.WorkMin, o.WorkMax))
		h.awake()
		return
	}
	h.slots <- struct{}{}
	defer func() { <-h.slots }()
	h.awake()
	o := h.group.opt
	ms := h.group.draw(o.WorkMin, o.WorkMax)
	h.mu.Lock()
	since := h.since
	h.mu.Unlock()
	if age := nowMs() - since; since > 0 && age < o.ColdFor {
		ms /= o.StartCapacity + (1-o.StartCapacity)*age/o.ColdFor
	}
	sleepMs(ms)
}

// start listens, at the same address as before if there was one.
func (h *Host) start() error {
	address := h.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.ln, h.Address, h.down, h.conns = ln, ln.Addr().String(), false, map[net.Conn]bool{}
	h.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			if h.down {
				h.mu.Unlock()
				_ = c.Close()
				continue
			}
			h.conns[c] = true
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
	return nil
}

// stop ends the process: its connections are reset.
func (h *Host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = true
	_ = h.ln.Close()
	for c := range h.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (h *Host) serve(c net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReaderSize(c, 4096)
	head := make([]byte, 4)
	if _, err := io.ReadFull(in, head); err != nil {
		return
	}
	n, err := wire.StartupLen(head)
	if err != nil {
		return
	}
	if _, err := in.Discard(n); err != nil {
		return
	}
	if !h.group.opt.Steady {
		h.awake()
	}
	b := wire.AppendReady(wire.AppendKeyData(wire.AppendAuthenticationOk(nil), 1, 1))
	if _, err := c.Write(b); err != nil {
		return
	}
	for {
		head := make([]byte, wire.HeaderLen)
		if _, err := io.ReadFull(in, head); err != nil {
			return
		}
		kind, n, err := wire.Header(head)
		if err != nil || kind == wire.Terminate {
			return
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		if kind != wire.Query {
			continue
		}
		text, err := wire.Text(body)
		if err != nil {
			return
		}
		answer, reset := h.query(string(text))
		if reset {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

var (
	insertForm = regexp.MustCompile(`^INSERT INTO \w+ \(id, doc\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\) RETURNING doc /\* (.*) \*/$`)
	selectForm = regexp.MustCompile(`^SELECT .*WHERE id = '([^']*)'.* /\* (.*) \*/$`)
	paramForm  = regexp.MustCompile(`(\w+)=([^,]*)`)
)

// query runs one statement and returns the answer, or that the connection
// breaks without one.
func (h *Host) query(text string) (answer []byte, reset bool) {
	g := h.group
	if text == "SHOW health" {
		h.awake()
		g.mu.Lock()
		pos, role := nowMs(), 0
		if g.primary == h {
			role = 1
		} else {
			pos -= h.lag
		}
		g.mu.Unlock()
		return row(fmt.Appendf(nil, "x0=%.3f,x1=%d", pos/1000, role), "SHOW", "", 0), false
	}
	params := map[string]string{}
	insert, sel := insertForm.FindStringSubmatch(text), selectForm.FindStringSubmatch(text)
	comment := ""
	switch {
	case insert != nil:
		comment = insert[3]
	case sel != nil:
		comment = sel[2]
	default:
		return wire.AppendReady(wire.AppendError(nil, "ERROR", wire.CodeProtocol, "not a statement of this form", "")), false
	}
	for _, p := range paramForm.FindAllStringSubmatch(comment, -1) {
		params[p[1]] = p[2]
	}
	wait, _ := strconv.ParseFloat(params["d"], 64)
	until := nowMs() + wait
	h.mu.Lock()
	h.got = append(h.got, Received{nowMs(), params["id"], h.hung != nil})
	full := h.waiting >= g.opt.Queue
	if !full {
		h.waiting++
	}
	h.mu.Unlock()
	if full || g.chance(g.opt.FullChance) {
		if !full {
			h.left()
		}
		return wire.AppendReady(wire.AppendError(nil, "ERROR", wire.CodeTooManyConnections, "queue full", "")), false
	}
	defer h.left()
	h.awake()
	var r result
	verb := "SELECT"
	if insert != nil {
		verb = "INSERT"
		doc, err := hex.DecodeString(insert[2])
		if err != nil {
			return nil, true
		}
		r = g.write(h, insert[1], params["k"], string(doc), until)
	} else {
		after, _ := strconv.ParseFloat(params["after"], 64)
		r = g.read(h, sel[1], params["c"], after)
	}
	if h.isDown() || insert != nil && r.code == "" && g.chance(g.opt.ResetAfter) {
		return nil, true
	}
	h.awake()
	g.mu.Lock()
	recovery := "on"
	if g.primary == h {
		recovery = "off"
	}
	g.mu.Unlock()
	if r.code != "" {
		b := wire.AppendParameter(nil, "recovery", recovery)
		return wire.AppendReady(append(b, wire.AppendError(nil, "ERROR", r.code, "not here", "")...)), false
	}
	return row(r.doc, verb, recovery, r.lsn), false
}

func (h *Host) left() {
	h.mu.Lock()
	h.waiting--
	h.mu.Unlock()
}

// row writes an answer of one row.
func row(doc []byte, verb, recovery string, lsn float64) []byte {
	tag := verb + " 1"
	if verb == "INSERT" {
		tag = "INSERT 0 1"
	}
	b := wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc"), Type: 17, Size: -1, Binary: true})
	b = wire.AppendComplete(wire.AppendDataRow(b, doc), []byte(tag))
	if recovery != "" {
		b = wire.AppendParameter(b, "recovery", recovery)
		b = wire.AppendParameter(b, "lsn_ms", strconv.FormatInt(int64(lsn), 10))
	}
	return wire.AppendReady(b)
}
